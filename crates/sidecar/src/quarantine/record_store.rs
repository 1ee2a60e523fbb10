//! Durable records of quarantined requests at the platform, which survive a simultaneous
//! termination of all sidecars.
//!
//! A starting sidecar first requests the quarantined requests from another sidecar; it reads the
//! platform's records only if none can provide them. A deployment that never quarantined a request
//! makes no platform calls for this, except after all its sidecars terminated together.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::quarantine::{
    QUARANTINE_TIME, QuarantineReport, ReportedQuarantineState, RequestFingerprint,
};
use wharfquay_daemon::clock::wall_clock;

use super::Quarantine;
use crate::events::Event;
use crate::log_event;
use crate::platform::{Platform, PlatformError, QuarantineRecord};

/// Timeout of a call to the platform.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after the first failed call. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum pause between two calls.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Age from which a record is obsolete. See [`QUARANTINE_TIME`].
const RECORD_LIFETIME: Duration = QUARANTINE_TIME.saturating_mul(2);
/// Maximum number of attempts to write or remove a record, which take about half a minute. A record
/// that is not written by then is known to the sidecars alone.
const MAX_WRITE_ATTEMPTS: u32 = 10;

/// Reads and writes the quarantine records at the platform.
#[derive(Debug)]
pub(crate) struct RecordStore<P> {
    pub(crate) platform: Arc<P>,
    pub(crate) quarantine: Arc<Quarantine>,
}

impl<P: Platform> RecordStore<P> {
    /// Reads the platform's records. Repeats this until the platform replies or another sidecar has
    /// provided them.
    pub(super) async fn load(self: Arc<Self>) {
        let mut pause = INITIAL_BACKOFF;
        while !self.quarantine.is_initialized() {
            let reply = call_platform("read", self.platform.quarantined()).await;
            if let Some(records) = reply {
                return self.apply_records(records);
            }
            pause = back_off(pause).await;
        }
    }

    fn apply_records(self: Arc<Self>, records: Vec<QuarantineRecord>) {
        let now = wall_clock().as_millis();
        let mut reports = Vec::new();
        for record in records {
            let age_ms = now.saturating_sub(record.quarantined_at.as_millis());
            if Duration::from_millis(age_ms) >= RECORD_LIFETIME {
                tokio::spawn(Arc::clone(&self).remove(record.fingerprint));
                continue;
            }
            reports.push(QuarantineReport {
                fingerprint: record.fingerprint,
                state: ReportedQuarantineState::Quarantined,
                age_ms,
            });
        }
        self.quarantine.apply_reports(&reports);
        self.quarantine.set_initialized();
    }

    /// Writes the record of a request that was quarantined `age` ago.
    pub(super) async fn write(self: Arc<Self>, fingerprint: RequestFingerprint, age: Duration) {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let quarantined_at = wall_clock().as_millis().saturating_sub(age_ms);
        let record = QuarantineRecord {
            fingerprint,
            quarantined_at: UnixMillis::new(quarantined_at),
        };
        let mut pause = INITIAL_BACKOFF;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let recording = self.platform.record_quarantine(&record);
            if call_platform("write", recording).await.is_some() {
                return;
            }
            pause = back_off(pause).await;
        }
    }

    /// Removes the record of a request that received a response or whose record is obsolete.
    pub(super) async fn remove(self: Arc<Self>, fingerprint: RequestFingerprint) {
        let mut pause = INITIAL_BACKOFF;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let removing = self.platform.remove_quarantine(fingerprint);
            if call_platform("remove", removing).await.is_some() {
                return;
            }
            pause = back_off(pause).await;
        }
    }
}

/// Awaits a call to the platform. Logs a failure or a timeout and returns `None`.
async fn call_platform<T>(
    action: &str,
    call: impl Future<Output = Result<T, PlatformError>>,
) -> Option<T> {
    match tokio::time::timeout(REPLY_TIMEOUT, call).await {
        Ok(Ok(reply)) => Some(reply),
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

/// Waits and returns the next pause.
async fn back_off(pause: Duration) -> Duration {
    tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..=1.0))).await;
    (pause * 2).min(MAX_BACKOFF)
}
