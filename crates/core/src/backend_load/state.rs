//! The report in force of one instance.

use crate::rate_limit::ExchangeTimes;
use crate::time::Timestamp;

use super::{BackendLoad, REPORT_LIFETIME};

/// A report with its origin.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport<'name> {
    /// Reported load.
    pub load: BackendLoad,
    /// Times at which the exchange began and ended.
    pub times: ExchangeTimes,
    /// Instance that sent the response.
    pub instance: &'name str,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportUse {
    /// The report is in force.
    InForce,
    /// The request of the report in force was sent later.
    Outdated,
    /// Another instance, such as an earlier incarnation at the same address, sent the report.
    OtherInstance,
}

/// The report in force of one instance.
#[derive(Clone, Debug)]
pub struct LoadReportState {
    instance: Box<str>,
    latest: Option<(BackendLoad, ExchangeTimes)>,
}

impl LoadReportState {
    /// Creates the state of an instance that has sent no report.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.into(),
            latest: None,
        }
    }

    /// Records a report. Reports are ordered by the time at which their request was sent, because
    /// responses on different connections may overtake each other.
    pub fn record(&mut self, report: &LoadReport<'_>) -> LoadReportUse {
        if *report.instance != *self.instance {
            return LoadReportUse::OtherInstance;
        }
        let is_outdated =
            |(_, latest): &(BackendLoad, ExchangeTimes)| report.times.sent_at < latest.sent_at;
        if self.latest.as_ref().is_some_and(is_outdated) {
            return LoadReportUse::Outdated;
        }
        self.latest = Some((report.load, report.times));
        LoadReportUse::InForce
    }

    /// Returns the load at `now`; `None` if it is unknown.
    #[must_use]
    pub fn present(&self, now: Timestamp) -> Option<BackendLoad> {
        let (load, times) = self.latest?;
        (now < times.received_at + REPORT_LIFETIME).then_some(load)
    }

    /// Returns true if a report was received and has expired since.
    #[must_use]
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.latest.is_some() && self.present(now).is_none()
    }
}
