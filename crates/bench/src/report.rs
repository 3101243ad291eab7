//! Rounds as lines, as a table of their medians, and as JSON.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::load::Played;

#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub node: String,
    pub place: String,
    pub round: usize,
    pub a_second: f64,
    pub bad: u64,
    pub median_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
    /// Time of the node on its core for each request, and share of the core.
    pub cpu_us: f64,
    pub busy: f64,
    pub memory_kb: u64,
}

impl Row {
    pub fn of(node: &str, place: &str, round: usize, played: &Played) -> Row {
        let (all, at) = ((played.good + played.bad).max(1) as f64, |q| {
            played.latencies.value_at_quantile(q)
        });
        Row {
            node: node.to_string(),
            place: place.to_string(),
            round,
            a_second: played.good as f64 / played.seconds,
            bad: played.bad,
            median_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
            cpu_us: played.used.cpu_us as f64 / all,
            busy: played.used.cpu_us as f64 / 1e6 / played.seconds,
            memory_kb: played.used.memory_kb,
        }
    }

    pub fn line(&self) -> String {
        format!(
            "{:<10} {:<26} {:>9.0} {:>7} {:>9} {:>9} {:>9} {:>8.2} {:>6.2} {:>8}",
            self.node,
            self.place,
            self.a_second,
            self.bad,
            self.median_us,
            self.p99_us,
            self.p999_us,
            self.cpu_us,
            self.busy,
            self.memory_kb
        )
    }
}

/// The medians of each node and place over the rounds, with the ratio to the first row.
pub fn print(rows: &[Row]) {
    let mut groups: BTreeMap<(String, String), Vec<&Row>> = BTreeMap::new();
    for row in rows {
        groups
            .entry((row.place.clone(), row.node.clone()))
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
    let mut first = None;
    for ((place, node), rows) in groups {
        let median = |of: &dyn Fn(&Row) -> f64| {
            let mut all: Vec<f64> = rows.iter().map(|row| of(row)).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        let row = Row {
            node,
            place,
            round: rows.len(),
            a_second: median(&|row| row.a_second),
            bad: rows.iter().map(|row| row.bad).sum(),
            median_us: median(&|row| row.median_us as f64) as u64,
            p99_us: median(&|row| row.p99_us as f64) as u64,
            p999_us: median(&|row| row.p999_us as f64) as u64,
            cpu_us: median(&|row| row.cpu_us),
            busy: median(&|row| row.busy),
            memory_kb: median(&|row| row.memory_kb as f64) as u64,
        };
        let base = *first.get_or_insert(row.a_second);
        println!("{} {:>6.2}", row.line(), row.a_second / base);
    }
}

pub fn write(path: &Path, rows: &[Row]) -> io::Result<()> {
    fs::write(path, serde_json::to_string_pretty(rows)? + "\n")
}
