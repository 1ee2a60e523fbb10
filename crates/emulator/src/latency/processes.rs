//! Scheduler statistics of processes: processor time and time spent runnable without a processor.

use std::fs;
use std::path::Path;

/// Sums over all threads of a set of processes, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SchedulerTimes {
    /// Time on a processor, in nanoseconds.
    pub(crate) running_ns: u64,
    /// Time spent runnable, waiting for a processor, in nanoseconds.
    pub(crate) waiting_ns: u64,
}

impl SchedulerTimes {
    /// Reads the sums from `/proc`; processes and threads that have exited count as zero.
    pub(crate) fn read(pids: &[u32]) -> Self {
        let mut sum = Self::default();
        for pid in pids {
            let tasks = Path::new("/proc").join(pid.to_string()).join("task");
            let Ok(threads) = fs::read_dir(tasks) else {
                continue;
            };
            for thread in threads.flatten() {
                let text = fs::read_to_string(thread.path().join("schedstat"));
                sum.add(&text.unwrap_or_default());
            }
        }
        sum
    }

    /// Returns the difference from an earlier reading.
    pub(crate) const fn since(self, earlier: Self) -> Self {
        Self {
            running_ns: self.running_ns.saturating_sub(earlier.running_ns),
            waiting_ns: self.waiting_ns.saturating_sub(earlier.waiting_ns),
        }
    }

    /// Adds the contents of one thread's `schedstat`: time running, time waiting, number of time slices.
    fn add(&mut self, line: &str) {
        let mut fields = line.split_whitespace().map_while(|text| text.parse().ok());
        self.running_ns += fields.next().unwrap_or(0_u64);
        self.waiting_ns += fields.next().unwrap_or(0);
    }
}
