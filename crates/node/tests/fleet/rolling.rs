//! Many processes before application servers, killed and started again in turns while callers ask all of
//! them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::server::{Behavior, Server};
use doortrack_fakes::{MAX_WAIT, unix_ms};
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::progress::{ProcessLifetime, ProgressBounds, stalls};
use doortrack_fault_harness::script::Fault;
use doortrack_fault_harness::traffic::{ProcessExit, Traffic, expected_body};
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use crate::program;

const NODES: usize = 24;
/// Nodes that are killed at once, and how long the others are left in peace after each turn.
const AT_ONCE: usize = 3;
const BETWEEN: Duration = Duration::from_millis(250);
/// How long all serve on after the last turn: longer than the window of `PATIENCE`.
const AFTERWARDS: Duration = Duration::from_millis(4_500);
const PATIENCE: ProgressBounds = ProgressBounds {
    window_ms: 3_000,
    min_offers: 10,
};
const CALLERS: usize = 16;
const SERVERS: usize = 3;
/// What a run takes.
const WORK: Duration = Duration::from_millis(3);

fn servers() -> Vec<Server> {
    let script = |got: &_| Behavior::Answer {
        status: "200 OK",
        body: expected_body(&ExecutedRun::from(got).attempt_id),
        after: WORK,
    };
    (0..SERVERS)
        .map(|_| Server::start(Protocol::FastCgi, script))
        .collect()
}

fn installation(servers: &[Server]) -> Value {
    let addresses: Vec<String> = servers
        .iter()
        .map(|server| server.address.to_string())
        .collect();
    json!({"servers": {"protocol": "fastcgi", "addresses": addresses, "at_once": 4,
        "answer_within_ms": 3_000}})
}

/// Waits until a node answers that it is well; when it did.
fn ready_at(front: SocketAddr) -> u64 {
    let until = Instant::now() + MAX_WAIT;
    loop {
        if let Ok(pending) =
            CallerRequest::new(1, "/status/live", b"").try_send(front, Protocol::FastCgi)
            && matches!(pending.outcome(), CallerOutcome::Completed(_))
        {
            return unix_ms();
        }
        assert!(Instant::now() < until, "{front} is never ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn nodes_killed_and_started_again_in_turns_answer_all_and_every_one_serves() {
    let servers = servers();
    let more = installation(&servers);
    let mut rig = Rig::new(program(), NODES, 7).unwrap();
    rig.start_clock();
    (0..NODES).for_each(|node| rig.start(node, node, &more).unwrap());
    let fronts: Vec<SocketAddr> = (0..NODES).map(|node| rig.listener_address(node)).collect();
    let mut ready: Vec<u64> = fronts.iter().map(|front| ready_at(*front)).collect();
    let traffic = Traffic::start(CALLERS, &fronts, 11);
    let (mut lives, mut deaths) = (Vec::new(), Vec::new());
    let in_turns: Vec<usize> = (0..NODES).collect();
    for nodes in in_turns.chunks(AT_ONCE) {
        std::thread::sleep(BETWEEN);
        let ended_at = unix_ms();
        rig.inject(
            &Fault::Kill {
                nodes: nodes.to_vec(),
            },
            &|_| Value::Null,
        )
        .unwrap();
        nodes
            .iter()
            .for_each(|node| rig.start(*node, *node, &more).unwrap());
        for node in nodes {
            lives.push(ProcessLifetime {
                listener: fronts[*node],
                ready_at: ready[*node],
                ended_at,
            });
            deaths.push(ProcessExit {
                listener: fronts[*node],
                at: ended_at,
                answers_due_before: 0,
            });
            ready[*node] = ready_at(fronts[*node]);
        }
    }
    std::thread::sleep(AFTERWARDS);
    let ended_at = unix_ms();
    lives.extend(
        fronts
            .iter()
            .zip(ready)
            .map(|(front, ready_at)| ProcessLifetime {
                listener: *front,
                ready_at,
                ended_at,
            }),
    );
    // None has ended by itself.
    fronts.iter().for_each(|front| _ = ready_at(*front));
    let asked = traffic.stop();
    let offers = asked.offers();
    let ran: Vec<ExecutedRun> = servers
        .iter()
        .flat_map(Server::received)
        .map(|got| ExecutedRun::from(&got))
        .collect();
    let (served, broken) = asked.judge(&ran, &deaths);
    assert!(broken.is_empty(), "{broken:#?}");
    let idle = stalls(&lives, &offers, PATIENCE);
    assert!(idle.is_empty(), "{idle:#?}");
    // What was asked of a process that was then killed, and nothing else, has no answer.
    assert!(served.unanswered * 10 < served.sent, "{served:?}");
    assert!(
        served.sent > 500 && served.completed * 10 > served.sent * 8,
        "{served:?}"
    );
}
