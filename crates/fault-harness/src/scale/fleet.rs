//! A running fleet: starts, queries and stops its processes.

use std::net::{TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::child::{HollowProcess, HollowProgram, Usage, usage};
use super::error::ScaleError;
use super::plan::{FLEET_KEY, FleetPlan};
use super::protocol::{HollowCommand, HollowReply, Loss, NodeSample};
use super::serving::{KEY_FILE, RealNode, ServeProgram};
use doortrack_fakes::scratch_folder::ScratchFolder;

/// Maximum number of hollow nodes per process.
pub const NODES_PER_PROCESS: usize = 110;
/// Interval between checks whether the views agree.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Paths of the programs of a trial.
#[derive(Clone, Debug)]
pub struct Programs {
    pub doortrack: PathBuf,
    pub harness: PathBuf,
}

/// Ports reserved for as long as this value exists.
pub struct Ports {
    fleet: UdpSocket,
    front: TcpListener,
}

impl Ports {
    /// Binds a free UDP and TCP port on 127.0.0.1, so that the system assigns them to no other process.
    ///
    /// # Errors
    /// No port is free.
    pub fn hold() -> Result<Ports, ScaleError> {
        let fleet = UdpSocket::bind("127.0.0.1:0").map_err(ScaleError::io("a UDP port"))?;
        let front = TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("a TCP port"))?;
        Ok(Ports { fleet, front })
    }

    /// The UDP port of all peer links.
    pub fn fleet(&self) -> u16 {
        self.fleet.local_addr().map_or(0, |address| address.port())
    }

    /// The TCP port of all listeners for callers.
    pub fn front(&self) -> u16 {
        self.front.local_addr().map_or(0, |address| address.port())
    }
}

/// The state of a fleet at one moment.
#[derive(Clone, Debug)]
pub struct FleetSample {
    pub at: Instant,
    /// Running voters and hollow nodes.
    pub nodes: Vec<NodeSample>,
    /// Nodes and resource usage of each process of voters or hollow nodes.
    pub processes: Vec<ProcessSample>,
}

/// The nodes of one process and its resource usage.
#[derive(Clone, Debug)]
pub struct ProcessSample {
    pub nodes: std::ops::Range<usize>,
    pub usage: Usage,
}

/// A running fleet; all its processes are killed on drop.
pub struct RunningFleet {
    pub plan: FleetPlan,
    /// One process for each voter, followed by those of the hollow nodes.
    pub hollow: Vec<HollowProcess>,
    pub real: Vec<RealNode>,
    folder: ScratchFolder,
    doortrack: PathBuf,
    servers: Value,
}

impl RunningFleet {
    /// Starts all processes of a plan. `in_fleet` returns true for each real node that joins the fleet.
    ///
    /// # Errors
    /// A file can't be written, or a program can't be started.
    pub fn start(
        programs: &Programs,
        plan: FleetPlan,
        servers: &Value,
        in_fleet: impl Fn(usize) -> bool,
    ) -> Result<RunningFleet, ScaleError> {
        let name = format!("scale-{}-{}", std::process::id(), plan.fleet_port);
        let folder = ScratchFolder::create(&name).map_err(ScaleError::io(&name))?;
        prepare(&folder, &plan)?;
        let mut fleet = RunningFleet {
            plan,
            hollow: Vec::new(),
            real: Vec::new(),
            folder,
            doortrack: programs.doortrack.clone(),
            servers: servers.clone(),
        };
        let plan_file = fleet.folder.join(PLAN_FILE);
        let program = HollowProgram {
            harness: programs.harness.clone(),
            plan_file,
        };
        for voter in 0..fleet.plan.voters {
            fleet
                .hollow
                .push(HollowProcess::start(&program, voter..voter + 1)?);
        }
        for node in fleet.plan.real_nodes() {
            fleet.start_real(node, in_fleet(node))?;
        }
        let all = fleet.plan.hollow_nodes();
        for first in all.clone().step_by(NODES_PER_PROCESS) {
            let nodes = first..all.end.min(first + NODES_PER_PROCESS);
            fleet.hollow.push(HollowProcess::start(&program, nodes)?);
        }
        Ok(fleet)
    }

    /// Starts or restarts a real node.
    ///
    /// # Errors
    /// A file can't be written, or a program can't be started.
    pub fn start_real(&mut self, node: usize, in_fleet: bool) -> Result<(), ScaleError> {
        let with = ServeProgram {
            program: &self.doortrack,
            folder: &self.folder,
            servers: &self.servers,
        };
        self.real
            .push(RealNode::start(with, &self.plan, node, in_fleet)?);
        Ok(())
    }

    /// Kills a real node with SIGKILL.
    pub fn kill_real(&mut self, node: usize) {
        self.real.retain(|real| real.node != node);
    }

    /// Sends a command to all processes of voters and hollow nodes, then returns their replies in order.
    ///
    /// # Errors
    /// A process has ended.
    pub fn ask_all(&mut self, command: &HollowCommand) -> Result<Vec<HollowReply>, ScaleError> {
        for process in &mut self.hollow {
            process.send(command)?;
        }
        self.hollow.iter_mut().map(HollowProcess::receive).collect()
    }

    /// Returns the counters and views of all voters and hollow nodes.
    ///
    /// # Errors
    /// A process has ended.
    pub fn node_samples(&mut self) -> Result<Vec<NodeSample>, ScaleError> {
        let replies = self.ask_all(&HollowCommand::Sample)?.into_iter();
        let nodes = replies.flat_map(|reply| match reply {
            HollowReply::Sample { nodes } => nodes,
            _ => Vec::new(),
        });
        Ok(nodes.collect())
    }

    /// Returns the members declared dead by voters and hollow nodes since the last call.
    ///
    /// # Errors
    /// A process has ended.
    pub fn take_losses(&mut self) -> Result<Vec<Loss>, ScaleError> {
        let replies = self.ask_all(&HollowCommand::Losses)?.into_iter();
        let losses = replies.flat_map(|reply| match reply {
            HollowReply::Losses { losses } => losses,
            _ => Vec::new(),
        });
        Ok(losses.collect())
    }

    /// Samples counters, views and the resource usage of the processes.
    ///
    /// # Errors
    /// A process has ended.
    pub fn sample(&mut self) -> Result<FleetSample, ScaleError> {
        let processes = self.hollow.iter().map(|process| {
            let usage = usage(process.pid())?;
            Ok(ProcessSample {
                nodes: process.nodes.clone(),
                usage,
            })
        });
        let processes = processes.collect::<Result<Vec<_>, ScaleError>>()?;
        Ok(FleetSample {
            at: Instant::now(),
            nodes: self.node_samples()?,
            processes,
        })
    }

    /// Returns the number of nodes in the fleet.
    pub fn members(&self) -> usize {
        self.plan.nodes - self.real.iter().filter(|real| !real.in_fleet).count()
    }

    /// Waits until all views are equal with this number of members and all nodes know one leader. Returns the
    /// time it took, or None on timeout.
    ///
    /// # Errors
    /// A process has ended.
    pub fn wait_for_agreement(
        &mut self,
        members: usize,
        within: Duration,
    ) -> Result<Option<Duration>, ScaleError> {
        let began = Instant::now();
        while began.elapsed() < within {
            if self.views_agree(members)? {
                return Ok(Some(began.elapsed()));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(None)
    }

    /// Returns true if all running nodes have equal views with this number of members, and know one leader.
    ///
    /// # Errors
    /// A process has ended.
    pub fn views_agree(&mut self, members: usize) -> Result<bool, ScaleError> {
        let samples = self.node_samples()?;
        let Some(first) = samples.first() else {
            return Ok(false);
        };
        let same = |sample: &NodeSample| {
            sample.members == members
                && sample.digest == first.digest
                && sample.leader == first.leader
        };
        let has_leader = first.leader.is_some() || self.plan.budgets == 0;
        if !has_leader || !samples.iter().all(same) {
            return Ok(false);
        }
        let mut in_fleet = self.real.iter().filter(|real| real.in_fleet);
        let views_agree = |real: &RealNode| {
            real.view()
                .is_some_and(|view| view.members == members && view.digest == first.digest)
        };
        Ok(in_fleet.all(views_agree))
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        self.real.clear();
        self.hollow.clear();
    }
}

const PLAN_FILE: &str = "plan.json";

fn prepare(folder: &Path, plan: &FleetPlan) -> Result<(), ScaleError> {
    let at = || folder.display().to_string();
    let key: String = FLEET_KEY.iter().map(|byte| format!("{byte:02x}")).collect();
    std::fs::write(folder.join(KEY_FILE), key).map_err(ScaleError::io(at()))?;
    let text = serde_json::to_string(plan).map_err(ScaleError::json(at()))?;
    std::fs::write(folder.join(PLAN_FILE), text).map_err(ScaleError::io(at()))
}
