//! Sends the quarantine's messages: terminations to the owners of requests, decisions to all
//! sidecars.
//!
//! Each sidecar that receives a new decision forwards it to a few random sidecars in three rounds.
//! Sidecars that were missed or unreachable receive it by polling a peer once a second. No message
//! is sent for a request under which no backend terminated.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use wharfquay_core::quarantine::{QuarantineReport, RequestFingerprint, RequestTermination};
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use super::{Quarantine, REPORTS_PER_MESSAGE, RecordStore};
use crate::events::Event;
use crate::exchange::{Exchange, ExchangeRequest, Notice, Peer, Reply};
use crate::log_event;
use crate::platform::Platform;
use crate::quota::OwnerSelector;

/// Maximum number of messages that wait to be sent. Further ones are dropped and logged.
const OUTBOX_CAPACITY: usize = 1_024;
/// Number of sidecars that a report is sent to in each round.
const FANOUT: usize = 4;
/// Delays of the dissemination rounds, relative to the receipt of a report.
const ROUND_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(200),
];
/// Interval between two polls for quarantined requests that were missed.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Poll interval of a sidecar that does not know yet which requests were quarantined before its
/// start.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Number of polls before the platform's records are read.
const POLLS_BEFORE_READ: u32 = 5;
/// Number of polls without a complete reply after which a sidecar reads the platform's records in
/// any case.
const POLLS_BEFORE_FORCED_READ: u32 = 25;
/// Expected number of sidecars of the whole deployment that start to read the platform's records
/// per poll interval.
const EXPECTED_READERS: f64 = 4.0;
/// Timeout of a request to another sidecar.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of requests to an owner until it replies.
const MAX_NOTIFY_ATTEMPTS: usize = 3;
/// Number of shards into which requests are divided. Owners are assigned per shard, which bounds
/// the number of owner lookups.
const SHARDS: u64 = 64;

/// Outgoing message of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outgoing {
    /// Reports the requests that one instance was executing when it terminated to the owners that
    /// count the terminations of each request.
    Terminations(Vec<RequestTermination>),
    /// Reports to the owners of a request that it received a response after backends had terminated
    /// while they executed it.
    ResponseReceived(RequestFingerprint),
    /// A report that changed the quarantine state of a request here, whether decided here or
    /// received from another sidecar. It is sent to random sidecars, which forward it if it is
    /// new to them.
    Report(QuarantineReport),
    /// A newly quarantined request whose record is to be written at the platform.
    WriteRecord(RequestFingerprint),
    /// A quarantined request that received a response and whose record is to be removed from the
    /// platform.
    RemoveRecord(RequestFingerprint),
}

/// Sender of outgoing messages.
#[derive(Clone, Debug)]
pub(crate) struct Outbox(mpsc::Sender<Outgoing>);

/// Creates an outbox and its receiver.
pub(super) fn outbox() -> (Outbox, mpsc::Receiver<Outgoing>) {
    let (sender, receiver) = mpsc::channel(OUTBOX_CAPACITY);
    (Outbox(sender), receiver)
}

impl Outbox {
    pub(super) fn send(&self, outgoing: Outgoing) {
        if let Err(error) = self.0.try_send(outgoing) {
            log_event!(Event::ControlSendFailed, "to=quarantine error=\"{error}\"");
        }
    }
}

/// Sends the outgoing messages of the quarantine and polls other sidecars.
#[derive(Debug)]
pub(crate) struct Disseminator<P> {
    pub(crate) clock: Clock,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) record_store: Arc<RecordStore<P>>,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) owner_selector: Arc<OwnerSelector>,
    pub(crate) members: watch::Receiver<MemberTable>,
}

impl<P: Platform> Disseminator<P> {
    /// Sends messages until the process terminates.
    pub(crate) async fn run(self: Arc<Self>, mut outgoing: mpsc::Receiver<Outgoing>) {
        tokio::spawn(Arc::clone(&self).poll_peers());
        let mut waiting = Vec::new();
        while outgoing.recv_many(&mut waiting, REPORTS_PER_MESSAGE).await > 0 {
            let mut reports = Vec::new();
            for one in waiting.drain(..) {
                match one {
                    Outgoing::Report(report) => reports.push(report),
                    Outgoing::Terminations(terminations) => self.report_terminations(&terminations),
                    Outgoing::WriteRecord(fingerprint) => {
                        let writing =
                            Arc::clone(&self.record_store).write(fingerprint, Duration::ZERO);
                        tokio::spawn(writing);
                    }
                    Outgoing::RemoveRecord(fingerprint) => {
                        tokio::spawn(Arc::clone(&self.record_store).remove(fingerprint));
                    }
                    Outgoing::ResponseReceived(fingerprint) => {
                        self.notify_owners(
                            fingerprint,
                            &ExchangeRequest::ResponseReceived(fingerprint),
                        );
                    }
                }
            }
            if !reports.is_empty() {
                tokio::spawn(Arc::clone(&self).spread(reports));
            }
        }
    }

    /// After each restore of the platform's store, writes the records of the quarantined requests
    /// whose first owner is this sidecar again. Runs until the process terminates.
    pub(crate) async fn rewrite_records(self: Arc<Self>) {
        let mut eras = self.record_store.platform.eras().subscribe();
        while eras.changed().await.is_ok() {
            eras.mark_unchanged();
            let own = self.quarantine.quarantined();
            let own = own
                .into_iter()
                .filter(|report| self.is_first_owner(report.fingerprint));
            let own: Vec<QuarantineReport> = own.collect();
            for report in &own {
                let age = Duration::from_millis(report.age_ms);
                Arc::clone(&self.record_store)
                    .write(report.fingerprint, age)
                    .await;
            }
            if !own.is_empty() {
                let count = own.len();
                log_event!(Event::RecordsWrittenAgain, "kind=quarantine count={count}");
            }
        }
    }

    fn is_first_owner(&self, fingerprint: RequestFingerprint) -> bool {
        let owners = self
            .owner_selector
            .owners(self.clock.now(), &shard_name(fingerprint));
        owners
            .first()
            .is_some_and(|owner| owner.id == self.exchange.own_id())
    }

    /// Sends reports to random sidecars in a few rounds.
    async fn spread(self: Arc<Self>, reports: Vec<QuarantineReport>) {
        let received_at = Instant::now();
        for pause in ROUND_DELAYS {
            tokio::time::sleep_until(received_at + pause).await;
            let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            let aged = reports.iter().map(|report| QuarantineReport {
                age_ms: report.age_ms.saturating_add(elapsed_ms),
                ..*report
            });
            let notice = Notice::Quarantine(aged.collect());
            for peer in self.peers(FANOUT) {
                self.exchange.notify(&peer, notice.clone());
            }
        }
    }

    /// Reports to the owners of each request that an instance terminated while executing it.
    fn report_terminations(&self, terminations: &[RequestTermination]) {
        let mut shards: HashMap<u64, Vec<RequestTermination>> = HashMap::new();
        for termination in terminations {
            shards
                .entry(shard_of(termination.fingerprint))
                .or_default()
                .push(*termination);
        }
        for terminations in shards.into_values() {
            for part in terminations.chunks(REPORTS_PER_MESSAGE) {
                let request = ExchangeRequest::terminations(part);
                self.notify_owners(part[0].fingerprint, &request);
            }
        }
    }

    /// Sends a request to the owners of a fingerprint. Repeats it until each owner has replied, a
    /// few times at most.
    fn notify_owners(&self, fingerprint: RequestFingerprint, request: &ExchangeRequest) {
        let shard = shard_name(fingerprint);
        for owner in self.owner_selector.owners(self.clock.now(), &shard).iter() {
            let exchange = Arc::clone(&self.exchange);
            let (owner, request) = (owner.clone(), request.clone());
            tokio::spawn(async move {
                for _ in 0..MAX_NOTIFY_ATTEMPTS {
                    let reply = exchange
                        .request(&owner, request.clone(), REPLY_TIMEOUT)
                        .await;
                    if reply.is_some() {
                        return;
                    }
                }
            });
        }
    }

    /// Polls other sidecars for quarantined requests that are not known here. Runs until the
    /// process terminates.
    async fn poll_peers(self: Arc<Self>) {
        let mut polls: u32 = 0;
        let mut is_reading = false;
        loop {
            let is_starting = polls < POLLS_BEFORE_FORCED_READ && !self.quarantine.is_initialized();
            let pause = match is_starting {
                true => STARTUP_POLL_INTERVAL,
                false => POLL_INTERVAL,
            };
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.75..=1.25))).await;
            polls += 1;
            if polls >= POLLS_BEFORE_READ && !is_reading && !self.quarantine.is_initialized() {
                is_reading = self.should_read_records(polls);
                if is_reading {
                    tokio::spawn(Arc::clone(&self.record_store).load());
                }
            }
            let Some(peer) = self.peers(1).pop() else {
                continue;
            };
            let digest = self.quarantine.digest();
            let request = ExchangeRequest::Quarantined { digest };
            let reply = self.exchange.request(&peer, request, REPLY_TIMEOUT).await;
            if let Some(Reply::Quarantined {
                reports,
                is_initialized,
            }) = reply
            {
                self.quarantine.apply_reports(&reports);
                if is_initialized {
                    self.quarantine.set_initialized();
                }
            }
        }
    }

    /// True if this sidecar reads the platform's records because no polled sidecar knows them.
    /// After all sidecars terminated together, this lets a few of them read, regardless of the size
    /// of the deployment.
    fn should_read_records(&self, polls: u32) -> bool {
        let members = self.members.borrow().live_count().max(1);
        let chance = (EXPECTED_READERS / members as f64).min(1.0);
        polls >= POLLS_BEFORE_FORCED_READ || rand::random_bool(chance)
    }

    /// Returns up to `wanted` random sidecars that are alive.
    fn peers(&self, wanted: usize) -> Vec<Peer> {
        let table = self.members.borrow();
        let serving = table.members().filter(|member| {
            member.state() == MemberState::Alive
                && member.profile.id.as_str() != self.exchange.own_id()
        });
        let serving: Vec<_> = serving.collect();
        let chosen = serving.sample(&mut rand::rng(), wanted);
        let peers = chosen.map(|member| Peer {
            id: member.profile.id.as_str().to_owned(),
            address: member.profile.control_address,
        });
        peers.collect()
    }
}

/// Returns the key by which the owners of a request are selected.
fn shard_name(fingerprint: RequestFingerprint) -> String {
    format!("requests-{}", shard_of(fingerprint))
}

const fn shard_of(fingerprint: RequestFingerprint) -> u64 {
    fingerprint.bits() % SHARDS
}
