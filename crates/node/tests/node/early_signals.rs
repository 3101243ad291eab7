//! Signals that come while the process is still at its start. Its configuration is a pipe here, so the test
//! says how long that is read.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::child_process::send_signal;
use doortrack_fakes::fixture::NodeSetup;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

/// A process whose configuration is being read.
struct Starting {
    process: Child,
    folder: PathBuf,
    plan: NodeSetup,
    pipe: File,
}

impl Starting {
    fn begin(name: &str) -> Starting {
        let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        plan.config["stop_ms"] = json!(400);
        let folder = std::env::temp_dir().join(format!("doortrack-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        assert!(
            Command::new("mkfifo")
                .arg(&file)
                .status()
                .unwrap()
                .success()
        );
        let mut command = Command::new(env!("CARGO_BIN_EXE_doortrack"));
        let process = command
            .env("GW_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        // Opened for writing once there is a reader, which then waits for what is written.
        let pipe = OpenOptions::new().write(true).open(&file).unwrap();
        // What is read again is a file like any other.
        let next = folder.join("next.json");
        fs::write(&next, plan.config.to_string()).unwrap();
        fs::rename(next, file).unwrap();
        Starting {
            process,
            folder,
            plan,
            pipe,
        }
    }

    fn signal(&self, name: &str) {
        send_signal(self.process.id(), name);
    }

    /// Lets the start go on.
    fn is_handed_its_configuration(&mut self) {
        self.pipe
            .write_all(self.plan.config.to_string().as_bytes())
            .unwrap();
        self.pipe = File::open("/dev/null").unwrap();
    }

    /// Waits for the end of the process: its exit code, and its log.
    fn end(mut self) -> (Option<i32>, String) {
        let mut log = String::new();
        self.process
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut log)
            .unwrap();
        let code = self.process.wait().unwrap().code();
        fs::remove_dir_all(&self.folder).unwrap();
        (code, log)
    }
}

#[test]
fn a_reload_during_the_start_is_done_after_it() {
    let mut starting = Starting::begin("early-reload");
    starting.signal("-HUP");
    starting.is_handed_its_configuration();
    let seen = CallerRequest::new(1, "/status/live", b"")
        .send(starting.plan.address, FastCgi)
        .outcome();
    assert!(matches!(seen, CallerOutcome::Completed(_)), "{seen:?}");
    starting.signal("-TERM");
    let (code, log) = starting.end();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("configuration read again"), "{log}");
}

#[test]
fn a_notice_during_the_start_ends_the_process_in_order() {
    for signal in ["-TERM", "-INT"] {
        let mut starting = Starting::begin(&format!("early-notice{signal}"));
        starting.signal(signal);
        starting.is_handed_its_configuration();
        let (code, log) = starting.end();
        assert_eq!(code, Some(0), "{signal}: {log}");
        assert!(log.contains("draining"), "{signal}: {log}");
    }
}
