//! The true state of a run, derived from its history: which process ran when, and which nodes could
//! communicate.

use std::collections::BTreeMap;

use crate::history::{History, HistoryEvent};
use crate::script::Fault;

/// Loss rate, and delay in ms, from which all links count as degraded.
const DEGRADED_LOSS: f64 = 0.2;
const DEGRADED_DELAY_MS: u64 = 100;

/// A span of time in ms, both ends included. The end is `u64::MAX` while it is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First ms.
    pub start: u64,
    /// Last ms.
    pub end: u64,
}

impl Span {
    fn instant(at: u64) -> Span {
        Span { start: at, end: at }
    }

    fn open(start: u64) -> Span {
        Span {
            start,
            end: u64::MAX,
        }
    }

    fn is_open(self) -> bool {
        self.end == u64::MAX
    }

    fn overlaps(self, start: u64, end: u64) -> bool {
        self.start <= end && self.end >= start
    }
}

/// Sets the end of all open spans.
fn close(spans: &mut [Span], at: u64) {
    spans
        .iter_mut()
        .filter(|span| span.is_open())
        .for_each(|span| span.end = at);
}

/// A span in which all datagrams from some nodes to others were dropped.
struct Cut {
    from: Vec<usize>,
    to: Vec<usize>,
    span: Span,
}

/// When the current degradation of all links began, by its cause.
#[derive(Default)]
struct DegradedSince {
    links: Option<u64>,
    throttle: Option<u64>,
}

/// What a history implies of the true state. Vectors are indexed by node; times are in ms.
pub struct GroundTruth {
    /// When a node itself could cause a declaration of death: not running, just started, suspended, resumed or
    /// leaving.
    unhealthy: Vec<Vec<Span>>,
    cuts: Vec<Cut>,
    /// When all links were degraded, by [`DEGRADED_LOSS`], [`DEGRADED_DELAY_MS`] or a throttle.
    degraded: Vec<Span>,
    /// By node, when its graceful shutdowns began.
    pub shutdowns: BTreeMap<usize, Vec<u64>>,
    /// By node, when its processes started.
    pub process_starts: Vec<Vec<u64>>,
    /// By node, when it was suspended.
    pub suspensions: Vec<Vec<Span>>,
    /// Whether a node runs at the end, and is not shutting down.
    pub running: Vec<bool>,
}

impl GroundTruth {
    /// The true state that a history implies.
    pub fn from_history(history: &History) -> GroundTruth {
        let nodes = history.nodes;
        let mut truth = GroundTruth {
            unhealthy: vec![Vec::new(); nodes],
            cuts: Vec::new(),
            degraded: Vec::new(),
            shutdowns: BTreeMap::new(),
            process_starts: vec![Vec::new(); nodes],
            suspensions: vec![Vec::new(); nodes],
            running: vec![false; nodes],
        };
        let mut since = DegradedSince::default();
        for entry in &history.entries {
            truth.record(entry.at_ms, &entry.event, &mut since);
        }
        let open = [since.links, since.throttle].into_iter().flatten();
        truth.degraded.extend(open.map(Span::open));
        truth
    }

    fn record(&mut self, at: u64, event: &HistoryEvent, since: &mut DegradedSince) {
        match event {
            HistoryEvent::Fault { fault } => self.record_fault(at, fault, since),
            HistoryEvent::Began { node } => {
                close(&mut self.unhealthy[*node], at);
                self.unhealthy[*node].push(Span::instant(at));
                self.process_starts[*node].push(at);
                self.running[*node] = true;
            }
            HistoryEvent::Ended { node } => {
                self.running[*node] = false;
                self.unhealthy[*node].push(Span::open(at));
            }
            HistoryEvent::MemberChange { node, change, .. } if change == "resumed" => {
                self.unhealthy[*node].push(Span::instant(at));
            }
            HistoryEvent::MemberChange { .. } | HistoryEvent::Status { .. } => {}
        }
    }

    fn record_fault(&mut self, at: u64, fault: &Fault, since: &mut DegradedSince) {
        match fault {
            Fault::Kill { nodes } => nodes.iter().for_each(|node| self.record_exit(*node, at)),
            Fault::Leave { nodes } => nodes.iter().for_each(|node| {
                self.record_exit(*node, at);
                self.shutdowns.entry(*node).or_default().push(at);
            }),
            Fault::Suspend { nodes } => nodes
                .iter()
                .for_each(|node| self.record_suspension(*node, at)),
            Fault::Resume { nodes } => nodes
                .iter()
                .for_each(|node| self.record_resumption(*node, at)),
            Fault::Cut { from, to } => self.record_cut(at, from, to),
            Fault::Heal { from, to } => self.record_heal(at, from, to),
            Fault::Links {
                loss,
                garbled,
                delay_ms,
                ..
            } => {
                let degraded = loss + garbled >= DEGRADED_LOSS || *delay_ms >= DEGRADED_DELAY_MS;
                self.record_degradation(at, degraded, &mut since.links);
            }
            Fault::Throttle { bytes_a_second } => {
                self.record_degradation(at, *bytes_a_second > 0, &mut since.throttle);
            }
            Fault::Start { .. }
            | Fault::StartOlder { .. }
            | Fault::Replay { .. }
            | Fault::Server { .. }
            | Fault::Callers { .. } => {}
        }
    }

    fn record_exit(&mut self, node: usize, at: u64) {
        self.unhealthy[node].push(Span::open(at));
        self.running[node] = false;
    }

    fn record_suspension(&mut self, node: usize, at: u64) {
        self.unhealthy[node].push(Span::open(at));
        self.suspensions[node].push(Span::open(at));
    }

    fn record_resumption(&mut self, node: usize, at: u64) {
        close(&mut self.unhealthy[node], at);
        close(&mut self.suspensions[node], at);
    }

    fn record_cut(&mut self, at: u64, from: &[usize], to: &[usize]) {
        self.cuts.push(Cut {
            from: from.to_vec(),
            to: to.to_vec(),
            span: Span::open(at),
        });
    }

    /// Ends the earliest open cut between exactly these nodes.
    fn record_heal(&mut self, at: u64, from: &[usize], to: &[usize]) {
        let is_healed = |cut: &&mut Cut| cut.from == from && cut.to == to && cut.span.is_open();
        if let Some(cut) = self.cuts.iter_mut().find(is_healed) {
            cut.span.end = at;
        }
    }

    fn record_degradation(&mut self, at: u64, degraded: bool, since: &mut Option<u64>) {
        match (degraded, *since) {
            (true, None) => *since = Some(at),
            (false, Some(start)) => {
                self.degraded.push(Span { start, end: at });
                *since = None;
            }
            _ => {}
        }
    }

    /// Whether the node itself, between `start` and `end`, could cause its declaration of death.
    pub fn was_unhealthy(&self, node: usize, start: u64, end: u64) -> bool {
        self.unhealthy[node]
            .iter()
            .any(|span| span.overlaps(start, end))
    }

    /// Whether all links, at some time between `start` and `end`, were so degraded that suspicions are expected.
    pub fn was_degraded(&self, start: u64, end: u64) -> bool {
        self.degraded.iter().any(|span| span.overlaps(start, end))
    }

    /// Whether the node, between `start` and `end`, was part of a cut of more than one link. A single broken
    /// link doesn't justify declaring a node dead, as indirect probes go around it.
    pub fn was_partitioned(&self, node: usize, start: u64, end: u64) -> bool {
        let mut cuts = self.cuts.iter().filter(|cut| cut.span.overlaps(start, end));
        cuts.any(|cut| {
            let single_link = cut.from.len() == 1 && cut.to.len() == 1;
            !single_link && (cut.from.contains(&node) || cut.to.contains(&node))
        })
    }

    /// The spans in which cuts dropped all datagrams between this node and the others, in both directions.
    pub fn isolation_spans(&self, node: usize) -> Vec<Span> {
        let all_others =
            |nodes: &[usize]| (0..self.running.len()).all(|id| id == node || nodes.contains(&id));
        let outward = self
            .cuts
            .iter()
            .filter(|cut| cut.from == [node] && all_others(&cut.to));
        let mut spans = Vec::new();
        for outward in outward {
            for inward in self
                .cuts
                .iter()
                .filter(|cut| cut.to == [node] && all_others(&cut.from))
            {
                let both = Span {
                    start: outward.span.start.max(inward.span.start),
                    end: outward.span.end.min(inward.span.end),
                };
                if both.start < both.end {
                    spans.push(both);
                }
            }
        }
        spans
    }
}
