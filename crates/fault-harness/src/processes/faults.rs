//! Injects the faults of a script into processes and what connects them.

use std::io;

use doortrack_fakes::unix_ms;
use rustix::process::Signal;

use super::{LAST_MOMENTS, More, Rig, STOP_MS};
use crate::history::What;
use crate::script::{Fault, NetworkConditions};
use crate::streams::Stream;
use crate::traffic::Death;

impl Rig {
    /// Injects a fault and records it.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn take_up(&mut self, fault: &Fault, more: More) -> io::Result<()> {
        self.put(What::Fault {
            fault: fault.clone(),
        });
        self.relay.take_up(fault);
        match fault {
            Fault::Kill { nodes } => nodes.iter().for_each(|node| self.kill(*node)),
            Fault::Start { nodes, clock_ms } => {
                for node in nodes {
                    self.kill_leaving(*node);
                    self.start_off(*node, *node, *clock_ms, &more(*node))?;
                }
            }
            Fault::StartOlder { nodes } => {
                for node in nodes {
                    self.kill_leaving(*node);
                    self.start_older(*node, &more(*node))?;
                }
            }
            Fault::Stop { nodes } => nodes.iter().for_each(|node| {
                self.nodes[*node].stopped = true;
                self.nodes[*node].signal(Signal::STOP);
            }),
            Fault::GoOn { nodes } => nodes.iter().for_each(|node| {
                self.nodes[*node].stopped = false;
                self.nodes[*node].signal(Signal::CONT);
            }),
            Fault::Leave { nodes } => nodes.iter().for_each(|node| {
                self.nodes[*node].signal(Signal::TERM);
                // A request in its last moments may arrive and not be read before the exit.
                let gone = unix_ms() + STOP_MS - LAST_MOMENTS;
                self.deaths.push(Death {
                    front: self.door(*node),
                    at: gone,
                    owed_before: gone,
                });
            }),
            Fault::Server { nodes, conditions } => {
                set_conditions(&self.streams, nodes, *conditions)
            }
            Fault::Callers { nodes, conditions } => set_conditions(&self.doors, nodes, *conditions),
            Fault::Cut { .. }
            | Fault::Mend { .. }
            | Fault::Links { .. }
            | Fault::Throttle { .. }
            | Fault::Replay { .. } => {}
        }
        Ok(())
    }
}

fn set_conditions(streams: &[Stream], nodes: &[usize], conditions: NetworkConditions) {
    nodes
        .iter()
        .filter_map(|node| streams.get(*node))
        .for_each(|stream| stream.change(conditions));
}
