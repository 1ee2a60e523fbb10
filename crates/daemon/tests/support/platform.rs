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
    /// The lists of machines by version.
    machines: Vec<Vec<Value>>,
    /// The version of the list that is served; the newest one when `None`.
    served_machines: Option<usize>,
    /// Whole lists of machines sent.
    machine_lists_sent: usize,
    /// Reads of the machine list.
    machine_reads: usize,
    watches: Vec<Feed>,
    most_watches: usize,
    down: bool,
}

impl State {
    fn tell(&mut self, event: &Value) {
        let line = format!("{event}\n");
        self.watches
            .retain(|feed| feed.send(Ok(line.clone().into())).is_ok());
    }
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
            machines: vec![Vec::new()],
            served_machines: None,
            machine_lists_sent: 0,
            machine_reads: 0,
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
        let id = resource.id();
        self.write(id.kind.as_str(), &id.name, spec_of(resource).unwrap(), true);
    }

    fn write(&self, kind: &str, name: &str, spec: Value, seen: bool) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let object = json!({
            "kind": kind,
            "name": name,
            "version": state.version,
            "operation": OPERATION,
            "author": "test",
            "spec": spec,
        });
        let event = json!({"type": "put", "version": state.version, "object": object.clone()});
        state
            .objects
            .retain(|known| known["kind"] != kind || known["name"] != name);
        state.objects.push(object);
        if seen {
            state.tell(&event);
        }
    }

    /// Writes a spec as it is, valid or not.
    pub fn put_raw(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, spec, true);
    }

    /// Writes a spec without telling the watches.
    pub fn put_unseen(&self, resource: &Resource) {
        let id = resource.id();
        let spec = spec_of(resource).unwrap();
        self.write(id.kind.as_str(), &id.name, spec, false);
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let is_same = |object: &Value| object["kind"] == kind && object["name"] == name;
        let position = state.objects.iter().position(is_same).unwrap();
        let object = state.objects.remove(position);
        let event = json!({"type": "delete", "version": state.version, "object": object});
        state.tell(&event);
    }

    /// The version of the last write.
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// Makes every answer a failure, and ends the watches, until it is called again with false.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.watches.clear();
    }

    /// Goes back to the state of an earlier version, as a store restored from a backup does.
    pub fn restore(&self, version: u64) {
        let mut state = self.state.lock().unwrap();
        state.version = version;
        state
            .objects
            .retain(|object| object["version"].as_u64() <= Some(version));
        state.watches.clear();
    }

    /// Most watches that were open at the same time.
    pub fn most_watches(&self) -> usize {
        self.state.lock().unwrap().most_watches
    }

    /// Lists a machine, or changes its entry.
    pub fn put_machine(&self, machine: Value) {
        let mut state = self.state.lock().unwrap();
        let mut list = state.machines.last().unwrap().clone();
        list.retain(|known| known["id"] != machine["id"]);
        list.push(machine);
        state.machines.push(list);
    }

    /// Version of the newest list of machines.
    pub fn machines_version(&self) -> usize {
        self.state.lock().unwrap().machines.len() - 1
    }

    /// Serves the list of machines of an earlier version from now on, as a replica that lags does.
    pub fn serve_machines_of(&self, version: usize) {
        self.state.lock().unwrap().served_machines = Some(version);
    }

    /// How often the list of machines was asked for, and how often it was sent whole.
    pub fn machine_reads(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.machine_reads, state.machine_lists_sent)
    }
}

fn answer(state: &Mutex<State>, request: &Request<Incoming>) -> Response<TestBody> {
    let mut state = state.lock().unwrap();
    if state.down {
        return failure(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    match request.uri().path() {
        "/v1/objects" => whole(&json!({"version": state.version, "objects": state.objects})),
        "/v1/machines" => machines(&mut state, request),
        "/v1/watch" if is_current(&state, request) => watch(&mut state),
        "/v1/watch" => failure(StatusCode::GONE, "the version is too old"),
        _ => failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// The list of machines, unless the reader has its version.
fn machines(state: &mut State, request: &Request<Incoming>) -> Response<TestBody> {
    state.machine_reads += 1;
    let newest = state.machines.len() - 1;
    let version = state.served_machines.unwrap_or(newest);
    let known = format!("unless_version={version}");
    if request.uri().query() == Some(known.as_str()) {
        let mut response = Response::new(TestBody::whole(""));
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    state.machine_lists_sent += 1;
    whole(&json!({"version": version, "machines": state.machines[version]}))
}

fn failure(status: StatusCode, reason: &str) -> Response<TestBody> {
    let mut response = whole(&json!({"error": reason}));
    *response.status_mut() = status;
    response
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
