//! Fleets in simulated time.

use std::time::Instant;

use doortrack_fault_harness::history::HistoryEvent;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_fault_harness::simulated::{Cost, Options, run};

use crate::detection::{
    CALM_MS, KILL_INTERVAL_MS, KILLS, detections, kills, median, partition, print_detections,
    rejoin_time,
};

/// Larger fleets are simulated with one seed, and without a partition.
const MAX_NODES_MANY_SEEDS: usize = 500;
const MAX_NODES_PARTITION: usize = 300;
/// Time by which the two runs differ whose difference is the cost of calm.
const CALM_COST_S: u64 = 10;
const PARTITION_START_MS: u64 = 20_000;
const PARTITION_END_MS: u64 = 30_000;
const PARTITION_RUN_MS: u64 = 40_000;
const LOSS_START_MS: u64 = 5_000;

/// Measures detection, cost and rejoining of a fleet, and prints them.
pub(crate) fn measure(nodes: usize) {
    let began = Instant::now();
    let seeds = if nodes > MAX_NODES_MANY_SEEDS { 1 } else { 5 };
    let found: Vec<_> = (1..=seeds)
        .flat_map(|seed| {
            let script = Script {
                nodes,
                duration_ms: CALM_MS + KILL_INTERVAL_MS * (KILLS as u64 + 1),
                seed,
                faults: kills(nodes),
            };
            detections(&run(&script, &recording_from(CALM_MS)).0)
        })
        .collect();
    print_detections("simulated", nodes, &found);
    print_calm_cost(nodes);
    if nodes <= MAX_NODES_PARTITION {
        let times = (1..=3).map(|seed| simulated_rejoin_time(nodes, seed));
        println!(
            "simulated {nodes}: whole again {} ms after a cut in halves",
            median(times.collect())
        );
    }
    println!(
        "simulated {nodes}: took {:.1} s",
        began.elapsed().as_secs_f64()
    );
}

fn recording_from(record_from_ms: u64) -> Options {
    Options {
        record_from_ms,
        ..Options::default()
    }
}

fn print_calm_cost(nodes: usize) {
    let short = calm_cost(nodes, CALM_MS);
    let long = calm_cost(nodes, CALM_MS + CALM_COST_S * 1_000);
    let per_node_and_second = |count: u64| count as f64 / nodes as f64 / CALM_COST_S as f64;
    println!(
        "simulated {nodes}: calm, {:.0} bytes and {:.1} datagrams a second sent by each, {:.0} ns an event",
        per_node_and_second(long.bytes - short.bytes),
        per_node_and_second(long.datagrams - short.datagrams),
        (long.decisions_ns.saturating_sub(short.decisions_ns)) as f64
            / (long.events - short.events) as f64,
    );
}

fn calm_cost(nodes: usize, ms: u64) -> Cost {
    let script = Script {
        nodes,
        duration_ms: ms,
        seed: 1,
        faults: Vec::new(),
    };
    let options = Options {
        count_bytes: true,
        ..recording_from(u64::MAX)
    };
    run(&script, &options).1
}

fn simulated_rejoin_time(nodes: usize, seed: u64) -> u64 {
    let script = Script {
        nodes,
        duration_ms: PARTITION_RUN_MS,
        seed,
        faults: partition(nodes, PARTITION_START_MS, PARTITION_END_MS),
    };
    rejoin_time(&run(&script, &recording_from(0)).0, PARTITION_END_MS)
}

/// Counts members wrongly suspected and declared dead while a twentieth of all datagrams is lost.
pub(crate) fn measure_loss(nodes: usize, seconds: u64) {
    let loss = TimedFault {
        at_ms: LOSS_START_MS,
        fault: Fault::Links {
            loss: 0.05,
            doubled: 0.0,
            garbled: 0.0,
            delay_ms: 2,
        },
    };
    let script = Script {
        nodes,
        duration_ms: seconds * 1_000,
        seed: 1,
        faults: vec![loss],
    };
    let (history, _) = run(&script, &recording_from(LOSS_START_MS));
    let count = |kind: &str| {
        let is_of_kind = |what: &HistoryEvent| matches!(what, HistoryEvent::MemberChange { change, .. } if change == kind);
        history
            .entries
            .iter()
            .filter(|entry| is_of_kind(&entry.event))
            .count()
    };
    println!(
        "simulated {nodes}: {seconds} s with 5% lost: {} suspicions, {} deaths",
        count("suspected"),
        count("dead")
    );
}
