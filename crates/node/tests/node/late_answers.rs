//! A notice to leave that is read in the very turn in which answers of servers have got late.

use std::process::Command;
use std::time::Duration;

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::fixture::NodeSetup;
use doortrack_fakes::records::{Client, request};
use doortrack_fakes::server::Server;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

use super::reload_with_shutdown::{LEAVE, ends_well};

/// Longer than the process stands still here, also on a busy machine: a notice may count as old as that.
const STOP_MS: u64 = 3_000;

/// Found by reading: a turn that had ends to tell counted as due at the time 0, and a notice read in it as
/// old as that, so the process was gone at once. Here a run gets late while the node stands still, and the
/// notice comes while it is busy with all that came meanwhile.
#[test]
fn a_notice_that_is_read_beside_a_late_answer_leaves_the_whole_time_to_the_stop() {
    const CALLERS: u64 = 100;
    const EACH: u16 = 32;
    let (server, held) = Server::held(FastCgi);
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    plan.config["stop_ms"] = json!(STOP_MS);
    plan.installation = Some(
        json!({"servers": {"protocol": "fastcgi", "addresses": [server.address.to_string()],
        "answer_within_ms": 200, "retries": {"tries": 1}}}),
    );
    let fixture = plan.start();
    let mut late = fixture.client();
    late.send_look(1, 1);
    let _run = held.recv_timeout(MAX_WAIT).unwrap();
    fixture.signal("-STOP");
    let mut callers: Vec<Client> = (1..=CALLERS).map(|_| fixture.client()).collect();
    for (caller, client) in callers.iter_mut().enumerate() {
        let first = (caller as u64 + 1) * 1_000;
        let all =
            (1..=EACH).flat_map(|id| request(id, first + u64::from(id), "/svc/look", &[], b""));
        client.send(&all.collect::<Vec<u8>>());
    }
    std::thread::sleep(Duration::from_millis(300));
    let id = fixture.program.id();
    let line = format!("kill -CONT {id}; sleep 0.002; kill {LEAVE} {id}");
    assert!(
        Command::new("sh")
            .args(["-c", &line])
            .status()
            .unwrap()
            .success()
    );
    fixture.wait_for_report("draining");
    assert_eq!(late.reply().status, 500, "it ran, and is not tried again");
    for client in &mut callers {
        for _ in 0..EACH {
            assert!([2, 500, 503].contains(&client.reply().status));
        }
        assert!(client.is_closed());
    }
    ends_well(fixture);
}
