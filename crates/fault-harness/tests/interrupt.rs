//! The harness interrupted in the middle of a play: it ends in order, and leaves no process and no file behind.

use std::fs;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::child_process::send_signal;

const NODES: usize = 3;

/// Calls `look` until it finds something.
fn wait_for<T>(what: &str, look: impl Fn() -> Option<T>) -> T {
    let until = Instant::now() + MAX_WAIT;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < until, "{what}");
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

fn folders_of(harness: u32) -> Vec<PathBuf> {
    let prefix = format!("doortrack-harness-{harness}-");
    let all = fs::read_dir(std::env::temp_dir()).unwrap().flatten();
    all.map(|entry| entry.path())
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with(&prefix))
        })
        .collect()
}

/// In place of a node: a process that would outlive everything.
fn write_program(path: &Path) {
    fs::write(path, "#!/bin/sh\nexec sleep 600\n").unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).unwrap();
}

/// Guards against an end that leaves the nodes of a play running, and their files.
#[test]
fn an_interrupted_play_ends_with_its_processes_and_files() {
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
        let started = || Some(children(harness.id())).filter(|all| all.len() == NODES);
        let nodes = wait_for("all nodes run", started);
        assert_eq!(folders_of(harness.id()).len(), 1);
        send_signal(harness.id(), signal);
        let mut said = String::new();
        harness
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut said)
            .unwrap();
        assert_eq!(harness.wait().unwrap().code(), Some(130), "{said}");
        assert!(said.contains("interrupted"), "{said}");
        wait_for("no node is left", || {
            nodes.iter().all(|pid| !is_running(*pid)).then_some(())
        });
        assert!(folders_of(harness.id()).is_empty());
        fs::remove_dir_all(folder).unwrap();
    }
}
