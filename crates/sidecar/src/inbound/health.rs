//! What a response of the backend's health endpoint shows about its instance.

use http::{HeaderMap, Response, StatusCode};
use wharfquay_core::rate_limit::{ExchangeTimes, ResponseSource};
use wharfquay_protocol::announcement::Announcement;

use super::announcements::Announcements;
use crate::dialect::{Dialect, text};
use crate::instance::InstanceId;

/// A response of the health endpoint.
#[derive(Clone, Debug)]
pub struct HealthReport {
    /// Instance that responded.
    pub instance: InstanceId,
    /// True if the instance considers itself healthy and not leaving.
    pub is_healthy: bool,
    /// True if the instance announces that it is leaving.
    pub is_leaving: bool,
    times: ExchangeTimes,
    headers: HeaderMap,
}

impl HealthReport {
    /// Reads a response; `None` if it does not name its instance.
    pub(super) fn read<B>(
        dialect: &Dialect,
        times: ExchangeTimes,
        response: &Response<B>,
    ) -> Option<Self> {
        let headers = response.headers();
        let instance = text(headers, &dialect.instance)?;
        Some(Self {
            instance: InstanceId::from(instance),
            is_healthy: response.status() == StatusCode::OK,
            is_leaving: dialect.leaving(headers) == Announcement::Valid(()),
            times,
            headers: headers.clone(),
        })
    }

    /// Applies the announced rate limit to the announcements of the instance.
    pub(super) fn apply_to(&self, announcements: &Announcements, dialect: &Dialect) {
        let source = ResponseSource::HealthEndpoint;
        announcements.read(source, self.times, dialect, &self.headers);
    }
}
