//! What every machine sends and receives, second by second, and the peaks of it.

use doortrack_simulation::Micros;
use serde::{Deserialize, Serialize};

use crate::scale::series::Role;

const SECOND: Micros = 1_000_000;

/// Datagrams, and bytes with IP and UDP headers.
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

    /// The greater of each.
    pub fn most(self, other: Load) -> Load {
        Load {
            bytes_in: self.bytes_in.max(other.bytes_in),
            bytes_out: self.bytes_out.max(other.bytes_out),
            datagrams_in: self.datagrams_in.max(other.datagrams_in),
            datagrams_out: self.datagrams_out.max(other.datagrams_out),
        }
    }
}

/// The most that any one machine of each role sent and received in a second.
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

    /// The most of any machine, whatever its role.
    pub fn busiest(self) -> Load {
        self.leader.most(self.voter).most(self.node)
    }

    pub fn most(self, other: Peaks) -> Peaks {
        Peaks {
            node: self.node.most(other.node),
            voter: self.voter.most(other.voter),
            leader: self.leader.most(other.leader),
        }
    }
}

/// One load a machine and second of the play.
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

    fn span(&self, from_s: usize, till_s: usize) -> &[Vec<Load>] {
        let till = till_s.min(self.seconds.len());
        &self.seconds[from_s.min(till)..till]
    }

    /// The most that any one machine sent and received in any one of these seconds, each for itself, by the
    /// role that `role` tells by second and number of the machine.
    pub fn peaks(
        &self,
        from_s: usize,
        till_s: usize,
        role: impl Fn(usize, usize) -> Role,
    ) -> Peaks {
        let mut peaks = Peaks::default();
        for (nth, loads) in self.span(from_s, till_s).iter().enumerate() {
            for (machine, load) in loads.iter().enumerate() {
                let peak = peaks.of(role(from_s + nth, machine));
                *peak = peak.most(*load);
            }
        }
        peaks
    }

    /// All that the fleet sent, in its busiest second of these.
    pub fn fleet_peak(&self, from_s: usize, till_s: usize) -> Load {
        let seconds = self.span(from_s, till_s).iter();
        let sums = seconds.map(|loads| {
            let mut sum = Load::default();
            loads.iter().for_each(|load| sum.add(*load));
            sum
        });
        sums.fold(Load::default(), Load::most)
    }

    /// What these machines sent and received in these seconds, a machine and second in the mean.
    pub fn mean(&self, from_s: usize, till_s: usize, machines: &[usize]) -> [f64; 4] {
        let mut sum = Load::default();
        let span = self.span(from_s, till_s);
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
