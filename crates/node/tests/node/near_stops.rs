//! Which `stop_ms` applies when a reload together with the shutdown signal changes it.

use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use serde_json::{Value, json};

use super::reload_with_shutdown::{
    RELOAD, SHORT_STOP_MS, TERMINATE, rewrite_config, send_two_signals, wait_for_clean_exit,
};

/// A stop time in ms, far beyond the longest wait of a test.
const LONG_STOP_MS: u64 = 600_000;

/// Starts a node with this `stop_ms` and, optionally, an installation file.
fn start_with_stop(stop_ms: u64, installation: Option<Value>) -> (NodeFixture, Engine) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["stop_ms"] = json!(stop_ms);
    setup.installation = installation;
    setup.start_with_engine()
}

/// Checks that the shorter stop applies: of two runs, one finishes in time and the stop ends the other.
/// `reloaded_stop_ms` is the stop of the reloaded configuration.
fn check_shorter_stop_applies(
    (fixture, mut engine): (NodeFixture, Engine),
    order: [&str; 2],
    reloaded_stop_ms: u64,
    suspended: bool,
) {
    let mut client = fixture.client();
    client.send_look(1, 1);
    client.send_look(2, 2);
    let (first, _) = engine.next_run();
    engine.next_run();
    rewrite_config(&fixture, |config| {
        config["stop_ms"] = json!(reloaded_stop_ms)
    });
    if suspended {
        fixture.signal("-STOP");
    }
    send_two_signals(&fixture, order);
    if suspended {
        fixture.signal("-CONT");
    }
    fixture.wait_for_report("draining");
    engine.finish_run(&first, "OK", b"in time");
    assert_eq!(client.reply().body, b"in time");
    assert_eq!(client.reply().status, 500, "the shorter stop applies");
    assert!(client.is_closed());
    wait_for_clean_exit(fixture);
}

#[test]
fn a_shorter_stop_reloaded_before_the_signal_applies() {
    check_shorter_stop_applies(
        start_with_stop(LONG_STOP_MS, None),
        [RELOAD, TERMINATE],
        SHORT_STOP_MS,
        false,
    );
}

#[test]
fn a_shorter_stop_applies_when_reload_and_signal_are_seen_at_once() {
    check_shorter_stop_applies(
        start_with_stop(LONG_STOP_MS, None),
        [RELOAD, TERMINATE],
        SHORT_STOP_MS,
        true,
    );
}

#[test]
fn a_shorter_stop_applies_with_an_installation_file_too() {
    let installation = || Some(json!({"fronts": []}));
    check_shorter_stop_applies(
        start_with_stop(LONG_STOP_MS, installation()),
        [RELOAD, TERMINATE],
        SHORT_STOP_MS,
        true,
    );
}

#[test]
fn a_longer_stop_reloaded_after_the_signal_is_ignored() {
    check_shorter_stop_applies(
        start_with_stop(SHORT_STOP_MS, None),
        [TERMINATE, RELOAD],
        LONG_STOP_MS,
        false,
    );
}

#[test]
fn a_longer_stop_is_ignored_when_signal_and_reload_are_seen_at_once() {
    check_shorter_stop_applies(
        start_with_stop(SHORT_STOP_MS, None),
        [TERMINATE, RELOAD],
        LONG_STOP_MS,
        true,
    );
}
