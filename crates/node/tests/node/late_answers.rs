//! A shutdown signal handled in the same turn in which answers of servers have timed out.

use std::process::Command;
use std::time::Duration;

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::fixture::NodeSetup;
use doortrack_fakes::records::{Client, request};
use doortrack_fakes::server::Server;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

use super::reload_with_shutdown::{TERMINATE, wait_for_clean_exit};

/// Longer than the process is suspended here, also on a busy machine: the signal may be dated back to the
/// start of the suspension.
const STOP_MS: u64 = 3_000;

/// Guards against an immediate exit: a turn with terminations to report counted as due at time 0, and a signal
/// handled in that turn was dated back to time 0. Here a run times out while the node is suspended, and the
/// signal comes while the node is busy with the requests that arrived meanwhile.
#[test]
fn a_signal_in_the_turn_of_a_late_answer_keeps_the_full_time_to_the_stop() {
    const CALLER_COUNT: u64 = 100;
    const REQUESTS_PER_CALLER: u16 = 32;
    let (server, held) = Server::held(FastCgi);
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(STOP_MS);
    setup.installation = Some(
        json!({"servers": {"protocol": "fastcgi", "addresses": [server.address.to_string()],
        "answer_within_ms": 200, "retries": {"tries": 1}}}),
    );
    let fixture = setup.start();
    let mut late = fixture.client();
    late.send_look(1, 1);
    let _run = held.recv_timeout(MAX_WAIT).unwrap();
    fixture.signal("-STOP");
    let mut callers: Vec<Client> = (1..=CALLER_COUNT).map(|_| fixture.client()).collect();
    for (caller, client) in callers.iter_mut().enumerate() {
        let first = (caller as u64 + 1) * 1_000;
        let all = (1..=REQUESTS_PER_CALLER)
            .flat_map(|id| request(id, first + u64::from(id), "/svc/look", &[], b""));
        client.send(&all.collect::<Vec<u8>>());
    }
    std::thread::sleep(Duration::from_millis(300));
    let id = fixture.program.id();
    let line = format!("kill -CONT {id}; sleep 0.002; kill {TERMINATE} {id}");
    assert!(
        Command::new("sh")
            .args(["-c", &line])
            .status()
            .unwrap()
            .success()
    );
    fixture.wait_for_report("draining");
    assert_eq!(
        late.reply().status,
        500,
        "the run started and is not retried"
    );
    for client in &mut callers {
        for _ in 0..REQUESTS_PER_CALLER {
            assert!([2, 500, 503].contains(&client.reply().status));
        }
        assert!(client.is_closed());
    }
    wait_for_clean_exit(fixture);
}
