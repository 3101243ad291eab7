//! The end of a drain whose last answers and last accept fall into the same turn.

use std::time::Duration;

use doortrack_fakes::records::Client;
use doortrack_fakes::unix_ms;
use serde_json::json;

use super::reload_with_shutdown::{TERMINATE, wait_for_clean_exit};
use super::sockets::up_with;

const STOP_MS: u64 = 1_000;

#[test]
fn a_full_backlog_is_answered_by_a_node_suspended_past_its_stop() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["sockets"] = json!(32);
        config["stop_ms"] = json!(STOP_MS);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut clients: Vec<Client> = Vec::new();
    // Eight connections are accepted and their requests run; three more wait in the system's backlog.
    for n in 0..11 {
        let mut client = fixture.client();
        client.send_look(1, n);
        clients.push(client);
        if n < 8 {
            engine.next_run();
        }
    }
    assert_eq!(engine.next_command_within_stats(2), None);
    fixture.signal(TERMINATE);
    fixture.wait_for_report("draining");
    let drain_started = unix_ms();
    fixture.signal("-STOP");
    while unix_ms() <= drain_started + STOP_MS {
        std::thread::sleep(Duration::from_millis(5));
    }
    fixture.signal("-CONT");
    for client in &mut clients[..8] {
        assert_eq!(
            client.reply().status,
            500,
            "the run is cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "the request never ran and is refused"
        );
    }
    wait_for_clean_exit(fixture);
}
