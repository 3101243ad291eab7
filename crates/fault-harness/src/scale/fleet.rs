//! A whole fleet that runs: its processes, how they are started, asked and ended.

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

/// Hollow nodes that share a process.
pub const NODES_PER_PROCESS: usize = 110;
/// How often a fleet is asked whether its views agree.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// The programs that are played.
#[derive(Clone, Debug)]
pub struct Programs {
    pub doortrack: PathBuf,
    pub rig: PathBuf,
}

/// Ports that belong to this run for as long as it lives.
pub struct Ports {
    fleet: UdpSocket,
    front: TcpListener,
}

impl Ports {
    /// Holds a free port of each kind on 127.0.0.1, so that the system gives them to nobody else.
    ///
    /// # Errors
    /// None is free.
    pub fn hold() -> Result<Ports, ScaleError> {
        let fleet = UdpSocket::bind("127.0.0.1:0").map_err(ScaleError::io("a UDP port"))?;
        let front = TcpListener::bind("127.0.0.1:0").map_err(ScaleError::io("a TCP port"))?;
        Ok(Ports { fleet, front })
    }

    /// The port of all links.
    pub fn fleet(&self) -> u16 {
        self.fleet.local_addr().map_or(0, |address| address.port())
    }

    /// The port of all fronts.
    pub fn front(&self) -> u16 {
        self.front.local_addr().map_or(0, |address| address.port())
    }
}

/// All that is known of a fleet at one moment.
#[derive(Clone, Debug)]
pub struct FleetSample {
    pub at: Instant,
    /// Voters and hollow nodes that run.
    pub nodes: Vec<NodeSample>,
    /// By process of hollow nodes: how many nodes it has, and what it has used.
    pub processes: Vec<ProcessSample>,
}

/// One process at one moment.
#[derive(Clone, Debug)]
pub struct ProcessSample {
    pub nodes: std::ops::Range<usize>,
    pub usage: Usage,
}

/// A fleet under way; all its processes are ended when it is dropped.
pub struct RunningFleet {
    pub plan: FleetPlan,
    /// One process for each voter, then those of the hollow nodes.
    pub hollow: Vec<HollowProcess>,
    pub real: Vec<RealNode>,
    folder: ScratchFolder,
    doortrack: PathBuf,
    servers: Value,
}

impl RunningFleet {
    /// Starts all processes of a plan. `in_fleet` tells of a real node whether it is of the fleet.
    ///
    /// # Errors
    /// A file that can't be written, or a program that can't be started.
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
            rig: programs.rig.clone(),
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

    /// Starts a real node, the first time or anew.
    ///
    /// # Errors
    /// A file that can't be written, or a program that can't be started.
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

    /// Ends a real node by SIGKILL.
    pub fn kill_real(&mut self, node: usize) {
        self.real.retain(|real| real.node != node);
    }

    /// Has every process of hollow nodes do the same, at once; their replies in order.
    ///
    /// # Errors
    /// A process that is gone.
    pub fn ask_all(&mut self, command: &HollowCommand) -> Result<Vec<HollowReply>, ScaleError> {
        for process in &mut self.hollow {
            process.send(command)?;
        }
        self.hollow.iter_mut().map(HollowProcess::receive).collect()
    }

    /// Counters and views of all voters and hollow nodes.
    ///
    /// # Errors
    /// A process that is gone.
    pub fn node_samples(&mut self) -> Result<Vec<NodeSample>, ScaleError> {
        let replies = self.ask_all(&HollowCommand::Sample)?.into_iter();
        let nodes = replies.flat_map(|reply| match reply {
            HollowReply::Sample { nodes } => nodes,
            _ => Vec::new(),
        });
        Ok(nodes.collect())
    }

    /// Members that voters and hollow nodes declared dead since this was last asked.
    ///
    /// # Errors
    /// A process that is gone.
    pub fn take_losses(&mut self) -> Result<Vec<Loss>, ScaleError> {
        let replies = self.ask_all(&HollowCommand::Losses)?.into_iter();
        let losses = replies.flat_map(|reply| match reply {
            HollowReply::Losses { losses } => losses,
            _ => Vec::new(),
        });
        Ok(losses.collect())
    }

    /// Counters, views and what the processes have used.
    ///
    /// # Errors
    /// A process that is gone.
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

    /// Nodes that are of the fleet.
    pub fn members(&self) -> usize {
        self.plan.nodes - self.real.iter().filter(|real| !real.in_fleet).count()
    }

    /// Waits until all views are the same with `members` in them, and all know one leader. How long it took;
    /// none if it does not come to that within the time.
    ///
    /// # Errors
    /// A process that is gone.
    pub fn agree(
        &mut self,
        members: usize,
        within: Duration,
    ) -> Result<Option<Duration>, ScaleError> {
        let began = Instant::now();
        while began.elapsed() < within {
            if self.agrees(members)? {
                return Ok(Some(began.elapsed()));
            }
            std::thread::sleep(LOOK_EVERY);
        }
        Ok(None)
    }

    /// Whether all views that can be asked for are the same, with so many members.
    ///
    /// # Errors
    /// A process that is gone.
    pub fn agrees(&mut self, members: usize) -> Result<bool, ScaleError> {
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
        let agrees = |real: &RealNode| {
            real.view()
                .is_some_and(|view| view.members == members && view.digest == first.digest)
        };
        Ok(in_fleet.all(agrees))
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
