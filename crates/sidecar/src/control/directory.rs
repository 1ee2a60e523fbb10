//! Meeting other sidecars through the platform's directory: carries out what [`Enrolment`] decides.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::directory::{
    DirectorySettings, DirectoryStep, Enrolment, ListingAge, OwnEntry,
};
use wharfquay_membership::member::MemberId;
use wharfquay_membership::table::MemberTable;

use crate::platform::{DirectoryEntry, Freshness, Platform};

/// Longest wait for the directory's answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// This sidecar's part in the directory.
pub(super) struct DirectoryTask<P> {
    pub(super) clock: Clock,
    pub(super) platform: Arc<P>,
    pub(super) entry: DirectoryEntry,
    /// Whether the whole deployment starts for the first time.
    pub(super) is_first_start: bool,
    pub(super) members: watch::Receiver<MemberTable>,
    /// Where listed entries go.
    pub(super) seeds: mpsc::Sender<Vec<DirectoryEntry>>,
}

impl<P: Platform> DirectoryTask<P> {
    /// Looks for others until gossip has found some, and keeps the own entry; runs for ever.
    pub(super) async fn run(self) {
        let mut enrolment = Enrolment::new(
            DirectorySettings::default(),
            MemberId::from(self.entry.id.as_str()),
            self.is_first_start,
            self.clock.now(),
            &mut rand::rng(),
        );
        let mut eras = self.platform.eras().subscribe();
        loop {
            let step = enrolment.next(self.clock.now(), &self.members.borrow());
            match step {
                DirectoryStep::WaitUntil(time) => tokio::select! {
                    () = self.clock.sleep_until(Some(time)) => {}
                    Ok(()) = eras.changed() => {
                        enrolment.store_restored(self.clock.now(), &mut rand::rng());
                    }
                },
                DirectoryStep::Look(age) => match self.list(age).await {
                    Some(entries) => {
                        self.note(&mut enrolment, &entries);
                        if self.seeds.send(entries).await.is_err() {
                            return;
                        }
                    }
                    None => enrolment.look_failed(self.clock.now(), &mut rand::rng()),
                },
                DirectoryStep::Enter => {
                    let is_written = self.enter().await;
                    enrolment.entered(self.clock.now(), is_written, &mut rand::rng());
                }
            }
        }
    }

    fn note(&self, enrolment: &mut Enrolment, entries: &[DirectoryEntry]) {
        let is_own = |entry: &&DirectoryEntry| entry.id == self.entry.id;
        let own = match entries.iter().find(is_own) {
            None => OwnEntry::Missing,
            Some(found) if *found == self.entry => OwnEntry::Current,
            Some(_) => OwnEntry::Different,
        };
        let others = entries.iter().filter(|entry| !is_own(entry)).count();
        enrolment.listed(self.clock.now(), own, others, &mut rand::rng());
    }

    /// The entries of the directory, if it answers in time.
    async fn list(&self, age: ListingAge) -> Option<Vec<DirectoryEntry>> {
        let freshness = match age {
            ListingAge::MayBeStale => Freshness::MayBeStale,
            ListingAge::Latest => Freshness::Latest,
        };
        let listing = self.platform.directory(freshness);
        let listed = tokio::time::timeout(REPLY_TIMEOUT, listing).await;
        listed.ok()?.ok()
    }

    /// Whether the own entry stands in the directory now.
    async fn enter(&self) -> bool {
        let registering = self.platform.register(&self.entry);
        let registered = tokio::time::timeout(REPLY_TIMEOUT, registering).await;
        matches!(registered, Ok(Ok(())))
    }
}
