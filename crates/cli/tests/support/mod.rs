//! Runs the built program, the emulated platform and the admin side of a daemon.

#![allow(dead_code, reason = "each test file uses only some of it")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::runtime::Runtime;
use wharfquay_emulator::platform::{FaultSwitches, PlatformSettings, RunningPlatform, start};
use wharfquay_platform::{Client, ClientSettings};

/// Exit code and output of one run of the program.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Returns a command of the program with these arguments, without the user's `WHARFQUAY_PLATFORM`.
pub(crate) fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfquay"));
    command
        .args(arguments)
        .env_remove("WHARFQUAY_PLATFORM")
        .env("USER", "tester")
        .stdin(Stdio::null());
    command
}

/// Runs the program to its exit, and fails if it panicked.
pub(crate) fn run(arguments: &[&str]) -> Run {
    let output = command(arguments).output().expect("the program runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("output is UTF-8");
    let run = Run {
        code: output.status.code().expect("the program exits"),
        stdout: text(output.stdout),
        stderr: text(output.stderr),
    };
    assert!(!run.stderr.contains("panicked"), "{}", run.stderr);
    run
}

/// A temporary directory of one test, removed when dropped.
pub(crate) struct TestDirectory(PathBuf);

impl TestDirectory {
    pub(crate) fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("wharfquay-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory can be made");
        Self(path)
    }

    /// Writes a file and returns its path.
    pub(crate) fn file(&self, name: &str, content: &[u8]) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, content).expect("the file can be written");
        path.display().to_string()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the path of a file of the repository.
pub(crate) fn repository_file(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    root.join(path).display().to_string()
}

/// An emulated platform with its own runtime.
pub(crate) struct TestPlatform {
    runtime: Runtime,
    platform: RunningPlatform,
}

impl TestPlatform {
    pub(crate) fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let listen: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let platform = runtime
            .block_on(start(PlatformSettings::new(listen)))
            .expect("the emulated platform starts");
        Self { runtime, platform }
    }

    pub(crate) fn address(&self) -> String {
        self.platform.address().to_string()
    }

    pub(crate) fn set_faults(&self, faults: FaultSwitches) {
        self.platform.set_faults(faults);
    }

    /// Creates a client of this platform.
    pub(crate) fn client(&self) -> Client {
        let address = self.platform.address();
        Client::new(vec![address], ClientSettings::default())
    }

    pub(crate) fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Runs the program against this platform.
    pub(crate) fn run(&self, arguments: &[&str]) -> Run {
        let address = self.address();
        let mut all = arguments.to_vec();
        all.extend(["--platform", &address]);
        run(&all)
    }
}

/// Returns a loopback address that nothing listens on.
pub(crate) fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Emulates the admin side of a daemon: responds to every request with the current page.
pub(crate) struct TestDaemon {
    address: SocketAddr,
    page: Arc<Mutex<String>>,
    /// Number of responses so far.
    responses: Arc<AtomicUsize>,
}

impl TestDaemon {
    pub(crate) fn start(page: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let page = Arc::new(Mutex::new(page.to_string()));
        let served = Arc::clone(&page);
        let responses = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&responses);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let page = served.lock().expect("the page").clone();
                let _ = respond(stream, &page);
                counter.fetch_add(1, Ordering::SeqCst);
            }
        });
        Self {
            address,
            page,
            responses,
        }
    }

    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the page and waits until it has been read `reads` times.
    pub(crate) fn show_page(&self, page: &Value, reads: usize) {
        *self.page.lock().expect("the page") = page.to_string();
        // A read in progress may have received the previous page.
        let expected = self.responses.load(Ordering::SeqCst) + 1 + reads;
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.responses.load(Ordering::SeqCst) < expected {
            assert!(Instant::now() < deadline, "the page is not read");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sets the page without waiting for a read.
    pub(crate) fn set_page(&self, page: &Value) {
        *self.page.lock().expect("the page") = page.to_string();
    }
}

fn respond(mut stream: TcpStream, page: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        head.extend_from_slice(&buffer[..count]);
    }
    let length = page.len();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{page}"
    )
}
