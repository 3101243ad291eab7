//! The results of all measurements, as JSON and as tables.

use comfy_table::{Table, presets};
use serde::Serialize;

use super::alone::{Alone, Quarters};
use super::caller::Outcomes;
use super::full_table::FullTable;
use super::keys::KeysHeld;
use super::log_volume::{LogVolume, LogVolumes};
use super::measure::Measured;
use crate::scale::fit::fit;
use crate::scale::series::{Dimension, Point, Quantity, Role, Series};

/// The result of one size: measured, or refused by the program with an error message.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SweepPoint {
    Measured(Box<Measured>),
    Refused { size: usize, why: String },
}

/// The results of all sizes of one dimension.
#[derive(Clone, Debug, Serialize)]
pub struct Sweep {
    pub dimension: Dimension,
    pub held: String,
    #[serde(rename = "taken")]
    pub results: Vec<(usize, SweepPoint)>,
}

/// All results of one command.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub program: String,
    pub quick: bool,
    pub load_seconds: f64,
    #[serde(rename = "swept")]
    pub sweeps: Vec<Sweep>,
    /// All dimensions at the expected size in two years, as far as the settings allow it.
    pub at_size: Measured,
    /// Resident kB by the number of reloads, at the same size.
    pub repeated_reloads: Vec<Point>,
    pub keys: KeysHeld,
    pub full_tables: Vec<FullTable>,
    pub log: LogVolumes,
    pub alone: Alone,
    /// The figures of the sweeps, one series per quantity.
    pub series: Vec<Series>,
    pub seconds: f64,
}

/// A quantity of a sweep, and the function that reads it from a measurement.
type Reading = (Quantity, fn(&Measured) -> f64);
const READINGS: [Reading; 6] = [
    (Quantity::ReadyMilliseconds, |measured| measured.ready_ms),
    (Quantity::ResidentKilobytes, |measured| {
        measured.resident_under_load_kb as f64
    }),
    (Quantity::CoreThousandths, |measured| {
        measured.core_thousandths
    }),
    (Quantity::AddedP50Microseconds, Measured::added_p50_us),
    (Quantity::AddedP99Microseconds, Measured::added_p99_us),
    (Quantity::ReloadMilliseconds, |measured| {
        measured.reload.in_force_ms
    }),
];

impl Sweep {
    /// Returns one series for each quantity.
    pub fn series(&self) -> Vec<Series> {
        let role = match self.dimension {
            Dimension::Callers => Role::Dispatcher,
            _ => Role::Node,
        };
        let points = |reading: fn(&Measured) -> f64| {
            let measured = self
                .results
                .iter()
                .filter_map(move |(size, taken)| match taken {
                    SweepPoint::Measured(measured) => Some(Point {
                        size: *size as f64,
                        value: reading(measured),
                    }),
                    SweepPoint::Refused { .. } => None,
                });
            measured.collect()
        };
        let one = |(quantity, reading): Reading| Series {
            role,
            quantity,
            dimension: self.dimension,
            held: self.held.clone(),
            points: points(reading),
        };
        READINGS.into_iter().map(one).collect()
    }
}

fn table(title: &str, header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::ASCII_MARKDOWN)
        .set_header(header.iter().copied());
    table.add_rows(rows);
    format!("\n{title}\n{table}\n")
}

fn measured_row(name: String, measured: &Measured) -> Vec<String> {
    let (node, straight, reload) = (&measured.through_node, &measured.straight, &measured.reload);
    vec![
        name,
        format!("{:.0}", measured.ready_ms),
        format!("{:.0}", measured.start_processor_ms),
        measured.resident_at_rest_kb.to_string(),
        measured.resident_idle_callers_kb.to_string(),
        measured.resident_under_load_kb.to_string(),
        format!("{} / {}", reload.resident_kb, measured.peak_resident_kb),
        format!(
            "{:.1} / {:.1}",
            measured.rest_core_thousandths, measured.core_thousandths
        ),
        format!(
            "{:.0} - {:.0} = {:.0}",
            node.p50_us,
            straight.p50_us,
            measured.added_p50_us()
        ),
        format!(
            "{:.0} - {:.0} = {:.0}",
            node.p99_us,
            straight.p99_us,
            measured.added_p99_us()
        ),
        format!("{:.0}", reload.in_force_ms),
        format!(
            "{:.0} ({:.0})",
            reload.worst_wait_ms, reload.worst_wait_before_ms
        ),
        format!(
            "{}/{}",
            measured.outcomes.completed,
            measured.outcomes.all()
        ),
        measured.reconnected.to_string(),
    ]
}

const MEASURED_HEADER: [&str; 14] = [
    "size",
    "ready ms",
    "start cpu ms",
    "rest kB",
    "idle callers kB",
    "load kB",
    "after change / peak kB",
    "core 1/1000 rest / load",
    "p50 us node - straight",
    "p99 us node - straight",
    "in force ms",
    "worst wait ms (before)",
    "completed",
    "reconnected",
];

fn swept_table(swept: &Sweep) -> String {
    let row = |(size, taken): &(usize, SweepPoint)| match taken {
        SweepPoint::Measured(measured) => measured_row(size.to_string(), measured),
        SweepPoint::Refused { why, .. } => {
            vec![size.to_string(), format!("refused: {}", why.trim())]
        }
    };
    let rows = swept.results.iter().map(row).collect();
    let mut text = table(
        &format!("{:?}; held: {}", swept.dimension, swept.held),
        &MEASURED_HEADER,
        rows,
    );
    for series in swept.series() {
        if let Ok(line) = fit(&series.points) {
            text.push_str(&format!(
                "  {:?}: {:.3} + {:.6} each (r2 {:.3})\n",
                series.quantity, line.intercept, line.slope, line.r_squared
            ));
        }
    }
    text
}

/// Formats the report as tables.
pub fn tables(report: &Report) -> String {
    let mut text: String = report.sweeps.iter().map(swept_table).collect();
    let row = measured_row("all".into(), &report.at_size);
    text.push_str(&table(
        &format!("At size: {:?}", report.at_size.size),
        &MEASURED_HEADER,
        vec![row],
    ));
    text.push_str(&reloads_text(&report.repeated_reloads));
    text.push_str(&keys_text(&report.keys));
    text.push_str(&full_tables_text(&report.full_tables));
    text.push_str(&log_text(&report.log));
    text.push_str(&alone_text(&report.alone));
    text.push_str(&format!("\nThe run took {:.0} s.\n", report.seconds));
    text
}

/// Interval between the points of `keys.at_peak` that are shown, in seconds.
const SHOWN_KEYS_INTERVAL_S: usize = 10;

fn reloads_text(points: &[Point]) -> String {
    let rows = points
        .iter()
        .map(|point| vec![format!("{:.0}", point.size), format!("{:.0}", point.value)]);
    table(
        "Reloads one after the other, at size",
        &["reloads", "resident kB"],
        rows.collect(),
    )
}

fn keys_text(keys: &KeysHeld) -> String {
    let shown = keys
        .at_peak
        .iter()
        .step_by(SHOWN_KEYS_INTERVAL_S)
        .chain(&keys.beyond);
    let rows = shown.map(|point| {
        let bytes = (point.value - keys.at_peak[0].value) * 1_024.0 / point.size.max(1.0);
        vec![
            format!("{:.0}", point.size),
            format!("{:.0}", point.value),
            format!("{bytes:.0}"),
        ]
    });
    let mut text = table(
        "Idempotency keys held",
        &["keys", "resident kB", "bytes a key"],
        rows.collect(),
    );
    for (name, points) in [
        ("at the peak's rate", &keys.at_peak),
        ("beyond", &keys.beyond),
    ] {
        if let Ok(line) = fit(points) {
            text.push_str(&format!(
                "  {name}: {:.0} bytes a key (r2 {:.3})\n",
                line.slope * 1_024.0,
                line.r_squared
            ));
        }
    }
    if let (Some(full_at), Some(when_full), Some(repeat)) =
        (keys.full_at, &keys.when_full, &keys.repeat_when_full)
    {
        text.push_str(&format!(
            "  full at {full_at} keys: a new one is {when_full}, a repeat {repeat}\n"
        ));
    }
    text
}

fn log_text(log: &LogVolumes) -> String {
    let row = |(name, volume): (&str, &LogVolume)| {
        vec![
            name.to_string(),
            volume.pools.to_string(),
            format!("{:.0}", volume.seconds),
            volume.lines.to_string(),
            volume.bytes.to_string(),
            format!("{:.0}", volume.bytes_per_second()),
            outcomes_text(&volume.outcomes),
        ]
    };
    let all = [
        ("calm", &log.idle),
        ("calm, most pools", &log.idle_max_pools),
        ("rejecting", &log.rejecting),
        ("servers gone", &log.servers_gone),
    ];
    let header = [
        "situation",
        "pools",
        "s",
        "lines",
        "bytes",
        "bytes/s",
        "requests",
    ];
    table("Log", &header, all.into_iter().map(row).collect())
}

/// Formats the nonzero counts, such as "completed 9, rejected 1".
fn outcomes_text(outcomes: &Outcomes) -> String {
    let counts = [
        ("completed", outcomes.completed),
        ("rejected", outcomes.rejected),
        ("refused", outcomes.refused),
        ("failed", outcomes.failed),
        ("unreadable", outcomes.unreadable),
        ("unanswered", outcomes.unanswered),
    ];
    let told = counts
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} {count}"));
    told.collect::<Vec<_>>().join(", ")
}

fn full_tables_text(full_tables: &[FullTable]) -> String {
    let row = |full: &FullTable| {
        let latency = &full.existing_latency;
        vec![
            format!(
                "{} of {} in {:.1} s",
                full.connection_attempts, full.callers, full.seconds
            ),
            full.not_connected.to_string(),
            outcomes_text(&full.first_requests),
            full.still_open.to_string(),
            full.max_descriptors.to_string(),
            full.resident_kb.to_string(),
            format!(
                "{}; {} reconnected",
                outcomes_text(&full.existing_callers),
                full.existing_reconnected
            ),
            format!("{:.0} / {:.0}", latency.p50_us, latency.p99_us),
        ]
    };
    let header = [
        "callers that came",
        "not connected",
        "first requests",
        "still open",
        "most descriptors",
        "resident kB",
        "those of before",
        "their p50 / p99 us",
    ];
    table(
        "More callers than sockets",
        &header,
        full_tables.iter().map(row).collect(),
    )
}

fn alone_text(alone: &Alone) -> String {
    let row = |(name, quarters): (&str, &Quarters)| {
        std::iter::once(name.to_string())
            .chain(quarters.0.iter().map(outcomes_text))
            .collect()
    };
    let rows = [
        ("under no budget", &alone.without_budget),
        ("under one with a floor", &alone.with_floor),
        ("under one without", &alone.without_floor),
    ];
    let title = format!(
        "Alone for {:.0} s: {:.1} thousandths of a core, {} kB before and {} kB after, {} bytes of log",
        alone.seconds,
        alone.core_thousandths,
        alone.resident_before_kb,
        alone.resident_after_kb,
        alone.log_bytes
    );
    let header = ["requests", "first quarter", "second", "third", "fourth"];
    table(&title, &header, rows.into_iter().map(row).collect())
}
