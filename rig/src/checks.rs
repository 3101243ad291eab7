//! What must hold in every play, judged on its history alone.
//!
//! Each promise is an [`Invariant`] of its own; later parts of the program add theirs. The bounds here are
//! those of the promise, never of how fast a machine is: a process that the machine let stand still says so,
//! and what is said of it is excused.

use std::collections::BTreeMap;

use crate::ground_truth::GroundTruth;
use crate::history::{History, What, name};

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub at_ms: u64,
    pub what: String,
}

/// One promise.
pub trait Invariant {
    fn name(&self) -> &'static str;

    /// Every violation in a history, with its time in ms; `truth` is the true state it implies.
    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)>;
}

/// All promises about who is there.
pub fn membership() -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(NoFalseDeath),
        Box::new(LeftIsNotDead),
        Box::new(IncarnationsGoForward),
        Box::new(IsolatedDeclaresNobodyDead),
        Box::new(ResumedDeclaresNobodyDead),
        Box::new(InTheEndAllAgree),
    ]
}

/// Judges a history by these promises.
pub fn judge(history: &History, by: &[Box<dyn Invariant>]) -> Vec<Violation> {
    let truth = GroundTruth::of(history);
    let mut violations = Vec::new();
    for rule in by {
        let found = rule.judge(history, &truth).into_iter();
        violations.extend(found.map(|(at_ms, what)| Violation { rule: rule.name(), at_ms, what }));
    }
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

/// The number of a node, by its name.
fn number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// The deaths declared that are wrong by `wrong` (when, told by whom, of whom), in the words of `say`.
fn deaths(
    history: &History,
    wrong: impl Fn(u64, usize, usize) -> bool,
    say: impl Fn(String, String) -> String,
) -> Vec<(u64, String)> {
    let declared = history.entries.iter().filter_map(|entry| match &entry.what {
        What::News { node, word, of: Some(of), .. } if word == "dead" => {
            Some((entry.at_ms, *node, number(of)?))
        }
        _ => None,
    });
    let wrongly = declared.filter(|(at, by, of)| wrong(*at, *by, *of));
    wrongly.map(|(at, by, of)| (at, say(name(by), name(of)))).collect()
}

/// Reasons to declare a death lie within so many ms before it.
const REASONS: u64 = 8_000;

/// Who runs, and is reached by others, is declared dead by nobody: not for one broken link, nor for some
/// datagrams lost.
pub struct NoFalseDeath;

impl Invariant for NoFalseDeath {
    fn name(&self) -> &'static str {
        "nobody wrongly declared dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let wrong = |at: u64, by: usize, of: usize| {
            let from = at.saturating_sub(REASONS);
            let reason = |node| truth.was_unhealthy(node, from, at) || truth.was_partitioned(node, from, at);
            !reason(of) && !reason(by) && !truth.was_degraded(from, at)
        };
        deaths(history, wrong, |by, of| format!("{by} declared {of} dead"))
    }
}

/// Who was told to leave, and is not killed at once, is never declared dead.
pub struct LeftIsNotDead;

/// What a node needs to say that it leaves.
const SAYING: u64 = 2_000;

impl Invariant for LeftIsNotDead {
    fn name(&self) -> &'static str {
        "left is not dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let wrong = |at: u64, by: usize, of: usize| {
            let leaves = truth.left.get(&of).into_iter().flatten();
            let Some(left) = leaves.filter(|left| **left <= at).max() else { return false };
            let anew = truth.began[of].iter().any(|began| began > left && *began <= at);
            let parted = |node| truth.was_partitioned(node, left.saturating_sub(REASONS), left + SAYING);
            let excused = parted(of) || parted(by) || truth.was_degraded(left.saturating_sub(REASONS), at);
            let reader = truth.was_unhealthy(by, left.saturating_sub(SAYING), at);
            !anew && !excused && !reader && at > left + SAYING
        };
        deaths(history, wrong, |by, of| format!("{by} declared {of} dead, which left"))
    }
}

/// No process goes back to an earlier incarnation of another.
pub struct IncarnationsGoForward;

impl Invariant for IncarnationsGoForward {
    fn name(&self) -> &'static str {
        "incarnations go forward"
    }

    fn judge(&self, history: &History, _: &GroundTruth) -> Vec<(u64, String)> {
        let (mut seen, mut violations) = (BTreeMap::new(), Vec::new());
        for entry in &history.entries {
            match &entry.what {
                What::Began { node } => seen.retain(|(by, _), _| by != node),
                What::News { node, word, of: Some(of), incarnation: Some(incarnation), .. }
                    if matches!(&**word, "alive" | "back") =>
                {
                    let incarnation = u64::from_str_radix(incarnation, 16).unwrap_or_default();
                    let last = seen.entry((*node, of.clone())).or_insert(incarnation);
                    if incarnation < *last {
                        let what = format!(
                            "{} went back from incarnation {last:x} of {of} to {incarnation:x}",
                            name(*node)
                        );
                        violations.push((entry.at_ms, what));
                    }
                    *last = incarnation.max(*last);
                }
                _ => {}
            }
        }
        violations
    }
}

/// Who hears nobody declares nobody dead: it is the one that is isolated.
pub struct IsolatedDeclaresNobodyDead;

impl Invariant for IsolatedDeclaresNobodyDead {
    fn name(&self) -> &'static str {
        "isolated, declares nobody dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let wrong = |at: u64, by: usize, of: usize| {
            // A suspicion that others had shared before may come to its end just after the cut.
            let within = truth.isolated(by).iter().any(|span| at >= span.start + SAYING && at < span.end);
            within && !truth.was_unhealthy(of, at.saturating_sub(REASONS), at)
        };
        deaths(history, wrong, |by, of| format!("{by}, isolated, declared {of} dead"))
    }
}

/// Who stood still and wakes declares nobody dead before it can have heard from anybody.
pub struct ResumedDeclaresNobodyDead;

/// The shortest suspicion is longer than this.
const WAKING: u64 = 250;

impl Invariant for ResumedDeclaresNobodyDead {
    fn name(&self) -> &'static str {
        "resumed, declares nobody dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let wrong = |at: u64, by: usize, of: usize| {
            let woken = |span: &&crate::ground_truth::Span| {
                let long = span.end != u64::MAX && span.end >= span.start + 1_000;
                long && at >= span.end && at < span.end + WAKING
            };
            let Some(stop) = truth.stops[by].iter().find(woken) else { return false };
            // What others tell it of one that died meanwhile is well founded.
            !truth.was_unhealthy(of, stop.start.saturating_sub(REASONS), at)
        };
        deaths(history, wrong, |by, of| format!("{by}, just woken, declared {of} dead"))
    }
}

/// Once all is mended, those that run hold exactly those for there that run, and in one incarnation.
pub struct InTheEndAllAgree;

impl Invariant for InTheEndAllAgree {
    fn name(&self) -> &'static str {
        "in the end all agree"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let running: Vec<String> = (0..history.nodes).filter(|of| truth.running[*of]).map(name).collect();
        let (mut violations, mut digests) = (Vec::new(), BTreeMap::new());
        for entry in &history.entries {
            let What::Status { node, members, digest, .. } = &entry.what else { continue };
            if !truth.running[*node] {
                continue;
            }
            let there = members.iter().filter(|of| matches!(&*of.state, "alive" | "suspected"));
            let mut there: Vec<String> = there.map(|of| of.name.clone()).collect();
            there.sort_by_key(|name| number(name));
            if there != running {
                let missing: Vec<_> = running.iter().filter(|name| !there.contains(name)).collect();
                let beyond: Vec<_> = there.iter().filter(|name| !running.contains(name)).collect();
                let what = format!("{} misses {missing:?} and has {beyond:?} beyond", name(*node));
                violations.push((entry.at_ms, what));
            }
            digests.entry(digest.clone()).or_insert((entry.at_ms, *node));
        }
        if violations.is_empty() && digests.len() > 1 {
            let (at, _) = digests.values().max().copied().unwrap_or_default();
            violations.push((at, format!("views differ: {digests:?}")));
        }
        violations
    }
}
