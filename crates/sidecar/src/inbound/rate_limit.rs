//! Refuses calls for which the rate limit that the backend announces leaves no room.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::response::Failure;

use super::backend::OpenInstance;
use super::execution::LocalExecutor;

/// Timeout of a health check that confirms a rate limit.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

impl LocalExecutor {
    /// Refuses a call for which the rate limit of the instance leaves no room.
    ///
    /// # Errors
    /// The refusal, with a Retry-After that spreads the return of refused calls.
    pub(super) fn check_rate_limit(
        &self,
        instance: &OpenInstance,
        context: &CallContext,
    ) -> Result<(), Failure> {
        if self.is_rate_limited(instance, context) {
            return Err(self.rate_limited(instance, context));
        }
        Ok(())
    }

    /// True if the rate limit of the instance leaves no room for the call.
    pub(super) fn is_rate_limited(&self, instance: &OpenInstance, context: &CallContext) -> bool {
        let (now, key) = (self.clock.now(), context.admission_key());
        instance
            .announcements
            .is_exhausted(now, key, context.progress())
    }

    /// Returns the refusal of a call for which the rate limit leaves no room, and asks whether the
    /// limit still holds if no response showed it lately.
    pub(super) fn rate_limited(&self, instance: &OpenInstance, context: &CallContext) -> Failure {
        let (now, key) = (self.clock.now(), context.admission_key());
        let retry_after = instance.announcements.refuse(now, key);
        if instance.announcements.begin_confirmation(now) {
            self.confirm_rate_limit();
        }
        Failure::with_retry_after(ResultCode::RateLimited, retry_after)
    }

    /// Asks the backend's health endpoint whether the rate limit still holds. The response may also
    /// announce that the instance is leaving.
    fn confirm_rate_limit(&self) {
        let backend = Arc::clone(&self.backend);
        let leaving = Arc::clone(&self.observers.leaving);
        tokio::spawn(async move {
            let check = backend.check_health();
            let Ok(Some(report)) = tokio::time::timeout(CONFIRMATION_TIMEOUT, check).await else {
                return;
            };
            backend.read_health(&report);
            if report.is_leaving
                && let Some(instance) = backend.close_leaving(&report.instance)
            {
                leaving(&instance.id);
            }
        });
    }
}
