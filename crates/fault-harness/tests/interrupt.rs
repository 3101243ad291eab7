//! Checks that the harness, when it is interrupted during a run, leaves no process and no file behind.

use std::fs;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::child_process::send_signal;

const NODES: usize = 3;

/// Calls `poll` until it returns a value.
fn wait_for<T>(condition: &str, poll: impl Fn() -> Option<T>) -> T {
    let until = Instant::now() + MAX_WAIT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < until, "{condition}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn children(parent: u32) -> Vec<i32> {
    let all = procfs::process::all_processes().unwrap().flatten();
    let stats = all.filter_map(|process| process.stat().ok());
    stats
        .filter(|stat| stat.ppid == parent as i32 && stat.state != 'Z')
        .map(|stat| stat.pid)
        .collect()
}

fn is_running(pid: i32) -> bool {
    procfs::process::Process::new(pid)
        .and_then(|process| process.stat())
        .is_ok_and(|stat| stat.state != 'Z')
}

fn scratch_folders(harness: u32) -> Vec<PathBuf> {
    let prefix = format!("doortrack-harness-{harness}-");
    let all = fs::read_dir(std::env::temp_dir()).unwrap().flatten();
    all.map(|entry| entry.path())
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with(&prefix))
        })
        .collect()
}

/// Writes a program that takes the place of a node and would outlive the test.
fn write_program(path: &Path) {
    fs::write(path, "#!/bin/sh\nexec sleep 600\n").unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).unwrap();
}

/// The nodes of an interrupted run must not keep running, and its files must not remain.
#[test]
fn interrupted_run_leaves_no_processes_and_files() {
    for signal in ["-INT", "-TERM"] {
        let folder =
            std::env::temp_dir().join(format!("doortrack-interrupt-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let (program, script) = (folder.join("program"), folder.join("script.json"));
        write_program(&program);
        let text = format!(r#"{{"nodes": {NODES}, "ms": 600000, "seed": 1, "faults": []}}"#);
        fs::write(&script, text).unwrap();
        let mut harness = Command::new(env!("CARGO_BIN_EXE_doortrack-harness"))
            .args(["play", "--script"])
            .arg(&script)
            .arg("--program")
            .arg(&program)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let running_nodes = || Some(children(harness.id())).filter(|all| all.len() == NODES);
        let nodes = wait_for("all nodes run", running_nodes);
        assert_eq!(scratch_folders(harness.id()).len(), 1);
        send_signal(harness.id(), signal);
        let mut stderr_text = String::new();
        harness
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut stderr_text)
            .unwrap();
        assert_eq!(harness.wait().unwrap().code(), Some(130), "{stderr_text}");
        assert!(stderr_text.contains("interrupted"), "{stderr_text}");
        wait_for("no node is left", || {
            nodes.iter().all(|pid| !is_running(*pid)).then_some(())
        });
        assert!(scratch_folders(harness.id()).is_empty());
        fs::remove_dir_all(folder).unwrap();
    }
}
