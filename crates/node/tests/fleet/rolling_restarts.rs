//! Many nodes in front of application servers are killed and restarted in batches while callers send to all nodes.

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
/// Nodes that are killed together.
const BATCH_SIZE: usize = 3;
/// Pause before each batch.
const BATCH_PAUSE: Duration = Duration::from_millis(250);
/// How long all nodes serve after the last batch: longer than the window of `PROGRESS_BOUNDS`.
const FINAL_DURATION: Duration = Duration::from_millis(4_500);
const PROGRESS_BOUNDS: ProgressBounds = ProgressBounds {
    window_ms: 3_000,
    min_offers: 10,
};
const CALLERS: usize = 16;
const SERVERS: usize = 3;
/// How long a run takes.
const RUN_DURATION: Duration = Duration::from_millis(3);

fn servers() -> Vec<Server> {
    let script = |request: &_| Behavior::Answer {
        status: "200 OK",
        body: expected_body(&ExecutedRun::from(request).attempt_id),
        after: RUN_DURATION,
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

/// Waits until a node answers its health check, and returns the time in Unix ms.
fn wait_until_ready(listener: SocketAddr) -> u64 {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Ok(pending) =
            CallerRequest::new(1, "/status/live", b"").try_send(listener, Protocol::FastCgi)
            && matches!(pending.outcome(), CallerOutcome::Completed(_))
        {
            return unix_ms();
        }
        assert!(Instant::now() < deadline, "{listener} never became ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn nodes_killed_and_restarted_in_batches_answer_all_requests_and_all_make_progress() {
    let servers = servers();
    let node_installation = installation(&servers);
    let mut rig = Rig::new(program(), NODES, 7).unwrap();
    rig.start_clock();
    (0..NODES).for_each(|node| rig.start(node, node, &node_installation).unwrap());
    let listeners: Vec<SocketAddr> = (0..NODES).map(|node| rig.listener_address(node)).collect();
    let mut ready: Vec<u64> = listeners
        .iter()
        .map(|listener| wait_until_ready(*listener))
        .collect();
    let traffic = Traffic::start(CALLERS, &listeners, 11);
    let (mut lifetimes, mut exits) = (Vec::new(), Vec::new());
    let all_nodes: Vec<usize> = (0..NODES).collect();
    for nodes in all_nodes.chunks(BATCH_SIZE) {
        std::thread::sleep(BATCH_PAUSE);
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
            .for_each(|node| rig.start(*node, *node, &node_installation).unwrap());
        for node in nodes {
            lifetimes.push(ProcessLifetime {
                listener: listeners[*node],
                ready_at: ready[*node],
                ended_at,
            });
            exits.push(ProcessExit {
                listener: listeners[*node],
                at: ended_at,
                answers_due_before: 0,
            });
            ready[*node] = wait_until_ready(listeners[*node]);
        }
    }
    std::thread::sleep(FINAL_DURATION);
    let ended_at = unix_ms();
    lifetimes.extend(
        listeners
            .iter()
            .zip(ready)
            .map(|(listener, ready_at)| ProcessLifetime {
                listener: *listener,
                ready_at,
                ended_at,
            }),
    );
    // No node has exited by itself.
    listeners
        .iter()
        .for_each(|listener| _ = wait_until_ready(*listener));
    let records = traffic.stop();
    let offers = records.offers();
    let runs: Vec<ExecutedRun> = servers
        .iter()
        .flat_map(Server::received)
        .map(|request| ExecutedRun::from(&request))
        .collect();
    let (counts, violations) = records.judge(&runs, &exits);
    assert!(violations.is_empty(), "{violations:#?}");
    let stalled = stalls(&lifetimes, &offers, PROGRESS_BOUNDS);
    assert!(stalled.is_empty(), "{stalled:#?}");
    // Only requests to a process that was then killed may have no answer.
    assert!(counts.unanswered * 10 < counts.sent, "{counts:?}");
    assert!(
        counts.sent > 500 && counts.completed * 10 > counts.sent * 8,
        "{counts:?}"
    );
}
