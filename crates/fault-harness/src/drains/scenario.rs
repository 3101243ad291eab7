//! The scenario of one shutdown test, generated from a seed.

use std::ops::Range;

use doortrack_protocols::Protocol;
use rustix::process::Signal;

/// Time from the first of SIGTERM and SIGINT to SIGKILL, in ms.
const STOP_MS: Range<u64> = 600..1_600;
/// Number of signals in a series.
const SIGNAL_COUNT: Range<usize> = 1..6;
/// Pause between two signals of a series, in ms; a third of the signals follow without a pause.
const SIGNAL_PAUSE_MS: Range<u64> = 0..120;
/// One seed in so many has additional clients.
const EXTRA_CLIENTS_EVERY: u64 = 3;
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

/// One shutdown test.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Protocol of the application servers.
    pub server_protocol: Protocol,
    /// Time from the first of SIGTERM and SIGINT to SIGKILL, in ms.
    pub stop_ms: u64,
    /// The signals, in their order; at least one of them shuts the node down.
    pub signals: Vec<TimedSignal>,
    /// Whether many additional clients are connected.
    pub has_extra_clients: bool,
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
            has_extra_clients: seed.is_multiple_of(EXTRA_CLIENTS_EVERY),
        }
    }

    /// Time from the first signal to the first that shuts the node down, in ms.
    pub fn shutdown_at_ms(&self) -> u64 {
        let shutdowns = self
            .signals
            .iter()
            .filter(|timed| is_shutdown(timed.signal));
        shutdowns.map(|timed| timed.at_ms).min().unwrap_or(0)
    }

    /// The signals and their times, as in `HUP 0, TERM 37`.
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
    let count = random.usize(SIGNAL_COUNT);
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
