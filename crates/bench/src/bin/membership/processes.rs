//! Measurements on fleets of processes on loopback.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use doortrack_bench::process::cpu_ms;
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::{Fault, TimedFault};
use serde_json::Value;

use crate::detection::{
    KILL_INTERVAL_MS, KILLS, WARM_UP_MS, detections, kills, partition, print_detections,
    rejoin_time,
};

const PROGRAM: &str = "target/release/doortrack";
/// Start and end of the cost measurement of a fleet without faults.
const IDLE_COST_START_MS: u64 = 8_000;
const IDLE_COST_END_MS: u64 = WARM_UP_MS - 2_000;
/// Times since the restart of the killed nodes, which follows the detection of the last kill.
const PARTITION_START_MS: u64 = 8_000;
const PARTITION_END_MS: u64 = 18_000;
const RUN_END_MS: u64 = 28_000;

/// CPU time and network traffic of a fleet.
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

/// Measures and prints the idle cost of a fleet, its detection times and its rejoin time.
pub(crate) fn measure(nodes: usize) {
    let mut rig = Rig::new(Path::new(PROGRAM), nodes, 1).expect("failed to set up the processes");
    rig.start_clock();
    let started_at = Instant::now();
    (0..nodes).for_each(|node| {
        rig.start(node, node, &Value::Null)
            .expect("failed to start a process")
    });
    sleep_until(started_at, IDLE_COST_START_MS);
    let before = Usage::of_fleet(&rig, nodes);
    sleep_until(started_at, IDLE_COST_END_MS);
    print_idle_cost(nodes, before, Usage::of_fleet(&rig, nodes));
    inject(&mut rig, started_at, &kills(nodes));
    let restart_ms = WARM_UP_MS + KILL_INTERVAL_MS * KILLS as u64;
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
    inject(&mut rig, started_at, &[restart]);
    let healed_ms = restart_ms + PARTITION_END_MS;
    let partition = partition(nodes, restart_ms + PARTITION_START_MS, healed_ms);
    inject(&mut rig, started_at, &partition);
    sleep_until(started_at, restart_ms + RUN_END_MS);
    let history = rig.finish().history;
    print_detections("processes", nodes, &detections(&history));
    let rejoined = rejoin_time(&history, healed_ms);
    println!("processes {nodes}: rejoined {rejoined} ms after a partition into halves");
}

fn print_idle_cost(nodes: usize, before: Usage, after: Usage) {
    let seconds = (IDLE_COST_END_MS - IDLE_COST_START_MS) as f64 / 1_000.0;
    let per_node_and_second = |count: u64| count as f64 / nodes as f64 / seconds;
    println!(
        "processes {nodes}: without faults, {:.0} bytes and {:.1} datagrams a second sent by each, {:.2}% of a core",
        per_node_and_second(after.bytes - before.bytes),
        per_node_and_second(after.datagrams - before.datagrams),
        (after.cpu_ms - before.cpu_ms) as f64 / 10.0 / nodes as f64 / seconds,
    );
}

fn sleep_until(started_at: Instant, ms: u64) {
    thread::sleep(Duration::from_millis(ms).saturating_sub(started_at.elapsed()));
}

/// Injects each fault at its scheduled time.
fn inject(rig: &mut Rig, started_at: Instant, faults: &[TimedFault]) {
    let settings = |_: usize| Value::Null;
    for timed in faults {
        sleep_until(started_at, timed.at_ms);
        rig.inject(&timed.fault, &settings)
            .expect("failed to inject a fault");
    }
}
