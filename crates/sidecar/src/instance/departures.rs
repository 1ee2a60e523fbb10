//! Knowledge of acknowledged departures outside the store and the sidecar that acknowledged them.
//!
//! A restarted sidecar sends its backend no work until it knows that no earlier process
//! acknowledged its departure. After all sidecars of a large deployment terminated together, one
//! store lookup each would cause as many calls as there are sidecars. A few sidecars, the first by
//! rendezvous score, therefore read all departure records on behalf of those that query them. In a
//! small deployment they do so for sidecars that the store refuses. A sidecar that acknowledges a
//! departure also announces it to these readers, which makes it known even if a restored store
//! lacks its record.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::sync::lock;
use wharfquay_membership::directory::DIRECTORY_ENTRIES;
use wharfquay_membership::member::{MemberId, MemberState, rendezvous_score_for};
use wharfquay_membership::table::MemberTable;

use super::InstanceId;
use crate::exchange::{Exchange, ExchangeRequest, Notice, Peer, Reply};
use crate::platform::{DirectoryEntry, Platform};
use crate::store_era::StoreEra;

/// Number of sidecars that read the departure records for all others.
const READER_COUNT: usize = 8;
/// Number of requests to one reader before the next one is queried. The reader may have to read the
/// records first, and another one would read them as well.
pub(super) const REQUESTS_PER_READER: usize = 4;
/// Rendezvous key by which the readers are chosen.
const RENDEZVOUS_KEY: &str = "departures";
/// Timeout of a request to a reader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a listing of the departure records.
const LISTING_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay from the first request that needs a listing until the departure records are listed. A
/// listing serves the requests of every sidecar that started before it, so the delay lets sidecars
/// that start together share one.
const LISTING_DELAY: Duration = Duration::from_millis(40);
/// Pause after a listing. Requests are repeated every 50 ms, and each listing costs a platform
/// call.
const LISTING_PAUSE: Duration = Duration::from_millis(60);
/// Uptime up to which a sidecar chooses readers among the entries of the directory. Sidecars that
/// start together read the same entries, and thus choose the same readers while gossip still
/// discovers the others.
const DISCOVERY_TIME: Duration = Duration::from_secs(10);
/// Uptime up to which a sidecar that the directory refuses chooses readers among the entries of the
/// directory. By then nearly all sidecars have discovered nearly all others.
const UNLISTED_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of announced departures that are remembered; beyond it the oldest is dropped.
/// Backends terminate some seconds after the acknowledgement of their departure.
const MAX_ANNOUNCED: usize = 1_024;

/// Departures that this sidecar knows as a reader.
#[derive(Debug)]
pub(crate) struct DepartureIndex {
    clock: Clock,
    state: Mutex<State>,
    listing_needed: Notify,
}

#[derive(Debug, Default)]
struct State {
    listed: Option<Listing>,
    announced: HashMap<String, (InstanceId, Timestamp)>,
}

/// All departure records as the store held them.
#[derive(Debug)]
struct Listing {
    /// Time at which the store was queried.
    requested_at: Timestamp,
    departed: HashMap<String, InstanceId>,
}

impl DepartureIndex {
    pub(crate) fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            state: Mutex::default(),
            listing_needed: Notify::new(),
        })
    }

    /// Returns the reply to the query of a sidecar with this uptime whether an earlier process
    /// acknowledged the departure of an instance. Only a listing that was requested after that
    /// process terminated can prove that none did. If there is none yet and `read_records` is true,
    /// one is requested.
    pub(crate) fn reply(
        &self,
        instance: &InstanceId,
        uptime: Duration,
        read_records: bool,
    ) -> Reply {
        let state = lock(&self.state);
        let announced = state.announced.get(instance.name());
        if announced.is_some_and(|(announced, _)| !announced.is_before(instance)) {
            return Reply::Departed(true);
        }
        let started_at = self.clock.now() - uptime;
        match &state.listed {
            Some(listing) if listing.requested_at >= started_at => {
                let record = listing.departed.get(instance.name());
                Reply::Departed(record.is_some_and(|record| !record.is_before(instance)))
            }
            _ => {
                if read_records {
                    self.listing_needed.notify_one();
                }
                Reply::Unknown
            }
        }
    }

    /// Records that another sidecar acknowledged the departure of an instance.
    pub(crate) fn record_announcement(&self, instance: &InstanceId) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.announced.len() >= MAX_ANNOUNCED {
            let oldest = state.announced.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                state.announced.remove(&oldest);
            }
        }
        let known = (instance.clone(), now);
        state.announced.insert(instance.name().to_owned(), known);
    }

    /// Lists the departure records whenever a reply needs them. Runs until the process terminates.
    pub(crate) async fn list_on_demand<P: Platform>(self: Arc<Self>, platform: Arc<P>) {
        loop {
            self.listing_needed.notified().await;
            tokio::time::sleep(LISTING_DELAY).await;
            let requested_at = self.clock.now();
            let listing = tokio::time::timeout(LISTING_TIMEOUT, platform.departures());
            // After a failure the requesters repeat their requests, which triggers the next
            // listing.
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

    /// Writes the announced departures again after each restore of the store, if this sidecar is
    /// the first reader: the sidecars that acknowledged them may no longer exist. Runs until the
    /// process terminates.
    pub(crate) async fn rewrite_announced<P: Platform>(
        self: Arc<Self>,
        platform: Arc<P>,
        readers: Arc<DepartureReaders>,
        mut eras: watch::Receiver<StoreEra>,
    ) {
        while eras.changed().await.is_ok() {
            lock(&self.state).listed = None;
            if !readers.is_first_reader() {
                continue;
            }
            let announced = lock(&self.state)
                .announced
                .values()
                .cloned()
                .collect::<Vec<_>>();
            for (instance, _) in announced {
                let writing = platform.record_departure(&instance);
                // The sidecar that acknowledged the departure also writes it again, until it
                // succeeds.
                let _ = tokio::time::timeout(LISTING_TIMEOUT, writing).await;
            }
        }
    }
}

/// Client of the readers.
#[derive(Debug)]
pub(crate) struct DepartureReaders {
    pub(crate) clock: Clock,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) members: watch::Receiver<MemberTable>,
    /// Entries of the platform's directory as this process last read them; `None` before the first
    /// read.
    pub(crate) listed: watch::Receiver<Option<Vec<DirectoryEntry>>>,
}

impl DepartureReaders {
    /// Queries a reader for whether the departure of an instance was acknowledged; `None` if it
    /// does not know yet. `requests_sent` is the number of earlier requests; `read_records`
    /// requests the reader to list the departure records for this sidecar.
    pub(crate) async fn query(
        &self,
        instance: &InstanceId,
        requests_sent: usize,
        read_records: bool,
    ) -> Option<bool> {
        let uptime = self.clock.now().saturating_since(Timestamp::ZERO);
        let uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
        let request = ExchangeRequest::Departed {
            name: instance.name().to_owned(),
            started_at_ms: instance
                .started_at()
                .map(|started_at| started_at.as_millis()),
            uptime_ms,
            read_records,
        };
        let readers = self.readers();
        if !self.has_other_readers(&readers) {
            // If this sidecar were the only reader, it would list all records for itself.
            return None;
        }
        let index = self.first_reader_index() + requests_sent / REQUESTS_PER_READER;
        let reader = readers.get(index % readers.len())?;
        match self.exchange.request(reader, request, REPLY_TIMEOUT).await {
            Some(Reply::Departed(has_departed)) => Some(has_departed),
            _ => None,
        }
    }

    /// Index of the first reader that this sidecar queries. It differs between sidecars, which
    /// distributes the requests evenly.
    fn first_reader_index(&self) -> usize {
        let own_id = MemberId::from(self.exchange.own_id());
        rendezvous_score_for(&own_id, RENDEZVOUS_KEY) as usize % READER_COUNT
    }

    /// True if the directory lists so many sidecars that separate lookups would cause too many
    /// calls.
    pub(crate) fn is_large_deployment(&self) -> bool {
        let listed = self.listed.borrow();
        listed
            .as_ref()
            .is_some_and(|listed| listed.len() >= DIRECTORY_ENTRIES)
    }

    fn has_other_readers(&self, readers: &[Peer]) -> bool {
        readers
            .iter()
            .any(|reader| reader.id != self.exchange.own_id())
    }

    /// Announces to the sidecars that read the departure records that the departure of `instance`
    /// was acknowledged.
    pub(crate) fn announce(&self, instance: &InstanceId) {
        for reader in self.all_readers() {
            let notice = Notice::Departed {
                name: instance.name().to_owned(),
                started_at_ms: instance
                    .started_at()
                    .map(|started_at| started_at.as_millis()),
            };
            self.exchange.notify(&reader, notice);
        }
    }

    /// Returns the readers that any other sidecar may choose, as far as this one knows: those of
    /// the directory's entries and those of the members, which may include itself.
    fn all_readers(&self) -> Vec<Peer> {
        let mut readers = self.directory_readers();
        readers.extend(self.member_readers());
        readers.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        readers.dedup_by(|one, other| one.id == other.id);
        readers
    }

    fn is_first_reader(&self) -> bool {
        let readers = self.readers();
        let first = readers.first();
        first.is_some_and(|reader| reader.id == self.exchange.own_id())
    }

    /// Returns the readers, in descending order of their rendezvous score.
    fn readers(&self) -> Vec<Peer> {
        let uptime = self.clock.now().saturating_since(Timestamp::ZERO);
        let discovery_time = match *self.listed.borrow() {
            Some(_) => DISCOVERY_TIME,
            None => UNLISTED_DISCOVERY_TIME,
        };
        match uptime < discovery_time {
            true => self.directory_readers(),
            false => self.member_readers(),
        }
    }

    fn directory_readers(&self) -> Vec<Peer> {
        let listed = self.listed.borrow();
        highest_by_rendezvous(listed.iter().flatten().map(|entry| Peer {
            id: entry.id.clone(),
            address: entry.control_address,
        }))
    }

    fn member_readers(&self) -> Vec<Peer> {
        let table = self.members.borrow();
        let serving = table
            .members()
            .filter(|member| member.state() == MemberState::Alive);
        highest_by_rendezvous(serving.map(|member| Peer {
            id: member.profile.id.as_str().to_owned(),
            address: member.profile.control_address,
        }))
    }
}

fn highest_by_rendezvous(peers: impl Iterator<Item = Peer>) -> Vec<Peer> {
    let mut scored: Vec<_> = peers
        .map(|peer| {
            let id = MemberId::from(peer.id.as_str());
            (rendezvous_score_for(&id, RENDEZVOUS_KEY), peer)
        })
        .collect();
    scored.sort_unstable_by_key(|(score, _)| Reverse(*score));
    let first = scored.into_iter().take(READER_COUNT);
    first.map(|(_, peer)| peer).collect()
}
