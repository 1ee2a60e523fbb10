//! An emulated platform with objects and machines that a test can change.

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

use super::body::{ChunkSender, TestBody};

const OPERATION: &str = "018f3a5e-0000-7000-8000-000000000000";

#[derive(Debug)]
struct State {
    version: u64,
    objects: Vec<Value>,
    /// Machine lists, indexed by version.
    machines: Vec<Vec<Value>>,
    /// Version of the machine list that is served; `None` for the newest one.
    served_machines: Option<usize>,
    /// Number of machine lists sent in full.
    machine_lists_sent: usize,
    /// Number of reads of the machine list.
    machine_reads: usize,
    watches: Vec<ChunkSender>,
    max_watches: usize,
    down: bool,
}

impl State {
    fn notify_watches(&mut self, event: &Value) {
        let line = format!("{event}\n");
        self.watches
            .retain(|sender| sender.send(Ok(line.clone().into())).is_ok());
    }
}

/// An emulated platform on loopback.
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
            max_watches: 0,
            down: false,
        }));
        let served = Arc::clone(&state);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let state = Arc::clone(&served);
                let service = service_fn(move |request| {
                    let response = response(&state, &request);
                    async move { Ok::<_, Infallible>(response) }
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

    fn write(&self, kind: &str, name: &str, spec: Value, notify: bool) {
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
        if notify {
            state.notify_watches(&event);
        }
    }

    /// Writes a spec without validating it.
    pub fn put_raw(&self, kind: &str, name: &str, spec: Value) {
        self.write(kind, name, spec, true);
    }

    /// Writes a resource without sending an event to the watches.
    pub fn put_without_event(&self, resource: &Resource) {
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
        state.notify_watches(&event);
    }

    /// Returns the version of the last write.
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// With true, closes the watches and makes every request fail until called with false.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.watches.clear();
    }

    /// Restores the state of an earlier version, like a store restored from a backup.
    pub fn restore(&self, version: u64) {
        let mut state = self.state.lock().unwrap();
        state.version = version;
        state
            .objects
            .retain(|object| object["version"].as_u64() <= Some(version));
        state.watches.clear();
    }

    /// Returns the maximum number of watches that were open concurrently.
    pub fn max_watches(&self) -> usize {
        self.state.lock().unwrap().max_watches
    }

    /// Adds a machine to the list or replaces its entry.
    pub fn put_machine(&self, machine: Value) {
        let mut state = self.state.lock().unwrap();
        let mut list = state.machines.last().unwrap().clone();
        list.retain(|known| known["id"] != machine["id"]);
        list.push(machine);
        state.machines.push(list);
    }

    /// Returns the version of the newest machine list.
    pub fn machines_version(&self) -> usize {
        self.state.lock().unwrap().machines.len() - 1
    }

    /// Serves the machine list of an earlier version from now on, like a lagging replica.
    pub fn serve_machines_of(&self, version: usize) {
        self.state.lock().unwrap().served_machines = Some(version);
    }

    /// Returns how often the machine list was requested and how often it was sent in full.
    pub fn machine_reads(&self) -> (usize, usize) {
        let state = self.state.lock().unwrap();
        (state.machine_reads, state.machine_lists_sent)
    }
}

fn response(state: &Mutex<State>, request: &Request<Incoming>) -> Response<TestBody> {
    let mut state = state.lock().unwrap();
    if state.down {
        return failure(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    match request.uri().path() {
        "/v1/objects" => {
            json_response(&json!({"version": state.version, "objects": state.objects}))
        }
        "/v1/machines" => machines(&mut state, request),
        "/v1/watch" if is_current(&state, request) => watch(&mut state),
        "/v1/watch" => failure(StatusCode::GONE, "the version is too old"),
        _ => failure(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Returns the machine list, or 304 Not Modified if the reader has this version.
fn machines(state: &mut State, request: &Request<Incoming>) -> Response<TestBody> {
    state.machine_reads += 1;
    let newest = state.machines.len() - 1;
    let version = state.served_machines.unwrap_or(newest);
    let known = format!("unless_version={version}");
    if request.uri().query() == Some(known.as_str()) {
        let mut response = Response::new(TestBody::complete(""));
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    state.machine_lists_sent += 1;
    json_response(&json!({"version": version, "machines": state.machines[version]}))
}

fn failure(status: StatusCode, reason: &str) -> Response<TestBody> {
    let mut response = json_response(&json!({"error": reason}));
    *response.status_mut() = status;
    response
}

fn json_response(value: &Value) -> Response<TestBody> {
    Response::new(TestBody::complete(value.to_string()))
}

/// Returns true if the watch starts at the newest version; the emulated platform stores no events
/// for an older start.
fn is_current(state: &State, request: &Request<Incoming>) -> bool {
    let from = format!("from={}", state.version);
    request.uri().query() == Some(from.as_str())
}

fn watch(state: &mut State) -> Response<TestBody> {
    let (sender, body) = TestBody::channel();
    let bookmark = json!({"type": "bookmark", "version": state.version});
    sender.send(Ok(format!("{bookmark}\n").into())).unwrap();
    state.watches.push(sender);
    state.max_watches = state.max_watches.max(state.watches.len());
    Response::new(body)
}
