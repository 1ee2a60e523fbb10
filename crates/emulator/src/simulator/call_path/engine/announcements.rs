//! What backends announce in their responses, and how their daemons apply it.

use std::time::Duration;

use rand::RngExt;
use wharfquay_core::admission::{CallTicket, Completion, RequestProgress};
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::priority::AdmissionKey;
use wharfquay_core::rate_limit::{ExchangeTimes, ResponseSource};
use wharfquay_core::time::Timestamp;

use super::Engine;
use crate::backend::LimitCourse;
use crate::simulator::call_path::call::{Execution, ExecutionId};
use crate::simulator::call_path::layout::Layout;
use crate::simulator::call_path::record::AnnouncementRecord;
use crate::simulator::call_path::settings::{Announcement, RunSettings};

/// Retry-After of a call for a backend that announced its leaving.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns an empty record for each announcing backend.
pub(super) fn records(layout: &Layout, settings: &RunSettings) -> Vec<AnnouncementRecord> {
    let announcing = settings.announcing.iter().flat_map(|announcing| {
        let services = layout.services.iter();
        let service = services
            .into_iter()
            .find(|service| service.name == announcing.service);
        let backends = service.map_or(&[][..], |service| &service.backends);
        backends
            .iter()
            .take(announcing.backends)
            .map(|backend| (*backend, announcing.announcement))
    });
    announcing
        .map(|(backend, announcement)| AnnouncementRecord {
            backend,
            announcement,
            first_announced_at: None,
            rates: Vec::new(),
            arrivals: Vec::new(),
            cancelled: 0,
        })
        .collect()
}

impl Engine<'_> {
    /// Returns the refusal of a call for which the announcements of its backend leave no room.
    pub(super) fn check_announcements(
        &mut self,
        id: ExecutionId,
    ) -> Option<(ResultCode, Duration)> {
        let (node, key, progress) = self.announced_call(id)?;
        let now = self.now;
        let state = &mut self.nodes[node];
        if state.is_leaving {
            return Some((ResultCode::Draining, LEAVING_RETRY_AFTER));
        }
        if !state.limit.is_exhausted(now, key, progress) {
            return None;
        }
        Some(self.refuse_by_rate_limit(node, key))
    }

    /// Admits a call that is about to be sent to its backend. Otherwise returns the refusal, and the
    /// call no longer occupies the admission controller.
    pub(super) fn admit_by_announcements(
        &mut self,
        id: ExecutionId,
    ) -> Option<(ResultCode, Duration)> {
        let (node, key, progress) = self.announced_call(id)?;
        let now = self.now;
        let state = &mut self.nodes[node];
        let refusal = if state.is_leaving {
            (ResultCode::Draining, LEAVING_RETRY_AFTER)
        } else if state.limit.admit(now, key, progress) {
            return None;
        } else {
            self.refuse_by_rate_limit(node, key)
        };
        if let Some(admission) = &mut self.nodes[node].admission {
            let ticket = CallTicket(id.as_u64());
            let effects = admission.complete(now, ticket, Completion::Cancelled);
            self.apply(node, effects);
        }
        Some(refusal)
    }

    fn announced_call(&self, id: ExecutionId) -> Option<(usize, AdmissionKey, RequestProgress)> {
        if self.is_naive() {
            return None;
        }
        let execution = self.executions.get(id)?;
        let request = self.requests.get(execution.request)?;
        let is_entry = execution.from < self.layout.zones.len();
        let progress = match is_entry {
            true => RequestProgress::New,
            false => RequestProgress::InProgress,
        };
        let key = self.admission_key(request, execution.service);
        Some((execution.node, key, progress))
    }

    fn refuse_by_rate_limit(&mut self, node: usize, key: AdmissionKey) -> (ResultCode, Duration) {
        let now = self.now;
        let position = self.routing_rng.random();
        let limit = &mut self.nodes[node].limit;
        let retry_after = limit.refuse(now, key, position);
        if limit.begin_confirmation(now) {
            self.read_announcements(node, ResponseSource::HealthEndpoint, now);
        }
        (ResultCode::RateLimited, retry_after)
    }

    /// Records a call that is sent to a backend.
    pub(super) fn record_arrival(&mut self, node: usize) {
        let (now, in_surge) = (self.now, self.in_surge());
        if let Some(record) = self.announcement_record(node).filter(|_| in_surge) {
            record.arrivals.push(now);
        }
    }

    /// Records a call that is broken off at its backend.
    pub(super) fn record_cancelled(&mut self, execution: &Execution) {
        let in_surge = self.in_surge();
        if let Some(record) = self
            .announcement_record(execution.node)
            .filter(|_| in_surge)
        {
            record.cancelled += 1;
        }
    }

    /// Applies what a response of a backend announces to a request that was sent at `sent_at`.
    pub(super) fn read_announcements(
        &mut self,
        node: usize,
        source: ResponseSource,
        sent_at: Timestamp,
    ) {
        let (now, in_surge) = (self.now, self.in_surge());
        let surge_begin = Timestamp::ZERO + self.settings.before;
        let elapsed = now.saturating_since(surge_begin);
        let Some(record) = self.announcement_record(node) else {
            return;
        };
        let announcement = record.announcement;
        if in_surge {
            record.first_announced_at.get_or_insert(now);
        }
        let rate = match announcement {
            Announcement::RateLimit(course) if in_surge => course.rate(elapsed),
            _ => None,
        };
        if record.rates.last().and_then(|last| last.1) != rate {
            record.rates.push((now, rate));
        }
        if self.is_naive() {
            return;
        }
        let times = ExchangeTimes {
            sent_at,
            received_at: now,
        };
        let state = &mut self.nodes[node];
        match announcement {
            Announcement::Leaving => state.is_leaving = in_surge,
            Announcement::RateLimit(course) if in_surge && is_garbled(course, elapsed) => {
                state.limit.record_malformed(source, times);
            }
            Announcement::RateLimit(_) => state.limit.record(source, times, rate),
        }
    }

    fn announcement_record(&mut self, node: usize) -> Option<&mut AnnouncementRecord> {
        let backend = self.layout.backend_of(node)?;
        let records = self.record.announcements.iter_mut();
        records.into_iter().find(|record| record.backend == backend)
    }
}

/// True if the announced value can't be used.
fn is_garbled(course: LimitCourse, elapsed: Duration) -> bool {
    course.value(elapsed) != course.rate(elapsed).map(|rate| rate.to_string())
}
