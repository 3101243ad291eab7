//! Injects faults into a large fleet: kills and restarts of nodes, a rack and a zone, and a partition of two
//! regions. Measures after each how long it takes until the views of all live nodes are equal and correct.

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
use super::sweep::{Size, TrialOptions};
use crate::traffic::{Backend, ProcessExit, Traffic};

/// Number of single nodes that are killed; every fifth is a real node, and the middle one is the leader.
const SINGLE_KILLS: usize = 15;
const REAL_KILL_INTERVAL: usize = 5;
/// Interval between restarts: 3,600 per day.
const RESTART_INTERVAL: Duration = Duration::from_secs(24);
pub const RACK_NODES: usize = 30;
pub const ZONE_NODES: usize = 110;
/// Time limit for each event to be known to all nodes.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct FaultTrial<'a> {
    fleet: RunningFleet,
    progress: &'a ProgressBar,
    began: Instant,
    began_unix_ms: u64,
    down: BTreeSet<usize>,
    /// The nodes of the region that is partitioned from the others.
    partitioned: BTreeSet<usize>,
    outages: Vec<Outage>,
    events: Vec<FaultEvent>,
    exits: Vec<ProcessExit>,
    losses: Vec<Loss>,
    /// Hollow nodes without a fault so far; a node that returns a second time is held back by design.
    unaffected: std::ops::Range<usize>,
    restart_at: Instant,
}

/// Injects all faults into a fleet of this size; the partition lasts for `partition_duration`.
///
/// # Errors
/// A process can't be started or ends early.
pub fn run_trial(
    options: &TrialOptions,
    size: Size,
    partition_duration: Duration,
    progress: &ProgressBar,
) -> Result<FaultReport, ScaleError> {
    let ports = Ports::hold()?;
    let backend = Backend::start();
    let servers = backend.installation(backend.address())["servers"].clone();
    let plan = options.plan(size, &ports);
    let unaffected = plan.hollow_nodes();
    let fleet = RunningFleet::start(&options.programs, plan, &servers, |_| true)?;
    let mut trial = FaultTrial::new(fleet, unaffected, progress);
    let agreed = trial
        .fleet
        .wait_for_agreement(size.nodes, options.agree_within)?;
    settle(&mut trial.fleet, options.settle)?;
    // Losses while the fleet formed are not part of this trial.
    trial.take_losses()?;
    trial.losses.clear();
    let fronts: Vec<SocketAddr> = trial.fleet.real.iter().map(|real| real.front).collect();
    let callers = if fronts.is_empty() {
        0
    } else {
        options.callers
    };
    let traffic = Traffic::start_for(Some(CALLERS_TENANT), callers, &fronts, 1);
    let probe = fronts.last().map(|front| Probe::start(*front));
    let outcome = trial.run_all(partition_duration);
    let never_killed = probe.map(Probe::finish);
    let (served, broken_rules) = traffic.finish(&backend, &trial.exits);
    outcome?;
    let wrongly_lost = wrongly_lost(&trial.losses, &trial.outages, |name| {
        trial.fleet.plan.node_named(name)
    });
    Ok(FaultReport {
        size,
        agreed_after_ms: agreed.map(|span| span.as_millis() as u64),
        began_unix_ms: trial.began_unix_ms,
        events: trial.events,
        losses: trial.losses.len(),
        wrongly_lost,
        never_killed,
        asked: served.sent,
        completed: served.completed,
        unanswered_by_killed: served.unanswered,
        broken_rules,
    })
}

impl FaultTrial<'_> {
    fn new(
        fleet: RunningFleet,
        unaffected: std::ops::Range<usize>,
        progress: &ProgressBar,
    ) -> FaultTrial<'_> {
        FaultTrial {
            fleet,
            progress,
            began: Instant::now(),
            began_unix_ms: unix_ms(),
            down: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            outages: Vec::new(),
            events: Vec::new(),
            exits: Vec::new(),
            losses: Vec::new(),
            unaffected,
            restart_at: Instant::now() + RESTART_INTERVAL,
        }
    }

    fn run_all(&mut self, partition_duration: Duration) -> Result<(), ScaleError> {
        for nth in 0..SINGLE_KILLS {
            self.kill_and_restart_one(nth)?;
            self.restart_if_due()?;
        }
        self.kill_and_restart(RACK_NODES, FaultKind::RackKilled, FaultKind::RackReturned)?;
        self.restart_if_due()?;
        self.kill_and_restart(ZONE_NODES, FaultKind::ZoneKilled, FaultKind::ZoneReturned)?;
        self.restart_if_due()?;
        self.partition_regions(partition_duration)?;
        self.take_losses()
    }

    /// Takes the next hollow nodes without a fault.
    fn take_unaffected(&mut self, count: usize) -> Vec<usize> {
        self.unaffected.by_ref().take(count).collect()
    }

    fn kill_and_restart_one(&mut self, nth: usize) -> Result<(), ScaleError> {
        let real = self.fleet.plan.real_nodes();
        let (kind, nodes) = if nth == SINGLE_KILLS / 2 {
            let leader = self
                .fleet
                .node_samples()?
                .first()
                .and_then(|sample| sample.leader.clone());
            let leader = leader.and_then(|name| self.fleet.plan.node_named(&name));
            (FaultKind::LeaderKilled, leader.into_iter().collect())
        } else if nth % REAL_KILL_INTERVAL == REAL_KILL_INTERVAL - 1 && !real.is_empty() {
            // The last real node is never killed.
            let node = real.start + nth / REAL_KILL_INTERVAL;
            let nodes = if node + 1 < real.end {
                vec![node]
            } else {
                Vec::new()
            };
            (FaultKind::RealKilled, nodes)
        } else {
            (FaultKind::HollowKilled, self.take_unaffected(1))
        };
        if nodes.is_empty() {
            return Ok(());
        }
        self.kill(&nodes)?;
        self.wait_until_known(kind, nodes.len())?;
        self.start(&nodes)?;
        self.wait_until_known(FaultKind::Returned, nodes.len())
    }

    fn kill_and_restart(
        &mut self,
        count: usize,
        killed: FaultKind,
        returned: FaultKind,
    ) -> Result<(), ScaleError> {
        let nodes = self.take_unaffected(count);
        self.kill(&nodes)?;
        self.wait_until_known(killed, nodes.len())?;
        self.start(&nodes)?;
        self.wait_until_known(returned, nodes.len())
    }

    fn restart_if_due(&mut self) -> Result<(), ScaleError> {
        if Instant::now() < self.restart_at {
            return Ok(());
        }
        self.restart_at += RESTART_INTERVAL;
        let nodes = self.take_unaffected(1);
        self.kill(&nodes)?;
        self.start(&nodes)?;
        self.wait_until_known(FaultKind::Restarted, nodes.len())
    }

    /// Partitions hollow nodes without a fault, up to half of the fleet, from all other nodes.
    fn partition_regions(&mut self, partition_duration: Duration) -> Result<(), ScaleError> {
        let untouched = self.unaffected.clone();
        let half = self.fleet.plan.nodes / 2;
        self.partitioned = untouched.rev().take(half).collect();
        let nodes: Vec<usize> = self.partitioned.iter().copied().collect();
        self.outages.push(Outage {
            nodes: self.partitioned.clone(),
            partitioned: true,
            from_unix_ms: unix_ms(),
            until_unix_ms: None,
        });
        let began = Instant::now();
        self.fleet.ask_all(&HollowCommand::Partition {
            nodes: nodes.clone(),
        })?;
        self.wait_until_known(FaultKind::RegionsParted, nodes.len())?;
        std::thread::sleep(partition_duration.saturating_sub(began.elapsed()));
        self.partitioned.clear();
        self.fleet
            .ask_all(&HollowCommand::Partition { nodes: Vec::new() })?;
        if let Some(outage) = self.outages.last_mut() {
            outage.until_unix_ms = Some(unix_ms());
        }
        self.wait_until_known(FaultKind::RegionsJoined, nodes.len())
    }

    fn kill(&mut self, nodes: &[usize]) -> Result<(), ScaleError> {
        let from_unix_ms = unix_ms();
        let real = self.fleet.plan.real_nodes();
        for node in nodes.iter().filter(|node| real.contains(node)) {
            let front = self.fleet.plan.front_address(*node);
            self.exits.push(ProcessExit {
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
            partitioned: false,
            from_unix_ms,
            until_unix_ms: None,
        });
        Ok(())
    }

    /// Restarts these nodes, which were the last to be killed.
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
            outage.until_unix_ms = Some(unix_ms());
        }
        Ok(())
    }

    /// Waits until all nodes know of the last fault, and records how long it took.
    fn wait_until_known(&mut self, kind: FaultKind, nodes: usize) -> Result<(), ScaleError> {
        let began = Instant::now();
        self.progress
            .set_message(format!("{kind:?}, {nodes} nodes"));
        let mut known_after_ms = None;
        while known_after_ms.is_none() && began.elapsed() < EVENT_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
            // Read before the views are queried, which takes some time.
            let after = began.elapsed().as_millis() as u64;
            known_after_ms = self.all_views_current()?.then_some(after);
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

    /// Returns true if the live nodes of each region have equal views that contain exactly the live nodes of
    /// the region.
    fn all_views_current(&mut self) -> Result<bool, ScaleError> {
        let samples = self.fleet.node_samples()?;
        let live = self.fleet.plan.nodes - self.down.len();
        if samples.len() + self.fleet.real.len() != live {
            // A restarted node is not running yet.
            return Ok(false);
        }
        let sizes = [live - self.partitioned.len(), self.partitioned.len()];
        let mut digests = [None; 2];
        for sample in &samples {
            let region = usize::from(self.partitioned.contains(&sample.node));
            let digest = *digests[region].get_or_insert(sample.digest);
            if sample.members != sizes[region] || sample.digest != digest {
                return Ok(false);
            }
        }
        let agrees = |view: super::serving::ViewStatus| {
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
