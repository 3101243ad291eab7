//! Output of the results of rounds: as lines, as a table of medians, and as JSON.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::load::LoadResult;

/// The result of one round, or the medians of several.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the program.
    pub node: String,
    /// The listener, the backend and the fleet size.
    #[serde(rename = "place")]
    pub setup: String,
    /// The index of the round, or the number of rounds for medians.
    pub round: usize,
    /// Requests answered with status 200 per second.
    #[serde(rename = "a_second")]
    pub throughput: f64,
    /// The number of all other requests.
    #[serde(rename = "bad")]
    pub failed: u64,
    /// The median latency in microseconds.
    pub median_us: u64,
    /// The 99th percentile of the latencies in microseconds.
    pub p99_us: u64,
    /// The 99.9th percentile of the latencies in microseconds.
    pub p999_us: u64,
    /// CPU time of the node per request, in microseconds.
    pub cpu_us: f64,
    /// Fraction of its core that the node used.
    #[serde(rename = "busy")]
    pub cpu_utilization: f64,
    /// Resident memory of the node at the end of the round, in kB.
    pub memory_kb: u64,
}

impl Row {
    /// Creates the row of one round.
    pub fn new(node: &str, setup: &str, round: usize, result: &LoadResult) -> Row {
        let requests = &result.requests;
        let count = (requests.succeeded + requests.failed).max(1) as f64;
        let latency = |quantile| requests.latencies.value_at_quantile(quantile);
        Row {
            node: node.to_string(),
            setup: setup.to_string(),
            round,
            throughput: requests.succeeded as f64 / result.seconds,
            failed: requests.failed,
            median_us: latency(0.5),
            p99_us: latency(0.99),
            p999_us: latency(0.999),
            cpu_us: result.usage.cpu_us as f64 / count,
            cpu_utilization: result.usage.cpu_us as f64 / 1e6 / result.seconds,
            memory_kb: result.usage.memory_kb,
        }
    }

    /// Returns the medians of several rounds; failed requests are added up.
    fn median(node: String, setup: String, rows: &[&Row]) -> Row {
        let median = |value_of: &dyn Fn(&Row) -> f64| {
            let mut values: Vec<f64> = rows.iter().map(|row| value_of(row)).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        Row {
            node,
            setup,
            round: rows.len(),
            throughput: median(&|row| row.throughput),
            failed: rows.iter().map(|row| row.failed).sum(),
            median_us: median(&|row| row.median_us as f64) as u64,
            p99_us: median(&|row| row.p99_us as f64) as u64,
            p999_us: median(&|row| row.p999_us as f64) as u64,
            cpu_us: median(&|row| row.cpu_us),
            cpu_utilization: median(&|row| row.cpu_utilization),
            memory_kb: median(&|row| row.memory_kb as f64) as u64,
        }
    }

    /// Formats the row as a line of the table that [`print`] prints.
    pub fn line(&self) -> String {
        format!(
            "{:<10} {:<26} {:>9.0} {:>7} {:>9} {:>9} {:>9} {:>8.2} {:>6.2} {:>8}",
            self.node,
            self.setup,
            self.throughput,
            self.failed,
            self.median_us,
            self.p99_us,
            self.p999_us,
            self.cpu_us,
            self.cpu_utilization,
            self.memory_kb
        )
    }
}

/// Prints the medians of each node and setup over all rounds, and the throughput relative to the first row.
pub fn print(rows: &[Row]) {
    let mut groups: BTreeMap<(String, String), Vec<&Row>> = BTreeMap::new();
    for row in rows {
        groups
            .entry((row.setup.clone(), row.node.clone()))
            .or_default()
            .push(row);
    }
    println!(
        "{:<10} {:<26} {:>9} {:>7} {:>9} {:>9} {:>9} {:>8} {:>6} {:>8} {:>6}",
        "node",
        "place",
        "a second",
        "not 200",
        "median us",
        "p99 us",
        "p99.9 us",
        "cpu us",
        "busy",
        "kB",
        "ratio"
    );
    let mut first_throughput = None;
    for ((setup, node), rows) in groups {
        let row = Row::median(node, setup, &rows);
        let base = *first_throughput.get_or_insert(row.throughput);
        println!("{} {:>6.2}", row.line(), row.throughput / base);
    }
}

/// Writes all rounds as JSON.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn write(path: &Path, rows: &[Row]) -> io::Result<()> {
    fs::write(path, serde_json::to_string_pretty(rows)? + "\n")
}
