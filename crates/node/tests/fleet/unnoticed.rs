//! A server restarts cold while some nodes of the fleet can't have noticed that it was down.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use doortrack_fakes::unix_ms;
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::Fault;
use serde_json::{Value, json};

use crate::slow_start::{
    BUDGET_RATE, Callers, DOWNTIME, NODES, RAMP_DURATION_MS, RAMP_RUNS, installation, max_runs,
    ramp_setting, start_nodes, start_server, wait_for_allocation,
};

/// Nodes that send requests throughout and so notice that the server is down; the others don't.
const OBSERVERS: usize = NODES / 2;

/// The installation of a fleet that shares the slow start through a budget.
fn shared_ramp_installation(address: SocketAddr) -> Value {
    let mut settings = installation(address, ramp_setting(RAMP_RUNS));
    settings["fleet"] = json!({"voters": ["n0", "n1", "n2"]});
    settings["budgets"] = json!([{"name": "returns", "kind": "rate", "limit": BUDGET_RATE, "burst": NODES,
        "for": {"ramp": "servers"}}]);
    settings
}

fn listeners(rig: &Rig, nodes: std::ops::Range<usize>) -> Vec<SocketAddr> {
    nodes.map(|node| rig.listener_address(node)).collect()
}

/// Kills the server, starts a new one after `downtime`, and returns how many runs reach it during its slow start.
/// The observers have requests throughout, the other nodes only from the restart on. `on_kill` runs after the kill,
/// `on_return` after the restart.
fn runs_after_return(
    downtime: Duration,
    on_kill: impl Fn(&mut Rig),
    on_return: impl Fn(&mut Rig, SocketAddr),
) -> usize {
    let (mut rig, first) = start_nodes(NODES, shared_ramp_installation);
    (0..NODES).for_each(|node| wait_for_allocation(&rig, node));
    let mut observers = Callers::start(&listeners(&rig, 0..OBSERVERS));
    observers.wait_for("has not completed 3 requests before the outage", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 3
    });
    let address = first.kill();
    on_kill(&mut rig);
    std::thread::sleep(downtime);
    let returned_at = unix_ms();
    let second = start_server(address);
    on_return(&mut rig, address);
    let mut other_callers = Callers::start(&listeners(&rig, OBSERVERS..NODES));
    let remaining = Duration::from_millis(returned_at + RAMP_DURATION_MS + 500 - unix_ms());
    std::thread::sleep(remaining);
    observers.finish();
    other_callers.finish();
    let within = |at: u64| (returned_at..returned_at + RAMP_DURATION_MS).contains(&at);
    second
        .received()
        .iter()
        .filter(|request| within(request.received_at_ms))
        .count()
}

/// Guards against a node that starts while the server is cold and treats it as warm.
#[test]
fn nodes_that_start_beside_a_server_that_returns_share_its_ramp() {
    let killed: Vec<usize> = (OBSERVERS..NODES).collect();
    let restarted = killed.clone();
    let kill = move |rig: &mut Rig| {
        let nodes = killed.clone();
        rig.inject(&Fault::Kill { nodes }, &|_| Value::Null)
            .unwrap();
    };
    let start = move |rig: &mut Rig, address: SocketAddr| {
        let nodes = restarted.clone();
        rig.inject(&Fault::Start { nodes, clock_ms: 0 }, &|_| {
            shared_ramp_installation(address)
        })
        .unwrap();
        listeners(rig, OBSERVERS..NODES)
            .iter()
            .for_each(|listener| drop(doortrack_fakes::fixture::connect(*listener)));
    };
    let runs = runs_after_return(DOWNTIME, kill, start);
    assert!(
        runs <= max_runs(RAMP_RUNS),
        "{runs} runs, at most {} allowed",
        max_runs(RAMP_RUNS)
    );
}

/// Guards against a node that sent nothing while the server was down and then sends at full rate.
#[test]
fn nodes_that_notice_nothing_of_a_short_outage_share_the_ramp() {
    let runs = runs_after_return(DOWNTIME, |_| {}, |_, _| {});
    assert!(
        runs <= max_runs(RAMP_RUNS),
        "{runs} runs, at most {} allowed",
        max_runs(RAMP_RUNS)
    );
}
