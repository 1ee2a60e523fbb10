//! Who knows of acknowledged leavings beside the store and the sidecar that acknowledged them.
//!
//! A sidecar that starts again gives its back end no work before it knows that no earlier process acknowledged its
//! leaving. After an end of all of a large deployment, each asking the store for itself would make as many calls as there
//! are sidecars. So a few, the first by rendezvous, read all marks at once for all who ask; in a small one they do it
//! for those that the store refuses. Whoever acknowledges a leaving tells them, so that they know it also where a
//! restored store does not.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::directory::ENTRIES;
use wharfquay_membership::member::{MemberId, MemberState, rendezvous_score_for};
use wharfquay_membership::table::MemberTable;

use super::InstanceId;
use crate::exchange::{Exchange, ExchangeRequest, Notice, Peer, Reply};
use crate::platform::{DirectoryEntry, Platform};
use crate::store_era::StoreEra;

/// Sidecars that read the marks for all.
const READERS: usize = 8;
/// Questions to one reader before the next is asked: it may have to read first, and another would read as well.
pub(super) const QUESTIONS_TO_ONE: usize = 4;
/// Key of the rendezvous by which readers are chosen.
const KEY: &str = "departures";
/// Longest wait for a reader's answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for a listing of the marks.
const LIST_LIMIT: Duration = Duration::from_millis(800);
/// Wait between the first question that needs a listing and the listing: it then serves all that started until then.
const GATHERING_TIME: Duration = Duration::from_millis(40);
/// Pause after a listing: questions come anew every 50 ms, and each listing has its price.
const LISTING_PAUSE: Duration = Duration::from_millis(60);
/// Time after its start for which a sidecar chooses readers among the entries of the directory: all that start together
/// read the same ones there, while each has met others.
const DISCOVERY_TIME: Duration = Duration::from_secs(10);
/// The same for one that the directory refuses: nearly all know nearly all others then.
const UNLISTED_MEETING_TIME: Duration = Duration::from_millis(1_500);
/// Leavings that are remembered from what others told; beyond it the oldest are forgotten. Back ends end some seconds
/// after their leaving was acknowledged.
const REMEMBERED: usize = 1_024;

/// What this sidecar knows as a reader.
#[derive(Debug)]
pub(crate) struct DepartureIndex {
    clock: Clock,
    state: Mutex<State>,
    wanted: Notify,
}

#[derive(Debug, Default)]
struct State {
    listed: Option<Listing>,
    told: HashMap<String, (InstanceId, Timestamp)>,
}

/// All marks as the store held them.
#[derive(Debug)]
struct Listing {
    /// When the store was asked.
    requested_at: Timestamp,
    departed: HashMap<String, InstanceId>,
}

impl DepartureIndex {
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::default(),
            wanted: Notify::new(),
        })
    }

    /// The answer to a sidecar that has lived so long and asks whether an earlier process acknowledged the leaving of
    /// an instance. Only a listing that was asked for after that process ended can say that none did.
    /// `read_records`: whether to read one for that.
    pub(crate) fn reply(
        &self,
        instance: &InstanceId,
        lived: Duration,
        read_records: bool,
    ) -> Reply {
        let state = lock(&self.state);
        let told = state.told.get(instance.name());
        if told.is_some_and(|(told, _)| !told.is_before(instance)) {
            return Reply::Departed(true);
        }
        let started_at = self.clock.now() - lived;
        match &state.listed {
            Some(listing) if listing.requested_at >= started_at => {
                let mark = listing.departed.get(instance.name());
                Reply::Departed(mark.is_some_and(|mark| !mark.is_before(instance)))
            }
            _ => {
                if read_records {
                    self.wanted.notify_one();
                }
                Reply::Unknown
            }
        }
    }

    /// Another sidecar acknowledged the leaving of an instance.
    pub(crate) fn told(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.told.len() >= REMEMBERED {
            let oldest = state.told.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                state.told.remove(&oldest);
            }
        }
        let known = (instance.clone(), now);
        state.told.insert(instance.name().to_owned(), known);
    }

    /// Reads the marks whenever an answer needs them; runs for ever.
    pub(crate) async fn read_when_wanted<P: Platform>(self: Arc<Self>, platform: Arc<P>) {
        loop {
            self.wanted.notified().await;
            tokio::time::sleep(GATHERING_TIME).await;
            let requested_at = self.clock.now();
            let listing = tokio::time::timeout(LIST_LIMIT, platform.departures());
            // After a failure whoever asks asks again.
            if let Ok(Ok(departed)) = listing.await {
                let departed = departed.into_iter();
                let departed = departed.map(|instance| (instance.name().to_owned(), instance));
                lock(&self.state).listed = Some(Listing {
                    requested_at,
                    departed: departed.collect(),
                });
            }
            tokio::time::sleep(LISTING_PAUSE).await;
        }
    }

    /// Writes what others told again whenever the store was restored, where this sidecar is the first of the readers:
    /// those who acknowledged it may be gone. Runs for ever.
    pub(crate) async fn keep<P: Platform>(
        self: Arc<Self>,
        platform: Arc<P>,
        readers: Arc<DepartureReaders>,
        mut eras: watch::Receiver<StoreEra>,
    ) {
        while eras.changed().await.is_ok() {
            lock(&self.state).listed = None;
            if !readers.is_own_first() {
                continue;
            }
            let told = lock(&self.state).told.values().cloned().collect::<Vec<_>>();
            for (instance, _) in told {
                let writing = platform.record_departure(&instance);
                // Who acknowledged it writes it again as well, and goes on until it is written.
                let _ = tokio::time::timeout(LIST_LIMIT, writing).await;
            }
        }
    }
}

/// The way to the readers.
#[derive(Debug)]
pub(crate) struct DepartureReaders {
    pub(crate) clock: Clock,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) members: watch::Receiver<MemberTable>,
    /// What this process has read in the platform's directory; none before it was read.
    pub(crate) listed: watch::Receiver<Option<Vec<DirectoryEntry>>>,
}

impl DepartureReaders {
    /// Asks a reader whether the leaving of an instance was acknowledged; none where it does not know yet.
    /// `questions` were asked before; `read_records`: whether the reader is to read the marks for this sidecar.
    pub(crate) async fn ask(
        &self,
        instance: &InstanceId,
        questions: usize,
        read_records: bool,
    ) -> Option<bool> {
        let lived = self.clock.now().saturating_since(Timestamp::ZERO);
        let uptime_ms = u64::try_from(lived.as_millis()).unwrap_or(u64::MAX);
        let request = ExchangeRequest::Departed {
            name: instance.name().to_owned(),
            started_at_ms: instance.born().map(|born| born.as_millis()),
            uptime_ms,
            read_records,
        };
        let readers = self.readers();
        if !self.has_others(&readers) {
            // Asked alone, this sidecar would read all marks for itself.
            return None;
        }
        let turn = self.first_turn() + questions / QUESTIONS_TO_ONE;
        let reader = readers.get(turn % readers.len())?;
        match self.exchange.request(reader, request, REPLY_TIMEOUT).await {
            Some(Reply::Departed(is_departed)) => Some(is_departed),
            _ => None,
        }
    }

    /// Where this sidecar begins in the row of readers, so that each is asked by as many.
    fn first_turn(&self) -> usize {
        let own_id = MemberId::from(self.exchange.own_id());
        rendezvous_score_for(&own_id, KEY) as usize % READERS
    }

    /// Whether so many sidecars stand in the directory that each reading marks for itself would be too many.
    pub(crate) fn read_for_all(&self) -> bool {
        let listed = self.listed.borrow();
        listed
            .as_ref()
            .is_some_and(|listed| listed.len() >= ENTRIES)
    }

    fn has_others(&self, readers: &[Peer]) -> bool {
        readers
            .iter()
            .any(|reader| reader.id != self.exchange.own_id())
    }

    /// Tells the readers that a leaving was acknowledged.
    pub(crate) fn tell(&self, instance: &InstanceId) {
        for reader in self.all_readers() {
            let notice = Notice::Departed {
                name: instance.name().to_owned(),
                started_at_ms: instance.born().map(|born| born.as_millis()),
            };
            self.exchange.notify(&reader, notice);
        }
    }

    /// The readers that any other sidecar may choose, as far as this one knows: those of the directory's entries and those
    /// of the members, itself among them.
    fn all_readers(&self) -> Vec<Peer> {
        let mut readers = self.listed_readers();
        readers.extend(self.member_readers());
        readers.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        readers.dedup_by(|one, other| one.id == other.id);
        readers
    }

    fn is_own_first(&self) -> bool {
        let readers = self.readers();
        let first = readers.first();
        first.is_some_and(|reader| reader.id == self.exchange.own_id())
    }

    /// The first sidecars by rendezvous.
    fn readers(&self) -> Vec<Peer> {
        let lived = self.clock.now().saturating_since(Timestamp::ZERO);
        let meeting_time = match *self.listed.borrow() {
            Some(_) => DISCOVERY_TIME,
            None => UNLISTED_MEETING_TIME,
        };
        match lived < meeting_time {
            true => self.listed_readers(),
            false => self.member_readers(),
        }
    }

    fn listed_readers(&self) -> Vec<Peer> {
        let listed = self.listed.borrow();
        first_by_rendezvous(listed.iter().flatten().map(|entry| Peer {
            id: entry.id.clone(),
            address: entry.control_address,
        }))
    }

    fn member_readers(&self) -> Vec<Peer> {
        let table = self.members.borrow();
        let serving = table
            .members()
            .filter(|member| member.state() == MemberState::Alive);
        first_by_rendezvous(serving.map(|member| Peer {
            id: member.profile.id.as_str().to_owned(),
            address: member.profile.control_address,
        }))
    }
}

fn first_by_rendezvous(peers: impl Iterator<Item = Peer>) -> Vec<Peer> {
    let mut scored: Vec<_> = peers
        .map(|peer| {
            let id = MemberId::from(peer.id.as_str());
            (rendezvous_score_for(&id, KEY), peer)
        })
        .collect();
    scored.sort_unstable_by_key(|(score, _)| Reverse(*score));
    let first = scored.into_iter().take(READERS);
    first.map(|(_, peer)| peer).collect()
}
