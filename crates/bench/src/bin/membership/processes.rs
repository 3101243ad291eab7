//! Fleets of processes on loopback.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use doortrack_bench::process::cpu_ms;
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::{Fault, TimedFault};
use serde_json::Value;

use crate::detection::{
    CALM_MS, KILL_INTERVAL_MS, KILLS, detections, kills, partition, print_detections, rejoin_time,
};

const PROGRAM: &str = "target/release/doortrack";
/// Start and end of the measurement of a calm fleet.
const CALM_COST_FROM_MS: u64 = 8_000;
const CALM_COST_UNTIL_MS: u64 = CALM_MS - 2_000;
/// After the last kill's detection all are started; times since then.
const PARTITION_START_MS: u64 = 8_000;
const PARTITION_END_MS: u64 = 18_000;
const RUN_END_MS: u64 = 28_000;

/// Processor time and datagrams of a fleet.
#[derive(Clone, Copy)]
struct Usage {
    cpu_ms: u64,
    bytes: u64,
    datagrams: u64,
}

impl Usage {
    fn of_fleet(rig: &Rig, nodes: usize) -> Usage {
        let counts = rig.relay.counts();
        Usage {
            cpu_ms: (0..nodes)
                .filter_map(|node| rig.pid(node))
                .map(cpu_ms)
                .sum(),
            bytes: counts.bytes,
            datagrams: counts.passed + counts.lost,
        }
    }
}

/// Measures cost, detection and rejoining of a fleet, and prints them.
pub(crate) fn measure(nodes: usize) {
    let mut rig = Rig::new(Path::new(PROGRAM), nodes, 1).expect("a rig");
    rig.start_clock();
    let began = Instant::now();
    (0..nodes).for_each(|node| rig.start(node, node, &Value::Null).expect("a process"));
    sleep_until(began, CALM_COST_FROM_MS);
    let before = Usage::of_fleet(&rig, nodes);
    sleep_until(began, CALM_COST_UNTIL_MS);
    print_calm_cost(nodes, before, Usage::of_fleet(&rig, nodes));
    inject(&mut rig, began, &kills(nodes));
    let restart_ms = CALM_MS + KILL_INTERVAL_MS * KILLS as u64;
    let killed = kills(nodes)
        .iter()
        .flat_map(|timed| timed.fault.nodes())
        .collect();
    let restart = TimedFault {
        at_ms: restart_ms,
        fault: Fault::Start {
            nodes: killed,
            clock_ms: 0,
        },
    };
    inject(&mut rig, began, &[restart]);
    let healed_ms = restart_ms + PARTITION_END_MS;
    let partition = partition(nodes, restart_ms + PARTITION_START_MS, healed_ms);
    inject(&mut rig, began, &partition);
    sleep_until(began, restart_ms + RUN_END_MS);
    let history = rig.finish().history;
    print_detections("processes", nodes, &detections(&history));
    let rejoined = rejoin_time(&history, healed_ms);
    println!("processes {nodes}: whole again {rejoined} ms after a cut in halves");
}

fn print_calm_cost(nodes: usize, before: Usage, after: Usage) {
    let seconds = (CALM_COST_UNTIL_MS - CALM_COST_FROM_MS) as f64 / 1_000.0;
    let per_node_and_second = |count: u64| count as f64 / nodes as f64 / seconds;
    println!(
        "processes {nodes}: calm, {:.0} bytes and {:.1} datagrams a second sent by each, {:.2}% of a core",
        per_node_and_second(after.bytes - before.bytes),
        per_node_and_second(after.datagrams - before.datagrams),
        (after.cpu_ms - before.cpu_ms) as f64 / 10.0 / nodes as f64 / seconds,
    );
}

fn sleep_until(began: Instant, ms: u64) {
    thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
}

/// Injects faults at their times.
fn inject(rig: &mut Rig, began: Instant, faults: &[TimedFault]) {
    let settings = |_: usize| Value::Null;
    for timed in faults {
        sleep_until(began, timed.at_ms);
        rig.inject(&timed.fault, &settings).expect("a fault");
    }
}
