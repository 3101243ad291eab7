//! Invariants of every run, checked on its history alone.
//!
//! Bounds are those guaranteed to operators and don't depend on the machine's speed: a process that was not
//! scheduled for a while logs `resumed`, and declarations about it are excused.

use std::collections::BTreeMap;

use crate::ground_truth::{GroundTruth, Span};
use crate::history::{History, HistoryEvent, Member, node_name};

/// One violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant.
    pub rule: &'static str,
    /// Time since the start of the run, in ms.
    pub at_ms: u64,
    /// What violates it.
    pub description: String,
}

/// A rule that must hold in every history.
pub trait Invariant {
    /// The name that is printed with a violation.
    fn name(&self) -> &'static str;

    /// Every violation in a history, with its time in ms; `truth` is the true state it implies.
    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)>;
}

/// All invariants of membership.
pub fn membership_invariants() -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(NoFalseDeath),
        Box::new(NoDeathAfterLeave),
        Box::new(IncarnationsIncrease),
        Box::new(IsolatedDeclaresNobodyDead),
        Box::new(ResumedDeclaresNobodyDead),
        Box::new(FinalViewsAgree),
    ]
}

/// All violations of these invariants in a history, by time.
pub fn judge(history: &History, invariants: &[Box<dyn Invariant>]) -> Vec<Violation> {
    let truth = GroundTruth::from_history(history);
    let mut violations = Vec::new();
    for invariant in invariants {
        let found = invariant.judge(history, &truth).into_iter();
        violations.extend(found.map(|(at_ms, description)| Violation {
            rule: invariant.name(),
            at_ms,
            description,
        }));
    }
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

/// The number of a node by its name.
fn node_number(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

/// A node declared a member dead.
#[derive(Clone, Copy)]
struct Declaration {
    at: u64,
    /// The node that declared it.
    node: usize,
    /// The member that was declared dead.
    member: usize,
}

/// The declarations of death that are wrong, each described by `describe` from the names of node and member.
fn wrong_declarations(
    history: &History,
    is_wrong: impl Fn(Declaration) -> bool,
    describe: impl Fn(String, String) -> String,
) -> Vec<(u64, String)> {
    let declared = history
        .entries
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::MemberChange {
                node,
                change,
                member: Some(member),
                ..
            } if change == "dead" => Some(Declaration {
                at: entry.at_ms,
                node: *node,
                member: node_number(member)?,
            }),
            _ => None,
        });
    let wrong = declared.filter(|declaration| is_wrong(*declaration));
    wrong
        .map(|wrong| {
            (
                wrong.at,
                describe(node_name(wrong.node), node_name(wrong.member)),
            )
        })
        .collect()
}

/// Longest time in ms between the cause of a declaration of death and the declaration.
const MAX_CAUSE_AGE_MS: u64 = 8_000;

/// A node that runs and is reachable is never declared dead, neither for a single broken link nor for a
/// few lost datagrams.
pub struct NoFalseDeath;

impl Invariant for NoFalseDeath {
    fn name(&self) -> &'static str {
        "nobody wrongly declared dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let is_wrong = |Declaration { at, node, member }: Declaration| {
            let since = at.saturating_sub(MAX_CAUSE_AGE_MS);
            let has_cause = |node| {
                truth.was_unhealthy(node, since, at) || truth.was_partitioned(node, since, at)
            };
            !has_cause(member) && !has_cause(node) && !truth.was_degraded(since, at)
        };
        wrong_declarations(history, is_wrong, |node, member| {
            format!("{node} declared {member} dead")
        })
    }
}

/// A node that shut down gracefully is never declared dead.
pub struct NoDeathAfterLeave;

/// Time in ms in which a node announces that it leaves, or notices that it is isolated.
const ANNOUNCEMENT_MS: u64 = 2_000;

impl Invariant for NoDeathAfterLeave {
    fn name(&self) -> &'static str {
        "left is not dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let is_wrong = |Declaration { at, node, member }: Declaration| {
            let departures = truth.shutdowns.get(&member).into_iter().flatten();
            let Some(left) = departures.filter(|left| **left <= at).max() else {
                return false;
            };
            let restarted = truth.process_starts[member]
                .iter()
                .any(|began| began > left && *began <= at);
            let since = left.saturating_sub(MAX_CAUSE_AGE_MS);
            let partitioned = |node| truth.was_partitioned(node, since, left + ANNOUNCEMENT_MS);
            let excused = partitioned(member) || partitioned(node) || truth.was_degraded(since, at);
            let receiver_unhealthy =
                truth.was_unhealthy(node, left.saturating_sub(ANNOUNCEMENT_MS), at);
            !restarted && !excused && !receiver_unhealthy && at > left + ANNOUNCEMENT_MS
        };
        let describe = |node, member| format!("{node} declared {member} dead, which left");
        wrong_declarations(history, is_wrong, describe)
    }
}

/// No process reports a lower incarnation of a member than it reported before.
pub struct IncarnationsIncrease;

impl Invariant for IncarnationsIncrease {
    fn name(&self) -> &'static str {
        "incarnations go forward"
    }

    fn judge(&self, history: &History, _: &GroundTruth) -> Vec<(u64, String)> {
        let (mut seen, mut violations) = (BTreeMap::new(), Vec::new());
        for entry in &history.entries {
            match &entry.event {
                HistoryEvent::Began { node } => seen.retain(|(observer, _), _| observer != node),
                HistoryEvent::MemberChange {
                    node,
                    change,
                    member: Some(member),
                    incarnation: Some(incarnation),
                    ..
                } if matches!(&**change, "alive" | "back") => {
                    let incarnation = u64::from_str_radix(incarnation, 16).unwrap_or_default();
                    let last = seen.entry((*node, member.clone())).or_insert(incarnation);
                    if incarnation < *last {
                        let description = format!(
                            "{} went back from incarnation {last:x} of {member} to {incarnation:x}",
                            node_name(*node)
                        );
                        violations.push((entry.at_ms, description));
                    }
                    *last = incarnation.max(*last);
                }
                _ => {}
            }
        }
        violations
    }
}

/// An isolated node, which receives nothing, declares no member dead.
pub struct IsolatedDeclaresNobodyDead;

impl Invariant for IsolatedDeclaresNobodyDead {
    fn name(&self) -> &'static str {
        "isolated, declares nobody dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let is_wrong = |Declaration { at, node, member }: Declaration| {
            // A suspicion that other nodes confirmed before the cut may still time out just after it.
            let isolated = truth.isolation_spans(node);
            let is_within = isolated
                .iter()
                .any(|span| at >= span.start + ANNOUNCEMENT_MS && at < span.end);
            is_within && !truth.was_unhealthy(member, at.saturating_sub(MAX_CAUSE_AGE_MS), at)
        };
        let describe = |node, member| format!("{node}, isolated, declared {member} dead");
        wrong_declarations(history, is_wrong, describe)
    }
}

/// A node that resumes after a pause of its process declares no member dead before it can have received
/// anything.
pub struct ResumedDeclaresNobodyDead;

/// Time in ms after a resumption in which a node must not declare members dead; shorter than any suspicion timeout.
const RESUMPTION_GRACE_MS: u64 = 250;
/// Shortest pause in ms that is checked.
const MIN_PAUSE_MS: u64 = 1_000;

impl Invariant for ResumedDeclaresNobodyDead {
    fn name(&self) -> &'static str {
        "resumed, declares nobody dead"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let is_wrong = |Declaration { at, node, member }: Declaration| {
            let just_resumed = |suspension: &&Span| {
                let is_long =
                    suspension.end != u64::MAX && suspension.end >= suspension.start + MIN_PAUSE_MS;
                is_long && at >= suspension.end && at < suspension.end + RESUMPTION_GRACE_MS
            };
            let Some(suspension) = truth.suspensions[node].iter().find(just_resumed) else {
                return false;
            };
            // A member that died during the pause may be declared dead: other nodes report it.
            !truth.was_unhealthy(
                member,
                suspension.start.saturating_sub(MAX_CAUSE_AGE_MS),
                at,
            )
        };
        let describe = |node, member| format!("{node}, just resumed, declared {member} dead");
        wrong_declarations(history, is_wrong, describe)
    }
}

/// In the final views the running nodes agree, and the members are exactly those nodes.
pub struct FinalViewsAgree;

impl Invariant for FinalViewsAgree {
    fn name(&self) -> &'static str {
        "in the end all agree"
    }

    fn judge(&self, history: &History, truth: &GroundTruth) -> Vec<(u64, String)> {
        let running: Vec<String> = (0..history.nodes)
            .filter(|node| truth.running[*node])
            .map(node_name)
            .collect();
        let (mut violations, mut digests) = (Vec::new(), BTreeMap::new());
        for entry in &history.entries {
            let HistoryEvent::Status {
                node,
                members,
                digest,
                ..
            } = &entry.event
            else {
                continue;
            };
            if !truth.running[*node] {
                continue;
            }
            if let Some(difference) = difference(&present(members), &running) {
                violations.push((entry.at_ms, format!("{} {difference}", node_name(*node))));
            }
            digests
                .entry(digest.clone())
                .or_insert((entry.at_ms, *node));
        }
        if violations.is_empty() && digests.len() > 1 {
            let (at, _) = digests.values().max().copied().unwrap_or_default();
            violations.push((at, format!("views differ: {digests:?}")));
        }
        violations
    }
}

/// Names of the members that count as present, by node number.
fn present(members: &[Member]) -> Vec<String> {
    let mut present: Vec<String> = members
        .iter()
        .filter(|member| member.is_present())
        .map(|member| member.name.clone())
        .collect();
    present.sort_by_key(|name| node_number(name));
    present
}

/// Describes how a view differs from the running nodes, if it does.
fn difference(present: &[String], running: &[String]) -> Option<String> {
    if present == running {
        return None;
    }
    let missing: Vec<_> = running
        .iter()
        .filter(|name| !present.contains(name))
        .collect();
    let extra: Vec<_> = present
        .iter()
        .filter(|name| !running.contains(name))
        .collect();
    Some(format!("lacks {missing:?} and has {extra:?} besides"))
}
