//! A back end that speaks the tests' dialect over plain sockets, so that it can also misbehave.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Time from the begin of a request that ends the back end to that end.
const TIME_TO_END: Duration = Duration::from_millis(40);
/// Time until a back end that ended is back, as another instance.
pub const DOWN_TIME: Duration = Duration::from_millis(250);

/// What the back end does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers with its whole body.
    Answer,
    /// Answers after a while.
    Slow(Duration),
    /// Executes the request and closes the connection without an answer.
    LoseAnswer,
    /// Answers with fewer bytes than it says and closes the connection.
    CutShort,
    /// Answers without a length and ends the body with the connection.
    Unframed,
    /// Answers, and sends a second answer of another request right after.
    AnswerTwice,
    /// Answers with the id of another request.
    AnswerAnother,
    /// Answers with success and without a signature.
    Unsigned,
    /// Answers with bytes in a coding that nobody asked for.
    Encoded,
    /// Proves that it did not execute the request.
    Refuse,
    /// Answers that it is overloaded, without a proof that it did not execute the request.
    Unproven503,
    /// Answers with a failure of its own.
    Fail,
    /// Answers with a body of this many bytes.
    Long(usize),
    /// Says that it answers with this many bytes and breaks off before the last one.
    LongCutShort(usize),
    /// Begins to execute the request and ends as a process.
    End,
}

/// One request as the back end saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    /// The value of a header.
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
    seen: Vec<Seen>,
    abandoned: usize,
    /// A request whose target holds this text ends the back end.
    ends_on: Option<String>,
    /// Times that the back end ended.
    ends: usize,
    is_down: bool,
}

#[derive(Clone, Debug)]
pub struct StandInBackend {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    end: Arc<Notify>,
}

impl StandInBackend {
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
            end: Arc::default(),
        };
        tokio::spawn(backend.clone().live(listener));
        backend
    }

    /// Serves, ends as a process when told to, and comes back as another instance.
    async fn live(self, first: TcpListener) {
        let mut listener = first;
        loop {
            let mut connections = JoinSet::new();
            let serving = async {
                while let Ok((stream, _)) = listener.accept().await {
                    let (state, end) = (Arc::clone(&self.state), Arc::clone(&self.end));
                    connections.spawn(serve(stream, state, end));
                }
            };
            tokio::select! {
                () = serving => return,
                () = self.end.notified() => {}
            }
            drop(listener);
            connections.shutdown().await;
            self.note_end();
            tokio::time::sleep(DOWN_TIME).await;
            listener = TcpListener::bind(self.address).await.unwrap();
            self.state.lock().unwrap().is_down = false;
        }
    }

    fn note_end(&self) {
        let mut state = self.state.lock().unwrap();
        state.ends += 1;
        state.is_down = true;
        let first = state.instance.split('+').next().unwrap_or_default();
        state.instance = format!("{first}+{}", state.ends);
    }

    /// Ends as a process, whatever it executes.
    pub fn kill(&self) {
        self.end.notify_one();
    }

    /// Requests whose target holds `text` end the back end from now on.
    pub fn end_on(&self, text: &str) {
        self.state.lock().unwrap().ends_on = Some(text.to_owned());
    }

    /// Times that it ended.
    pub fn ends(&self) -> usize {
        self.state.lock().unwrap().ends
    }

    /// Whether it has ended and is not back.
    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().is_down
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn instance(&self) -> String {
        self.state.lock().unwrap().instance.clone()
    }

    /// Another instance has the address from now on.
    pub fn replace(&self, instance: &str) {
        self.state.lock().unwrap().instance = instance.to_owned();
    }

    pub fn set_healthy(&self, is_healthy: bool) {
        self.state.lock().unwrap().is_healthy = is_healthy;
    }

    /// What it does with the next requests; after these it answers.
    pub fn expect(&self, behaviours: &[Behaviour]) {
        self.state
            .lock()
            .unwrap()
            .next
            .extend(behaviours.iter().copied());
    }

    /// The requests that it executed.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().unwrap().seen.clone()
    }

    /// Requests whose connection was closed while they were executed.
    pub fn abandoned(&self) -> usize {
        self.state.lock().unwrap().abandoned
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>, end: Arc<Notify>) {
    let mut buffer = Vec::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let (answer, close) = {
            let mut state = state.lock().unwrap();
            respond(&mut state, seen)
        };
        if answer.ends {
            tokio::time::sleep(TIME_TO_END).await;
            end.notify_one();
            return std::future::pending().await;
        }
        if let Some(wait) = answer.wait {
            let mut byte = [0; 1];
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                _ = stream.read(&mut byte) => {
                    state.lock().unwrap().abandoned += 1;
                    return;
                }
            }
        }
        if stream.write_all(&answer.bytes).await.is_err() || close {
            return;
        }
    }
}

struct Reply {
    wait: Option<Duration>,
    bytes: Vec<u8>,
    ends: bool,
}

fn respond(state: &mut State, seen: Seen) -> (Reply, bool) {
    let at_once = |text: String| Reply {
        wait: None,
        bytes: text.into_bytes(),
        ends: false,
    };
    let instance = state.instance.clone();
    if seen.request_line().starts_with("GET /health ") {
        let status = if state.is_healthy {
            "200 OK"
        } else {
            "503 Leaving"
        };
        let text =
            format!("HTTP/1.1 {status}\r\ntest-instance: {instance}\r\ncontent-length: 0\r\n\r\n");
        return (at_once(text), false);
    }
    let id = seen
        .header("test-request-id")
        .unwrap_or_default()
        .to_owned();
    if seen.header("test-target") != Some(instance.as_str()) {
        let text = format!(
            "HTTP/1.1 421 Misdirected\r\ntest-request-id: {id}\r\ntest-instance: {instance}\r\n\
             content-length: 0\r\n\r\n"
        );
        return (at_once(text), false);
    }
    let ends_it = state
        .ends_on
        .as_ref()
        .is_some_and(|text| seen.request_line().contains(text));
    let behaviour = match ends_it {
        true => Behaviour::End,
        false => state.next.pop_front().unwrap_or(Behaviour::Answer),
    };
    if behaviour == Behaviour::Refuse {
        let text = format!(
            "HTTP/1.1 503 Full\r\ntest-request-id: {id}\r\ntest-not-executed: 1\r\n\
             content-length: 0\r\n\r\n"
        );
        return (at_once(text), false);
    }
    let body = format!("{instance} {}", seen.request_line());
    state.seen.push(seen);
    let signed = |id: &str, extra: &str, length: usize, body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ntest-signature: s\r\n{extra}\
             content-length: {length}\r\n\r\n{body}"
        )
    };
    let whole = signed(&id, "", body.len(), &body);
    match behaviour {
        Behaviour::Answer | Behaviour::Refuse => (at_once(whole), false),
        Behaviour::Slow(wait) => (
            Reply {
                wait: Some(wait),
                bytes: whole.into_bytes(),
                ends: false,
            },
            false,
        ),
        Behaviour::LoseAnswer => (at_once(String::new()), true),
        Behaviour::End => {
            let mut reply = at_once(String::new());
            reply.ends = true;
            (reply, true)
        }
        Behaviour::CutShort => (at_once(signed(&id, "", body.len() + 10, &body)), true),
        Behaviour::Unframed => {
            let text = format!(
                "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ntest-signature: s\r\n\r\n{body}"
            );
            (at_once(text), true)
        }
        Behaviour::AnswerTwice => {
            let other = signed("someone-else", "", 5, "wrong");
            (at_once(format!("{whole}{other}")), false)
        }
        Behaviour::AnswerAnother => (at_once(signed("someone-else", "", 5, "wrong")), false),
        Behaviour::Unsigned => {
            let text = format!(
                "HTTP/1.1 200 OK\r\ntest-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            (at_once(text), false)
        }
        Behaviour::Encoded => {
            let text = signed(&id, "content-encoding: gzip\r\n", body.len(), &body);
            (at_once(text), false)
        }
        Behaviour::Long(length) => (at_once(signed(&id, "", length, &"y".repeat(length))), false),
        Behaviour::LongCutShort(length) => {
            let body = "y".repeat(length - 1);
            (at_once(signed(&id, "", length, &body)), true)
        }
        Behaviour::Unproven503 | Behaviour::Fail => {
            let status = if behaviour == Behaviour::Fail {
                500
            } else {
                503
            };
            let text = format!(
                "HTTP/1.1 {status} No\r\ntest-request-id: {id}\r\ntest-signature: s\r\n\
                 content-length: 2\r\n\r\nno"
            );
            (at_once(text), false)
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        fill(stream, buffer).await?;
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).ok()?;
    let mut seen = Seen {
        head,
        body: Vec::new(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    if seen.header("transfer-encoding").is_some() {
        while !buffer.windows(5).any(|part| part == b"0\r\n\r\n") {
            fill(stream, buffer).await?;
        }
        seen.body = std::mem::take(buffer);
        return Some(seen);
    }
    while buffer.len() < length {
        fill(stream, buffer).await?;
    }
    seen.body = buffer.drain(..length).collect();
    Some(seen)
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 4_096];
    let length = stream
        .read(&mut piece)
        .await
        .ok()
        .filter(|length| *length > 0)?;
    buffer.extend_from_slice(&piece[..length]);
    Some(())
}
