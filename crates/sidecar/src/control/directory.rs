//! Discovery of other sidecars through the platform's directory: carries out the decisions of
//! [`DirectoryRegistration`].

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use wharfquay_daemon::clock::Clock;
use wharfquay_membership::directory::{
    DirectoryRegistration, DirectorySettings, DirectoryStep, EntryState, ListingFreshness,
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
        let mut registration = DirectoryRegistration::new(
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
                        registration.on_store_restored(self.clock.now(), &mut rand::rng());
                    }
                },
                DirectoryStep::List(freshness) => match self.list(freshness).await {
                    Some(entries) => {
                        self.record_listing(&mut registration, &entries);
                        if self.seeds.send(entries).await.is_err() {
                            return;
                        }
                    }
                    None => registration.on_listing_failed(self.clock.now(), &mut rand::rng()),
                },
                DirectoryStep::Register => {
                    let is_written = self.register().await;
                    registration.on_registration_result(
                        self.clock.now(),
                        is_written,
                        &mut rand::rng(),
                    );
                }
            }
        }
    }

    fn record_listing(&self, registration: &mut DirectoryRegistration, entries: &[DirectoryEntry]) {
        let is_own = |entry: &&DirectoryEntry| entry.id == self.entry.id;
        let own = match entries.iter().find(is_own) {
            None => EntryState::Missing,
            Some(found) if *found == self.entry => EntryState::Current,
            Some(_) => EntryState::Different,
        };
        let others = entries.iter().filter(|entry| !is_own(entry)).count();
        registration.on_listing(self.clock.now(), own, others, &mut rand::rng());
    }

    /// Returns the entries of the directory; `None` if the call fails or times out.
    async fn list(&self, freshness: ListingFreshness) -> Option<Vec<DirectoryEntry>> {
        let freshness = match freshness {
            ListingFreshness::MayBeStale => Freshness::MayBeStale,
            ListingFreshness::Latest => Freshness::Latest,
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
