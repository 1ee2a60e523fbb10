//! The admin side: health, readiness, metrics and status.

mod claims;
mod decisions;

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use wharfquay_core::routing::EndpointId;
use wharfquay_resources::snapshot::Revision;

use crate::admin::claims::ClaimStatus;
use crate::inbound::LocalBackend;
use crate::metrics::Gauge;
use crate::node::Node;

const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// What the admin pages read from.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub(crate) node: Arc<Node>,
    pub(crate) backend: Option<Arc<LocalBackend>>,
}

/// State of one daemon, as `/status` shows it.
#[derive(Debug, Serialize)]
struct Status<'a> {
    id: &'a str,
    zone: &'a str,
    service: Option<&'a str>,
    ready: bool,
    stopping: bool,
    leaving: bool,
    revision: u64,
    calls_in_flight: usize,
    peers_connected: usize,
    endpoints: Vec<EndpointStatus>,
    admission: Option<AdmissionStatus>,
    claims: ClaimStatus,
}

#[derive(Debug, Serialize)]
struct EndpointStatus {
    service: String,
    id: String,
    zone: String,
    address: String,
    leaving: bool,
    /// Unix time in milliseconds at which its daemon started; 0 where that is not known yet, absent
    /// before calls are routed to it.
    incarnation: Option<u64>,
}

#[derive(Debug, Serialize)]
struct AdmissionStatus {
    level: u16,
    in_flight: u32,
    limit: u32,
    queued: u32,
    open_connections: usize,
    open_scopes: usize,
}

impl AdminState {
    pub(crate) fn router(self) -> Router {
        let page = |name: Page| AdminPage {
            state: self.clone(),
            page: name,
        };
        Router::new()
            .push(Router::with_path("healthz").get(page(Page::Health)))
            .push(Router::with_path("readyz").get(page(Page::Readiness)))
            .push(Router::with_path("metrics").get(page(Page::Metrics)))
            .push(Router::with_path("status").get(page(Page::Status)))
            .push(Router::with_path("decisions").get(page(Page::Decisions)))
    }

    fn revision(&self) -> Revision {
        self.node.applied().revision
    }

    /// Why this daemon can't serve now; none when it can.
    fn unready_reason(&self) -> Option<&'static str> {
        if self.node.is_stopping() {
            return Some("stopping");
        }
        if self.revision() == Revision::ZERO {
            return Some("no configuration in force");
        }
        None
    }

    fn status(&self) -> Status<'_> {
        let settings = &self.node.settings;
        Status {
            id: &settings.id,
            zone: &settings.zone,
            service: self
                .backend
                .as_ref()
                .map(|backend| backend.service.as_str()),
            ready: self.unready_reason().is_none(),
            stopping: self.node.is_stopping(),
            leaving: *self.node.control.leaving.borrow(),
            revision: self.revision().number(),
            calls_in_flight: self.node.calls_in_flight(),
            peers_connected: self.node.forwarder.peers().connected(),
            endpoints: self.endpoints(),
            admission: self.admission(),
            claims: self.claims(),
        }
    }

    fn endpoints(&self) -> Vec<EndpointStatus> {
        self.node
            .applied()
            .endpoints
            .iter()
            .map(|(service, record)| EndpointStatus {
                service: service.to_owned(),
                id: record.id.to_string(),
                zone: record.zone.to_string(),
                address: record.call_address.to_string(),
                leaving: record.state == wharfquay_core::routing::EndpointState::Leaving,
                incarnation: self.incarnation(service, &record.id),
            })
            .collect()
    }

    fn incarnation(&self, service: &str, endpoint: &EndpointId) -> Option<u64> {
        let route = self.node.forwarder.routes().get(service)?;
        route.incarnation(endpoint)
    }

    fn admission(&self) -> Option<AdmissionStatus> {
        let backend = self.backend.as_ref()?;
        let report = backend.gate.report();
        Some(AdmissionStatus {
            level: report.level.number(),
            in_flight: report.load.in_flight,
            limit: report.load.limit,
            queued: report.load.queued,
            open_connections: backend.pool.open_connections(),
            open_scopes: self.node.scopes.len(),
        })
    }

    fn claims(&self) -> ClaimStatus {
        ClaimStatus::new(self.node.control.claims.status())
    }

    fn gauges(&self) -> Vec<Gauge> {
        let gauge = |name, help, value| Gauge { name, help, value };
        let mut gauges = vec![
            gauge(
                "wharfquay_configuration_revision",
                "Revision in force.",
                self.revision().number(),
            ),
            gauge(
                "wharfquay_calls_in_flight",
                "Calls that have not ended.",
                self.node.calls_in_flight() as u64,
            ),
            gauge(
                "wharfquay_peers_connected",
                "Daemons with an open connection.",
                self.node.forwarder.peers().connected() as u64,
            ),
        ];
        gauges.extend(self.claims().gauges());
        if let Some(admission) = self.admission() {
            gauges.extend(admission_gauges(&admission));
        }
        gauges
    }
}

fn admission_gauges(admission: &AdmissionStatus) -> [Gauge; 5] {
    let gauge = |name, help, value| Gauge { name, help, value };
    [
        gauge(
            "wharfquay_admission_level",
            "Admission level, 0 (closed) to 32768 (open).",
            u64::from(admission.level),
        ),
        gauge(
            "wharfquay_admission_in_flight",
            "Calls in execution at the back end.",
            u64::from(admission.in_flight),
        ),
        gauge(
            "wharfquay_admission_limit",
            "Concurrency limit in force.",
            u64::from(admission.limit),
        ),
        gauge(
            "wharfquay_admission_queued",
            "Calls that wait.",
            u64::from(admission.queued),
        ),
        gauge(
            "wharfquay_backend_connections",
            "Open connections to the back end.",
            admission.open_connections as u64,
        ),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Page {
    Health,
    Readiness,
    Metrics,
    Status,
    Decisions,
}

struct AdminPage {
    state: AdminState,
    page: Page,
}

#[async_trait]
impl Handler for AdminPage {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Health => response.render("ok\n"),
            Page::Readiness => match self.state.unready_reason() {
                None => response.render("ready\n"),
                Some(reason) => {
                    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                    response.render(format!("not ready: {reason}\n"));
                }
            },
            Page::Metrics => {
                response.render(self.state.node.metrics.render(&self.state.gauges()));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, PROMETHEUS_TEXT);
            }
            Page::Status => response.render(salvo::writing::Json(self.state.status())),
            Page::Decisions => decisions::render(&self.state.node.decisions, request, response),
        }
    }
}
