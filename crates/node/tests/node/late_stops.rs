//! The end of a drain whose last answers and last look at the backlog fall into one turn.

use std::time::Duration;

use doortrack_fakes::records::Client;
use doortrack_fakes::unix_ms;
use serde_json::json;

use super::reload_with_shutdown::{LEAVE, ends_well};
use super::sockets::up_with;

const STOP_MS: u64 = 1_000;

#[test]
fn a_full_backlog_is_answered_though_the_node_stood_still_over_its_stop() {
    let (fixture, mut engine) = up_with(|config| {
        config["limits"]["sockets"] = json!(32);
        config["stop_ms"] = json!(STOP_MS);
        config["settings"]["family_info"]["cores"] = json!(20);
    });
    let mut clients: Vec<Client> = Vec::new();
    // Eight are taken in and run; three more wait where only the system has them.
    for n in 0..11 {
        let mut client = fixture.client();
        client.send_look(1, n);
        clients.push(client);
        if n < 8 {
            engine.next_run();
        }
    }
    assert_eq!(engine.next_command_within_stats(2), None);
    fixture.signal(LEAVE);
    fixture.wait_for_report("draining");
    let told = unix_ms();
    fixture.signal("-STOP");
    while unix_ms() <= told + STOP_MS {
        std::thread::sleep(Duration::from_millis(5));
    }
    fixture.signal("-CONT");
    for client in &mut clients[..8] {
        assert_eq!(
            client.reply().status,
            500,
            "it ran and was cut short by the stop"
        );
    }
    for client in &mut clients[8..] {
        assert!(
            [2, 503].contains(&client.reply().status),
            "never run, and told so"
        );
    }
    ends_well(fixture);
}
