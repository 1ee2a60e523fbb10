//! A sidecar process and what the operating system counts about it.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::latency::processes::SchedulerTimes;

const BYTES_PER_KIB: f64 = 1_024.0;

/// A running sidecar; it is killed when this is dropped.
pub(super) struct Sidecar {
    child: Child,
    /// Log of its system calls, if it is traced.
    trace: Option<PathBuf>,
}

/// What the operating system counted up to a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    pub(super) cpu_ns: u64,
    pub(super) voluntary_switches: u64,
    pub(super) system_calls: u64,
}

impl Usage {
    pub(super) const fn since(self, earlier: Self) -> Self {
        Self {
            cpu_ns: self.cpu_ns.saturating_sub(earlier.cpu_ns),
            voluntary_switches: self
                .voluntary_switches
                .saturating_sub(earlier.voluntary_switches),
            system_calls: self.system_calls.saturating_sub(earlier.system_calls),
        }
    }

    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            cpu_ns: self.cpu_ns + other.cpu_ns,
            voluntary_switches: self.voluntary_switches + other.voluntary_switches,
            system_calls: self.system_calls + other.system_calls,
        }
    }
}

impl Sidecar {
    /// Starts a program with a variable that names its settings file. With `trace`, `strace` writes
    /// each system call to that file.
    pub(super) fn start(
        program: &Path,
        variable: (&str, &Path),
        log: &Path,
        trace: Option<PathBuf>,
    ) -> io::Result<Self> {
        let log = File::create(log)?;
        let mut command = match &trace {
            None => Command::new(program),
            Some(file) => {
                // With -D the tracer is a grandchild, so the child is the program itself.
                let mut command = Command::new("strace");
                command.args(["-D", "-f", "-qq", "-s", "0", "-o"]);
                command.arg(file).arg(program);
                command
            }
        };
        let child = command
            .env(variable.0, variable.1)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, trace })
    }

    fn proc_file(&self, name: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(name)
    }

    /// Returns false once the process has exited.
    pub(super) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub(super) fn usage(&self) -> Usage {
        let switches = fs::read_dir(self.proc_file("task")).map(|threads| {
            let statuses = threads
                .flatten()
                .filter_map(|thread| fs::read_to_string(thread.path().join("status")).ok());
            statuses
                .filter_map(|status| field(&status, "voluntary_ctxt_switches:"))
                .sum()
        });
        let calls = self.trace.as_ref().and_then(|file| fs::read(file).ok());
        let lines = calls.map(|text| {
            let lines = text.split(|byte| *byte == b'\n');
            // The second line of an interrupted call doesn't count.
            let complete = lines.filter(|line| !line.windows(8).any(|part| part == b"resumed>"));
            complete.count() as u64
        });
        Usage {
            cpu_ns: SchedulerTimes::read(&[self.child.id()]).running_ns,
            voluntary_switches: switches.unwrap_or_default(),
            system_calls: lines.unwrap_or_default(),
        }
    }

    /// Returns the resident memory in bytes.
    pub(super) fn resident(&self) -> f64 {
        self.memory("VmRSS:")
    }

    /// Returns the largest resident memory since the start in bytes.
    pub(super) fn peak(&self) -> f64 {
        self.memory("VmHWM:")
    }

    fn memory(&self, name: &str) -> f64 {
        let status = fs::read_to_string(self.proc_file("status")).unwrap_or_default();
        field(&status, name).unwrap_or_default() as f64 * BYTES_PER_KIB
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        // Fails only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the number after a name at the start of a line.
fn field(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::{Sidecar, Usage, field};

    /// Guards against reading another line or unit of a status file of the kernel.
    #[test]
    fn a_field_is_found_by_the_whole_name_at_the_start_of_its_line() {
        let status = "VmHWM:\t  2000 kB\nVmRSS:\t  1000 kB\n\
                      voluntary_ctxt_switches:\t7\nnonvoluntary_ctxt_switches:\t9\n";
        assert_eq!(field(status, "VmRSS:"), Some(1_000));
        assert_eq!(field(status, "voluntary_ctxt_switches:"), Some(7));
        assert_eq!(field(status, "VmSwap:"), None);
    }

    /// Guards against a sidecar that keeps running after a failed measurement.
    #[test]
    fn a_dropped_sidecar_is_killed() {
        let log = std::env::temp_dir().join(format!("call-cost-test-{}.log", std::process::id()));
        let settings = std::path::Path::new("/dev/null");
        let program = std::path::Path::new("/bin/cat");
        let sidecar = Sidecar::start(program, ("UNUSED", settings), &log, None);
        let sidecar = sidecar.expect("cat starts");
        let status = sidecar.proc_file("status");
        drop(sidecar);
        assert!(!status.exists(), "the process was waited for");
        std::fs::remove_file(log).expect("the log exists");
    }

    /// Guards against differences that underflow when a thread has exited.
    #[test]
    fn a_smaller_later_reading_counts_as_no_use() {
        let earlier = Usage {
            cpu_ns: 5,
            voluntary_switches: 2,
            system_calls: 0,
        };
        assert_eq!(Usage::default().since(earlier).cpu_ns, 0);
    }
}
