//! What the process has used, for the log; absent figures read 0.

use std::fs;

/// The most memory held so far.
pub fn peak_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// Time spent on a core, counted by the system in hundredths of a second.
pub fn cpu_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name may hold spaces; what follows it does not.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum::<u64>() * 10
}

pub fn descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count())
}
