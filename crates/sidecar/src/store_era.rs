//! Eras of the platform's store. A new era begins each time the store is restored from a backup.
//!
//! Data that was acknowledged in an earlier era may be lost, and revisions are reused. A revision
//! is therefore meaningful only together with its era, replies of an earlier era are ignored, and
//! every process that keeps data at the store writes it again when a new era begins. Each reply of
//! the store reports its era; sidecars forward the newest one with every message to each other.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::member::MemberState;
use wharfquay_membership::table::MemberTable;

use crate::events::Event;
use crate::exchange::{Exchange, Notice, Peer};
use crate::log_event;

/// Time for which replies of an earlier era are treated as delayed ones. If all replies since then
/// are of that era, the store's era number has decreased, which is treated as a restore of the
/// store.
const LATE_REPLY_TIME: Duration = Duration::from_secs(2);
/// Minimum time between two new eras that are assumed because a reply lacked its era.
const MISSING_ERA_INTERVAL: Duration = Duration::from_secs(10);
/// Number of sidecars that are notified of a new era in each round.
const FANOUT: usize = 4;
/// Pauses before each round in which other sidecars are notified of a new era.
const ROUND_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(200),
];

/// The period between two restores of the platform's store from a backup, as this process numbers
/// it. Revisions of the store are comparable only within one era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    /// The number that the store reports; `None` before its first reply, or if it reports none.
    pub number: Option<u64>,
    /// Number of new eras that began while this process was running. It distinguishes eras with the
    /// same number.
    pub changes: u64,
}

/// the reply is of an earlier era: the store was restored since and may lack its data
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct EarlierEra;

impl std::error::Error for EarlierEra {}

/// The newest era that this process knows.
#[derive(Debug)]
pub struct StoreEras {
    clock: Clock,
    newest: watch::Sender<StoreEra>,
    uncertain: std::sync::Mutex<UncertainReplies>,
}

#[derive(Debug, Default)]
struct UncertainReplies {
    /// Time since which all replies were of an earlier era.
    earlier_since: Option<Timestamp>,
    /// Time at which a reply last caused a new era because it lacked its era.
    missing_era_at: Option<Timestamp>,
}

impl StoreEras {
    /// Creates a state in which no era is known.
    #[must_use]
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            newest: watch::channel(StoreEra::default()).0,
            uncertain: std::sync::Mutex::default(),
        })
    }

    /// Returns the newest era.
    #[must_use]
    pub fn newest(&self) -> StoreEra {
        *self.newest.borrow()
    }

    /// Returns a receiver that is notified of each new era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.newest.subscribe()
    }

    /// Records the era of a reply of the store, `None` if it has none that can be read. Returns the
    /// era to which the reply belongs.
    ///
    /// # Errors
    /// [`EarlierEra`] if the reply does not reflect the current state of the store.
    pub fn observe_reply(&self, reported: Option<u64>) -> Result<StoreEra, EarlierEra> {
        let newest = self.newest();
        match (newest.number, reported) {
            (known, reported) if known == reported => {
                self.uncertain().earlier_since = None;
                Ok(newest)
            }
            (None, Some(number)) if newest.changes == 0 => Ok(self.adopt_first(number)),
            (Some(known), Some(number)) if number < known => self.handle_earlier_era(known, number),
            (_, Some(number)) => Ok(self.begin_era(Some(number))),
            (_, None) => Ok(self.handle_missing_era(newest)),
        }
    }

    /// Records the era that another sidecar reported.
    pub(crate) fn observe_peer_era(&self, number: u64) {
        match self.newest().number {
            Some(known) if known < number => {
                self.begin_era(Some(number));
            }
            Some(_) => {}
            None => {
                self.adopt_first(number);
            }
        }
    }

    /// Records the first number that is reported. It is unknown here whether there were earlier
    /// eras.
    fn adopt_first(&self, number: u64) -> StoreEra {
        self.newest.send_if_modified(|newest| {
            newest.number = Some(number);
            false
        });
        self.newest()
    }

    fn begin_era(&self, number: Option<u64>) -> StoreEra {
        *self.uncertain() = UncertainReplies::default();
        let before = self.newest();
        self.newest.send_modify(|newest| {
            newest.number = number;
            newest.changes += 1;
        });
        log_event!(
            Event::StoreRestored,
            "era={} previous={}",
            era_text(number),
            era_text(before.number)
        );
        self.newest()
    }

    fn handle_earlier_era(&self, known: u64, number: u64) -> Result<StoreEra, EarlierEra> {
        let now = self.clock.now();
        let since = *self.uncertain().earlier_since.get_or_insert(now);
        if now.saturating_since(since) < LATE_REPLY_TIME {
            log_event!(Event::StoreAnswerOutdated, "era={number} newest={known}");
            return Err(EarlierEra);
        }
        Ok(self.begin_era(Some(number)))
    }

    /// Handles a reply without an era. It may reflect any state of the store; assuming a restored
    /// store is the safe choice.
    fn handle_missing_era(&self, newest: StoreEra) -> StoreEra {
        let now = self.clock.now();
        let last = self.uncertain().missing_era_at;
        if last.is_some_and(|last| now.saturating_since(last) < MISSING_ERA_INTERVAL) {
            return newest;
        }
        let new_era = self.begin_era(newest.number);
        self.uncertain().missing_era_at = Some(now);
        new_era
    }

    fn uncertain(&self) -> std::sync::MutexGuard<'_, UncertainReplies> {
        wharfquay_daemon::sync::lock(&self.uncertain)
    }
}

fn era_text(number: Option<u64>) -> String {
    number.map_or("none".to_owned(), |number| number.to_string())
}

/// Announces each new era to a few sidecars, which do the same. The others receive it with the next
/// message from a sidecar that knows it. Runs until the process terminates.
pub(crate) async fn disseminate(
    eras: Arc<StoreEras>,
    exchange: Arc<Exchange>,
    members: watch::Receiver<MemberTable>,
) {
    let mut changes = eras.subscribe();
    while changes.changed().await.is_ok() {
        changes.mark_unchanged();
        for pause in ROUND_DELAYS {
            tokio::time::sleep(pause).await;
            for peer in random_peers(&members.borrow(), exchange.own_id()) {
                exchange.notify(&peer, Notice::StoreRestored);
            }
        }
    }
}

/// Returns random other sidecars that are alive.
fn random_peers(table: &MemberTable, own_id: &str) -> Vec<Peer> {
    let others = table.members().filter(|member| {
        member.state() == MemberState::Alive && member.profile.id.as_str() != own_id
    });
    let others: Vec<_> = others.collect();
    let chosen = others.sample(&mut rand::rng(), FANOUT);
    let peers = chosen.map(|member| Peer {
        id: member.profile.id.as_str().to_owned(),
        address: member.profile.control_address,
    });
    peers.collect()
}
