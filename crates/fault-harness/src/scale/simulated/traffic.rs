//! Counts the traffic of every machine per second, and computes peaks.

use doortrack_simulation::Micros;
use serde::{Deserialize, Serialize};

use crate::scale::series::Role;

const SECOND: Micros = 1_000_000;

/// Numbers of datagrams, and of bytes with IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
}

impl Load {
    pub fn add(&mut self, other: Load) {
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.datagrams_in += other.datagrams_in;
        self.datagrams_out += other.datagrams_out;
    }

    /// Returns the maximum of each counter.
    pub fn component_max(self, other: Load) -> Load {
        Load {
            bytes_in: self.bytes_in.max(other.bytes_in),
            bytes_out: self.bytes_out.max(other.bytes_out),
            datagrams_in: self.datagrams_in.max(other.datagrams_in),
            datagrams_out: self.datagrams_out.max(other.datagrams_out),
        }
    }
}

/// Maximum traffic in one second of any machine of each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peaks {
    pub node: Load,
    pub voter: Load,
    pub leader: Load,
}

impl Peaks {
    fn of(&mut self, role: Role) -> &mut Load {
        match role {
            Role::Leader => &mut self.leader,
            Role::Voter => &mut self.voter,
            Role::Node | Role::ServingNode | Role::Dispatcher => &mut self.node,
        }
    }

    /// Returns the maximum over all roles.
    pub fn busiest(self) -> Load {
        self.leader
            .component_max(self.voter)
            .component_max(self.node)
    }

    pub fn component_max(self, other: Peaks) -> Peaks {
        Peaks {
            node: self.node.component_max(other.node),
            voter: self.voter.component_max(other.voter),
            leader: self.leader.component_max(other.leader),
        }
    }
}

/// The load of each machine in each second of the simulation.
#[derive(Clone, Debug)]
pub struct Traffic {
    machines: usize,
    seconds: Vec<Vec<Load>>,
}

impl Traffic {
    pub fn new(machines: usize) -> Traffic {
        Traffic {
            machines,
            seconds: Vec::new(),
        }
    }

    fn at(&mut self, now: Micros, machine: usize) -> &mut Load {
        let second = (now / SECOND) as usize;
        while self.seconds.len() <= second {
            self.seconds.push(vec![Load::default(); self.machines]);
        }
        &mut self.seconds[second][machine]
    }

    pub fn sent(&mut self, now: Micros, machine: usize, bytes: u64) {
        let load = self.at(now, machine);
        load.bytes_out += bytes;
        load.datagrams_out += 1;
    }

    pub fn received(&mut self, now: Micros, machine: usize, bytes: u64) {
        let load = self.at(now, machine);
        load.bytes_in += bytes;
        load.datagrams_in += 1;
    }

    fn span(&self, from_s: usize, until_s: usize) -> &[Vec<Load>] {
        let until = until_s.min(self.seconds.len());
        &self.seconds[from_s.min(until)..until]
    }

    /// Returns the maximum traffic of any machine in any of these seconds, separately for each counter and role.
    /// `role` returns the role for a second and machine.
    pub fn peaks(
        &self,
        from_s: usize,
        until_s: usize,
        role: impl Fn(usize, usize) -> Role,
    ) -> Peaks {
        let mut peaks = Peaks::default();
        for (nth, loads) in self.span(from_s, until_s).iter().enumerate() {
            for (machine, load) in loads.iter().enumerate() {
                let peak = peaks.of(role(from_s + nth, machine));
                *peak = peak.component_max(*load);
            }
        }
        peaks
    }

    /// Returns the maximum total traffic of the fleet in any of these seconds.
    pub fn fleet_peak(&self, from_s: usize, until_s: usize) -> Load {
        let seconds = self.span(from_s, until_s).iter();
        let sums = seconds.map(|loads| {
            let mut sum = Load::default();
            loads.iter().for_each(|load| sum.add(*load));
            sum
        });
        sums.fold(Load::default(), Load::component_max)
    }

    /// Returns the mean traffic of these machines in these seconds, per machine and second.
    pub fn mean(&self, from_s: usize, until_s: usize, machines: &[usize]) -> [f64; 4] {
        let mut sum = Load::default();
        let span = self.span(from_s, until_s);
        for loads in span {
            machines.iter().for_each(|machine| sum.add(loads[*machine]));
        }
        let over = (span.len() * machines.len()).max(1) as f64;
        [
            sum.bytes_in,
            sum.bytes_out,
            sum.datagrams_in,
            sum.datagrams_out,
        ]
        .map(|sum| sum as f64 / over)
    }
}
