//! Discovery of other sidecars through the platform's directory: carries out the decisions of
//! [`Enrolment`].

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

/// Timeout of a call to the directory.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Task that reads the directory and keeps this sidecar's entry in it.
pub(super) struct DirectoryTask<P> {
    pub(super) clock: Clock,
    pub(super) platform: Arc<P>,
    pub(super) entry: DirectoryEntry,
    /// True at the first start of the whole deployment.
    pub(super) is_first_start: bool,
    pub(super) members: watch::Receiver<MemberTable>,
    /// Receives the entries of each listing.
    pub(super) seeds: mpsc::Sender<Vec<DirectoryEntry>>,
}

impl<P: Platform> DirectoryTask<P> {
    /// Reads the directory until gossip has discovered other sidecars, and maintains this sidecar's
    /// entry. Runs until the process terminates.
    pub(super) async fn run(self) {
        let mut registration = Enrolment::new(
            DirectorySettings::default(),
            MemberId::from(self.entry.id.as_str()),
            self.is_first_start,
            self.clock.now(),
            &mut rand::rng(),
        );
        let mut eras = self.platform.eras().subscribe();
        loop {
            let step = registration.next(self.clock.now(), &self.members.borrow());
            match step {
                DirectoryStep::WaitUntil(time) => tokio::select! {
                    () = self.clock.sleep_until(Some(time)) => {}
                    Ok(()) = eras.changed() => {
                        registration.store_restored(self.clock.now(), &mut rand::rng());
                    }
                },
                DirectoryStep::Look(age) => match self.list(age).await {
                    Some(entries) => {
                        self.record_listing(&mut registration, &entries);
                        if self.seeds.send(entries).await.is_err() {
                            return;
                        }
                    }
                    None => registration.look_failed(self.clock.now(), &mut rand::rng()),
                },
                DirectoryStep::Enter => {
                    let is_written = self.register().await;
                    registration.entered(self.clock.now(), is_written, &mut rand::rng());
                }
            }
        }
    }

    fn record_listing(&self, registration: &mut Enrolment, entries: &[DirectoryEntry]) {
        let is_own = |entry: &&DirectoryEntry| entry.id == self.entry.id;
        let own = match entries.iter().find(is_own) {
            None => OwnEntry::Missing,
            Some(found) if *found == self.entry => OwnEntry::Current,
            Some(_) => OwnEntry::Different,
        };
        let others = entries.iter().filter(|entry| !is_own(entry)).count();
        registration.listed(self.clock.now(), own, others, &mut rand::rng());
    }

    /// Returns the entries of the directory; `None` if the call fails or times out.
    async fn list(&self, age: ListingAge) -> Option<Vec<DirectoryEntry>> {
        let freshness = match age {
            ListingAge::MayBeStale => Freshness::MayBeStale,
            ListingAge::Latest => Freshness::Latest,
        };
        let listing = self.platform.directory(freshness);
        let listed = tokio::time::timeout(REPLY_TIMEOUT, listing).await;
        listed.ok()?.ok()
    }

    /// Writes this sidecar's entry. Returns true if the directory contains it now.
    async fn register(&self) -> bool {
        let registering = self.platform.register(&self.entry);
        let registered = tokio::time::timeout(REPLY_TIMEOUT, registering).await;
        matches!(registered, Ok(Ok(())))
    }
}
