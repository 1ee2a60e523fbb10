//! Meeting other sidecars through the platform's directory.
//!
//! A listing that may be stale costs the platform a tenth of a fresh one, and mostly shows both: that this
//! sidecar's entry stands from an earlier process, and whom to contact. Only when it did not lead to another
//! sidecar is a fresh one asked for.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use wharfquay_membership::table::MemberTable;

use crate::platform::{DirectoryEntry, Freshness, Platform};

/// First pause between two looks into the directory.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two looks into the directory while no other sidecar answers.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Longest wait for the directory's answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// Looks that may be stale before fresh ones are asked for.
const STALE_LOOKS: u32 = 2;

/// Enters this sidecar in the directory, and looks there for others until gossip has found some.
pub(super) async fn find_others<P: Platform>(
    platform: Arc<P>,
    entry: DirectoryEntry,
    members: watch::Receiver<MemberTable>,
    seeds: mpsc::Sender<Vec<DirectoryEntry>>,
) {
    let mut is_registered = false;
    let mut has_company = false;
    let mut looks = 0;
    let mut pause = FIRST_PAUSE;
    tokio::time::sleep(pause.mul_f64(rand::random_range(0.0..=0.5))).await;
    while !is_registered || !has_company {
        if !has_company {
            let listed = list(&*platform, freshness_of_look(looks)).await;
            looks += 1;
            if let Some(entries) = listed {
                is_registered |= entries.contains(&entry);
                if seeds.send(entries).await.is_err() {
                    return;
                }
            }
        }
        if !is_registered {
            is_registered = register(&*platform, &entry).await;
        }
        let jitter = rand::random_range(0.5..=1.0);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
        has_company = members.borrow().members().count() > 1;
    }
}

const fn freshness_of_look(looks: u32) -> Freshness {
    if looks < STALE_LOOKS {
        Freshness::MayBeStale
    } else {
        Freshness::Latest
    }
}

/// The entries of the directory, if it answers in time.
async fn list<P: Platform>(platform: &P, freshness: Freshness) -> Option<Vec<DirectoryEntry>> {
    let listing = platform.directory(freshness);
    let listed = tokio::time::timeout(ANSWER_LIMIT, listing).await;
    listed.ok()?.ok()
}

/// Whether the entry stands in the directory now.
async fn register<P: Platform>(platform: &P, entry: &DirectoryEntry) -> bool {
    let registering = platform.register(entry);
    let registered = tokio::time::timeout(ANSWER_LIMIT, registering).await;
    matches!(registered, Ok(Ok(())))
}
