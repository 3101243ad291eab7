//! Resource usage of a process, as reported by the kernel.

use std::fs;

/// Number of fields of `/proc/PID/stat` between the program name and the CPU times.
const FIELDS_BEFORE_CPU: usize = 11;
/// Milliseconds per clock tick; the kernel reports CPU time in hundredths of a second.
const MS_PER_TICK: u64 = 10;

/// Returns the CPU time of a process since its start, in user and kernel mode, in ms; 0 if there is no such
/// process.
pub fn cpu_ms(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The program name may contain spaces and parentheses; it ends at the last parenthesis.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_CPU)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks * MS_PER_TICK
}

/// Returns the peak resident memory of a process in kB; 0 if there is no such process.
pub fn peak_memory_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
