//! A run of a script on processes, from its start to its end.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Rig, RunResult};
use crate::script::{Fault, Script};
use crate::traffic::{Behind, Traffic};

/// Runs a script while `callers` send requests to the nodes and one server does their work.
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
    let server = Behind::start();
    let mut rig = Rig::new(program, script.nodes, script.seed)?;
    rig.older = older.map(Path::to_path_buf);
    if script
        .faults
        .iter()
        .any(|timed| matches!(timed.fault, Fault::Callers { .. }))
    {
        rig.open_doors()?;
    }
    let installations = rig.behind(&server)?;
    let more = &|node: usize| installations[node].clone();
    rig.begin();
    for node in 0..script.nodes {
        rig.start(node, node, &more(node))?;
    }
    let addresses: Vec<SocketAddr> = (0..script.nodes).map(|node| rig.door(node)).collect();
    let traffic = Traffic::start(callers, &addresses, script.seed);
    let mut running = vec![true; script.nodes];
    for timed in script.in_order() {
        sleep_until(&rig, timed.at_ms);
        rig.take_up(&timed.fault, more)?;
        note_running(&mut running, &timed.fault);
    }
    sleep_until(&rig, script.ms);
    rig.query_until_agreed(running.iter().filter(|runs| **runs).count());
    Ok(rig.finish_with(Some((traffic, &server))))
}

fn sleep_until(rig: &Rig, at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(rig.now_ms())));
}

/// Notes which nodes are expected to run after a fault.
fn note_running(running: &mut [bool], fault: &Fault) {
    let runs = match fault {
        Fault::Kill { .. } | Fault::Leave { .. } => false,
        Fault::Start { .. } | Fault::StartOlder { .. } => true,
        _ => return,
    };
    for node in fault.nodes() {
        running[node] = runs;
    }
}
