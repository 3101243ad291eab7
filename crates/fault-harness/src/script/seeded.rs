//! Scripts generated from a seed.

use fastrand::Rng;

use super::{Fault, NetworkConditions, Script, TimedFault};

/// Time before the first disruption, and without faults after the last, in ms.
const FIRST_DISRUPTION_MS: u64 = 3_000;
const FAULT_FREE_END_MS: u64 = 12_000;
/// Shortest time from a node's leave to its start, in ms; a node may take a second to exit.
const MAX_EXIT_DURATION_MS: u64 = 1_500;
/// Time from that start to the replay of old datagrams, in ms.
const REPLAY_DELAY_MS: u64 = 300;

/// The faults generated so far.
struct Generator {
    random: Rng,
    faults: Vec<TimedFault>,
}

/// A disruption: its start and end, in ms, the affected nodes, and the others.
struct Disruption {
    start: u64,
    end: u64,
    affected: Vec<usize>,
    others: Vec<usize>,
}

impl Script {
    /// A script of several consecutive disruptions, each of which ends before the next. No fault is active at the
    /// end. The same arguments always give the same script.
    pub fn seeded(seed: u64, nodes: usize, disruptions: usize) -> Script {
        let mut generator = Generator {
            random: Rng::with_seed(seed),
            faults: Vec::new(),
        };
        let mut at = FIRST_DISRUPTION_MS;
        for _ in 0..disruptions {
            let disruption = generator.disruption(at, nodes);
            let end = disruption.end;
            generator.add(disruption);
            at = end + generator.random.u64(1_500..4_000);
        }
        Script {
            nodes,
            duration_ms: at + FAULT_FREE_END_MS,
            seed,
            faults: generator.faults,
        }
    }
}

impl Generator {
    fn put(&mut self, at_ms: u64, fault: Fault) {
        self.faults.push(TimedFault { at_ms, fault });
    }

    /// A disruption from `start` on, of up to half of the nodes.
    fn disruption(&mut self, start: u64, nodes: usize) -> Disruption {
        let duration = self.random.u64(300..6_000);
        let mut shuffled: Vec<usize> = (0..nodes).collect();
        self.random.shuffle(&mut shuffled);
        let (affected, others) = shuffled.split_at(self.random.usize(1..=(nodes / 2).max(1)));
        Disruption {
            start,
            end: start + duration,
            affected: affected.to_vec(),
            others: others.to_vec(),
        }
    }

    fn add(&mut self, disruption: Disruption) {
        match self.random.u32(0..8) {
            0 => self.crash(disruption),
            1 => self.pause(disruption),
            2 => self.partition(disruption),
            3 => self.cut_one_way(disruption),
            4 => self.degrade_links(disruption),
            5 => self.degrade_connections(disruption),
            6 => self.leave(disruption),
            _ => self.restart(disruption),
        }
    }

    fn crash(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            ..
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Kill {
                nodes: affected.clone(),
            },
        );
        self.put(
            end,
            Fault::Start {
                nodes: affected,
                clock_ms: 0,
            },
        );
    }

    fn pause(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            ..
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Suspend {
                nodes: affected.clone(),
            },
        );
        self.put(end, Fault::Resume { nodes: affected });
    }

    fn partition(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            others,
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Cut {
                from: affected.clone(),
                to: others.clone(),
            },
        );
        self.put(
            start,
            Fault::Cut {
                from: others.clone(),
                to: affected.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: affected.clone(),
                to: others.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: others,
                to: affected,
            },
        );
    }

    fn cut_one_way(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            others,
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Cut {
                from: affected.clone(),
                to: others.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: affected,
                to: others,
            },
        );
    }

    fn degrade_links(&mut self, Disruption { start, end, .. }: Disruption) {
        let loss = self.random.f64() * 0.15;
        let delay_ms = self.random.u64(0..30);
        self.put(
            start,
            Fault::Links {
                loss,
                doubled: 0.1,
                garbled: 0.02,
                delay_ms,
            },
        );
        self.put(
            end,
            Fault::Links {
                loss: 0.0,
                doubled: 0.0,
                garbled: 0.0,
                delay_ms: 0,
            },
        );
    }

    /// Degrades the connections to the server, or those from callers.
    fn degrade_connections(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            ..
        }: Disruption,
    ) {
        let cut = self.random.bool();
        let delay_ms = self.random.u64(0..40);
        let broken = self.random.f64() * 0.2;
        let conditions = NetworkConditions {
            cut,
            delay_ms,
            broken,
            bytes_a_second: 0,
        };
        let unimpaired = NetworkConditions::default();
        let fault: fn(Vec<usize>, NetworkConditions) -> Fault = if self.random.bool() {
            |nodes, conditions| Fault::Server { nodes, conditions }
        } else {
            |nodes, conditions| Fault::Callers { nodes, conditions }
        };
        self.put(start, fault(affected.clone(), conditions));
        self.put(end, fault(affected, unimpaired));
    }

    /// Has nodes leave and start again, and then replays old datagrams to the others.
    fn leave(
        &mut self,
        Disruption {
            start,
            end,
            affected,
            others,
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Leave {
                nodes: affected.clone(),
            },
        );
        self.put(
            end + MAX_EXIT_DURATION_MS,
            Fault::Start {
                nodes: affected,
                clock_ms: 0,
            },
        );
        self.put(
            end + MAX_EXIT_DURATION_MS + REPLAY_DELAY_MS,
            Fault::Replay { nodes: others },
        );
    }

    /// Restarts nodes immediately, with their clocks set back.
    fn restart(
        &mut self,
        Disruption {
            start, affected, ..
        }: Disruption,
    ) {
        self.put(
            start,
            Fault::Kill {
                nodes: affected.clone(),
            },
        );
        let clock_ms = -self.random.i64(0..2_000);
        self.put(
            start,
            Fault::Start {
                nodes: affected,
                clock_ms,
            },
        );
    }
}
