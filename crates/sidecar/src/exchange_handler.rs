//! Dispatches requests and notices of other sidecars to the components that handle them.

use std::sync::Arc;
use std::time::Duration;

use wharfquay_core::idempotency::clock::UnixMillis;
use wharfquay_core::quarantine::{RequestFingerprint, RequestTermination};

use crate::confirmation::Confirmation;
use crate::exchange::{ExchangeHandler, ExchangeRequest, Notice, Reply};
use crate::instance::{DepartureIndex, InstanceId};
use crate::quarantine::Quarantine;
use crate::quota::QuotaOwner;

/// Handles the requests and notices of other sidecars.
pub(crate) struct LocalExchangeHandler {
    pub(crate) confirmation: Arc<Confirmation>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) owner: QuotaOwner,
    pub(crate) departures: Arc<DepartureIndex>,
}

impl ExchangeHandler for LocalExchangeHandler {
    fn handle_request(&self, request: &ExchangeRequest) -> Reply {
        match request {
            ExchangeRequest::Confirmation => self.confirmation.reply(),
            ExchangeRequest::Tokens { tenant, wanted } => self.owner.grant(tenant, *wanted),
            ExchangeRequest::Terminations { instance, requests } => {
                let termination =
                    |(fingerprint, was_isolated): &(RequestFingerprint, bool)| RequestTermination {
                        fingerprint: *fingerprint,
                        instance: *instance,
                        was_isolated: *was_isolated,
                    };
                let terminations: Vec<RequestTermination> =
                    requests.iter().map(termination).collect();
                self.quarantine.count_terminations(&terminations);
                Reply::Recorded
            }
            ExchangeRequest::ResponseReceived(fingerprint) => {
                self.quarantine.clear_terminations(*fingerprint);
                Reply::Recorded
            }
            ExchangeRequest::Quarantined { digest } => self.quarantine.reply(*digest),
            ExchangeRequest::Departed {
                name,
                started_at_ms,
                uptime_ms,
                read_records,
            } => {
                let instance = InstanceId::new(name, started_at_ms.map(UnixMillis::new));
                let uptime = Duration::from_millis(*uptime_ms);
                self.departures.reply(&instance, uptime, *read_records)
            }
        }
    }

    fn handle_notice(&self, notice: &Notice) {
        match notice {
            Notice::Quarantine(reports) => self.quarantine.apply_reports(reports),
            Notice::Departed {
                name,
                started_at_ms,
            } => {
                let instance = InstanceId::new(name, started_at_ms.map(UnixMillis::new));
                self.departures.record_announcement(&instance);
            }
            // The exchange has already recorded the era of the datagram.
            Notice::StoreRestored => {}
        }
    }
}
