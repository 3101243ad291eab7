//! Runs a script on real processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Rig, RunResult};
use crate::script::{Fault, Script};
use crate::traffic::{Backend, Traffic};

/// Runs a script while `callers` send requests to the nodes, which share one application server.
///
/// # Errors
/// A process can't be started, or the relay can't be opened.
pub fn run(program: &Path, script: &Script, callers: usize) -> io::Result<RunResult> {
    run_with_older(program, None, script, callers)
}

/// As [`run`], with an older build for `start_older`.
///
/// # Errors
/// As [`run`]; no older build is given where the script starts one.
pub fn run_with_older(
    program: &Path,
    older: Option<&Path>,
    script: &Script,
    callers: usize,
) -> io::Result<RunResult> {
    let backend = Backend::start();
    let mut rig = Rig::new(program, script.nodes, script.seed)?;
    rig.older = older.map(Path::to_path_buf);
    let has_caller_faults = script
        .faults
        .iter()
        .any(|timed| matches!(timed.fault, Fault::Callers { .. }));
    if has_caller_faults {
        rig.open_caller_proxies()?;
    }
    let installations = rig.connect_backend(&backend)?;
    let extra = &|node: usize| installations[node].clone();
    rig.start_clock();
    for node in 0..script.nodes {
        rig.start(node, node, &extra(node))?;
    }
    let addresses: Vec<SocketAddr> = (0..script.nodes)
        .map(|node| rig.caller_address(node))
        .collect();
    let traffic = Traffic::start(callers, &addresses, script.seed);
    let mut running = vec![true; script.nodes];
    for timed in script.faults_by_time() {
        sleep_until(&rig, timed.at_ms);
        rig.inject(&timed.fault, extra)?;
        update_running(&mut running, &timed.fault);
    }
    sleep_until(&rig, script.duration_ms);
    rig.query_until_agreed(running.iter().filter(|is_running| **is_running).count());
    Ok(rig.finish_with(Some((traffic, &backend))))
}

fn sleep_until(rig: &Rig, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(rig.now_ms())));
}

/// Updates the set of nodes that are expected to run after a fault.
fn update_running(running: &mut [bool], fault: &Fault) {
    let is_running = match fault {
        Fault::Kill { .. } | Fault::Leave { .. } => false,
        Fault::Start { .. } | Fault::StartOlder { .. } => true,
        _ => return,
    };
    for node in fault.nodes() {
        running[node] = is_running;
    }
}
