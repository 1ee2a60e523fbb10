//! A daemon in a separate process, which a test can pause and kill.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use super::eventually;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_wharfquayd");

/// A daemon in a separate process; it is killed when dropped.
pub struct Process {
    child: Child,
    started: String,
}

impl Process {
    /// Starts a daemon and waits for the log line with its addresses.
    pub fn start(name: &str, text: &str) -> Self {
        let mut child = Command::new(PROGRAM)
            .arg("--config")
            .arg(settings_file(name, text))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut started = String::new();
        while !started.contains("event=started") {
            started.clear();
            assert_ne!(log.read_line(&mut started).unwrap(), 0, "no start: {name}");
        }
        // Drain the rest of the log; otherwise the daemon would block on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Self { child, started }
    }

    /// Returns the address on which one side of the daemon listens.
    pub fn address(&self, side: &str) -> SocketAddr {
        let key = format!("{side}=");
        let mut pairs = self.started.split_whitespace();
        let value = pairs.find_map(|pair| pair.strip_prefix(&key));
        value.unwrap().parse().unwrap()
    }

    /// Sends SIGSTOP and waits until the process is stopped.
    pub async fn pause(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        eventually("the process is paused", async || {
            let stat = std::fs::read_to_string(&path).unwrap();
            let state = stat.rsplit(')').next().unwrap();
            state.trim_start().starts_with('T')
        })
        .await;
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process with SIGKILL and waits for its termination.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to exit; returns true if its exit status is zero.
    pub fn exited_successfully(mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a settings file of this test process.
pub fn settings_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}
