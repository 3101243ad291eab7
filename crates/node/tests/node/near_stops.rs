//! Which stop holds where the configuration that is read again beside the notice to leave names another one.

use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use serde_json::{Value, json};

use super::reload_with_shutdown::{LEAVE, RELOAD, SOON, ends_well, rewrite_config, signals};

/// A stop that lies far beyond the longest that anything waits, in ms.
const FAR: u64 = 600_000;

/// A node with this stop and, where it is to have one, an operators' file.
fn stops_after(stop_ms: u64, installation: Option<Value>) -> (NodeFixture, Engine) {
    let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    plan.config["stop_ms"] = json!(stop_ms);
    plan.installation = installation;
    plan.start_with_engine()
}

/// Of two runs one ends in time, and only the stop ends the other. `after` is the stop of the configuration
/// that is read again.
fn leaves_by_the_near_stop(
    (fixture, mut engine): (NodeFixture, Engine),
    order: [&str; 2],
    after: u64,
    stands_still: bool,
) {
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (first, _) = engine.next_run();
    engine.next_run();
    rewrite_config(&fixture, |config| config["stop_ms"] = json!(after));
    if stands_still {
        fixture.signal("-STOP");
    }
    signals(&fixture, order);
    if stands_still {
        fixture.signal("-CONT");
    }
    fixture.wait_for_report("draining");
    engine.finish_run(&first, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    assert_eq!(client.reply().status, 500, "the stop is the near one");
    assert!(client.is_closed());
    ends_well(fixture);
}

#[test]
fn a_shorter_stop_read_right_before_the_notice_holds() {
    leaves_by_the_near_stop(stops_after(FAR, None), [RELOAD, LEAVE], SOON, false);
}

#[test]
fn a_shorter_stop_holds_though_reload_and_notice_are_learnt_of_at_once() {
    leaves_by_the_near_stop(stops_after(FAR, None), [RELOAD, LEAVE], SOON, true);
}

#[test]
fn a_shorter_stop_holds_beside_an_operators_file_too() {
    let installation = || Some(json!({"fronts": []}));
    leaves_by_the_near_stop(
        stops_after(FAR, installation()),
        [RELOAD, LEAVE],
        SOON,
        true,
    );
}

#[test]
fn a_longer_stop_read_right_after_the_notice_moves_nothing() {
    leaves_by_the_near_stop(stops_after(SOON, None), [LEAVE, RELOAD], FAR, false);
}

#[test]
fn a_longer_stop_moves_nothing_though_notice_and_reload_are_learnt_of_at_once() {
    leaves_by_the_near_stop(stops_after(SOON, None), [LEAVE, RELOAD], FAR, true);
}
