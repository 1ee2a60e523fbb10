//! Ranks that this sidecar, as the edge, assigns to the requests of its callers, and promises to those
//! that were refused.

use std::sync::Mutex;

use wharfquay_core::admission::returns::{Promise, PromiseCounts, Return, ReturnPromises};
use wharfquay_core::admission::shares::{CallerShares, CallerUse, draw_of};
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::{Priority, Rank};
use wharfquay_daemon::clock::Clock;
use wharfquay_daemon::response::Failure;
use wharfquay_daemon::sync::lock;

use crate::configuration::RouteIndex;
use crate::tenant::Tenant;

/// Name of the caller that all requests without a tenant form together. No tenant has it: an empty
/// name is not a valid header value.
const NO_TENANT: &str = "";

/// A caller among whose requests scarce capacity is divided.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Caller {
    pub(crate) name: String,
    pub(crate) weight: f64,
    pub(crate) priority: Priority,
}

impl Caller {
    /// Returns the caller of a request. `None` if the configuration has no tenants and the service's
    /// backends report no slowdown: requests are then ranked by their hash, and nothing is promised.
    pub(crate) fn of(
        index: &RouteIndex,
        tenant: Option<&Tenant>,
        priority: Priority,
        reports_slowdown: bool,
    ) -> Option<Self> {
        let has_tenants = !index.configuration.tenants.is_empty();
        (has_tenants || reports_slowdown).then(|| Self {
            name: tenant.map_or(NO_TENANT, |tenant| &tenant.name).to_owned(),
            weight: index.caller_weight(tenant),
            priority,
        })
    }

    /// Returns the name in metrics.
    pub(crate) fn label(&self) -> &str {
        match self.name.as_str() {
            NO_TENANT => "none",
            name => name,
        }
    }
}

/// A request to which a rank was assigned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RankedRequest {
    pub(crate) rank: Rank,
    /// True if the request returned at its promised time.
    pub(crate) is_on_time: bool,
}

/// Shares of the callers of this edge, by priority, and the promises to their refused requests.
#[derive(Debug)]
pub(crate) struct CallerAdmission {
    clock: Clock,
    shares: Mutex<[Option<CallerShares>; Priority::COUNT]>,
    promises: Mutex<ReturnPromises>,
}

impl CallerAdmission {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            shares: Mutex::default(),
            promises: Mutex::default(),
        }
    }

    /// Counts a request and returns its rank.
    pub(crate) fn rank(&self, caller: &Caller, context: &CallContext) -> RankedRequest {
        let now = self.clock.now();
        let seen = context.fingerprint.map_or(Return::New, |fingerprint| {
            lock(&self.promises).returning(now, fingerprint)
        });
        let is_on_time = seen == Return::OnTime;
        let (name, weight) = (&caller.name, caller.weight);
        let draw = draw_of(context.origin);
        let mut shares = lock(&self.shares);
        let shares = shares[caller.priority.index()].get_or_insert_with(|| CallerShares::new(now));
        let rank = if is_on_time {
            shares.rank_returned(now, name, weight, draw)
        } else {
            shares.rank(now, name, weight, draw)
        };
        if is_on_time {
            shares.record_returned(now, name, weight);
        } else {
            shares.record(now, name, weight);
        }
        let rank = match seen {
            Return::Early(refused) => refused,
            Return::New | Return::OnTime => rank,
        };
        RankedRequest { rank, is_on_time }
    }

    /// Counts a request that was not refused for lack of capacity.
    pub(crate) fn record_admitted(&self, caller: &Caller) {
        let now = self.clock.now();
        lock(&self.promises).record_admitted(now, &caller.name, caller.priority);
    }

    /// Replaces the estimated Retry-After of a refusal by a promise, or by the result code that says
    /// that there is none.
    pub(crate) fn refuse(
        &self,
        caller: &Caller,
        context: &CallContext,
        failure: Failure,
    ) -> Failure {
        let Some(fingerprint) = context.fingerprint else {
            return failure;
        };
        let (now, key) = (self.clock.now(), context.admission_key());
        let mut promises = lock(&self.promises);
        match promises.refuse(now, &caller.name, fingerprint, key, context.deadline) {
            Promise::After(wait) => Failure::with_retry_after(failure.code, wait),
            Promise::BeyondDeadline(wait) => {
                Failure::with_retry_after(ResultCode::NoReturnInTime, wait)
            }
        }
    }

    /// Returns the numbers of promises since the last call.
    pub(crate) fn take_counts(&self) -> PromiseCounts {
        lock(&self.promises).take_counts(self.clock.now())
    }

    /// Returns the use of a caller, for the log.
    pub(crate) fn caller_use(&self, caller: &Caller) -> CallerUse {
        let shares = lock(&self.shares);
        let shares = shares[caller.priority.index()].as_ref();
        shares.map_or_else(CallerUse::default, |shares| {
            shares.caller_use(self.clock.now(), &caller.name, caller.weight)
        })
    }
}

/// True if a request was refused because capacity is short, so that a later one may be admitted.
pub(crate) const fn is_short_of_capacity(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RefusedByLevel
            | ResultCode::RefusedQueueFull
            | ResultCode::DisplacedFromQueue
            | ResultCode::QueueTimeout
            | ResultCode::RefusedByCompletionLimit
    )
}
