//! The load reports that an instance of the backend sends in its responses.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::Duration;

use http::HeaderMap;
use wharfquay_core::backend_load::{BackendLoad, LoadReport, LoadReportState, LoadReportUse};
use wharfquay_core::rate_limit::ExchangeTimes;
use wharfquay_core::time::Timestamp;
use wharfquay_daemon::sync::lock;
use wharfquay_protocol::announcement::Announcement;

use crate::dialect::{Dialect, text};
use crate::events::Event;
use crate::instance::InstanceId;
use crate::log_event;

/// Minimum time between two log lines about ignored reports. A backend that sends unusable reports
/// does so with every response.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The load reports of one instance.
#[derive(Debug)]
pub(crate) struct LoadReports {
    instance: InstanceId,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    reports: LoadReportState,
    logged_at: Option<Timestamp>,
    /// Reports that were ignored since the last log line.
    ignored: u64,
}

/// What became of the load report in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadReport {
    /// The response has none.
    Absent,
    /// The report is in force.
    InForce(BackendLoad),
    /// A report whose request was sent later is in force.
    Outdated,
    /// The response names another instance as its sender.
    OtherInstance,
    /// The report can't be used.
    Malformed,
}

impl ReadReport {
    /// Labels of the results in the metrics.
    pub(crate) const LABELS: [&'static str; 4] =
        ["in_force", "outdated", "other_instance", "malformed"];

    /// Returns the index of the result in [`Self::LABELS`]; `None` if there was no report.
    pub(crate) const fn label_index(self) -> Option<usize> {
        match self {
            Self::Absent => None,
            Self::InForce(_) => Some(0),
            Self::Outdated => Some(1),
            Self::OtherInstance => Some(2),
            Self::Malformed => Some(3),
        }
    }
}

impl LoadReports {
    /// Creates the state of an instance that has sent no report.
    pub(super) fn new(instance: InstanceId) -> Self {
        let state = State {
            reports: LoadReportState::new(instance.name()),
            logged_at: None,
            ignored: 0,
        };
        Self {
            instance,
            state: Mutex::new(state),
        }
    }

    /// Returns the load at `now`; `None` if it is unknown.
    pub(crate) fn present(&self, now: Timestamp) -> Option<BackendLoad> {
        lock(&self.state).reports.present(now)
    }

    /// Reads the report in a response.
    pub(super) fn read(
        &self,
        times: ExchangeTimes,
        dialect: &Dialect,
        headers: &HeaderMap,
    ) -> ReadReport {
        let load = match dialect.load_report(headers) {
            Announcement::Absent => return ReadReport::Absent,
            Announcement::Malformed(value) => {
                self.ignore(times.received_at, "malformed", &value);
                return ReadReport::Malformed;
            }
            Announcement::Valid(load) => load,
        };
        // A response without the name is from the instance that the request addressed: any other one
        // refuses the request.
        let sender = text(headers, &dialect.instance).unwrap_or(self.instance.name());
        let report = LoadReport {
            load,
            times,
            instance: sender,
        };
        let recorded = lock(&self.state).reports.record(&report);
        match recorded {
            LoadReportUse::InForce => ReadReport::InForce(load),
            // Responses overtake each other in normal operation, so this is counted, not logged.
            LoadReportUse::Outdated => ReadReport::Outdated,
            LoadReportUse::OtherInstance => {
                self.ignore(times.received_at, "other_instance", sender);
                ReadReport::OtherInstance
            }
        }
    }

    /// Counts an ignored report and logs it unless another one was logged a short time ago.
    fn ignore(&self, now: Timestamp, reason: &str, value: &str) {
        let mut state = lock(&self.state);
        state.ignored += 1;
        let is_due = |logged_at: Timestamp| now >= logged_at + IGNORED_LOG_INTERVAL;
        if !state.logged_at.is_none_or(is_due) {
            return;
        }
        state.logged_at = Some(now);
        let ignored = std::mem::take(&mut state.ignored);
        log_event!(
            Event::LoadReportIgnored,
            "instance={} reason={reason} value={value:?} count={ignored}",
            self.instance,
        );
    }
}
