//! Signals that arrive while the process is starting. The configuration is read from a pipe, so the test decides
//! how long that takes.

use std::fs::{self, File, OpenOptions};
use std::io::{Read, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::child_process::send_signal;
use doortrack_fakes::fixture::NodeSetup;
use doortrack_protocols::Protocol::FastCgi;
use serde_json::json;

/// A process that is reading its configuration.
struct StartingNode {
    process: Child,
    folder: PathBuf,
    setup: NodeSetup,
    pipe: File,
}

impl StartingNode {
    fn begin(name: &str) -> StartingNode {
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        setup.config["stop_ms"] = json!(400);
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
        // Blocks until the process has opened the pipe, which then waits for the configuration.
        let pipe = OpenOptions::new().write(true).open(&file).unwrap();
        // A reload reads a regular file in place of the pipe.
        let next = folder.join("next.json");
        fs::write(&next, setup.config.to_string()).unwrap();
        fs::rename(next, file).unwrap();
        StartingNode {
            process,
            folder,
            setup,
            pipe,
        }
    }

    fn signal(&self, name: &str) {
        send_signal(self.process.id(), name);
    }

    /// Writes the configuration to the pipe, so that the start continues.
    fn send_configuration(&mut self) {
        self.pipe
            .write_all(self.setup.config.to_string().as_bytes())
            .unwrap();
        self.pipe = File::open("/dev/null").unwrap();
    }

    /// Waits until the process exits. Returns its exit code and log.
    fn wait_for_exit(mut self) -> (Option<i32>, String) {
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
fn a_reload_during_the_start_is_applied_after_it() {
    let mut starting = StartingNode::begin("early-reload");
    starting.signal("-HUP");
    starting.send_configuration();
    let result = CallerRequest::new(1, "/status/live", b"")
        .send(starting.setup.address, FastCgi)
        .outcome();
    assert!(matches!(result, CallerOutcome::Completed(_)), "{result:?}");
    starting.signal("-TERM");
    let (code, log) = starting.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("configuration read again"), "{log}");
}

#[test]
fn a_shutdown_signal_during_the_start_drains_the_process() {
    for signal in ["-TERM", "-INT"] {
        let mut starting = StartingNode::begin(&format!("early-signal{signal}"));
        starting.signal(signal);
        starting.send_configuration();
        let (code, log) = starting.wait_for_exit();
        assert_eq!(code, Some(0), "{signal}: {log}");
        assert!(log.contains("draining"), "{signal}: {log}");
    }
}
