//! Routes of the object API: each serves one call, behind the fault switches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};

use super::api::{self, ApiAnswer, ApiCall, ApiRequest, PathParameters, QueryParameters};
use super::server::Platform;
use super::store::Store;
use super::watch::WatchHandler;

/// Largest body that is read, in bytes.
const MAXIMUM_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Every route of the API.
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
        .hoop(FaultGate(Arc::clone(platform)))
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

/// What a call does to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// Nothing.
    Read,
    /// Changes it.
    Write,
    /// Shows or sets the fault switches, which work in spite of every fault.
    Switch,
}

/// Serves one call of the API.
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

    async fn serve(self, mut request: ApiRequest) -> Served {
        if self.effect != Effect::Switch
            && let Err(served) = pass_faults(&self.platform).await
        {
            return served;
        }
        request.now = self.platform.now();
        let call = |store: &mut Store| (self.call)(store, &request);
        if self.effect == Effect::Read {
            let result = self.platform.with_store(call);
            return Served::Answer(result.unwrap_or_else(|failure| failure));
        }
        let result = self.platform.change(call);
        if self.effect == Effect::Write && result.is_ok() && self.loses_answer() {
            return Served::NoAnswer;
        }
        Served::Answer(result.unwrap_or_else(|failure| failure))
    }

    fn loses_answer(&self) -> bool {
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
        let body = match request.payload_with_max_size(MAXIMUM_BODY_BYTES).await {
            Ok(body) => body.clone(),
            Err(_) => Bytes::new(),
        };
        let api_request = ApiRequest {
            now: self.platform.now(),
            path: PathParameters::of(request),
            query: QueryParameters::of(request),
            body,
        };
        // A task of its own, so that the call goes on when the caller leaves.
        let served = tokio::spawn(self.clone().serve(api_request)).await;
        let served = served.unwrap_or_else(|error| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            Served::Answer(ApiAnswer::failure(status, error.to_string()))
        });
        answer_or_wait(response, served).await;
    }
}

/// Applies the fault switches in front of another handler.
struct FaultGate(Arc<Platform>);

#[async_trait]
impl Handler for FaultGate {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        if let Err(served) = pass_faults(&self.0).await {
            answer_or_wait(response, served).await;
            control.skip_rest();
        }
    }
}

/// How a call ends.
enum Served {
    /// With this answer.
    Answer(ApiAnswer),
    /// Not at all, until the caller leaves.
    NoAnswer,
}

/// Waits as the switches demand; the error is how the call ends at once.
async fn pass_faults(platform: &Platform) -> Result<(), Served> {
    let faults = platform.with_store(|store| store.faults.clone());
    if faults.down {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let answer = ApiAnswer::failure(status, "down".to_owned());
        return Err(Served::Answer(answer));
    }
    if faults.hang {
        return Err(Served::NoAnswer);
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    Ok(())
}

async fn answer_or_wait(response: &mut Response, served: Served) {
    match served {
        Served::Answer(answer) => render(response, answer),
        Served::NoAnswer => std::future::pending().await,
    }
}

pub(super) fn render(response: &mut Response, answer: ApiAnswer) {
    response.status_code(answer.status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response.body(answer.body);
}
