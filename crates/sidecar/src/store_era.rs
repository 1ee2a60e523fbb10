//! The eras of the platform's store: each time it is restored from a copy, a new era begins.
//!
//! What was acknowledged in an earlier era may be gone, and revisions are given out again. So a revision means something
//! only together with its era, an answer of an earlier era tells nothing, and whoever keeps something at the store writes
//! it again when a new era begins. Each answer of the store tells its era; sidecars pass the newest one on with every
//! message of theirs.

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

/// Time for which answers of an earlier era are taken for late ones. If all answers since are of that era, the store's
/// count has fallen, and is taken for that of a restored store.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(2);
/// Shortest time between two new eras that are assumed since an answer did not tell its era.
const UNTOLD_INTERVAL: Duration = Duration::from_secs(10);
/// Sidecars that are told of a new era in each round.
const FANOUT: usize = 4;
/// Pauses before the rounds.
const ROUND_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(200),
];

/// An era as this process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreEra {
    /// The number that the store tells; none before its first answer, and where it tells none.
    pub number: Option<u64>,
    /// New eras that began while this process ran: tells two eras apart whose numbers are the same.
    pub changes: u64,
}

/// The answer is of an earlier era: the store was restored since, and may know nothing of it
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct EarlierEra;

impl std::error::Error for EarlierEra {}

/// The newest era that this process knows of.
#[derive(Debug)]
pub struct StoreEras {
    clock: Clock,
    newest: watch::Sender<StoreEra>,
    doubts: std::sync::Mutex<Doubts>,
}

#[derive(Debug, Default)]
struct Doubts {
    /// Since when all answers are of an earlier era.
    earlier_since: Option<Timestamp>,
    /// When an answer last told no era.
    untold_at: Option<Timestamp>,
}

impl StoreEras {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            newest: watch::channel(StoreEra::default()).0,
            doubts: std::sync::Mutex::default(),
        })
    }

    /// The newest era.
    #[must_use]
    pub fn newest(&self) -> StoreEra {
        *self.newest.borrow()
    }

    /// Tells of each new era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.newest.subscribe()
    }

    /// Takes in the era that an answer of the store tells, none where it tells none that can be read, and gives the era
    /// that the answer holds in.
    ///
    /// # Errors
    /// [`EarlierEra`] when the answer tells nothing about the store as it is now.
    pub fn answered(&self, told: Option<u64>) -> Result<StoreEra, EarlierEra> {
        let newest = self.newest();
        match (newest.number, told) {
            (known, told) if known == told => {
                self.doubts().earlier_since = None;
                Ok(newest)
            }
            (None, Some(number)) if newest.changes == 0 => Ok(self.first(number)),
            (Some(known), Some(number)) if number < known => self.earlier(known, number),
            (_, Some(number)) => Ok(self.begin(Some(number))),
            (_, None) => Ok(self.untold(newest)),
        }
    }

    /// Takes in the era that another sidecar knows of.
    pub(crate) fn heard(&self, number: u64) {
        match self.newest().number {
            Some(known) if known < number => {
                self.begin(Some(number));
            }
            Some(_) => {}
            None => {
                self.first(number);
            }
        }
    }

    /// The first number that is told: whether eras came before it can't be known here.
    fn first(&self, number: u64) -> StoreEra {
        self.newest.send_if_modified(|newest| {
            newest.number = Some(number);
            false
        });
        self.newest()
    }

    fn begin(&self, number: Option<u64>) -> StoreEra {
        *self.doubts() = Doubts::default();
        let before = self.newest();
        self.newest.send_modify(|newest| {
            newest.number = number;
            newest.changes += 1;
        });
        log_event!(
            Event::StoreRestored,
            "era={} previous={}",
            shown(number),
            shown(before.number)
        );
        self.newest()
    }

    fn earlier(&self, known: u64, number: u64) -> Result<StoreEra, EarlierEra> {
        let now = self.clock.now();
        let since = *self.doubts().earlier_since.get_or_insert(now);
        if now.saturating_since(since) < LATE_ANSWER_TIME {
            log_event!(Event::StoreAnswerOutdated, "era={number} newest={known}");
            return Err(EarlierEra);
        }
        Ok(self.begin(Some(number)))
    }

    /// An answer without an era may come from any state of the store: the safe side is a restored one.
    fn untold(&self, newest: StoreEra) -> StoreEra {
        let now = self.clock.now();
        let last = self.doubts().untold_at;
        if last.is_some_and(|last| now.saturating_since(last) < UNTOLD_INTERVAL) {
            return newest;
        }
        let begun = self.begin(newest.number);
        self.doubts().untold_at = Some(now);
        begun
    }

    fn doubts(&self) -> std::sync::MutexGuard<'_, Doubts> {
        wharfquay_daemon::sync::lock(&self.doubts)
    }
}

fn shown(number: Option<u64>) -> String {
    number.map_or("none".to_owned(), |number| number.to_string())
}

/// Passes each new era on to a few sidecars at once, which do the same; the others hear of it with the next message that
/// they get. Runs for ever.
pub(crate) async fn spread(
    eras: Arc<StoreEras>,
    exchange: Arc<Exchange>,
    members: watch::Receiver<MemberTable>,
) {
    let mut changes = eras.subscribe();
    while changes.changed().await.is_ok() {
        changes.mark_unchanged();
        for pause in ROUND_DELAYS {
            tokio::time::sleep(pause).await;
            for peer in some_peers(&members.borrow(), exchange.own_id()) {
                exchange.notify(&peer, Notice::StoreRestored);
            }
        }
    }
}

/// Other sidecars that serve, by chance.
fn some_peers(table: &MemberTable, own_id: &str) -> Vec<Peer> {
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
