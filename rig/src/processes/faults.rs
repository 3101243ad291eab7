//! What a fault of a script does to processes and to what lies between them.

use std::io;

use doortrack_standins::unix_ms;
use rustix::process::Signal;

use super::{LAST_MOMENTS, More, Rig, STOP_MS};
use crate::history::What;
use crate::script::{Fault, NetworkConditions};
use crate::streams::Stream;
use crate::traffic::Death;

impl Rig {
    /// Does what a fault says, and takes note of it.
    ///
    /// # Errors
    /// A process that can't be started.
    pub fn take_up(&mut self, fault: &Fault, more: More) -> io::Result<()> {
        self.put(What::Fault { fault: fault.clone() });
        self.relay.take_up(fault);
        match fault {
            Fault::Kill { nodes } => nodes.iter().for_each(|of| self.end(*of)),
            Fault::Start { nodes, clock_ms } => {
                for of in nodes {
                    self.end_leaving(*of);
                    self.start_off(*of, *of, *clock_ms, &more(*of))?;
                }
            }
            Fault::StartOlder { nodes } => {
                for of in nodes {
                    self.end_leaving(*of);
                    self.start_older(*of, &more(*of))?;
                }
            }
            Fault::Stop { nodes } => nodes.iter().for_each(|of| {
                self.nodes[*of].stopped = true;
                self.nodes[*of].signal(Signal::STOP);
            }),
            Fault::GoOn { nodes } => nodes.iter().for_each(|of| {
                self.nodes[*of].stopped = false;
                self.nodes[*of].signal(Signal::CONT);
            }),
            Fault::Leave { nodes } => nodes.iter().for_each(|of| {
                self.nodes[*of].signal(Signal::TERM);
                // What comes in its last moments may find it gone before it was read.
                let gone = unix_ms() + STOP_MS - LAST_MOMENTS;
                self.deaths.push(Death { front: self.door(*of), at: gone, owed_before: gone });
            }),
            Fault::Server { nodes, conditions } => change(&self.streams, nodes, *conditions),
            Fault::Callers { nodes, conditions } => change(&self.doors, nodes, *conditions),
            Fault::Cut { .. }
            | Fault::Mend { .. }
            | Fault::Links { .. }
            | Fault::Throttle { .. }
            | Fault::Replay { .. } => {}
        }
        Ok(())
    }
}

fn change(streams: &[Stream], nodes: &[usize], conditions: NetworkConditions) {
    nodes.iter().filter_map(|of| streams.get(*of)).for_each(|stream| stream.change(conditions));
}
