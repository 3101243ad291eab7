//! A node under load: started on a core of its own, with work behind it that takes no time.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use doortrack_fakes::bed::{Bed, Plan, connect};
use doortrack_fakes::instant;
use doortrack_protocols::Protocol;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use serde_json::json;

#[derive(Clone, Copy)]
pub enum Behind {
    Engine,
    Servers(Protocol),
}

pub struct Target {
    bed: Bed,
    pub at: SocketAddr,
    _others: Option<Others>,
}

/// The rest of a fleet, of which one after the other is killed and started anew for as long as this lives.
struct Others {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Between a death and the next.
const DEATH_EVERY: Duration = Duration::from_millis(1_500);

fn member(program: &Path, seed: SocketAddr) -> Bed {
    let mut plan = Plan::new(program);
    plan.installation = Some(json!({"fleet": fleet(plan.port(7400), seed)}));
    plan.start()
}

fn fleet(listen: SocketAddr, seed: SocketAddr) -> serde_json::Value {
    json!({"name": "bench", "listen": listen.to_string(), "seeds": [seed.to_string()]})
}

impl Others {
    fn start(program: &Path, count: usize, seed: SocketAddr) -> Others {
        let over: Arc<AtomicBool> = Arc::default();
        let (until, program) = (over.clone(), program.to_path_buf());
        let thread = std::thread::spawn(move || {
            let mut beds: Vec<Bed> = (0..count).map(|_| member(&program, seed)).collect();
            let mut place = 0;
            while !until.load(Ordering::Relaxed) {
                std::thread::sleep(DEATH_EVERY);
                place = (place + 1) % count;
                // Dropped, it is killed: another life under the same name's stead.
                beds[place] = member(&program, seed);
            }
        });
        Others {
            over,
            thread: Some(thread),
        }
    }
}

impl Drop for Others {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Time on the core so far, in microseconds, and memory now, in kB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    pub cpu_us: u64,
    pub memory_kb: u64,
}

impl Target {
    /// Without a front of its own the platform's listener is asked. `nodes` are those of its fleet, itself
    /// included; 1 for none.
    pub fn start(
        program: &Path,
        front: Option<Protocol>,
        behind: Behind,
        rules: usize,
        core: usize,
        nodes: usize,
    ) -> io::Result<Target> {
        let mut plan = Plan::new(program);
        // Nothing is to be rejected: what is measured is the way of a request, not the decision on it.
        plan.config["settings"]["family_info"]["cores"] = json!(1000);
        plan.config["settings"]["family_info"]["memory_kb"] = json!(10_000_000);
        plan.config["settings"]["family_info"]["keepalive_max"] = json!(3_600_000_000u64);
        let mut installation = json!({});
        let mut at = plan.at;
        if let Some(front) = front {
            at = plan.port(9091);
            installation["fronts"] = json!([{"protocol": front.name(), "listen": at.to_string()}]);
        }
        if rules > 0 && front.is_some() {
            let rule =
                |n| json!({"when": format!("path.starts_with(\"/yard-{n}/\")"), "group": "look"});
            let last =
                json!({"when": "path == \"/svc/look\" && method == \"POST\"", "group": "look"});
            installation["rules"] = (1..rules).map(rule).chain([last]).collect();
        }
        match behind {
            Behind::Engine => {
                let door = TcpListener::bind("127.0.0.1:0")?;
                plan.config["engine"] = json!(door.local_addr()?.to_string());
                instant::engine(door);
            }
            Behind::Servers(protocol) => {
                let address = instant::server(protocol, 64)?;
                installation["servers"] = json!({"protocol": protocol.name(), "addresses": [address.to_string()], "at_once": 64});
            }
        }
        let link = plan.port(7400);
        if nodes > 1 {
            installation["fleet"] = fleet(link, link);
        }
        // One of before knows no such file, and is asked where the platform does.
        plan.installation = installation
            .as_object()
            .filter(|file| !file.is_empty())
            .map(|_| installation.clone());
        let bed = plan.start();
        let mut set = CpuSet::new();
        set.set(core);
        sched_setaffinity(Pid::from_raw(bed.program.id() as i32), &set)?;
        drop(connect(at));
        // Until its work is up a node refuses, and nobody asks it.
        std::thread::sleep(std::time::Duration::from_millis(300));
        let others = (nodes > 1).then(|| Others::start(program, nodes - 1, link));
        Ok(Target {
            bed,
            at,
            _others: others,
        })
    }

    pub fn used(&self) -> Used {
        let folder = format!("/proc/{}", self.bed.program.id());
        let status = fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory_kb = line
            .and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0);
        // The scheduler's own count is finer than the hundredths of `stat`.
        let run = fs::read_to_string(format!("{folder}/schedstat")).unwrap_or_default();
        let ns: u64 = run
            .split_whitespace()
            .next()
            .and_then(|ns| ns.parse().ok())
            .unwrap_or(0);
        Used {
            cpu_us: ns / 1000,
            memory_kb,
        }
    }
}
