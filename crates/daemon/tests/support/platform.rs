//! A minimal platform: a fixed list of objects and machines that a test can change.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use wharfquay_platform::conversion::spec_of;
use wharfquay_resources::kinds::Resource;

use super::body::{Feed, TestBody};

const OPERATION: &str = "018f3a5e-0000-7000-8000-000000000000";

#[derive(Debug)]
struct State {
    version: u64,
    objects: Vec<Value>,
    machines: Vec<Value>,
    watches: Vec<Feed>,
    most_watches: usize,
    down: bool,
}

/// A platform on loopback.
#[derive(Clone, Debug)]
pub struct PlatformStub {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl PlatformStub {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            version: 0,
            objects: Vec::new(),
            machines: Vec::new(),
            watches: Vec::new(),
            most_watches: 0,
            down: false,
        }));
        let served = Arc::clone(&state);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let state = Arc::clone(&served);
                let service = service_fn(move |request| {
                    let answer = answer(&state, &request);
                    async move { Ok::<_, Infallible>(answer) }
                });
                tokio::spawn(async move {
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self { address, state }
    }

    /// Writes a resource.
    pub fn put(&self, resource: &Resource) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let id = resource.id();
        let object = json!({
            "kind": id.kind.as_str(),
            "name": id.name,
            "version": state.version,
            "operation": OPERATION,
            "author": "test",
            "spec": spec_of(resource).unwrap(),
        });
        let event = json!({"type": "put", "version": state.version, "object": object.clone()});
        state.objects.push(object);
        let line = format!("{event}\n");
        state
            .watches
            .retain(|feed| feed.send(Ok(line.clone().into())).is_ok());
    }

    /// Answers nothing but errors, or works again. Watches end when it goes down.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.watches.clear();
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Most watches that were open at the same time.
    pub fn most_watches(&self) -> usize {
        self.state.lock().unwrap().most_watches
    }

    /// Lists a machine, or changes its entry.
    pub fn put_machine(&self, machine: Value) {
        let mut state = self.state.lock().unwrap();
        state.machines.retain(|known| known["id"] != machine["id"]);
        state.machines.push(machine);
    }
}

fn answer(state: &Mutex<State>, request: &Request<Incoming>) -> Response<TestBody> {
    let mut state = state.lock().unwrap();
    if state.down {
        let mut response = whole(&json!({"error": "down"}));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    match request.uri().path() {
        "/v1/objects" => whole(&json!({"version": state.version, "objects": state.objects})),
        "/v1/machines" => whole(&json!({"version": state.version, "machines": state.machines})),
        "/v1/watch" if is_current(&state, request) => watch(&mut state),
        "/v1/watch" => {
            let mut response = whole(&json!({"error": "the version is too old"}));
            *response.status_mut() = StatusCode::GONE;
            response
        }
        _ => {
            let mut response = whole(&json!({"error": "no such path"}));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn whole(value: &Value) -> Response<TestBody> {
    Response::new(TestBody::whole(value.to_string()))
}

/// Whether the watch starts at the newest version; the stub keeps no events for an older start.
fn is_current(state: &State, request: &Request<Incoming>) -> bool {
    let from = format!("from={}", state.version);
    request.uri().query() == Some(from.as_str())
}

fn watch(state: &mut State) -> Response<TestBody> {
    let (feed, body) = TestBody::channel();
    let bookmark = json!({"type": "bookmark", "version": state.version});
    feed.send(Ok(format!("{bookmark}\n").into())).unwrap();
    state.watches.push(feed);
    state.most_watches = state.most_watches.max(state.watches.len());
    Response::new(body)
}
