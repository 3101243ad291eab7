//! A server that returns cold while a part of the fleet can't have noticed that it was away.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use doortrack_fakes::unix_ms;
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::Fault;
use serde_json::{Value, json};

use crate::ramp::{
    AWAY, Callers, NODES, OVER_MS, RUNS, TOKENS, installation, most, ramp, server, started,
    wait_for_allocation,
};

/// Nodes that see the server go; the others do not.
const WITNESSES: usize = NODES / 2;

/// A fleet that shares one ramp.
fn sharing(at: SocketAddr) -> Value {
    let mut whole = installation(at, ramp(RUNS));
    whole["fleet"] = json!({"voters": ["n0", "n1", "n2"]});
    whole["budgets"] = json!([{"name": "returns", "kind": "rate", "limit": TOKENS, "burst": NODES,
        "for": {"ramp": "servers"}}]);
    whole
}

fn fronts(rig: &Rig, nodes: std::ops::Range<usize>) -> Vec<SocketAddr> {
    nodes.map(|of| rig.listener_address(of)).collect()
}

/// The witnesses have work throughout. Has the server away for a while, and `others` brings the other nodes as the
/// server returns; how many runs reach it in the time of its ramp.
fn runs_after_return(
    away: Duration,
    before: impl Fn(&mut Rig),
    others: impl Fn(&mut Rig, SocketAddr),
) -> usize {
    let (mut rig, first) = started(NODES, sharing);
    (0..NODES).for_each(|of| wait_for_allocation(&rig, of));
    let mut witnesses = Callers::start(&fronts(&rig, 0..WITNESSES));
    witnesses.wait_for("served before", |tally| {
        tally.completed.load(Ordering::Relaxed) >= 3
    });
    let at = first.kill();
    before(&mut rig);
    std::thread::sleep(away);
    let listening = unix_ms();
    let second = server(at);
    others(&mut rig, at);
    let mut callers = Callers::start(&fronts(&rig, WITNESSES..NODES));
    let over = Duration::from_millis(listening + OVER_MS + 500 - unix_ms());
    std::thread::sleep(over);
    witnesses.finish();
    callers.finish();
    let within = |at: u64| (listening..listening + OVER_MS).contains(&at);
    second
        .received()
        .iter()
        .filter(|got| within(got.received_at_ms))
        .count()
}

/// Guards against a node that starts beside a cold server and takes it for warm.
#[test]
fn nodes_that_start_beside_a_server_that_returns_share_its_ramp() {
    let all: Vec<usize> = (WITNESSES..NODES).collect();
    let started = all.clone();
    let kill = move |rig: &mut Rig| {
        let nodes = all.clone();
        rig.inject(&Fault::Kill { nodes }, &|_| Value::Null)
            .unwrap();
    };
    let start = move |rig: &mut Rig, at: SocketAddr| {
        let nodes = started.clone();
        rig.inject(&Fault::Start { nodes, clock_ms: 0 }, &|_| sharing(at))
            .unwrap();
        fronts(rig, WITNESSES..NODES)
            .iter()
            .for_each(|front| drop(doortrack_fakes::fixture::connect(*front)));
    };
    let runs = runs_after_return(AWAY, kill, start);
    assert!(runs <= most(RUNS), "{runs} runs, {} at most", most(RUNS));
}

/// Guards against a node that had nothing to send while the server was away and goes on at full load.
#[test]
fn nodes_that_notice_nothing_of_a_short_outage_share_the_ramp() {
    let runs = runs_after_return(AWAY, |_| {}, |_, _| {});
    assert!(runs <= most(RUNS), "{runs} runs, {} at most", most(RUNS));
}
