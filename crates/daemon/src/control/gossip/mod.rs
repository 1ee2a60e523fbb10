//! The task that runs gossip membership and the configuration relay for this daemon.

mod transport;

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;
use wharfquay_membership::gossip::Seed;
use wharfquay_membership::member::{MemberId, MemberProfile, ZoneName};
use wharfquay_membership::message::{Delta, Snapshot as RelayedSnapshot};
use wharfquay_membership::node::{Effect, Identity, Node};
use wharfquay_membership::settings::Settings as MembershipSettings;
use wharfquay_membership::table::MemberTable;
use wharfquay_platform::{Client, SourceEvent};
use wharfquay_resources::snapshot::{Revision, Snapshot};

use crate::clock::Clock;
use crate::control::ControlAddresses;
use crate::control::readers::{ReadResult, StoreReader};
use crate::control::relay::{self, ConfigurationDelta};
use crate::events::{Event, Quoted, RateLimit, log_event};
use crate::metrics::Metrics;
use crate::peers::PeerPool;
use crate::settings::Settings;

pub(crate) use transport::StreamInbox;
use transport::{Datagrams, ReceivedStream, StreamSender};

/// Number of entries of the machine list to use as seeds; more do not help a joining daemon.
const MAX_LISTED_SEEDS: usize = 64;

/// The socket and the addresses for messages between daemons.
#[derive(Debug)]
pub(crate) struct ControlSockets {
    /// UDP socket at the address of the control listener.
    pub(crate) datagrams: UdpSocket,
    /// Address of the control listener.
    pub(crate) control_address: SocketAddr,
    /// Address at which this daemon accepts calls of other daemons.
    pub(crate) call_address: SocketAddr,
}

/// The channels through which the task communicates with the rest of the daemon.
pub(super) struct Channels {
    /// The configuration in force; published once this daemon is ready.
    pub(super) snapshot: watch::Sender<Arc<Snapshot>>,
    /// The members known from gossip.
    pub(super) members: watch::Sender<MemberTable>,
    /// Control addresses by daemon id; used as seeds.
    pub(super) machines: watch::Receiver<Arc<ControlAddresses>>,
    /// True once a stop of this daemon was requested.
    pub(super) stopping: watch::Receiver<bool>,
    /// Counters for control messages.
    pub(super) metrics: Arc<Metrics>,
}

/// The task that runs the membership node of this daemon.
pub(super) struct GossipTask {
    clock: Clock,
    local_id: String,
    seeds: Vec<SocketAddr>,
    node: Node,
    datagrams: Datagrams,
    streams: StreamSender,
    inbox: mpsc::Receiver<ReceivedStream>,
    client: Arc<Client>,
    reader: Option<StoreReader>,
    held: Arc<Snapshot>,
    /// Rate limit for log events about dropped messages.
    dropped: RateLimit,
    channels: Channels,
}

/// An input of the task.
enum TaskInput {
    Datagram(SocketAddr, Vec<u8>),
    Stream(ReceivedStream),
    Store(Option<SourceEvent>),
    Machines,
    Stopping,
    Timer,
}

impl GossipTask {
    /// Creates the task and the inbox for messages that arrive over streams.
    pub(super) fn new(
        settings: &Settings,
        clock: Clock,
        client: Arc<Client>,
        sockets: ControlSockets,
        channels: Channels,
        tasks: &TaskTracker,
    ) -> (Self, StreamInbox) {
        let profile = MemberProfile {
            id: MemberId::from(settings.id.as_str()),
            zone: ZoneName::from(settings.zone.as_str()),
            service: settings
                .backend
                .as_ref()
                .map(|backend| backend.service.clone()),
            call_address: sockets.call_address,
            control_address: sockets.control_address,
            slots: 0,
            connections: 0,
        };
        let identity = Identity {
            profile,
            started_at_ms: clock.started_at().as_millis(),
        };
        let control = settings.control.as_ref();
        let seeds = control.map_or_else(Vec::new, |control| control.seeds.clone());
        let membership_settings = MembershipSettings {
            deployment: control.map_or(0, |control| control.deployment),
            ..MembershipSettings::default()
        };
        let known = seeds
            .iter()
            .map(|&control_address| Seed { control_address });
        let now = clock.now();
        let random = &mut rand::rng();
        let node = Node::new(membership_settings, identity, known.collect(), now, random);
        let limits = &settings.limits;
        let peers = PeerPool::new(limits.connect_timeout(), limits.header_bytes);
        let (sender, inbox) = transport::inbox();
        let task = Self {
            clock,
            local_id: settings.id.clone(),
            seeds,
            node,
            datagrams: Datagrams::new(sockets.datagrams, Arc::clone(&channels.metrics)),
            streams: StreamSender::new(peers, tasks.clone(), sockets.control_address),
            inbox,
            client,
            reader: None,
            held: Arc::new(Snapshot::default()),
            dropped: RateLimit::default(),
            channels,
        };
        (task, sender)
    }

    /// Processes inputs; never returns.
    pub(super) async fn run(mut self) {
        loop {
            let input = self.next_input().await;
            let effects = self.apply_input(input);
            self.apply_effects(effects).await;
        }
    }

    async fn next_input(&mut self) -> TaskInput {
        let wakeup = self.node.next_wakeup();
        tokio::select! {
            (source, bytes) = self.datagrams.receive() => TaskInput::Datagram(source, bytes),
            Some(stream) = self.inbox.recv() => TaskInput::Stream(stream),
            event = next_store_event(&mut self.reader) => TaskInput::Store(event),
            Ok(()) = self.channels.machines.changed() => TaskInput::Machines,
            Ok(()) = self.channels.stopping.changed() => TaskInput::Stopping,
            () = self.clock.sleep_until(Some(wakeup)) => TaskInput::Timer,
        }
    }

    fn apply_input(&mut self, input: TaskInput) -> Vec<Effect> {
        let now = self.clock.now();
        let random = &mut rand::rng();
        match input {
            TaskInput::Datagram(source, bytes) => self.node.receive(now, source, &bytes, random),
            TaskInput::Stream(stream) => {
                self.node.receive(now, stream.source, &stream.bytes, random)
            }
            TaskInput::Timer => self.node.advance(now, random),
            TaskInput::Stopping => self.node.leave(now, random),
            TaskInput::Machines => {
                self.update_seeds();
                Vec::new()
            }
            TaskInput::Store(Some(event)) => self.apply_store_event(event),
            TaskInput::Store(None) => {
                self.reader = None;
                Vec::new()
            }
        }
    }

    fn apply_store_event(&mut self, event: SourceEvent) -> Vec<Effect> {
        let Some(reader) = &mut self.reader else {
            return Vec::new();
        };
        match reader.apply(event, &self.held) {
            ReadResult::Report(report) => {
                let now = self.clock.now();
                self.node.on_store(now, &report, &mut rand::rng())
            }
            ReadResult::Unavailable => {
                self.node.set_store_contact(false);
                Vec::new()
            }
            ReadResult::Unusable => Vec::new(),
        }
    }

    /// Sets the seeds to those of the settings file and of the machine list.
    fn update_seeds(&mut self) {
        let machines = self.channels.machines.borrow_and_update().clone();
        let others = machines.iter().filter(|(id, _)| **id != self.local_id);
        let listed = others.map(|(_, address)| *address).take(MAX_LISTED_SEEDS);
        let seeds = self.seeds.iter().copied().chain(listed);
        let seeds = seeds.map(|control_address| Seed { control_address });
        self.node.set_seeds(seeds.collect());
    }

    async fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, channel, bytes } => match channel {
                    wharfquay_membership::node::Channel::Datagram => {
                        self.datagrams.send(to, &bytes).await;
                    }
                    wharfquay_membership::node::Channel::Stream => self.streams.send(to, bytes),
                },
                other => self.apply_local_effect(other),
            }
        }
        self.publish_configuration();
    }

    fn apply_local_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send { .. } => {}
            Effect::MembersChanged => {
                let members = self.node.table().clone();
                self.channels.members.send_replace(members);
            }
            Effect::DeclaredDead(id) => log_event!(Event::MemberDead, "id={id}"),
            Effect::AdoptSnapshot(snapshot) => self.adopt_snapshot(&snapshot),
            Effect::AdoptDelta(delta) => self.adopt_delta(&delta),
            // The subscribers learn of it from the configuration, which is published after the
            // effects.
            Effect::Ready(_) => {}
            Effect::SetReader(read) => self.read_store(read),
            Effect::ReadSnapshot => {
                if let Some(reader) = &mut self.reader {
                    reader.request_snapshot();
                }
            }
            Effect::StoreOlder { store, held } => {
                log_event!(
                    Event::ConfigurationOlderIgnored,
                    "found={store} in_force={held}"
                );
            }
            Effect::Compact(revision) => self.compact(revision),
            Effect::Dropped { source, reason } => {
                self.log_dropped(source, &reason);
            }
        }
    }

    fn log_dropped(&self, source: SocketAddr, reason: &dyn Display) {
        if let Some(suppressed) = self.dropped.allow(Instant::now()) {
            let reason = Quoted(reason);
            log_event!(
                Event::ControlMessageDropped,
                "source={source} reason={reason} suppressed={suppressed}"
            );
        }
    }

    fn read_store(&mut self, read: bool) {
        log_event!(Event::StoreReader, "reading={read}");
        self.reader = read.then(|| StoreReader::start(Arc::clone(&self.client)));
    }

    fn adopt_snapshot(&mut self, relayed: &RelayedSnapshot) {
        match relay::decode::<Snapshot>(&relayed.payload) {
            Ok(mut snapshot) => {
                snapshot.revision = Revision::new(relayed.revision);
                self.held = Arc::new(snapshot);
            }
            Err(error) => log_undecodable(relayed.revision, &error),
        }
    }

    fn adopt_delta(&mut self, relayed: &Delta) {
        match relay::decode::<ConfigurationDelta>(&relayed.payload) {
            Ok(delta) => {
                let mut snapshot = Snapshot::clone(&self.held);
                delta.apply(&mut snapshot, Revision::new(relayed.revision));
                self.held = Arc::new(snapshot);
            }
            Err(error) => log_undecodable(relayed.revision, &error),
        }
    }

    fn compact(&mut self, revision: u64) {
        match relay::encode(&*self.held) {
            Ok(payload) => self.node.provide_snapshot(revision, payload),
            Err(error) => log_event!(Event::ConfigurationNotEncoded, "error={}", Quoted(error)),
        }
    }

    /// Publishes the held configuration if this daemon is ready and the configuration is newer than
    /// the published one.
    fn publish_configuration(&self) {
        if !self.node.is_ready() {
            return;
        }
        let held = &self.held;
        let newer = |current: &Arc<Snapshot>| current.revision < held.revision;
        self.channels.snapshot.send_if_modified(|current| {
            let adopt = newer(current);
            if adopt {
                *current = Arc::clone(held);
            }
            adopt
        });
    }
}

fn log_undecodable(revision: u64, error: &str) {
    log_event!(
        Event::ConfigurationUndecodable,
        "revision={revision} error={}",
        Quoted(error)
    );
}

/// Returns the next event of the store reader; never completes while this daemon does not read the
/// store.
async fn next_store_event(reader: &mut Option<StoreReader>) -> Option<SourceEvent> {
    match reader {
        Some(reader) => reader.next().await,
        None => std::future::pending().await,
    }
}
