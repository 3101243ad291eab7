//! Runs that may or may not have reached the engine when its link was lost. One that has ended is begun anew by a second
//! RUN, so none is sent again that must not run twice.

use std::time::{Duration, Instant};

use doortrack_fakes::attempt_id;
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::records::{IDEMPOTENCY_KEY, request};
use serde_json::json;

const DEADLINE_MS: u64 = 600;
/// Time after the link is attached again in which the node may send commands, in ms.
const OBSERVED: Duration = Duration::from_millis(5 * DEADLINE_MS);
/// Cores of the engine, which is the node's concurrency limit at the start.
const CORES: u64 = 4;
const CANCELLATIONS: [&str; 3] = ["silent", "drop", "pause"];

fn start(cancellation: &str) -> (NodeFixture, Engine) {
    let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    setup.config["settings"]["family_info"]["halt"] = json!(cancellation);
    for group in setup.config["settings"]["lanes"].as_array_mut().unwrap() {
        group["deadline"] = json!(DEADLINE_MS * 1_000);
        group["target"] = json!(DEADLINE_MS * 500);
    }
    setup.start_with_engine()
}

/// Answers STAT, ignores HALT, and returns the ids of all runs begun in this time.
fn runs_begun(engine: &mut Engine, duration: Duration) -> Vec<String> {
    let (until, mut runs) = (Instant::now() + duration, Vec::new());
    let sock = engine.reader.get_ref();
    sock.set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    while Instant::now() < until {
        let Some(command) = engine.try_read_command() else {
            continue;
        };
        match command["msg"].as_str() {
            Some("STAT") => engine.answer_stat(&command),
            Some("RUN") => runs.push(command["call"].as_str().unwrap().to_string()),
            _ => {}
        }
    }
    runs
}

#[test]
fn a_run_that_must_not_run_twice_is_never_sent_again() {
    for cancellation in CANCELLATIONS {
        let (fixture, engine) = start(cancellation);
        let mut client = fixture.client();
        let mut engine = fixture.lose_link_after_run(engine, &mut client);
        let begun = runs_begun(&mut engine, OBSERVED);
        assert_eq!(begun, Vec::<String>::new(), "{cancellation}");
        assert_eq!(client.reply().status, 500, "{cancellation}");
        client.send(&request(2, 2, "/svc/pay", &[IDEMPOTENCY_KEY], b""));
        assert_eq!(client.reply().status, 500, "it may have run");
    }
}

/// Guards against run slots that are lost for good with the runs that never arrived.
#[test]
fn runs_that_never_arrived_are_given_up_after_their_deadline() {
    for cancellation in CANCELLATIONS {
        let (fixture, mut engine) = start(cancellation);
        let mut client = fixture.client();
        engine.answer_stats(1);
        for nth in 1..=CORES {
            let key = format!("{nth:032x}");
            let fields = [("HTTP_IDEMPOTENCY_KEY", &*key)];
            client.send(&request(nth as u16, nth, "/svc/pay", &fields, b""));
        }
        let mut lost = 0;
        while lost < CORES {
            lost += u64::from(engine.read_command()["msg"] == "RUN");
        }
        drop(engine);
        engine = fixture.accept_engine();
        engine.handshake(0);
        runs_begun(&mut engine, OBSERVED);
        let mut other = fixture.client();
        other.send_look(1, 100);
        let begun = runs_begun(&mut engine, Duration::from_millis(DEADLINE_MS / 2));
        assert_eq!(begun, [attempt_id(100)], "{cancellation}");
    }
}
