//! One hollow daemon: the control plane's state machines over a socket and a timer.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::gossip::Seed;
use wharfquay_membership::member::{MemberId, MemberProfile, MemberState, ZoneName};
use wharfquay_membership::node::{Channel, Effect, Identity, Node};
use wharfquay_membership::settings::Settings;
use wharfquay_platform::SourceEvent;

use super::configuration::HeldConfiguration;
use super::reader::{self, Reading, StoreReader};
use super::report::{DaemonReport, wall_clock_ms};
use super::streams::{self, ReceivedStream};
use super::{HollowSettings, WatchedMember};

/// Largest datagram that is read.
const DATAGRAM_BUFFER: usize = 2_048;
/// Pause after an error of the socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Slots and connections that a hollow daemon names for the back end that it does not have.
const NAMED_SLOTS: u32 = 8;
const NAMED_CONNECTIONS: u32 = 120;

/// What the process asks of a daemon.
#[derive(Debug)]
pub(super) enum Request {
    /// Report.
    Report(oneshot::Sender<DaemonReport>),
    /// Leave the deployment.
    Leave,
}

/// What a daemon starts with.
pub(super) struct Start {
    pub(super) id: String,
    pub(super) zone: String,
    pub(super) address: SocketAddr,
    pub(super) socket: UdpSocket,
    pub(super) inbox: mpsc::Receiver<ReceivedStream>,
    pub(super) requests: mpsc::Receiver<Request>,
    pub(super) seed: u64,
}

pub(super) struct HollowDaemon {
    node: Node,
    random: Pcg64Mcg,
    origin: Instant,
    address: SocketAddr,
    socket: UdpSocket,
    buffer: Vec<u8>,
    inbox: mpsc::Receiver<ReceivedStream>,
    requests: mpsc::Receiver<Request>,
    platform: Vec<SocketAddr>,
    reader: Option<StoreReader>,
    held: HeldConfiguration,
    watched: Option<WatchedMember>,
    report: DaemonReport,
}

enum Next {
    Datagram(usize, SocketAddr),
    SocketError,
    Stream(ReceivedStream),
    Store(Option<SourceEvent>),
    Request(Request),
    Timer,
}

impl HollowDaemon {
    pub(super) fn new(start: Start, settings: &HollowSettings) -> Self {
        let origin = Instant::now();
        let mut random = Pcg64Mcg::seed_from_u64(start.seed);
        let profile = MemberProfile {
            id: MemberId::from(start.id.as_str()),
            zone: ZoneName::from(start.zone.as_str()),
            service: Some(format!("service-{}", start.seed % 780)),
            call_address: start.address,
            control_address: start.address,
            slots: NAMED_SLOTS,
            connections: NAMED_CONNECTIONS,
        };
        let identity = Identity {
            profile,
            started_at_ms: wall_clock_ms(),
        };
        let seeds = settings.seeds.iter().filter(|seed| **seed != start.address);
        let seeds = seeds.map(|&control_address| Seed { control_address });
        let node = Node::new(
            Settings::default(),
            identity,
            seeds.collect(),
            Timestamp::ZERO,
            &mut random,
        );
        Self {
            node,
            random,
            origin,
            address: start.address,
            socket: start.socket,
            buffer: vec![0; DATAGRAM_BUFFER],
            inbox: start.inbox,
            requests: start.requests,
            platform: settings.platform.clone(),
            reader: None,
            held: HeldConfiguration::default(),
            watched: settings.watched.clone(),
            report: empty_report(start.id, start.zone),
        }
    }

    /// Runs for ever.
    pub(super) async fn run(mut self) {
        loop {
            let next = self.next().await;
            if matches!(next, Next::SocketError) {
                tokio::time::sleep(SOCKET_ERROR_PAUSE).await;
                continue;
            }
            let effects = self.take(next);
            self.carry_out(effects).await;
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    async fn next(&mut self) -> Next {
        let wakeup = Duration::from_micros(self.node.next_wakeup().as_micros());
        let wakeup = self.origin + wakeup;
        tokio::select! {
            received = self.socket.recv_from(&mut self.buffer) => match received {
                Ok((length, source)) => Next::Datagram(length, source),
                Err(_) => Next::SocketError,
            },
            Some(stream) = self.inbox.recv() => Next::Stream(stream),
            event = next_of(&mut self.reader) => Next::Store(event),
            Some(request) = self.requests.recv() => Next::Request(request),
            () = tokio::time::sleep_until(wakeup) => Next::Timer,
        }
    }

    fn take(&mut self, next: Next) -> Vec<Effect> {
        let now = self.now();
        match next {
            Next::Datagram(length, source) => {
                self.report.datagrams_received += 1;
                let bytes = &self.buffer[..length];
                self.node.receive(now, source, bytes, &mut self.random)
            }
            Next::Stream(stream) => {
                let (source, bytes) = (stream.source, &stream.bytes);
                self.node.receive(now, source, bytes, &mut self.random)
            }
            Next::Store(Some(event)) => self.take_store(now, event),
            Next::Store(None) => {
                self.reader = None;
                Vec::new()
            }
            Next::Request(Request::Report(answer)) => {
                // The process may have stopped waiting.
                let _ = answer.send(self.current_report());
                Vec::new()
            }
            Next::Request(Request::Leave) => self.node.leave(now, &mut self.random),
            Next::Timer => self.node.advance(now, &mut self.random),
            Next::SocketError => Vec::new(),
        }
    }

    fn take_store(&mut self, now: Timestamp, event: SourceEvent) -> Vec<Effect> {
        match reader::reading(event) {
            Reading::Report(report) => self.node.on_store(now, &report, &mut self.random),
            Reading::NoContact => {
                self.node.store_contact(false);
                Vec::new()
            }
            Reading::Nothing => Vec::new(),
        }
    }

    async fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, channel, bytes } => self.send(to, channel, bytes).await,
                other => self.carry_out_locally(other),
            }
        }
        self.note_adoption();
    }

    async fn send(&mut self, to: SocketAddr, channel: Channel, bytes: Vec<u8>) {
        match channel {
            Channel::Datagram => {
                self.report.datagrams_sent += 1;
                if let Err(error) = self.socket.send_to(&bytes, to).await {
                    log::debug!("event=hollow_send_failed to={to} error=\"{error}\"");
                }
            }
            Channel::Stream => {
                self.report.streams_sent += 1;
                streams::send(self.address, to, bytes);
            }
        }
    }

    fn carry_out_locally(&mut self, effect: Effect) {
        match effect {
            Effect::MembersChanged => self.note_members(),
            Effect::AdoptSnapshot(snapshot) => {
                let decoded = self.held.replace(&snapshot);
                self.note_decoded(decoded);
            }
            Effect::AdoptDelta(delta) => {
                let decoded = self.held.apply(&delta);
                self.note_decoded(decoded);
            }
            Effect::Read(true) if !self.platform.is_empty() => {
                self.reader = Some(StoreReader::start(&self.platform));
            }
            Effect::Read(_) => self.reader = None,
            Effect::ReadSnapshot => {
                if let Some(reader) = &self.reader {
                    reader.request_snapshot();
                }
            }
            Effect::Compact(revision) => {
                if let Some(payload) = self.held.encoded() {
                    self.node.compacted(revision, payload);
                }
            }
            Effect::DeclaredDead(_)
            | Effect::Ready(_)
            | Effect::StoreOlder { .. }
            | Effect::Dropped { .. }
            | Effect::Send { .. } => {}
        }
    }

    fn note_decoded(&mut self, decoded: bool) {
        if !decoded {
            self.report.undecodable += 1;
        }
    }

    /// A configuration is in force from the moment on when the daemon is ready.
    fn note_adoption(&mut self) {
        let held = self.held.revision();
        if self.node.is_ready() && held > self.report.revision {
            self.report.revision = held;
            self.report.adopted_at_ms = wall_clock_ms();
        }
    }

    fn note_members(&mut self) {
        let live = self.node.table().live_count();
        if live != self.report.members {
            self.report.members = live;
            self.report.members_changed_at_ms = wall_clock_ms();
        }
        if self.report.watched_leaving_at_ms.is_none() && self.watched_leaves() {
            self.report.watched_leaving_at_ms = Some(wall_clock_ms());
        }
    }

    fn watched_leaves(&self) -> bool {
        let Some(watched) = &self.watched else {
            return false;
        };
        let zone = ZoneName::from(watched.zone.as_str());
        let id = MemberId::from(watched.id.as_str());
        let member = self.node.table().get(&zone, &id);
        member.is_some_and(|member| member.state() == MemberState::Leaving)
    }

    fn current_report(&self) -> DaemonReport {
        let counters = self.node.counters();
        DaemonReport {
            bytes_sent: counters.bytes_sent,
            bytes_received: counters.bytes_received,
            ready: self.node.is_ready(),
            reader: self.node.is_reader(),
            declared_dead: counters.declared_dead,
            dropped: counters.malformed + counters.foreign,
            state_bytes: self.node.memory(),
            ..self.report.clone()
        }
    }
}

fn empty_report(id: String, zone: String) -> DaemonReport {
    DaemonReport {
        id,
        zone,
        datagrams_sent: 0,
        datagrams_received: 0,
        streams_sent: 0,
        bytes_sent: 0,
        bytes_received: 0,
        members: 0,
        members_changed_at_ms: 0,
        ready: false,
        reader: false,
        revision: 0,
        adopted_at_ms: 0,
        declared_dead: 0,
        dropped: 0,
        undecodable: 0,
        watched_leaving_at_ms: None,
        state_bytes: 0,
    }
}

/// The next event of the store; never without a reader.
async fn next_of(reader: &mut Option<StoreReader>) -> Option<SourceEvent> {
    match reader {
        Some(reader) => reader.next().await,
        None => std::future::pending().await,
    }
}
