//! What a history says of the true state of the play: which process ran when, and who could reach whom.

use std::collections::BTreeMap;

use crate::history::{History, What};
use crate::script::Fault;

/// A span of time, in ms; open at the end until it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: u64,
    pub till: u64,
}

impl Span {
    fn meets(self, from: u64, till: u64) -> bool {
        self.from <= till && self.till >= from
    }
}

/// The true course of a play.
pub struct Course {
    /// When something was wrong with a node itself: not running, just started, standing still, leaving.
    wrong: Vec<Vec<Span>>,
    /// Cuts: from whom to whom.
    cuts: Vec<(Vec<usize>, Vec<usize>, Span)>,
    /// When links did worse than a fifth lost or 100 ms of delay.
    rough: Vec<Span>,
    /// When each was told to leave, and when it began anew.
    pub left: BTreeMap<usize, Vec<u64>>,
    pub began: Vec<Vec<u64>>,
    pub stops: Vec<Vec<Span>>,
    /// Who runs at the end, and was not told to leave.
    pub running: Vec<bool>,
}

const ROUGH_LOSS: f64 = 0.2;
const ROUGH_DELAY: u64 = 100;

impl Course {
    pub fn of(history: &History) -> Course {
        let nodes = history.nodes;
        let mut course = Course {
            wrong: vec![Vec::new(); nodes],
            cuts: Vec::new(),
            rough: Vec::new(),
            left: BTreeMap::new(),
            began: vec![Vec::new(); nodes],
            stops: vec![Vec::new(); nodes],
            running: vec![false; nodes],
        };
        let mut rough = [None; 2];
        for entry in &history.entries {
            let at = entry.at_ms;
            match &entry.what {
                What::Fault { fault } => course.fault(at, fault, &mut rough),
                What::Began { node } => {
                    course.close(*node, at);
                    course.wrong[*node].push(Span { from: at, till: at });
                    course.began[*node].push(at);
                    course.running[*node] = true;
                }
                What::Ended { node } => {
                    course.running[*node] = false;
                    course.wrong[*node].push(Span { from: at, till: u64::MAX });
                }
                What::News { node, word, .. } if word == "resumed" => {
                    course.wrong[*node].push(Span { from: at, till: at });
                }
                What::News { .. } | What::Status { .. } => {}
            }
        }
        course.rough.extend(rough.into_iter().flatten().map(|from| Span { from, till: u64::MAX }));
        course
    }

    /// What was wrong with a node ends.
    fn close(&mut self, node: usize, at: u64) {
        self.wrong[node].iter_mut().filter(|span| span.till == u64::MAX).for_each(|span| span.till = at);
    }

    fn fault(&mut self, at: u64, fault: &Fault, rough: &mut [Option<u64>; 2]) {
        match fault {
            Fault::Kill { nodes } | Fault::Leave { nodes } | Fault::Stop { nodes } => {
                for node in nodes {
                    self.wrong[*node].push(Span { from: at, till: u64::MAX });
                    match fault {
                        Fault::Leave { .. } => {
                            self.left.entry(*node).or_default().push(at);
                            self.running[*node] = false;
                        }
                        Fault::Stop { .. } => self.stops[*node].push(Span { from: at, till: u64::MAX }),
                        _ => self.running[*node] = false,
                    }
                }
            }
            Fault::Start { .. }
            | Fault::StartOlder { .. }
            | Fault::Replay { .. }
            | Fault::Server { .. }
            | Fault::Callers { .. } => {}
            Fault::Throttle { bytes_a_second } => self.turn_rough(at, *bytes_a_second > 0, &mut rough[1]),
            Fault::GoOn { nodes } => {
                for node in nodes {
                    self.close(*node, at);
                    let open = self.stops[*node].iter_mut().filter(|span| span.till == u64::MAX);
                    open.for_each(|span| span.till = at);
                }
            }
            Fault::Cut { from, to } => {
                self.cuts.push((from.clone(), to.clone(), Span { from: at, till: u64::MAX }));
            }
            Fault::Mend { from, to } => {
                let open = self
                    .cuts
                    .iter_mut()
                    .find(|(of, at, span)| of == from && at == to && span.till == u64::MAX);
                open.into_iter().for_each(|(.., span)| span.till = at);
            }
            Fault::Links { loss, garbled, delay_ms, .. } => {
                let bad = loss + garbled >= ROUGH_LOSS || *delay_ms >= ROUGH_DELAY;
                self.turn_rough(at, bad, &mut rough[0]);
            }
        }
    }

    fn turn_rough(&mut self, at: u64, bad: bool, since: &mut Option<u64>) {
        match (bad, *since) {
            (true, None) => *since = Some(at),
            (false, Some(from)) => {
                self.rough.push(Span { from, till: at });
                *since = None;
            }
            _ => {}
        }
    }

    /// Whether the node itself gave reason, in this span, to be declared dead.
    pub fn was_wrong(&self, node: usize, from: u64, till: u64) -> bool {
        self.wrong[node].iter().any(|span| span.meets(from, till))
    }

    /// Whether links were so bad for all that suspicions are no wonder.
    pub fn was_rough(&self, from: u64, till: u64) -> bool {
        self.rough.iter().any(|span| span.meets(from, till))
    }

    /// Whether a cut parted the node from more than one other. One broken link is no reason to declare
    /// anybody dead: there are indirect probers.
    pub fn was_parted(&self, node: usize, from: u64, till: u64) -> bool {
        self.cuts.iter().filter(|(.., span)| span.meets(from, till)).any(|(of, to, _)| {
            let alone = of.len() == 1 && to.len() == 1;
            !alone && (of.contains(&node) || to.contains(&node))
        })
    }

    /// The spans in which nothing went either way between this node and any other.
    pub fn isolated(&self, node: usize) -> Vec<Span> {
        let whole = |list: &[usize]| (0..self.wrong.len()).all(|of| of == node || list.contains(&of));
        let ways = |outward: bool| {
            self.cuts.iter().filter(move |(of, to, _)| {
                if outward { of == &[node] && whole(to) } else { to == &[node] && whole(of) }
            })
        };
        let mut spans = Vec::new();
        for (.., out) in ways(true) {
            for (.., into) in ways(false) {
                let both = Span { from: out.from.max(into.from), till: out.till.min(into.till) };
                if both.from < both.till {
                    spans.push(both);
                }
            }
        }
        spans
    }
}
