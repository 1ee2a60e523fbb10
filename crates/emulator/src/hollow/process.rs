//! Processor time and memory of this process, from the kernel.

use std::time::Duration;

/// Unit of processor time in `/proc/self/stat`, in ticks a second.
const TICKS_PER_SECOND: u32 = 100;
/// Unit of `VmRSS` in `/proc/self/status`.
const KIBIBYTE: u64 = 1_024;
/// Place of user time among the fields that follow the program's name.
const USER_TIME_FIELD: usize = 11;

/// Processor time of all threads since the start, user and system.
pub(super) fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u32 = fields.filter_map(|field| field.parse::<u32>().ok()).sum();
    Duration::from_secs(u64::from(ticks)) / TICKS_PER_SECOND
}

/// Resident memory, in bytes.
pub(super) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0) * KIBIBYTE
}
