//! Measurements on simulated fleets.

use std::time::Instant;

use doortrack_fault_harness::history::HistoryEvent;
use doortrack_fault_harness::script::{Fault, Script, TimedFault};
use doortrack_fault_harness::simulated::{Cost, Options, run};

use crate::detection::{
    KILL_INTERVAL_MS, KILLS, WARM_UP_MS, detections, kills, median, partition, print_detections,
    rejoin_time,
};

/// Maximum fleet sizes that are simulated with several seeds, and with a partition.
const MAX_NODES_MANY_SEEDS: usize = 500;
const MAX_NODES_PARTITION: usize = 300;
/// Difference in duration between the two simulations from which the cost without faults is computed.
const IDLE_COST_DURATION_S: u64 = 10;
const PARTITION_START_MS: u64 = 20_000;
const PARTITION_END_MS: u64 = 30_000;
const PARTITION_RUN_MS: u64 = 40_000;
const LOSS_START_MS: u64 = 5_000;

/// Measures and prints the detection times of a fleet, its idle cost and its rejoin time.
pub(crate) fn measure(nodes: usize) {
    let started_at = Instant::now();
    let seeds = if nodes > MAX_NODES_MANY_SEEDS { 1 } else { 5 };
    let detected: Vec<_> = (1..=seeds)
        .flat_map(|seed| {
            let script = Script {
                nodes,
                duration_ms: WARM_UP_MS + KILL_INTERVAL_MS * (KILLS as u64 + 1),
                seed,
                faults: kills(nodes),
            };
            detections(&run(&script, &recording_from(WARM_UP_MS)).0)
        })
        .collect();
    print_detections("simulated", nodes, &detected);
    print_idle_cost(nodes);
    if nodes <= MAX_NODES_PARTITION {
        let times = (1..=3).map(|seed| simulated_rejoin_time(nodes, seed));
        println!(
            "simulated {nodes}: rejoined {} ms after a partition into halves",
            median(times.collect())
        );
    }
    println!(
        "simulated {nodes}: took {:.1} s",
        started_at.elapsed().as_secs_f64()
    );
}

fn recording_from(record_from_ms: u64) -> Options {
    Options {
        record_from_ms,
        ..Options::default()
    }
}

fn print_idle_cost(nodes: usize) {
    let short = idle_cost(nodes, WARM_UP_MS);
    let long = idle_cost(nodes, WARM_UP_MS + IDLE_COST_DURATION_S * 1_000);
    let per_node_and_second =
        |count: u64| count as f64 / nodes as f64 / IDLE_COST_DURATION_S as f64;
    println!(
        "simulated {nodes}: without faults, {:.0} bytes and {:.1} datagrams a second sent by each, {:.0} ns an event",
        per_node_and_second(long.bytes - short.bytes),
        per_node_and_second(long.datagrams - short.datagrams),
        (long.decisions_ns.saturating_sub(short.decisions_ns)) as f64
            / (long.events - short.events) as f64,
    );
}

fn idle_cost(nodes: usize, ms: u64) -> Cost {
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

/// Counts false suspicions and false declarations of death while 5% of all datagrams are lost.
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
