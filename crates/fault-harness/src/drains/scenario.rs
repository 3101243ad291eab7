//! What happens in one soak of a shutdown, drawn from a seed.

use std::ops::Range;

use doortrack_protocols::Protocol;
use rustix::process::Signal;

/// Time from the first of SIGTERM and SIGINT to SIGKILL, in ms.
const STOP_MS: Range<u64> = 600..1_600;
/// Signals of one series.
const SIGNALS: Range<usize> = 1..6;
/// Pauses between two signals of a series, in ms; a third follow at once.
const SIGNAL_PAUSE_MS: Range<u64> = 0..120;
/// Every so many seeds have a crowd.
const CROWD_EVERY: u64 = 3;
/// The shortest run of a request, in ms.
pub(super) const MIN_WORK_MS: u64 = 2;

/// A signal and when it is sent, in ms from the first of its series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedSignal {
    /// When it is sent.
    pub at_ms: u64,
    /// The signal.
    pub signal: Signal,
}

/// One soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Of everything random.
    pub seed: u64,
    /// What the application servers speak.
    pub server_protocol: Protocol,
    /// Time from the first of SIGTERM and SIGINT to SIGKILL, in ms.
    pub stop_ms: u64,
    /// The signals, in their order; at least one of them shuts the node down.
    pub signals: Vec<TimedSignal>,
    /// Whether a crowd of clients is connected.
    pub crowd: bool,
}

impl Scenario {
    /// The scenario of a seed.
    pub fn seeded(seed: u64) -> Scenario {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x0d7a_1a5d);
        let protocols = [Protocol::FastCgi, Protocol::Uwsgi];
        Scenario {
            seed,
            server_protocol: protocols[random.usize(..2)],
            stop_ms: random.u64(STOP_MS),
            signals: signals(&mut random),
            crowd: seed.is_multiple_of(CROWD_EVERY),
        }
    }

    /// When the node is told to shut down, in ms from the first signal.
    pub fn shutdown_at_ms(&self) -> u64 {
        let shutdowns = self
            .signals
            .iter()
            .filter(|timed| is_shutdown(timed.signal));
        shutdowns.map(|timed| timed.at_ms).min().unwrap_or(0)
    }

    /// The signals in words.
    pub fn describe_signals(&self) -> String {
        let name = |signal| match signal {
            Signal::HUP => "HUP",
            Signal::INT => "INT",
            _ => "TERM",
        };
        let signals = self.signals.iter();
        let words = signals.map(|timed| format!("{} {}", name(timed.signal), timed.at_ms));
        words.collect::<Vec<_>>().join(", ")
    }
}

fn is_shutdown(signal: Signal) -> bool {
    signal != Signal::HUP
}

fn signals(random: &mut fastrand::Rng) -> Vec<TimedSignal> {
    let kinds = [Signal::HUP, Signal::TERM, Signal::INT];
    let count = random.usize(SIGNALS);
    let mut at_ms = 0;
    let mut series: Vec<TimedSignal> = Vec::new();
    for _ in 0..count {
        series.push(TimedSignal {
            at_ms,
            signal: kinds[random.usize(..3)],
        });
        if random.usize(..3) > 0 {
            at_ms += random.u64(SIGNAL_PAUSE_MS);
        }
    }
    if !series.iter().any(|timed| is_shutdown(timed.signal)) {
        let signal = kinds[random.usize(1..3)];
        series.push(TimedSignal { at_ms, signal });
    }
    series
}
