//! What outlives the sidecars: quarantined requests are kept at the platform, for the case that all end at once.
//!
//! A sidecar that starts learns them from another one that knows them; only where there is none it reads the platform. A
//! deployment that never quarantined a request makes no call for this, except after such an end of all.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::quarantine::{
    QUARANTINE_TIME, QuarantineReport, ReportedStanding, RequestFingerprint,
};
use wharfquay_daemon::clock::wall_clock;

use super::Quarantine;
use crate::events::Event;
use crate::log_event;
use crate::platform::{Platform, PlatformError, QuarantineRecord};

/// Longest wait for an answer of the platform.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_500);
/// First pause between two tries; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time after which a record says nothing any more: see [`QUARANTINE_TIME`].
const RECORD_TIME: Duration = QUARANTINE_TIME.saturating_mul(2);
/// Tries to write a record: for about half a minute. What is not written then is known to the sidecars alone.
const WRITES: u32 = 10;

/// Reads and writes the records at the platform.
#[derive(Debug)]
pub(crate) struct Keeper<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) quarantine: Arc<Quarantine>,
}

impl<P: Platform> Keeper<P> {
    /// Learns what is kept at the platform; tries until it answers, or another sidecar has told it.
    pub(super) async fn read(self: Arc<Self>) {
        let mut pause = FIRST_PAUSE;
        while !self.quarantine.is_settled() {
            let answer = answer("read", self.platform.quarantined()).await;
            if let Some(records) = answer {
                return self.learn(records);
            }
            pause = wait(pause).await;
        }
    }

    fn learn(self: Arc<Self>, records: Vec<QuarantineRecord>) {
        let now = wall_clock().as_millis();
        let mut reports = Vec::new();
        for record in records {
            let age_ms = now.saturating_sub(record.found_at.as_millis());
            if Duration::from_millis(age_ms) >= RECORD_TIME {
                tokio::spawn(Arc::clone(&self).remove(record.fingerprint));
                continue;
            }
            reports.push(QuarantineReport {
                fingerprint: record.fingerprint,
                standing: ReportedStanding::Quarantined,
                age_ms,
            });
        }
        self.quarantine.learn(&reports);
        self.quarantine.set_settled();
    }

    /// Keeps a request that was quarantined `age` ago.
    pub(super) async fn keep(self: Arc<Self>, fingerprint: RequestFingerprint, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let found_at = wall_clock().as_millis().saturating_sub(age_ms);
        let record = QuarantineRecord {
            fingerprint,
            found_at: UnixMillis::new(found_at),
        };
        let mut pause = FIRST_PAUSE;
        for _ in 0..WRITES {
            let recording = self.platform.record_quarantine(&record);
            if answer("write", recording).await.is_some() {
                return;
            }
            pause = wait(pause).await;
        }
    }

    /// Removes the record of a request that was answered, or whose time is over.
    pub(super) async fn remove(self: Arc<Self>, fingerprint: RequestFingerprint) {
        let mut pause = FIRST_PAUSE;
        for _ in 0..WRITES {
            let removing = self.platform.remove_quarantine(fingerprint);
            if answer("remove", removing).await.is_some() {
                return;
            }
            pause = wait(pause).await;
        }
    }
}

/// The platform's answer, if there is a usable one in time; else operators are told.
async fn answer<T>(
    action: &str,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Option<T> {
    match tokio::time::timeout(ANSWER_LIMIT, call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log_event!(
                Event::QuarantineNotKept,
                "action={action} error=\"{error}\""
            );
            None
        }
        Err(_) => {
            log_event!(
                Event::QuarantineNotKept,
                "action={action} error=\"timeout\""
            );
            None
        }
    }
}

/// Waits, and gives the next pause.
async fn wait(pause: Duration) -> Duration {
    tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..=1.0))).await;
    (pause * 2).min(LONGEST_PAUSE)
}
