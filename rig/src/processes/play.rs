//! A script played from its start to its end.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Played, Rig};
use crate::script::{Fault, Script};
use crate::traffic::{Behind, Traffic};

/// Plays a script from its start to its end, while `callers` ask the nodes and one server does their work.
///
/// # Errors
/// A process or a relay that can't be had.
pub fn play(program: &Path, script: &Script, callers: usize) -> io::Result<Played> {
    play_beside(program, None, script, callers)
}

/// As [`play`], with an older build for `start_older`.
///
/// # Errors
/// A process or a relay that can't be had; no older build where one is wanted.
pub fn play_beside(
    program: &Path,
    older: Option<&Path>,
    script: &Script,
    callers: usize,
) -> io::Result<Played> {
    let behind = Behind::start();
    let mut rig = Rig::new(program, script.nodes, script.seed)?;
    rig.older = older.map(Path::to_path_buf);
    if script.faults.iter().any(|timed| matches!(timed.fault, Fault::Callers { .. })) {
        rig.open_doors()?;
    }
    let files = rig.behind(&behind)?;
    let more = &|of: usize| files[of].clone();
    rig.begin();
    for of in 0..script.nodes {
        rig.start(of, of, &more(of))?;
    }
    let fronts: Vec<SocketAddr> = (0..script.nodes).map(|of| rig.door(of)).collect();
    let traffic = Traffic::start(callers, &fronts, script.seed);
    let until = |rig: &Rig, at_ms: u64| {
        std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(rig.now_ms())));
    };
    let mut running = vec![true; script.nodes];
    for timed in script.in_order() {
        until(&rig, timed.at_ms);
        rig.take_up(&timed.fault, more)?;
        for of in timed.fault.nodes() {
            match timed.fault {
                Fault::Kill { .. } | Fault::Leave { .. } => running[of] = false,
                Fault::Start { .. } | Fault::StartOlder { .. } => running[of] = true,
                _ => {}
            }
        }
    }
    until(&rig, script.ms);
    rig.last_words(running.iter().filter(|of| **of).count());
    Ok(rig.finish_with(Some((traffic, &behind))))
}
