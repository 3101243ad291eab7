//! Panics triggered by a test: one while a configuration is built rejects that configuration, any other is logged in
//! one line.

use std::io::{BufRead, BufReader, Lines};
use std::process::ChildStderr;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use serde_json::{Value, json};

/// A node that notices within this time was not woken by its next report to the registry: half the report interval.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(125);

/// A node with a JSON log and a file that names the place where it panics.
struct PanicFixture {
    fixture: NodeFixture,
    lines: Lines<BufReader<ChildStderr>>,
}

impl PanicFixture {
    fn start(installation: Option<Value>) -> PanicFixture {
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let trigger_file =
            std::env::temp_dir().join(format!("doortrack-panic-{}", setup.address.ip()));
        setup.arguments = [
            "--log-format",
            "json",
            "--log-lines",
            "1000",
            "--test-panic",
        ]
        .map(String::from)
        .to_vec();
        setup.arguments.push(trigger_file.display().to_string());
        setup.installation = installation;
        let mut fixture = setup.start();
        let lines = BufReader::new(fixture.program.stderr.take().unwrap()).lines();
        drop(connect(fixture.address));
        PanicFixture { fixture, lines }
    }

    /// Makes the node panic at `place` from the next reload on; an empty name stops that.
    fn panic_in(&self, place: &str) {
        let file_name = format!("doortrack-panic-{}", self.fixture.address.ip());
        std::fs::write(std::env::temp_dir().join(file_name), place).unwrap();
    }

    /// Reads up to the next log line with this message and returns it. Every line read must be JSON.
    fn wait_for_message(&mut self, message: &str) -> Value {
        loop {
            let line = self.lines.next().expect("the log has ended").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
            if line["msg"] == message {
                return line;
            }
        }
    }

    fn reload(&self) {
        self.fixture.signal("-HUP");
    }
}

impl Drop for PanicFixture {
    fn drop(&mut self) {
        let file_name = format!("doortrack-panic-{}", self.fixture.address.ip());
        _ = std::fs::remove_file(std::env::temp_dir().join(file_name));
    }
}

fn is_panic_location(text: &Value) -> bool {
    let text = text.as_str().unwrap_or_default();
    text.contains("crates/node/src/system/test_panics.rs:")
}

/// Guards against a build whose panic is not logged or ends the build thread.
#[test]
fn a_panicking_build_is_rejected_with_the_panic_location_and_the_next_file_is_applied() {
    for installation in [None, Some(json!({}))] {
        let mut node = PanicFixture::start(installation);
        node.panic_in("Build");
        for _ in 0..3 {
            node.reload();
            let rejection = node.wait_for_message("configuration rejected");
            let error = &rejection["error"];
            assert!(is_panic_location(error), "{rejection}");
            assert!(error.to_string().contains("a test wants"), "{rejection}");
        }
        node.panic_in("");
        node.reload();
        node.wait_for_message("configuration in force");
    }
}

/// Guards against an idle node that notices the end of its build thread only when something else wakes it.
#[test]
fn a_build_thread_that_ends_is_noticed_at_once_and_replaced() {
    let mut node = PanicFixture::start(Some(json!({})));
    node.panic_in("BuildThread");
    let mut noticed_at_once = 0;
    for _ in 0..12 {
        let started = Instant::now();
        node.reload();
        let panic = node.wait_for_message("panicked");
        assert!(is_panic_location(&panic["place"]), "{panic}");
        assert_eq!(panic["thread"], "reload");
        node.wait_for_message("configuration rejected");
        noticed_at_once += usize::from(started.elapsed() < MAX_NOTICE_DELAY);
    }
    assert!(
        noticed_at_once > 9,
        "{noticed_at_once} of 12 panics were noticed at once"
    );
    node.panic_in("");
    node.reload();
    node.wait_for_message("configuration in force");
}

/// Guards against a process that ends without a structured log line.
#[test]
fn a_panic_of_the_event_loop_is_logged_in_one_line_and_ends_the_process() {
    let mut node = PanicFixture::start(None);
    node.panic_in("EventLoop");
    node.reload();
    let panic = node.wait_for_message("panicked");
    assert!(is_panic_location(&panic["place"]), "{panic}");
    assert!(panic["why"].to_string().contains("a test wants"));
    assert_eq!(
        (&panic["level"], &panic["thread"]),
        (&json!("CRITICAL"), &json!("main"))
    );
    assert!(panic["node"].is_string(), "{panic}");
    assert!(
        node.lines.next().is_none(),
        "the log goes on after the panic"
    );
    assert_eq!(node.fixture.program.wait().unwrap().code(), Some(101));
}
