//! Resources that a process used, as the system counts them.

use std::fs;

/// Fields of `/proc/PID/stat` after the name of the program that precede the processor times.
const FIELDS_BEFORE_CPU: usize = 11;
/// The system counts hundredths of a second.
const MS_PER_TICK: u64 = 10;

/// Processor time of a process since its start, in user and kernel mode, in ms. 0 if there is no such process.
pub fn cpu_ms(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name of the program may hold spaces; it ends with the last parenthesis.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_CPU)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    ticks * MS_PER_TICK
}
