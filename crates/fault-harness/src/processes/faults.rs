//! Injects the faults of a script into the processes, the relay and the proxies.

use std::io;

use doortrack_fakes::unix_ms;
use rustix::process::Signal;

use super::lifecycle::SHUTDOWN_MS;
use super::{ExtraSettings, Rig};
use crate::history::HistoryEvent;
use crate::script::{Fault, NetworkConditions};
use crate::tcp_proxy::TcpProxy;
use crate::traffic::ProcessExit;

/// Time in ms before the exit of a graceful shutdown in which a node may no longer read requests.
const UNREAD_BEFORE_EXIT_MS: u64 = 300;

impl Rig {
    /// Injects a fault and records it. `extra` gives the settings of nodes that it starts.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn inject(&mut self, fault: &Fault, extra: ExtraSettings) -> io::Result<()> {
        self.record(HistoryEvent::Fault {
            fault: fault.clone(),
        });
        self.relay.inject(fault);
        match fault {
            Fault::Start { nodes, clock_ms } => {
                for node in nodes {
                    self.kill_if_shutting_down(*node);
                    self.start_with_clock(*node, *node, *clock_ms, &extra(*node))?;
                }
            }
            Fault::StartOlder { nodes } => {
                for node in nodes {
                    self.kill_if_shutting_down(*node);
                    self.start_older(*node, &extra(*node))?;
                }
            }
            Fault::Kill { nodes } => nodes.iter().for_each(|node| self.kill(*node)),
            Fault::Suspend { nodes } => nodes.iter().for_each(|node| self.suspend(*node)),
            Fault::Resume { nodes } => nodes.iter().for_each(|node| self.resume(*node)),
            Fault::Leave { nodes } => nodes.iter().for_each(|node| self.shut_down(*node)),
            Fault::Server { nodes, conditions } => {
                set_conditions(&self.server_proxies, nodes, *conditions);
            }
            Fault::Callers { nodes, conditions } => {
                set_conditions(&self.caller_proxies, nodes, *conditions);
            }
            // Injected by the relay.
            Fault::Cut { .. }
            | Fault::Heal { .. }
            | Fault::Links { .. }
            | Fault::Throttle { .. }
            | Fault::Replay { .. } => {}
        }
        Ok(())
    }

    fn suspend(&mut self, node: usize) {
        self.nodes[node].is_suspended = true;
        self.nodes[node].signal(Signal::STOP);
    }

    fn resume(&mut self, node: usize) {
        self.nodes[node].is_suspended = false;
        self.nodes[node].signal(Signal::CONT);
    }

    fn shut_down(&mut self, node: usize) {
        self.nodes[node].signal(Signal::TERM);
        // A request that arrives shortly before the exit may stay unread.
        let last_read = unix_ms() + SHUTDOWN_MS - UNREAD_BEFORE_EXIT_MS;
        self.exits.push(ProcessExit {
            listener: self.caller_address(node),
            at: last_read,
            answers_due_before: last_read,
        });
    }
}

fn set_conditions(proxies: &[TcpProxy], nodes: &[usize], conditions: NetworkConditions) {
    nodes
        .iter()
        .filter_map(|node| proxies.get(*node))
        .for_each(|proxy| proxy.set_conditions(conditions));
}
