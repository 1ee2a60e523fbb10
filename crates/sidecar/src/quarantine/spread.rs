//! What is sent for the quarantine: ends to the owners of requests, decisions to all sidecars.
//!
//! A decision goes from each sidecar that learns it to a few others by chance, three times; what that misses, and who
//! was away, asks for it once a second. No message is sent for a request under which no back end ended.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use wharfquay_core::quarantine::{QuarantineReport, RequestEnd, RequestFingerprint};
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use super::{Keeper, Quarantine, REPORTS_PER_MESSAGE};
use crate::events::Event;
use crate::exchange::{Exchange, Notice, Peer, Question, Reply};
use crate::log_event;
use crate::platform::Platform;
use crate::quota::OwnerRing;

/// Messages that wait to be sent; more are dropped, with a log line.
const OUTBOX_CAPACITY: usize = 1_024;
/// Sidecars that a report goes to in each round.
const FANOUT: usize = 4;
/// Pauses before the rounds of a report.
const ROUNDS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(200),
];
/// Pause between two questions for quarantined requests that were missed.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The same for a sidecar that has just started and does not know yet what was quarantined before.
const FIRST_ASK_INTERVAL: Duration = Duration::from_millis(200);
/// Questions before the platform's records are read.
const FIRST_ASKS: u32 = 5;
/// Questions after which a sidecar that nobody could answer reads the platform's records in any case.
const LAST_SHARED_READ: u32 = 25;
/// Sidecars of the whole deployment that read the platform's records between two questions, in the mean.
const READERS: f64 = 4.0;
/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
/// Times that an owner is told of an end, until it answers.
const TELLINGS: usize = 3;
/// Parts into which requests fall; each has owners of its own, so that no more than so many are looked up.
const SHARDS: u64 = 64;

/// What is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outgoing {
    /// Ends of one instance, for the owners of the requests.
    Ends(Vec<RequestEnd>),
    /// A request was answered after an end, for its owners.
    Answered(RequestFingerprint),
    /// A decision, for all sidecars.
    Report(QuarantineReport),
    /// A request is quarantined from now on, for the platform's records.
    Keep(RequestFingerprint),
    /// A quarantined request was answered, for the platform's records.
    Remove(RequestFingerprint),
}

/// Takes what is to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Outbox(mpsc::Sender<Outgoing>);

/// An outbox and its other end.
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

/// Sends what the quarantine has to tell.
#[derive(Debug)]
pub(crate) struct Spreader<P> {
    pub(crate) clock: Clock,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) keeper: Arc<Keeper<P>>,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) ring: Arc<OwnerRing>,
    pub(crate) members: watch::Receiver<MemberTable>,
}

impl<P: Platform> Spreader<P> {
    /// Runs for ever.
    pub(crate) async fn run(self: Arc<Self>, mut outgoing: mpsc::Receiver<Outgoing>) {
        tokio::spawn(Arc::clone(&self).keep_asking());
        let mut waiting = Vec::new();
        while outgoing.recv_many(&mut waiting, REPORTS_PER_MESSAGE).await > 0 {
            let mut reports = Vec::new();
            for one in waiting.drain(..) {
                match one {
                    Outgoing::Report(report) => reports.push(report),
                    Outgoing::Ends(ends) => self.tell_owners_of_ends(&ends),
                    Outgoing::Keep(fingerprint) => {
                        let keeping = Arc::clone(&self.keeper).keep(fingerprint, Duration::ZERO);
                        tokio::spawn(keeping);
                    }
                    Outgoing::Remove(fingerprint) => {
                        tokio::spawn(Arc::clone(&self.keeper).remove(fingerprint));
                    }
                    Outgoing::Answered(fingerprint) => {
                        self.tell_owners(fingerprint, &Question::Answered(fingerprint));
                    }
                }
            }
            if !reports.is_empty() {
                tokio::spawn(Arc::clone(&self).spread(reports));
            }
        }
    }

    /// Writes the platform's records again whenever its store was restored: the first owner of a request does. Runs for
    /// ever.
    pub(crate) async fn keep_records(self: Arc<Self>) {
        let mut eras = self.keeper.platform.eras().subscribe();
        while eras.changed().await.is_ok() {
            eras.mark_unchanged();
            let own = self.quarantine.quarantined();
            let own = own
                .into_iter()
                .filter(|report| self.is_first_owner(report.fingerprint));
            let own: Vec<QuarantineReport> = own.collect();
            for report in &own {
                let age = Duration::from_millis(report.age_ms);
                Arc::clone(&self.keeper).keep(report.fingerprint, age).await;
            }
            if !own.is_empty() {
                let count = own.len();
                log_event!(Event::RecordsWrittenAgain, "kind=quarantine count={count}");
            }
        }
    }

    fn is_first_owner(&self, fingerprint: RequestFingerprint) -> bool {
        let owners = self.ring.owners(self.clock.now(), &shard_name(fingerprint));
        owners
            .first()
            .is_some_and(|owner| owner.id == self.exchange.own_id())
    }

    /// Tells reports to sidecars by chance, in a few rounds.
    async fn spread(self: Arc<Self>, reports: Vec<QuarantineReport>) {
        let learnt = Instant::now();
        for pause in ROUNDS {
            tokio::time::sleep_until(learnt + pause).await;
            let travelled = u64::try_from(learnt.elapsed().as_millis()).unwrap_or(u64::MAX);
            let aged = reports.iter().map(|report| QuarantineReport {
                age_ms: report.age_ms.saturating_add(travelled),
                ..*report
            });
            let notice = Notice::Quarantine(aged.collect());
            for peer in self.peers(FANOUT) {
                self.exchange.tell(&peer, notice.clone());
            }
        }
    }

    /// Tells the owners of each request that an instance ended under it.
    fn tell_owners_of_ends(&self, ends: &[RequestEnd]) {
        let mut shards: HashMap<u64, Vec<RequestEnd>> = HashMap::new();
        for end in ends {
            shards
                .entry(shard_of(end.fingerprint))
                .or_default()
                .push(*end);
        }
        for ends in shards.into_values() {
            for part in ends.chunks(REPORTS_PER_MESSAGE) {
                let question = Question::ends(part);
                self.tell_owners(part[0].fingerprint, &question);
            }
        }
    }

    /// Tells something to the owners of a request until each has answered, a few times at the most.
    fn tell_owners(&self, fingerprint: RequestFingerprint, question: &Question) {
        let shard = shard_name(fingerprint);
        for owner in self.ring.owners(self.clock.now(), &shard).iter() {
            let exchange = Arc::clone(&self.exchange);
            let (owner, question) = (owner.clone(), question.clone());
            tokio::spawn(async move {
                for _ in 0..TELLINGS {
                    let told = exchange.ask(&owner, question.clone(), ANSWER_LIMIT).await;
                    if told.is_some() {
                        return;
                    }
                }
            });
        }
    }

    /// Asks other sidecars for quarantined requests that are not known here; never ends.
    async fn keep_asking(self: Arc<Self>) {
        let mut asks: u32 = 0;
        let mut is_reading = false;
        loop {
            let is_starting = asks < LAST_SHARED_READ && !self.quarantine.is_settled();
            let pause = match is_starting {
                true => FIRST_ASK_INTERVAL,
                false => ASK_INTERVAL,
            };
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.75..=1.25))).await;
            asks += 1;
            if asks >= FIRST_ASKS && !is_reading && !self.quarantine.is_settled() {
                is_reading = self.is_to_read(asks);
                if is_reading {
                    tokio::spawn(Arc::clone(&self.keeper).read());
                }
            }
            let Some(peer) = self.peers(1).pop() else {
                continue;
            };
            let digest = self.quarantine.digest();
            let question = Question::Quarantined { digest };
            let reply = self.exchange.ask(&peer, question, ANSWER_LIMIT).await;
            if let Some(Reply::Quarantined {
                reports,
                is_settled,
            }) = reply
            {
                self.quarantine.learn(&reports);
                if is_settled {
                    self.quarantine.set_settled();
                }
            }
        }
    }

    /// Whether this sidecar reads the platform's records, which nobody that it asked knows. After an end of all, a few
    /// read for all, whatever their number.
    fn is_to_read(&self, asks: u32) -> bool {
        let members = self.members.borrow().live_count().max(1);
        let chance = (READERS / members as f64).min(1.0);
        asks >= LAST_SHARED_READ || rand::random_bool(chance)
    }

    /// Other sidecars that serve, by chance.
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

/// The key under which the owners of a request are found.
fn shard_name(fingerprint: RequestFingerprint) -> String {
    format!("requests-{}", shard_of(fingerprint))
}

const fn shard_of(fingerprint: RequestFingerprint) -> u64 {
    fingerprint.bits() % SHARDS
}
