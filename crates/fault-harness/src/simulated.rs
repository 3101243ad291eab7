//! Runs a script in simulated time with the node's own membership code. Repeated runs give byte-identical
//! histories.

mod world;

use std::time::Instant;

use doortrack_membership::Parameters;
use doortrack_simulation::{Distribution, Micros};

use self::world::World;
use crate::history::History;
use crate::script::Script;

/// Options of a run. The defaults are one zone, exact clocks and a log-normal latency of 0.3 ms in the mean.
#[derive(Clone, Debug)]
pub struct Options {
    /// Parameters of all nodes; their seeds are replaced.
    pub parameters: Parameters,
    /// Latency of undisturbed links.
    pub latency: Distribution,
    /// Number of zones; nodes are assigned to them round-robin.
    pub zones: u32,
    /// Additional latency between two zones, in microseconds.
    pub inter_zone_latency: Micros,
    /// Bound of each clock's offset, in ms, in either direction.
    pub offset_ms: u64,
    /// Bound of each clock's drift, in parts per million, in either direction.
    pub drift_ppm: u64,
    /// Membership changes before this time, in ms, are not recorded, to bound the history's length.
    pub record_from_ms: u64,
    /// Whether the bytes of datagrams are counted. Encoding them takes most of a run's time.
    pub count_bytes: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            parameters: Parameters::default(),
            latency: Distribution::LogNormal {
                mean: 300.0,
                sigma: 0.5,
            },
            zones: 1,
            inter_zone_latency: 0,
            offset_ms: 0,
            drift_ppm: 0,
            record_from_ms: 0,
            count_bytes: false,
        }
    }
}

/// The cost of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Events handled.
    pub events: u64,
    /// Real time spent handling events, in ns.
    pub decisions_ns: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent, with IP and UDP headers; counted only with [`Options::count_bytes`].
    pub bytes: u64,
}

impl Cost {
    /// Handles one event with `handle`, and adds the time that it takes.
    pub(crate) fn measure(&mut self, handle: impl FnOnce()) {
        let began = Instant::now();
        handle();
        self.decisions_ns += began.elapsed().as_nanos() as u64;
        self.events += 1;
    }
}

/// Runs a script; returns its history and cost.
pub fn run(script: &Script, options: &Options) -> (History, Cost) {
    World::new(script, options).run(script)
}
