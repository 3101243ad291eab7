//! Faults on a fleet at size: kills, restarts, a rack, a zone, two regions parted; after each, how long until
//! every live view is the same and right.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use doortrack_fakes::unix_ms;
use indicatif::ProgressBar;

use super::error::ScaleError;
use super::fault_report::{FaultEvent, FaultKind, FaultReport};
use super::fleet::{Ports, RunningFleet};
use super::losses::{Outage, wrongly_lost};
use super::plan::CALLERS_TENANT;
use super::probe::Probe;
use super::protocol::{HollowCommand, Loss};
use super::settle::settle;
use super::sweep::{PlayTerms, Size};
use crate::traffic::{Backend, ProcessExit, Traffic};

/// Single nodes that die; every fifth is a real one, and the middle one is the leader.
const KILLS: usize = 15;
const REAL_EVERY: usize = 5;
/// 3,600 restarts a day.
const RESTART_EVERY: Duration = Duration::from_secs(24);
pub const RACK: usize = 30;
pub const ZONE: usize = 110;
/// Each event is waited for so long at the most.
const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(50);

struct FaultPlay<'a> {
    fleet: RunningFleet,
    progress: &'a ProgressBar,
    began: Instant,
    began_unix_ms: u64,
    down: BTreeSet<usize>,
    /// The nodes of the region that is parted from the others.
    parted: BTreeSet<usize>,
    outages: Vec<Outage>,
    events: Vec<FaultEvent>,
    deaths: Vec<ProcessExit>,
    losses: Vec<Loss>,
    /// Hollow nodes that nothing has happened to yet: one that comes back twice is held back by design.
    fresh: std::ops::Range<usize>,
    restart_at: Instant,
}

/// Plays all faults on a fleet of this size; the regions are parted for `parted_for`.
///
/// # Errors
/// A process that can't be started, or that ended before its time.
pub fn play(
    terms: &PlayTerms,
    size: Size,
    parted_for: Duration,
    progress: &ProgressBar,
) -> Result<FaultReport, ScaleError> {
    let ports = Ports::hold()?;
    let behind = Backend::start();
    let servers = behind.installation(behind.address())["servers"].clone();
    let plan = terms.plan(size, &ports);
    let fresh = plan.hollow_nodes();
    let fleet = RunningFleet::start(&terms.programs, plan, &servers, |_| true)?;
    let mut play = FaultPlay::new(fleet, fresh, progress);
    let agreed = play.fleet.agree(size.nodes, terms.agree_within)?;
    settle(&mut play.fleet, terms.settle)?;
    // What was lost while it found together is not of this play.
    play.take_losses()?;
    play.losses.clear();
    let fronts: Vec<SocketAddr> = play.fleet.real.iter().map(|real| real.front).collect();
    let callers = if fronts.is_empty() { 0 } else { terms.callers };
    let traffic = Traffic::start_for(Some(CALLERS_TENANT), callers, &fronts, 1);
    let probe = fronts.last().map(|front| Probe::start(*front));
    let played = play.all(parted_for);
    let never_killed = probe.map(Probe::finish);
    let (served, broken_rules) = traffic.finish(&behind, &play.deaths);
    played?;
    let wrongly_lost = wrongly_lost(&play.losses, &play.outages, |name| {
        play.fleet.plan.node_named(name)
    });
    Ok(FaultReport {
        size,
        agreed_after_ms: agreed.map(|span| span.as_millis() as u64),
        began_unix_ms: play.began_unix_ms,
        events: play.events,
        losses: play.losses.len(),
        wrongly_lost,
        never_killed,
        asked: served.sent,
        completed: served.completed,
        unanswered_by_killed: served.unanswered,
        broken_rules,
    })
}

impl FaultPlay<'_> {
    fn new(
        fleet: RunningFleet,
        fresh: std::ops::Range<usize>,
        progress: &ProgressBar,
    ) -> FaultPlay<'_> {
        FaultPlay {
            fleet,
            progress,
            began: Instant::now(),
            began_unix_ms: unix_ms(),
            down: BTreeSet::new(),
            parted: BTreeSet::new(),
            outages: Vec::new(),
            events: Vec::new(),
            deaths: Vec::new(),
            losses: Vec::new(),
            fresh,
            restart_at: Instant::now() + RESTART_EVERY,
        }
    }

    fn all(&mut self, parted_for: Duration) -> Result<(), ScaleError> {
        for nth in 0..KILLS {
            self.one_kill(nth)?;
            self.restart_if_due()?;
        }
        self.block(RACK, FaultKind::RackKilled, FaultKind::RackReturned)?;
        self.restart_if_due()?;
        self.block(ZONE, FaultKind::ZoneKilled, FaultKind::ZoneReturned)?;
        self.restart_if_due()?;
        self.regions(parted_for)?;
        self.take_losses()
    }

    /// The next hollow nodes that nothing has happened to, from the first on.
    fn take_fresh(&mut self, count: usize) -> Vec<usize> {
        self.fresh.by_ref().take(count).collect()
    }

    fn one_kill(&mut self, nth: usize) -> Result<(), ScaleError> {
        let real = self.fleet.plan.real_nodes();
        let (kind, nodes) = if nth == KILLS / 2 {
            let leader = self
                .fleet
                .node_samples()?
                .first()
                .and_then(|sample| sample.leader.clone());
            let leader = leader.and_then(|name| self.fleet.plan.node_named(&name));
            (FaultKind::LeaderKilled, leader.into_iter().collect())
        } else if nth % REAL_EVERY == REAL_EVERY - 1 && !real.is_empty() {
            // The last real node is never killed.
            let node = real.start + nth / REAL_EVERY;
            let nodes = if node + 1 < real.end {
                vec![node]
            } else {
                Vec::new()
            };
            (FaultKind::RealKilled, nodes)
        } else {
            (FaultKind::HollowKilled, self.take_fresh(1))
        };
        if nodes.is_empty() {
            return Ok(());
        }
        self.kill(&nodes)?;
        self.wait(kind, nodes.len())?;
        self.start(&nodes)?;
        self.wait(FaultKind::Returned, nodes.len())
    }

    fn block(
        &mut self,
        count: usize,
        killed: FaultKind,
        returned: FaultKind,
    ) -> Result<(), ScaleError> {
        let nodes = self.take_fresh(count);
        self.kill(&nodes)?;
        self.wait(killed, nodes.len())?;
        self.start(&nodes)?;
        self.wait(returned, nodes.len())
    }

    fn restart_if_due(&mut self) -> Result<(), ScaleError> {
        if Instant::now() < self.restart_at {
            return Ok(());
        }
        self.restart_at += RESTART_EVERY;
        let nodes = self.take_fresh(1);
        self.kill(&nodes)?;
        self.start(&nodes)?;
        self.wait(FaultKind::Restarted, nodes.len())
    }

    /// Parts the hollow nodes that nothing has happened to from all the others: voters, real nodes, the rest.
    fn regions(&mut self, parted_for: Duration) -> Result<(), ScaleError> {
        let untouched = self.fresh.clone();
        let half = self.fleet.plan.nodes / 2;
        self.parted = untouched.rev().take(half).collect();
        let nodes: Vec<usize> = self.parted.iter().copied().collect();
        self.outages.push(Outage {
            nodes: self.parted.clone(),
            parted: true,
            from_unix_ms: unix_ms(),
            till_unix_ms: None,
        });
        let began = Instant::now();
        self.fleet.ask_all(&HollowCommand::Part {
            nodes: nodes.clone(),
        })?;
        self.wait(FaultKind::RegionsParted, nodes.len())?;
        std::thread::sleep(parted_for.saturating_sub(began.elapsed()));
        self.parted.clear();
        self.fleet
            .ask_all(&HollowCommand::Part { nodes: Vec::new() })?;
        if let Some(outage) = self.outages.last_mut() {
            outage.till_unix_ms = Some(unix_ms());
        }
        self.wait(FaultKind::RegionsJoined, nodes.len())
    }

    fn kill(&mut self, nodes: &[usize]) -> Result<(), ScaleError> {
        let from_unix_ms = unix_ms();
        let real = self.fleet.plan.real_nodes();
        for node in nodes.iter().filter(|node| real.contains(node)) {
            let front = self.fleet.plan.front_address(*node);
            self.deaths.push(ProcessExit {
                listener: front,
                at: from_unix_ms,
                answers_due_before: 0,
            });
            self.fleet.kill_real(*node);
        }
        self.fleet.ask_all(&HollowCommand::Kill {
            nodes: nodes.to_vec(),
        })?;
        self.down.extend(nodes);
        let nodes = nodes.iter().copied().collect();
        self.outages.push(Outage {
            nodes,
            parted: false,
            from_unix_ms,
            till_unix_ms: None,
        });
        Ok(())
    }

    /// Starts these nodes anew, which were killed last.
    fn start(&mut self, nodes: &[usize]) -> Result<(), ScaleError> {
        let real = self.fleet.plan.real_nodes();
        for node in nodes.iter().filter(|node| real.contains(node)) {
            self.fleet.start_real(*node, true)?;
        }
        self.fleet.ask_all(&HollowCommand::Start {
            nodes: nodes.to_vec(),
        })?;
        nodes.iter().for_each(|node| _ = self.down.remove(node));
        if let Some(outage) = self.outages.last_mut() {
            outage.till_unix_ms = Some(unix_ms());
        }
        Ok(())
    }

    /// Waits until all know what has just happened, and takes note of how long it took.
    fn wait(&mut self, kind: FaultKind, nodes: usize) -> Result<(), ScaleError> {
        let began = Instant::now();
        self.progress
            .set_message(format!("{kind:?}, {nodes} nodes"));
        let mut known_after_ms = None;
        while known_after_ms.is_none() && began.elapsed() < PATIENCE {
            std::thread::sleep(LOOK_EVERY);
            // Looked at before the views are asked for, which takes a while.
            let after = began.elapsed().as_millis() as u64;
            known_after_ms = self.all_know()?.then_some(after);
        }
        let at_ms = began.duration_since(self.began).as_millis() as u64;
        self.events.push(FaultEvent {
            kind,
            nodes,
            at_ms,
            known_after_ms,
        });
        self.take_losses()
    }

    /// Whether the live nodes of each region have one view, with all of that region that live.
    fn all_know(&mut self) -> Result<bool, ScaleError> {
        let samples = self.fleet.node_samples()?;
        let live = self.fleet.plan.nodes - self.down.len();
        if samples.len() + self.fleet.real.len() != live {
            // One that was started anew has not come up yet.
            return Ok(false);
        }
        let sizes = [live - self.parted.len(), self.parted.len()];
        let mut digests = [None; 2];
        for sample in &samples {
            let region = usize::from(self.parted.contains(&sample.node));
            let digest = *digests[region].get_or_insert(sample.digest);
            if sample.members != sizes[region] || sample.digest != digest {
                return Ok(false);
            }
        }
        let agrees = |view: super::serving::ViewSeen| {
            view.members == sizes[0] && digests[0].is_none_or(|digest| view.digest == digest)
        };
        Ok(self
            .fleet
            .real
            .iter()
            .all(|real| real.view().is_some_and(agrees)))
    }

    fn take_losses(&mut self) -> Result<(), ScaleError> {
        self.losses.extend(self.fleet.take_losses()?);
        Ok(())
    }
}
