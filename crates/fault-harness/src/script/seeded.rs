//! Scripts generated from a seed.

use fastrand::Rng;

use super::{Fault, NetworkConditions, Script, TimedFault};

/// Time before the first trouble, and after the last, in ms.
const FIRST_AT: u64 = 3_000;
const CALM_AT_END: u64 = 12_000;
/// From a node's leave to its earliest start, in ms: it may take a second to exit.
const EXIT_TIME: u64 = 1_500;
/// From that start to the replay of old datagrams, in ms.
const REPLAY_AFTER: u64 = 300;

/// The faults generated so far.
struct Generator {
    random: Rng,
    faults: Vec<TimedFault>,
}

/// When a trouble begins and ends, in ms, and the nodes it concerns.
struct Trouble {
    start: u64,
    end: u64,
    few: Vec<usize>,
    rest: Vec<usize>,
}

impl Script {
    /// A script of so many `troubles` one after the other, each ended after a while, and no fault at the end.
    /// The same arguments always give the same script.
    pub fn seeded(seed: u64, nodes: usize, troubles: usize) -> Script {
        let mut generator = Generator {
            random: Rng::with_seed(seed),
            faults: Vec::new(),
        };
        let mut at = FIRST_AT;
        for _ in 0..troubles {
            let trouble = generator.trouble(at, nodes);
            let end = trouble.end;
            generator.add(trouble);
            at = end + generator.random.u64(1_500..4_000);
        }
        Script {
            nodes,
            duration_ms: at + CALM_AT_END,
            seed,
            faults: generator.faults,
        }
    }
}

impl Generator {
    fn put(&mut self, at_ms: u64, fault: Fault) {
        self.faults.push(TimedFault { at_ms, fault });
    }

    /// Up to half of the nodes, and the others.
    fn trouble(&mut self, start: u64, nodes: usize) -> Trouble {
        let duration = self.random.u64(300..6_000);
        let mut shuffled: Vec<usize> = (0..nodes).collect();
        self.random.shuffle(&mut shuffled);
        let (few, rest) = shuffled.split_at(self.random.usize(1..=(nodes / 2).max(1)));
        Trouble {
            start,
            end: start + duration,
            few: few.to_vec(),
            rest: rest.to_vec(),
        }
    }

    fn add(&mut self, trouble: Trouble) {
        match self.random.u32(0..8) {
            0 => self.crash(trouble),
            1 => self.pause(trouble),
            2 => self.partition(trouble),
            3 => self.cut_one_way(trouble),
            4 => self.degrade_links(trouble),
            5 => self.degrade_connections(trouble),
            6 => self.leave(trouble),
            _ => self.restart(trouble),
        }
    }

    fn crash(
        &mut self,
        Trouble {
            start, end, few, ..
        }: Trouble,
    ) {
        self.put(start, Fault::Kill { nodes: few.clone() });
        self.put(
            end,
            Fault::Start {
                nodes: few,
                clock_ms: 0,
            },
        );
    }

    fn pause(
        &mut self,
        Trouble {
            start, end, few, ..
        }: Trouble,
    ) {
        self.put(start, Fault::Suspend { nodes: few.clone() });
        self.put(end, Fault::Resume { nodes: few });
    }

    fn partition(
        &mut self,
        Trouble {
            start,
            end,
            few,
            rest,
        }: Trouble,
    ) {
        self.put(
            start,
            Fault::Cut {
                from: few.clone(),
                to: rest.clone(),
            },
        );
        self.put(
            start,
            Fault::Cut {
                from: rest.clone(),
                to: few.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: few.clone(),
                to: rest.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: rest,
                to: few,
            },
        );
    }

    fn cut_one_way(
        &mut self,
        Trouble {
            start,
            end,
            few,
            rest,
        }: Trouble,
    ) {
        self.put(
            start,
            Fault::Cut {
                from: few.clone(),
                to: rest.clone(),
            },
        );
        self.put(
            end,
            Fault::Heal {
                from: few,
                to: rest,
            },
        );
    }

    fn degrade_links(&mut self, Trouble { start, end, .. }: Trouble) {
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

    /// Degrades connections to the server, or those of callers.
    fn degrade_connections(
        &mut self,
        Trouble {
            start, end, few, ..
        }: Trouble,
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
        let calm = NetworkConditions::default();
        let fault: fn(Vec<usize>, NetworkConditions) -> Fault = if self.random.bool() {
            |nodes, conditions| Fault::Server { nodes, conditions }
        } else {
            |nodes, conditions| Fault::Callers { nodes, conditions }
        };
        self.put(start, fault(few.clone(), conditions));
        self.put(end, fault(few, calm));
    }

    /// Old datagrams are replayed once the nodes that left have started again.
    fn leave(
        &mut self,
        Trouble {
            start,
            end,
            few,
            rest,
        }: Trouble,
    ) {
        self.put(start, Fault::Leave { nodes: few.clone() });
        self.put(
            end + EXIT_TIME,
            Fault::Start {
                nodes: few,
                clock_ms: 0,
            },
        );
        self.put(
            end + EXIT_TIME + REPLAY_AFTER,
            Fault::Replay { nodes: rest },
        );
    }

    /// Restarts at once, with the clock set back.
    fn restart(&mut self, Trouble { start, few, .. }: Trouble) {
        self.put(start, Fault::Kill { nodes: few.clone() });
        let clock_ms = -self.random.i64(0..2_000);
        self.put(
            start,
            Fault::Start {
                nodes: few,
                clock_ms,
            },
        );
    }
}
