//! Panics that a test puts into the program: what a build of a configuration ends in is a refusal, and any other is one
//! line of the log before the end.

use std::io::{BufRead, BufReader, Lines};
use std::process::ChildStderr;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use serde_json::{Value, json};

/// Half of the time between two reports to the registry, which wake an idle node.
const SOON: Duration = Duration::from_millis(125);

/// A node whose log is JSON, and the file that names the place that is to panic.
struct Panicking {
    fixture: NodeFixture,
    lines: Lines<BufReader<ChildStderr>>,
}

impl Panicking {
    fn start(installation: Option<Value>) -> Panicking {
        let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let file = std::env::temp_dir().join(format!("doortrack-panic-{}", plan.address.ip()));
        plan.arguments = [
            "--log-format",
            "json",
            "--log-lines",
            "1000",
            "--test-panic",
        ]
        .map(String::from)
        .to_vec();
        plan.arguments.push(file.display().to_string());
        plan.installation = installation;
        let mut fixture = plan.start();
        let lines = BufReader::new(fixture.program.stderr.take().unwrap()).lines();
        drop(connect(fixture.address));
        Panicking { fixture, lines }
    }

    /// From the next reload on this place panics; none with an empty name.
    fn panic_in(&self, place: &str) {
        let path = format!("doortrack-panic-{}", self.fixture.address.ip());
        std::fs::write(std::env::temp_dir().join(path), place).unwrap();
    }

    /// The next line with this message. All before it are JSON as well.
    fn next_line(&mut self, message: &str) -> Value {
        loop {
            let line = self.lines.next().expect("the log goes on").unwrap();
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

impl Drop for Panicking {
    fn drop(&mut self) {
        let path = format!("doortrack-panic-{}", self.fixture.address.ip());
        _ = std::fs::remove_file(std::env::temp_dir().join(path));
    }
}

fn is_place(text: &Value) -> bool {
    let text = text.as_str().unwrap_or_default();
    text.contains("crates/node/src/system/test_panics.rs:")
}

/// Guards against a build whose panic is no line of the log, or ends the thread of builds.
#[test]
fn a_build_that_panics_is_refused_with_its_place_and_the_next_file_is_taken() {
    for installation in [None, Some(json!({}))] {
        let mut node = Panicking::start(installation);
        node.panic_in("Build");
        for _ in 0..3 {
            node.reload();
            let refused = node.next_line("configuration rejected");
            let error = &refused["error"];
            assert!(is_place(error), "{refused}");
            assert!(error.to_string().contains("a test wants"), "{refused}");
        }
        node.panic_in("");
        node.reload();
        node.next_line("configuration in force");
    }
}

/// Guards against an idle node that learns of the end of its thread of builds only when something else wakes it.
#[test]
fn a_thread_of_builds_that_ends_is_noticed_at_once_and_replaced() {
    let mut node = Panicking::start(Some(json!({})));
    node.panic_in("BuildThread");
    let mut soon = 0;
    for _ in 0..12 {
        let began = Instant::now();
        node.reload();
        let panicked = node.next_line("panicked");
        assert!(is_place(&panicked["place"]), "{panicked}");
        assert_eq!(panicked["thread"], "reload");
        node.next_line("configuration rejected");
        soon += usize::from(began.elapsed() < SOON);
    }
    assert!(soon > 9, "{soon} of 12 were noticed at once");
    node.panic_in("");
    node.reload();
    node.next_line("configuration in force");
}

/// Guards against an end without a structured line.
#[test]
fn a_panic_of_the_event_loop_is_one_line_of_the_log_and_ends_the_process() {
    let mut node = Panicking::start(None);
    node.panic_in("EventLoop");
    node.reload();
    let panicked = node.next_line("panicked");
    assert!(is_place(&panicked["place"]), "{panicked}");
    assert!(panicked["why"].to_string().contains("a test wants"));
    assert_eq!(
        (&panicked["level"], &panicked["thread"]),
        (&json!("CRITICAL"), &json!("main"))
    );
    assert!(panicked["node"].is_string(), "{panicked}");
    assert!(node.lines.next().is_none(), "nothing follows");
    assert_eq!(node.fixture.program.wait().unwrap().code(), Some(101));
}
