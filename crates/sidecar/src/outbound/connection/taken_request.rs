//! A request that was taken from a connection and has to be answered.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

use http::{HeaderValue, Method, Response};
use tokio_util::task::AbortOnDropHandle;
use wharfquay_daemon::body::ResponseBody;

use super::lifecycle::{ConnectionEnd, Lifecycle};
use crate::events::Event;
use crate::in_flight::InFlight;
use crate::log_event;
use crate::metrics::Metrics;
use crate::outbound::millis;

/// A request that was taken from a connection, with the task that handles it. Dropping it cancels
/// the task.
#[derive(Debug)]
pub(super) struct TakenRequest {
    pub(super) task: AbortOnDropHandle<Response<ResponseBody>>,
    pub(super) method: Method,
    pub(super) delivery: Delivery,
}

/// How far the response to a caller was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Nothing,
    Part,
    Everything,
}

impl Sent {
    const fn name(self) -> &'static str {
        match self {
            Self::Nothing => "none",
            Self::Part => "partial",
            Self::Everything => "complete",
        }
    }
}

/// The delivery of one response. If it is dropped before everything was sent, the request was cut:
/// that is counted and, unless the caller is the reason, logged.
#[derive(Debug)]
pub(super) struct Delivery {
    request_id: Option<HeaderValue>,
    taken_at: Instant,
    sent: Sent,
    lifecycle: Arc<Lifecycle>,
    metrics: Arc<Metrics>,
    _in_flight: InFlight,
}

impl Delivery {
    /// Begins the delivery of the response to a request that was just taken.
    pub(super) fn begin(
        request_id: Option<HeaderValue>,
        lifecycle: &Arc<Lifecycle>,
        metrics: &Arc<Metrics>,
        in_flight: &Arc<AtomicUsize>,
    ) -> Self {
        Self {
            request_id,
            taken_at: Instant::now(),
            sent: Sent::Nothing,
            lifecycle: Arc::clone(lifecycle),
            metrics: Arc::clone(metrics),
            _in_flight: InFlight::begin(in_flight),
        }
    }

    /// Returns the id of the request; `None` if it has none.
    pub(super) const fn request_id(&self) -> Option<&HeaderValue> {
        self.request_id.as_ref()
    }

    /// Records that bytes of the response are about to be sent.
    pub(super) const fn begin_sending(&mut self) {
        self.sent = Sent::Part;
    }

    /// True if bytes of the response may have been sent.
    pub(super) fn has_begun(&self) -> bool {
        self.sent != Sent::Nothing
    }

    /// Records that the response was completely sent.
    pub(super) fn complete(mut self) {
        self.sent = Sent::Everything;
    }

    fn record_cut(&self, reason: ConnectionEnd) {
        self.metrics.request_cut(reason);
        if reason == ConnectionEnd::CallerGone {
            return;
        }
        let request = self.request_id.as_ref();
        let request = request.and_then(|id| id.to_str().ok()).unwrap_or_default();
        log_event!(
            Event::RequestCut,
            "request={request} reason={} sent={} took_ms={}",
            reason.name(),
            self.sent.name(),
            millis(self.taken_at.elapsed()),
        );
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if self.sent != Sent::Everything {
            self.record_cut(self.lifecycle.reason());
        }
    }
}
