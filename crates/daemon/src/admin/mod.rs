//! The admin side: HTTP pages for health, readiness, metrics, status and decisions.

mod decisions;
mod gauges;
mod status;

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use wharfquay_resources::snapshot::Revision;

use crate::inbound::LocalBackend;
use crate::node::Node;

const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// The state that the admin pages show.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub(crate) node: Arc<Node>,
    pub(crate) backend: Option<Arc<LocalBackend>>,
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

    /// Returns the reason why this daemon can't serve, or `None` if it can.
    fn unready_reason(&self) -> Option<&'static str> {
        if self.node.is_stopping() {
            return Some("stopping");
        }
        if self.revision() == Revision::ZERO {
            return Some("no configuration in force");
        }
        None
    }
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
                let samples = self.state.node.metrics.samples();
                response.render(gauges::render_metrics(&self.state.status(), samples));
                let headers = response.headers_mut();
                headers.insert(CONTENT_TYPE, PROMETHEUS_TEXT);
            }
            Page::Status => response.render(salvo::writing::Json(self.state.status())),
            Page::Decisions => decisions::render(&self.state.node.decisions, request, response),
        }
    }
}
