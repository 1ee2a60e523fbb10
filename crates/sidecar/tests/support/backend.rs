//! An emulated backend that speaks the tests' dialect over plain sockets, which allows it to
//! misbehave.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::client::{call, request};
use super::endless::{EndlessPart, write_without_end};

/// Time from the begin of a request that terminates the backend to that termination.
const TERMINATION_DELAY: Duration = Duration::from_millis(40);
/// Time until a terminated backend restarts as another instance.
pub const DOWN_TIME: Duration = Duration::from_millis(250);

/// Behaviour of the backend for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete response.
    Respond,
    /// Sends a complete response after this delay.
    Slow(Duration),
    /// Executes the request and closes the connection without a response.
    LoseResponse,
    /// Sends fewer bytes than the response declares and closes the connection.
    Truncate,
    /// Sends a response without a length, whose body ends with the connection.
    Unframed,
    /// Sends the response, directly followed by a second one to another request.
    RespondTwice,
    /// Sends a response with the id of another request.
    RespondWithOtherId,
    /// Sends a successful response without a signature.
    Unsigned,
    /// Sends a response with a content encoding that was not requested.
    Encoded,
    /// Refuses the request with the proof that it was not executed.
    Refuse,
    /// Refuses the request, and sends the refusal once more after this delay.
    RefuseTwice(Duration),
    /// Responds falsely that another instance has the address.
    Misdirect,
    /// Sends a complete response and, after this delay, a refusal that names no request.
    RespondThenRefuse(Duration),
    /// Sends a complete response and, after this delay, a misdirection by another instance that
    /// names no request.
    RespondThenMisdirect(Duration),
    /// Responds that it is overloaded, without the proof that the request was not executed.
    Unproven503,
    /// Responds with a server error.
    Fail,
    /// Sends a response with a body of this many bytes.
    Long(usize),
    /// Declares a body of this many bytes and closes the connection before the last one.
    TruncateLong(usize),
    /// Begins to execute the request and terminates.
    Terminate,
    /// Sends a response that does not end, as fast as the link allows.
    Endless(EndlessPart),
}

/// One request as the backend received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct State {
    instance: String,
    is_healthy: bool,
    next: VecDeque<Behaviour>,
    executed: Vec<ReceivedRequest>,
    abandoned: usize,
    /// Number of requests of which the backend is reading the body or has read it.
    begun: usize,
    /// Requests whose target contains this text terminate the backend.
    terminates_on: Option<String>,
    /// Number of terminations of the backend.
    terminations: usize,
    is_down: bool,
    /// Header lines that every response contains.
    announced: String,
    /// Time for which the backend executes a request that has no other behaviour.
    service_time: Option<Duration>,
    /// When requests addressed to the instance arrived.
    arrivals: Vec<Instant>,
    /// Address of the sidecar and path of the call that the backend makes for each request.
    nested_call: Option<(SocketAddr, String)>,
    endless: Arc<EndlessResponses>,
}

/// Responses without end that the backend sends or has sent.
#[derive(Debug, Default)]
struct EndlessResponses {
    /// Number of those whose connection is open.
    open: AtomicUsize,
    /// Number of bytes sent.
    sent: AtomicUsize,
}

#[derive(Clone, Debug)]
pub struct EmulatedBackend {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    termination: Arc<Notify>,
}

impl EmulatedBackend {
    pub async fn start(instance: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            instance: instance.to_owned(),
            is_healthy: true,
            ..State::default()
        }));
        let backend = Self {
            address,
            state,
            termination: Arc::default(),
        };
        tokio::spawn(backend.clone().run(listener));
        backend
    }

    /// Serves, terminates when requested, and restarts as another instance.
    async fn run(self, first: TcpListener) {
        let mut listener = first;
        loop {
            let mut connections = JoinSet::new();
            let serving = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (state, termination) =
                        (Arc::clone(&self.state), Arc::clone(&self.termination));
                    connections.spawn(serve(stream, state, termination));
                }
            };
            tokio::select! {
                () = serving => return,
                () = self.termination.notified() => {}
            }
            drop(listener);
            connections.shutdown().await;
            self.record_termination();
            tokio::time::sleep(DOWN_TIME).await;
            listener = TcpListener::bind(self.address).await.unwrap();
            self.state.lock().unwrap().is_down = false;
        }
    }

    fn record_termination(&self) {
        let mut state = self.state.lock().unwrap();
        state.terminations += 1;
        state.is_down = true;
        let first = state.instance.split('+').next().unwrap_or_default();
        state.instance = format!("{first}+{}", state.terminations);
    }

    /// Terminates the backend, including the requests in execution.
    pub fn kill(&self) {
        self.termination.notify_one();
    }

    /// Makes requests whose target contains `text` terminate the backend.
    pub fn terminate_on(&self, text: &str) {
        self.state.lock().unwrap().terminates_on = Some(text.to_owned());
    }

    /// Returns the number of terminations.
    pub fn terminations(&self) -> usize {
        self.state.lock().unwrap().terminations
    }

    /// True if the backend has terminated and not restarted yet.
    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn instance(&self) -> String {
        self.state.lock().unwrap().instance.clone()
    }

    /// Replaces the instance at this address by another one.
    pub fn replace(&self, instance: &str) {
        self.state.lock().unwrap().instance = instance.to_owned();
    }

    pub fn set_healthy(&self, is_healthy: bool) {
        self.state.lock().unwrap().is_healthy = is_healthy;
    }

    /// Sets the behaviour for the next requests. Requests after these receive complete responses.
    pub fn expect(&self, behaviours: &[Behaviour]) {
        self.state
            .lock()
            .unwrap()
            .next
            .extend(behaviours.iter().copied());
    }

    /// Discards the behaviours set by [`Self::expect`] that no request has used yet.
    pub fn expect_nothing(&self) {
        self.state.lock().unwrap().next.clear();
    }

    /// Makes the backend call `path` through the sidecar at `address` for each request, and respond
    /// with a server error if the call fails.
    pub fn call_for_each_request(&self, address: SocketAddr, path: &str) {
        self.state.lock().unwrap().nested_call = Some((address, path.to_owned()));
    }

    /// Sets the headers that every response contains, such as announcements.
    pub fn announce(&self, headers: &[(&str, &str)]) {
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        self.state.lock().unwrap().announced = lines.collect();
    }

    /// Sets the time for which the backend executes requests.
    pub fn set_service_time(&self, time: Duration) {
        self.state.lock().unwrap().service_time = Some(time);
    }

    /// Returns when requests addressed to the instance arrived, including refused ones.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Returns the requests that the backend executed.
    pub fn executed(&self) -> Vec<ReceivedRequest> {
        self.state.lock().unwrap().executed.clone()
    }

    /// Returns the number of requests whose head has arrived, health checks included.
    pub fn begun(&self) -> usize {
        self.state.lock().unwrap().begun
    }

    /// Returns the number of responses without end that are being sent.
    pub fn endless_responses(&self) -> usize {
        self.state
            .lock()
            .unwrap()
            .endless
            .open
            .load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose connection was closed while they were executed.
    pub fn abandoned(&self) -> usize {
        self.state.lock().unwrap().abandoned
    }
}

/// The sending half of a connection. Extra responses are sent while the next request is executed.
type Writer = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

async fn serve(stream: TcpStream, state: Arc<Mutex<State>>, termination: Arc<Notify>) {
    let (mut stream, writer) = stream.into_split();
    let writer: Writer = Arc::new(tokio::sync::Mutex::new(writer));
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        state.lock().unwrap().begun += 1;
        let Some(executed) = read_body(&mut stream, &mut buffer, head).await else {
            return;
        };
        let id = executed.header("test-request-id").map(str::to_owned);
        let (mut response, close, nested_call) = {
            let mut state = state.lock().unwrap();
            let (response, close) = respond(&mut state, executed);
            (response, close, state.nested_call.clone())
        };
        if let (Some(id), Some((address, path))) = (id, nested_call) {
            let nested = request("GET", &path, &format!("{id}.1"), "");
            if call(address, &nested).await.status != 200 {
                response.bytes = server_error(500, &id).into_bytes();
            }
        }
        if response.terminations {
            tokio::time::sleep(TERMINATION_DELAY).await;
            termination.notify_one();
            return std::future::pending().await;
        }
        if let Some(wait) = response.wait {
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = read_until_closed(&mut stream, &mut buffer) => {
                    state.lock().unwrap().abandoned += 1;
                    return;
                }
            }
        }
        if let Some(part) = response.endless {
            let endless = Arc::clone(&state.lock().unwrap().endless);
            endless.open.fetch_add(1, Ordering::SeqCst);
            write_without_end(&mut *writer.lock().await, part, &endless.sent).await;
            endless.open.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let bytes = with_announcements(response.bytes, &state.lock().unwrap().announced);
        if writer.lock().await.write_all(&bytes).await.is_err() || close {
            return;
        }
        if let Some(extra) = response.extra {
            tokio::spawn(extra.send(Arc::clone(&writer)));
        }
    }
}

/// A response that no request is due.
struct ExtraResponse {
    delay: Duration,
    bytes: Vec<u8>,
}

impl ExtraResponse {
    async fn send(self, writer: Writer) {
        tokio::time::sleep(self.delay).await;
        // The connection may have been closed meanwhile.
        let _ = writer.lock().await.write_all(&self.bytes).await;
    }
}

/// Inserts header lines after the status line of a response.
fn with_announcements(mut response: Vec<u8>, lines: &str) -> Vec<u8> {
    if let Some(end) = response.windows(2).position(|part| part == b"\r\n") {
        response.splice(end + 2..end + 2, lines.bytes());
    }
    response
}

struct PlannedResponse {
    wait: Option<Duration>,
    bytes: Vec<u8>,
    extra: Option<ExtraResponse>,
    endless: Option<EndlessPart>,
    terminations: bool,
}

fn respond(state: &mut State, executed: ReceivedRequest) -> (PlannedResponse, bool) {
    let immediate = |text: String| PlannedResponse {
        wait: None,
        bytes: text.into_bytes(),
        extra: None,
        endless: None,
        terminations: false,
    };
    let with_extra = |text: String, delay: Duration, extra: String| PlannedResponse {
        extra: Some(ExtraResponse {
            delay,
            bytes: extra.into_bytes(),
        }),
        ..immediate(text)
    };
    let instance = state.instance.clone();
    if executed.request_line().starts_with("GET /health ") {
        let status = if state.is_healthy {
            "200 OK"
        } else {
            "503 Leaving"
        };
        let text =
            format!("HTTP/1.1 {status}\r\ntest-instance: {instance}\r\ncontent-length: 0\r\n\r\n");
        return (immediate(text), false);
    }
    let id = executed
        .header("test-request-id")
        .unwrap_or_default()
        .to_owned();
    if executed.header("test-target") != Some(instance.as_str()) {
        let text = format!(
            "HTTP/1.1 421 Misdirected\r\ntest-request-id: {id}\r\ntest-instance: {instance}\r\n\
             content-length: 0\r\n\r\n"
        );
        return (immediate(text), false);
    }
    state.arrivals.push(Instant::now());
    let terminates = state
        .terminates_on
        .as_ref()
        .is_some_and(|text| executed.request_line().contains(text));
    let behaviour = match terminates {
        true => Behaviour::Terminate,
        false => state.next.pop_front().unwrap_or_else(|| {
            let service_time = state.service_time;
            service_time.map_or(Behaviour::Respond, Behaviour::Slow)
        }),
    };
    let refusal = format!(
        "HTTP/1.1 503 Full\r\ntest-request-id: {id}\r\ntest-not-executed: 1\r\n\
         content-length: 0\r\n\r\n"
    );
    match behaviour {
        Behaviour::Misdirect => {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\ntest-request-id: {id}\r\ntest-instance: another\r\n\
                 content-length: 0\r\n\r\n"
            );
            return (immediate(text), false);
        }
        Behaviour::Refuse => return (immediate(refusal), false),
        Behaviour::RefuseTwice(delay) => {
            return (with_extra(refusal.clone(), delay, refusal), false);
        }
        _ => {}
    }
    let body = format!("{instance} {}", executed.request_line());
    state.executed.push(executed);
    let signed = |id: &str, extra: &str, length: usize, body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ntest-signature: s\r\n{extra}\
             content-length: {length}\r\n\r\n{body}"
        )
    };
    let complete = signed(&id, "", body.len(), &body);
    match behaviour {
        Behaviour::Respond
        | Behaviour::Refuse
        | Behaviour::RefuseTwice(_)
        | Behaviour::Misdirect => (immediate(complete), false),
        Behaviour::RespondThenRefuse(delay) => {
            let extra = "HTTP/1.1 503 Full\r\ntest-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
            (with_extra(complete, delay, extra.to_owned()), false)
        }
        Behaviour::RespondThenMisdirect(delay) => {
            let extra = "HTTP/1.1 421 Misdirected\r\ntest-instance: another\r\n\
                         content-length: 0\r\n\r\n";
            (with_extra(complete, delay, extra.to_owned()), false)
        }
        Behaviour::Slow(wait) => (
            PlannedResponse {
                wait: Some(wait),
                ..immediate(complete)
            },
            false,
        ),
        Behaviour::Endless(part) => (
            PlannedResponse {
                endless: Some(part),
                ..immediate(String::new())
            },
            true,
        ),
        Behaviour::LoseResponse => (immediate(String::new()), true),
        Behaviour::Terminate => {
            let mut reply = immediate(String::new());
            reply.terminations = true;
            (reply, true)
        }
        Behaviour::Truncate => (immediate(signed(&id, "", body.len() + 10, &body)), true),
        Behaviour::Unframed => {
            let text = format!(
                "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ntest-signature: s\r\n\r\n{body}"
            );
            (immediate(text), true)
        }
        Behaviour::RespondTwice => {
            let other = signed("someone-else", "", 5, "wrong");
            (immediate(format!("{complete}{other}")), false)
        }
        Behaviour::RespondWithOtherId => (immediate(signed("someone-else", "", 5, "wrong")), false),
        Behaviour::Unsigned => {
            let text = format!(
                "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            (immediate(text), false)
        }
        Behaviour::Encoded => {
            let text = signed(&id, "content-encoding: gzip\r\n", body.len(), &body);
            (immediate(text), false)
        }
        Behaviour::Long(length) => (
            immediate(signed(&id, "", length, &"y".repeat(length))),
            false,
        ),
        Behaviour::TruncateLong(length) => {
            let body = "y".repeat(length - 1);
            (immediate(signed(&id, "", length, &body)), true)
        }
        Behaviour::Unproven503 | Behaviour::Fail => {
            let status = if behaviour == Behaviour::Fail {
                500
            } else {
                503
            };
            (immediate(server_error(status, &id)), false)
        }
    }
}

fn server_error(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} No\r\ntest-request-id: {id}\r\ntest-signature: s\r\n\
         content-length: 2\r\n\r\nno"
    )
}

async fn read_head(stream: &mut OwnedReadHalf, buffer: &mut Vec<u8>) -> Option<String> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        fill(stream, buffer).await?;
    };
    String::from_utf8(buffer.drain(..end).collect()).ok()
}

/// Returns the request; `None` if the connection ends within its body.
async fn read_body(
    stream: &mut OwnedReadHalf,
    buffer: &mut Vec<u8>,
    head: String,
) -> Option<ReceivedRequest> {
    let mut executed = ReceivedRequest {
        head,
        body: Vec::new(),
    };
    let length: usize = executed
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    if executed.header("transfer-encoding").is_some() {
        while !buffer.windows(5).any(|part| part == b"0\r\n\r\n") {
            fill(stream, buffer).await?;
        }
        executed.body = std::mem::take(buffer);
        return Some(executed);
    }
    while buffer.len() < length {
        fill(stream, buffer).await?;
    }
    executed.body = buffer.drain(..length).collect();
    Some(executed)
}

/// Reads what arrives during an execution; returns when the connection is closed.
async fn read_until_closed(stream: &mut OwnedReadHalf, buffer: &mut Vec<u8>) {
    while fill(stream, buffer).await.is_some() {}
}

async fn fill(stream: &mut OwnedReadHalf, buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 4_096];
    let length = stream
        .read(&mut piece)
        .await
        .ok()
        .filter(|length| *length > 0)?;
    buffer.extend_from_slice(&piece[..length]);
    Some(())
}
