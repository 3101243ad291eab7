//! What goes wrong in a play, and when: JSON with a schema, or drawn from a seed.

use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize};

/// Nodes of one play on real processes, and in simulated time.
pub const MAX_PROCESSES: usize = 50;
pub const MAX_SIMULATED: usize = 5_000;
const MAX_FAULTS: usize = 10_000;

/// One play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Nodes, named n0, n1 and so on; all are started at 0.
    #[schemars(range(min = 1, max = 5000))]
    pub nodes: usize,
    /// How long it is played before the nodes are asked for the last time, in ms.
    #[schemars(range(max = 86_400_000))]
    pub ms: u64,
    /// Chance starts from here.
    #[serde(default)]
    pub seed: u64,
    /// In any order.
    #[serde(default)]
    pub faults: Vec<Timed>,
}

/// One fault at its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Timed {
    /// From the start of the play.
    pub at_ms: u64,
    #[serde(flatten)]
    pub fault: Fault,
}

/// Impairments of the TCP connections through a proxy. The default impairs nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct NetworkConditions {
    /// Nothing passes, while connections stay open.
    pub cut: bool,
    /// Delay of each chunk, in ms.
    pub delay_ms: u64,
    /// Probability, from 0 to 1, that a chunk closes its connection instead of passing.
    pub broken: f64,
    /// Bandwidth of one connection in each direction, in bytes a second; 0 for no limit.
    pub bytes_a_second: u64,
}

/// What the rig does. Nodes go by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Fault {
    /// SIGKILL.
    Kill {
        nodes: Vec<usize>,
    },
    /// A new process under the same name and addresses, where none runs; its clock is so many ms off.
    Start {
        nodes: Vec<usize>,
        #[serde(default)]
        clock_ms: i64,
    },
    /// SIGSTOP, and SIGCONT.
    Stop {
        nodes: Vec<usize>,
    },
    GoOn {
        nodes: Vec<usize>,
    },
    /// SIGTERM.
    Leave {
        nodes: Vec<usize>,
    },
    /// Nothing that `from` sends reaches `to`.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
    },
    /// As many cuts between them are mended.
    Mend {
        from: Vec<usize>,
        to: Vec<usize>,
    },
    /// The last datagrams that reached these nodes, of whatever incarnation, reach them again.
    Replay {
        nodes: Vec<usize>,
    },
    /// As `start`, of the older build that the rig was given beside the one that is played.
    StartOlder {
        nodes: Vec<usize>,
    },
    /// What lies between these nodes and the server behind them, from here on. Not in simulated time, which
    /// has no exchanges.
    Server {
        nodes: Vec<usize>,
        #[serde(flatten)]
        conditions: NetworkConditions,
    },
    /// The same between these nodes and those who ask them.
    Callers {
        nodes: Vec<usize>,
        #[serde(flatten)]
        conditions: NetworkConditions,
    },
    /// What each link between two nodes passes in a second at the most, each way; 0 for all that comes. What
    /// would wait for over a second is lost. Not in simulated time.
    Throttle {
        bytes_a_second: u64,
    },
    /// What all links do from here on: shares of what is sent, and ms of delay drawn anew for each.
    Links {
        #[serde(default)]
        loss: f64,
        #[serde(default)]
        doubled: f64,
        /// Bytes are changed on the way. In simulated time such a datagram is simply lost.
        #[serde(default)]
        garbled: f64,
        #[serde(default)]
        delay_ms: u64,
    },
}

impl Fault {
    /// The nodes that it names.
    pub fn nodes(&self) -> Vec<usize> {
        match self {
            Fault::Kill { nodes }
            | Fault::Start { nodes, .. }
            | Fault::StartOlder { nodes }
            | Fault::Replay { nodes }
            | Fault::Server { nodes, .. }
            | Fault::Callers { nodes, .. }
            | Fault::Stop { nodes }
            | Fault::GoOn { nodes }
            | Fault::Leave { nodes } => nodes.clone(),
            Fault::Cut { from, to } | Fault::Mend { from, to } => [&from[..], to].concat(),
            Fault::Links { .. } | Fault::Throttle { .. } => Vec::new(),
        }
    }
}

impl Script {
    /// Reads and checks a text.
    ///
    /// # Errors
    /// The first fault, with the path of its key.
    pub fn parse(text: &str) -> Result<Script, String> {
        let reader = &mut serde_json::Deserializer::from_str(text);
        let script: Script = serde_path_to_error::deserialize(reader)
            .map_err(|e| format!("script.{}: {}", e.path(), e.inner()))?;
        script.check()?;
        Ok(script)
    }

    fn check(&self) -> Result<(), String> {
        if !(1..=MAX_SIMULATED).contains(&self.nodes) {
            return Err(format!("script.nodes: 1 to {MAX_SIMULATED} are wanted, found {}", self.nodes));
        }
        if self.faults.len() > MAX_FAULTS {
            return Err(format!("script.faults: at most {MAX_FAULTS} are wanted"));
        }
        for (nth, timed) in self.faults.iter().enumerate() {
            let at = |what: String| Err(format!("script.faults[{nth}]: {what}"));
            if let Some(node) = timed.fault.nodes().into_iter().find(|node| *node >= self.nodes) {
                return at(format!("there is no node {node}"));
            }
            let shares = match timed.fault {
                Fault::Links { loss, doubled, garbled, .. } => vec![loss, doubled, garbled],
                Fault::Server { conditions, .. } | Fault::Callers { conditions, .. } => {
                    vec![conditions.broken]
                }
                _ => Vec::new(),
            };
            if shares.iter().any(|share| !(0.0..=1.0).contains(share)) {
                return at("shares from 0 to 1 are wanted".into());
            }
        }
        Ok(())
    }

    /// The faults by time; those of one time as they stand.
    pub fn in_order(&self) -> Vec<Timed> {
        let mut faults = self.faults.clone();
        faults.sort_by_key(|timed| timed.at_ms);
        faults
    }

    /// A play drawn from a seed: some troubles one after the other, each mended after a while, and calm at
    /// the end.
    pub fn seeded(seed: u64, nodes: usize, troubles: usize) -> Script {
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut faults, mut at) = (Vec::new(), 3_000);
        let mut put = |at_ms: u64, fault: Fault| faults.push(Timed { at_ms, fault });
        let all: Vec<usize> = (0..nodes).collect();
        for _ in 0..troubles {
            let lasts = chance.u64(300..6_000);
            let mut some = all.clone();
            chance.shuffle(&mut some);
            let (few, rest) = some.split_at(chance.usize(1..=(nodes / 2).max(1)));
            let (few, rest) = (few.to_vec(), rest.to_vec());
            match chance.u32(0..8) {
                0 => {
                    put(at, Fault::Kill { nodes: few.clone() });
                    put(at + lasts, Fault::Start { nodes: few, clock_ms: 0 });
                }
                1 => {
                    put(at, Fault::Stop { nodes: few.clone() });
                    put(at + lasts, Fault::GoOn { nodes: few });
                }
                2 => {
                    put(at, Fault::Cut { from: few.clone(), to: rest.clone() });
                    put(at, Fault::Cut { from: rest.clone(), to: few.clone() });
                    put(at + lasts, Fault::Mend { from: few.clone(), to: rest.clone() });
                    put(at + lasts, Fault::Mend { from: rest, to: few });
                }
                3 => {
                    put(at, Fault::Cut { from: few.clone(), to: rest.clone() });
                    put(at + lasts, Fault::Mend { from: few, to: rest });
                }
                4 => {
                    let (loss, delay_ms) = (chance.f64() * 0.15, chance.u64(0..30));
                    put(at, Fault::Links { loss, doubled: 0.1, garbled: 0.02, delay_ms });
                    put(at + lasts, Fault::Links { loss: 0.0, doubled: 0.0, garbled: 0.0, delay_ms: 0 });
                }
                5 => {
                    let (cut, delay_ms, broken) = (chance.bool(), chance.u64(0..40), chance.f64() * 0.2);
                    let conditions = NetworkConditions { cut, delay_ms, broken, bytes_a_second: 0 };
                    let calm = NetworkConditions::default();
                    if chance.bool() {
                        put(at, Fault::Server { nodes: few.clone(), conditions });
                        put(at + lasts, Fault::Server { nodes: few, conditions: calm });
                    } else {
                        put(at, Fault::Callers { nodes: few.clone(), conditions });
                        put(at + lasts, Fault::Callers { nodes: few, conditions: calm });
                    }
                }
                6 => {
                    put(at, Fault::Leave { nodes: few.clone() });
                    put(at + 1_500 + lasts, Fault::Start { nodes: few, clock_ms: 0 });
                    put(at + 1_800 + lasts, Fault::Replay { nodes: rest });
                }
                _ => {
                    put(at, Fault::Kill { nodes: few.clone() });
                    put(at, Fault::Start { nodes: few, clock_ms: -chance.i64(0..2_000) });
                }
            }
            at += lasts + chance.u64(1_500..4_000);
        }
        Script { nodes, ms: at + 12_000, seed, faults }
    }
}

/// The JSON Schema of a script.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_for!(Script)).unwrap_or_default()
}
