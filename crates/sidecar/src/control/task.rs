//! The task that drives gossip membership and the configuration relay of this sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::gossip::Seed;
use wharfquay_membership::member::{MemberId, MemberProfile, ZoneName};
use wharfquay_membership::message::{Delta, Snapshot};
use wharfquay_membership::node::{Channel, Effect, Identity, Node};
use wharfquay_membership::relay::StoreReport;
use wharfquay_membership::settings::Settings as MembershipSettings;
use wharfquay_membership::table::MemberTable;

use super::directory::DirectoryTask;
use super::reader::{Reader, ReaderEvent, ReadingMode};
use super::transport::{Datagrams, ReceivedMessage, StreamInbox, inbox, send_stream};
use super::{decode, encode};
use crate::configuration::RouteIndex;
use crate::confirmation::Confirmation;
use crate::events::Event;
use crate::exchange::Exchange;
use crate::log_event;
use crate::platform::{DirectoryEntry, Platform};
use crate::quota::OwnerSelector;
use crate::settings::Settings;

/// Lowest revision to which a delta applies. Each delta contains the whole configuration and
/// therefore applies to any revision.
const ANY_REVISION: u64 = 1;
/// Time without a message from any other sidecar after which this one reads the platform itself.
const ISOLATED_AFTER: Duration = Duration::from_millis(1_200);
/// Time without a message from any other sidecar after which a sidecar that is alone in its zone
/// reads the platform itself. It is longer because zones exchange messages only once a second.
const ISOLATED_WITHOUT_NEIGHBOURS_AFTER: Duration = Duration::from_secs(3);
/// Uptime during which a starting sidecar may not have discovered all others yet.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Uptime during which a starting sidecar may not have discovered all others yet, at the first
/// start of the whole deployment, when the directory is still empty.
const FIRST_START_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Uptime up to which a sidecar reads the configuration once instead of following it, at the first
/// start of the whole deployment. Hundreds of sidecars that start together need longer than usual
/// to discover each other, and their requests begin later still.
const FIRST_START_READ_ONCE_TIME: Duration = Duration::from_secs(6);
/// Interval at which the task decides whether to read the platform.
const REVIEW_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of directory entries that are used as seeds.
const MAX_SEEDS: usize = 64;

/// Channels through which the task publishes its state and receives the stop signal.
pub(crate) struct ControlChannels {
    /// The configuration in force.
    pub(crate) configuration: watch::Sender<Arc<RouteIndex>>,
    /// The member table.
    pub(crate) members: watch::Sender<MemberTable>,
    /// The entries of the platform's directory as last read; `None` before the first read.
    pub(crate) listed: watch::Sender<Option<Vec<DirectoryEntry>>>,
    /// True if messages of other sidecars no longer arrive although others are known.
    pub(crate) isolated: watch::Sender<bool>,
    /// True once this sidecar is stopping.
    pub(crate) stopping: watch::Receiver<bool>,
}

/// The task of the control plane.
pub(crate) struct ControlTask<P> {
    clock: Clock,
    own_address: SocketAddr,
    node: Node,
    datagrams: Datagrams,
    inbox: mpsc::Receiver<ReceivedMessage>,
    seeds: mpsc::Receiver<Vec<DirectoryEntry>>,
    own_id: String,
    platform: Arc<P>,
    reader: Option<Reader>,
    confirmation: Arc<Confirmation>,
    owner_selector: Arc<OwnerSelector>,
    /// Version that the platform held at the last read; zero if it held none.
    read_version: u64,
    /// True if the next configuration that is read is passed to the node as a snapshot. This is
    /// needed after the platform's store was reset to an earlier revision, from which the following
    /// configuration can't be expressed as a change.
    needs_snapshot: bool,
    /// True if the node counts this sidecar among the readers of the deployment.
    chosen_to_read: bool,
    is_first_start: bool,
    started_at: Timestamp,
    last_received_at: Timestamp,
    review_at: Timestamp,
    channels: ControlChannels,
}

/// Event that the task handles next.
enum TaskEvent {
    Message(ReceivedMessage),
    Reader(Option<ReaderEvent>),
    Seeds(Vec<DirectoryEntry>),
    Stopping,
    Timer,
}

impl<P: Platform> ControlTask<P> {
    /// Creates a task and the inbox for messages that arrive over streams.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        platform: Arc<P>,
        datagrams: (Arc<UdpSocket>, Arc<Exchange>),
        confirmation: Arc<Confirmation>,
        owner_selector: Arc<OwnerSelector>,
        channels: ControlChannels,
    ) -> (Self, StreamInbox) {
        let (socket, exchange) = datagrams;
        let profile = MemberProfile {
            id: MemberId::from(settings.id.as_str()),
            zone: ZoneName::from(settings.zone.as_str()),
            service: Some(settings.service.clone()),
            call_address: settings.inbound,
            control_address: settings.control,
            slots: 0,
            connections: 0,
        };
        let identity = Identity {
            profile,
            started_at_ms: clock.started_at().as_millis(),
        };
        let now = clock.now();
        let random = &mut rand::rng();
        let membership = MembershipSettings::for_short_lived_members();
        let node = Node::new(membership, identity, Vec::new(), now, random);
        let (sender, inbox) = inbox();
        let (seed_sender, seeds) = mpsc::channel(1);
        let entry = DirectoryEntry {
            id: settings.id.clone(),
            control_address: settings.control,
        };
        let directory = DirectoryTask {
            clock,
            platform: Arc::clone(&platform),
            entry,
            is_first_start: settings.is_first_start,
            members: channels.members.subscribe(),
            seeds: seed_sender,
        };
        tokio::spawn(directory.run());
        let task = Self {
            clock,
            own_address: settings.control,
            node,
            datagrams: Datagrams::new(socket, exchange),
            confirmation,
            owner_selector,
            read_version: 0,
            needs_snapshot: false,
            inbox,
            seeds,
            own_id: settings.id.clone(),
            platform,
            reader: None,
            chosen_to_read: false,
            is_first_start: settings.is_first_start,
            started_at: now,
            last_received_at: now,
            review_at: now,
            channels,
        };
        (task, sender)
    }

    /// Runs until the process terminates.
    pub(crate) async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            let effects = self.handle_event(event);
            self.apply_effects(effects);
        }
    }

    async fn next_event(&mut self) -> TaskEvent {
        let wakeup = self.node.next_wakeup().min(self.review_at);
        tokio::select! {
            received = self.datagrams.receive() => TaskEvent::Message(received),
            Some(received) = self.inbox.recv() => TaskEvent::Message(received),
            event = next_reader_event(&mut self.reader) => TaskEvent::Reader(event),
            Some(entries) = self.seeds.recv() => TaskEvent::Seeds(entries),
            Ok(()) = self.channels.stopping.changed() => TaskEvent::Stopping,
            () = self.clock.sleep_until(Some(wakeup)) => TaskEvent::Timer,
        }
    }

    fn handle_event(&mut self, event: TaskEvent) -> Vec<Effect> {
        let now = self.clock.now();
        let random = &mut rand::rng();
        match event {
            TaskEvent::Message(received) => {
                self.last_received_at = now;
                if *self.channels.isolated.borrow() {
                    self.set_isolated(false, self.count_others().0);
                }
                self.node
                    .receive(now, received.source, &received.bytes, random)
            }
            TaskEvent::Timer => {
                self.check_isolation(now);
                self.node.advance(now, random)
            }
            TaskEvent::Stopping => self.node.leave(now, random),
            TaskEvent::Seeds(entries) => {
                self.owner_selector.add_directory_entries(now, &entries);
                self.channels.listed.send_replace(Some(entries.clone()));
                self.set_seeds(&entries);
                Vec::new()
            }
            TaskEvent::Reader(Some(event)) => self.handle_reader_event(event),
            TaskEvent::Reader(None) => {
                self.reader = None;
                Vec::new()
            }
        }
    }

    fn set_seeds(&mut self, entries: &[DirectoryEntry]) {
        let others = entries.iter().filter(|entry| entry.id != self.own_id);
        let mut seeds: Vec<Seed> = others
            .map(|entry| Seed {
                control_address: entry.control_address,
            })
            .collect();
        seeds.shuffle(&mut rand::rng());
        seeds.truncate(MAX_SEEDS);
        self.node.set_seeds(seeds);
    }

    fn handle_reader_event(&mut self, event: ReaderEvent) -> Vec<Effect> {
        let (configuration, requested_at) = match event {
            ReaderEvent::Configuration(configuration, requested_at) => {
                (*configuration, requested_at)
            }
            ReaderEvent::Unchanged(requested_at) => {
                self.confirmation
                    .confirm_by_platform(self.read_version, requested_at);
                self.node.set_store_contact(true);
                return Vec::new();
            }
            ReaderEvent::Unreachable => {
                self.node.set_store_contact(false);
                return Vec::new();
            }
        };
        if let Err(error) = configuration.validate() {
            let version = configuration.version;
            log_event!(
                Event::ConfigurationRejected,
                "version={version} error=\"{error}\""
            );
            // The last valid version stays in force and is therefore the one to confirm.
            self.read_version = self.node.revision();
            return Vec::new();
        }
        let revision = configuration.version;
        self.read_version = revision;
        if let Some(requested_at) = requested_at {
            self.confirmation
                .confirm_by_platform(revision, requested_at);
        }
        let payload = match encode(&configuration) {
            Ok(payload) => payload,
            Err(error) => {
                log_event!(Event::ConfigurationNotEncoded, "error=\"{error}\"");
                return Vec::new();
            }
        };
        let is_snapshot = std::mem::take(&mut self.needs_snapshot);
        let report = if is_snapshot || self.node.revision() == 0 {
            StoreReport::Snapshot(Snapshot { revision, payload })
        } else {
            StoreReport::Delta(Delta {
                previous: ANY_REVISION.min(revision),
                revision,
                payload,
            })
        };
        let now = self.clock.now();
        self.node.on_store(now, &report, &mut rand::rng())
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, channel, bytes } => match channel {
                    Channel::Datagram => self.datagrams.send(to, &bytes),
                    Channel::Stream => send_stream(self.own_address, to, bytes),
                },
                Effect::MembersChanged => {
                    let members = self.node.table().clone();
                    self.channels.members.send_replace(members);
                }
                Effect::DeclaredDead(id) => log_event!(Event::MemberDead, "id={id}"),
                Effect::AdoptSnapshot(snapshot) => {
                    self.adopt(snapshot.revision, &snapshot.payload);
                }
                Effect::AdoptDelta(delta) => self.adopt(delta.revision, &delta.payload),
                Effect::Ready(revision) => log_event!(Event::Ready, "version={revision}"),
                Effect::SetReader(read) => {
                    self.chosen_to_read = read;
                    self.review_at = self.clock.now();
                }
                Effect::ReadSnapshot => {
                    self.needs_snapshot = true;
                    self.reader = None;
                }
                Effect::StoreOlder { store, held } => {
                    log_event!(
                        Event::ConfigurationOlderIgnored,
                        "found={store} in_force={held}"
                    );
                }
                // Each adoption already passes a snapshot to the node.
                Effect::Compact(_) => {}
                Effect::Dropped { source, reason } => {
                    log_event!(
                        Event::ControlMessageDropped,
                        "source={source} reason=\"{reason}\""
                    );
                }
            }
        }
    }

    /// Checks whether messages of other sidecars still arrive.
    fn check_isolation(&mut self, now: Timestamp) {
        if now < self.review_at {
            return;
        }
        self.review_at = now + REVIEW_INTERVAL;
        let silence = now.saturating_since(self.last_received_at);
        self.update_reader(now, silence >= ISOLATED_AFTER);
        let (others, neighbours) = self.count_others();
        let limit = match neighbours {
            0 => ISOLATED_WITHOUT_NEIGHBOURS_AFTER,
            _ => ISOLATED_AFTER,
        };
        self.set_isolated(others > 0 && silence >= limit, others);
    }

    /// Returns the numbers of other known sidecars in any state: all, and those in the local zone.
    fn count_others(&self) -> (usize, usize) {
        let zone = &self.node.me().profile.zone;
        let others = self.node.table().members();
        let others = others.filter(|member| member.profile.id != self.node.me().profile.id);
        others.fold((0, 0), |(all, near), member| {
            let is_near = member.profile.zone == *zone;
            (all + 1, near + usize::from(is_near))
        })
    }

    fn set_isolated(&self, isolated: bool, members: usize) {
        let changed = self.channels.isolated.send_if_modified(|current| {
            let changes = *current != isolated;
            *current = isolated;
            changes
        });
        if changed {
            log_event!(Event::Isolated, "isolated={isolated} members={members}");
        }
    }

    /// Starts or stops reading the platform: while this sidecar is chosen to read, and while no
    /// other sidecar that could forward a configuration is in contact.
    fn update_reader(&mut self, now: Timestamp, is_isolated: bool) {
        let wanted = self.reading_mode(now, is_isolated);
        if wanted == self.reader.as_ref().map(Reader::mode) {
            return;
        }
        let mode = wanted.map_or("none".to_owned(), |mode| mode.to_string());
        log_event!(Event::StoreReader, "reading={mode} isolated={is_isolated}");
        self.reader = wanted.map(|mode| {
            let confirmation = Arc::clone(&self.confirmation);
            Reader::start(Arc::clone(&self.platform), mode, confirmation)
        });
    }

    /// Returns the mode in which the platform is to be read. A starting sidecar may be one of
    /// hundreds that start together, each of which considers itself a reader of its zone until it
    /// has discovered the others.
    fn reading_mode(&self, now: Timestamp, is_isolated: bool) -> Option<ReadingMode> {
        if !self.chosen_to_read && !is_isolated {
            return None;
        }
        if self.is_first_start && self.is_undiscovered_at_start(now) {
            return None;
        }
        let discovery_time = match self.is_first_start {
            true => FIRST_START_READ_ONCE_TIME,
            false => DISCOVERY_TIME,
        };
        let is_discovering = now.saturating_since(self.started_at) < discovery_time;
        Some(if is_discovering {
            ReadingMode::Once
        } else {
            ReadingMode::Follow
        })
    }

    /// True if this sidecar has not discovered any other one and may still do so. At the first
    /// start of hundreds of sidecars, each would otherwise read what a few read for all.
    fn is_undiscovered_at_start(&self, now: Timestamp) -> bool {
        let is_starting = now.saturating_since(self.started_at) < FIRST_START_DISCOVERY_TIME;
        is_starting && self.count_others().0 == 0
    }

    fn adopt(&mut self, revision: u64, payload: &wharfquay_membership::message::Payload) {
        let mut configuration = match decode(payload) {
            Ok(configuration) => configuration,
            Err(error) => {
                log_event!(
                    Event::ConfigurationUndecodable,
                    "version={revision} error=\"{error}\""
                );
                return;
            }
        };
        configuration.version = revision;
        // Every payload is a whole configuration, so a starting sidecar needs this one only.
        self.node.provide_snapshot(revision, payload.clone());
        let routes = configuration.routes.len();
        let previous = self.channels.configuration.borrow().configuration.version;
        log_event!(
            Event::ConfigurationInForce,
            "version={revision} routes={routes} previous={previous}"
        );
        let index = Arc::new(RouteIndex::new(configuration));
        self.channels.configuration.send_if_modified(|current| {
            let is_newer = current.configuration.version < revision;
            if is_newer {
                *current = index;
            }
            is_newer
        });
    }
}

/// Returns the next event of the configuration reader. Never completes while this sidecar does not
/// read the configuration from the platform (`reader` is `None`).
async fn next_reader_event(reader: &mut Option<Reader>) -> Option<ReaderEvent> {
    match reader {
        Some(reader) => reader.next().await,
        None => std::future::pending().await,
    }
}
