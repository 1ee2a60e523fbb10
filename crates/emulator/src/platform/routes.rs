//! Routes of the object API. Each serves one call and applies the fault switches first.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::api::{self, ApiCall, ApiRequest, ApiResponse, PathParameters, QueryParameters};
use super::server::Platform;
use super::store::Store;
use super::watch::WatchHandler;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Returns the router of the API.
pub(super) fn routes(platform: &Arc<Platform>) -> Router {
    let read = |call| Endpoint::new(platform, call, Effect::Read);
    let write = |call| Endpoint::new(platform, call, Effect::Write);
    let switch = |call| Endpoint::new(platform, call, Effect::Switch);
    let objects = Router::with_path("objects")
        .get(read(api::list_objects))
        .push(
            Router::with_path("{kind}/{name}")
                .get(read(api::get_object))
                .put(write(api::put_object))
                .delete(write(api::delete_object)),
        );
    let status = Router::with_path("status")
        .get(read(api::list_status))
        .push(
            Router::with_path("{kind}/{name}")
                .get(read(api::get_status))
                .put(write(api::put_status))
                .delete(write(api::delete_status)),
        );
    let leases = Router::with_path("leases/{name}")
        .put(write(api::acquire_lease))
        .delete(write(api::release_lease));
    let machines = Router::with_path("machines")
        .get(read(api::list_machines))
        .push(
            Router::with_path("{name}")
                .put(write(api::put_machine))
                .delete(write(api::delete_machine)),
        );
    let watch = Router::with_path("watch")
        .hoop(FaultMiddleware(Arc::clone(platform)))
        .get(WatchHandler(Arc::clone(platform)));
    let faults = Router::with_path("faults")
        .get(switch(api::get_faults))
        .put(switch(api::put_faults));
    Router::with_path("v1")
        .push(objects)
        .push(status)
        .push(leases)
        .push(machines)
        .push(watch)
        .push(faults)
}

/// Effect of a call on the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Leaves the store unchanged.
    Read,
    /// Changes the store.
    Write,
    /// Reads or sets the fault switches; the faults don't apply to it.
    Switch,
}

/// Handler of one call of the API.
#[derive(Clone)]
struct Endpoint {
    platform: Arc<Platform>,
    call: ApiCall,
    effect: Effect,
}

impl Endpoint {
    fn new(platform: &Arc<Platform>, call: ApiCall, effect: Effect) -> Self {
        Self {
            platform: Arc::clone(platform),
            call,
            effect,
        }
    }

    async fn serve(self, mut request: ApiRequest) -> CallResult {
        if self.effect != Effect::Switch
            && let Err(result) = apply_faults(&self.platform).await
        {
            return result;
        }
        request.now = self.platform.now();
        let call = |store: &mut Store| (self.call)(store, &request);
        if self.effect == Effect::Read {
            let result = self.platform.with_store(call);
            return CallResult::Response(result.unwrap_or_else(|failure| failure));
        }
        let result = self.platform.change(call);
        if self.effect == Effect::Write && result.is_ok() && self.loses_response() {
            return CallResult::NoResponse;
        }
        CallResult::Response(result.unwrap_or_else(|failure| failure))
    }

    fn loses_response(&self) -> bool {
        self.platform.with_store(|store| {
            let lost = store.faults.lose_answers > 0;
            store.faults.lose_answers = store.faults.lose_answers.saturating_sub(1);
            lost
        })
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let body = match request.payload_with_max_size(MAX_BODY_BYTES).await {
            Ok(body) => body.clone(),
            Err(_) => Bytes::new(),
        };
        let api_request = ApiRequest {
            now: self.platform.now(),
            path: PathParameters::of(request),
            query: QueryParameters::of(request),
            body,
        };
        // A separate task, because a write must take effect even if the client disconnects.
        let result = tokio::spawn(self.clone().serve(api_request)).await;
        let result = result.unwrap_or_else(|error| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            CallResult::Response(ApiResponse::failure(status, error.to_string()))
        });
        respond_or_hang(response, result).await;
    }
}

/// Middleware that applies the fault switches before another handler.
struct FaultMiddleware(Arc<Platform>);

#[async_trait]
impl Handler for FaultMiddleware {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        if let Err(result) = apply_faults(&self.0).await {
            respond_or_hang(response, result).await;
            control.skip_rest();
        }
    }
}

/// Result of a call.
enum CallResult {
    /// Responds with this response.
    Response(ApiResponse),
    /// Sends no response and keeps the request open until the client disconnects.
    NoResponse,
}

/// Applies the injected delay; the error is the result of a call that a fault prevents.
async fn apply_faults(platform: &Platform) -> Result<(), CallResult> {
    let faults = platform.with_store(|store| store.faults.clone());
    if faults.down {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let api_response = ApiResponse::failure(status, "down".to_owned());
        return Err(CallResult::Response(api_response));
    }
    if faults.hang {
        return Err(CallResult::NoResponse);
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    Ok(())
}

async fn respond_or_hang(response: &mut Response, result: CallResult) {
    match result {
        CallResult::Response(api_response) => render(response, api_response),
        CallResult::NoResponse => std::future::pending().await,
    }
}

pub(super) fn render(response: &mut Response, api_response: ApiResponse) {
    response.status_code(api_response.status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(api_response.body);
}
