//! Four nodes of one fleet, a rate of the whole fleet, and one voter that is replaced by another in the way that the
//! page on budgets gives, node after node: does the fleet keep to the rate?

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use review_standins::fastcgi;
use review_standins::node::{Folder, Node, SIGTERM};
use review_standins::record::Record;
use review_standins::{
    BROKEN, NOT_RUN, free_tcp, free_udp, has_trouble, registry, server, sleep_ms,
};

const NODES: usize = 4;
/// Requests a second of the whole fleet, and the burst beyond it.
const LIMIT: f64 = 40.0;
const BURST: f64 = 20.0;
/// Time that a request may take from the node's use of the budget to the server, which is not the node's, in s.
const ON_ITS_WAY_S: f64 = 0.25;
/// From the start to the first restart, and from one restart to the next, in ms.
const BETWEEN_RESTARTS_MS: u64 = 15_000;

struct Place {
    listen: SocketAddr,
    peer: SocketAddr,
}

struct Fleet {
    folder: Folder,
    places: Vec<Place>,
    registry: SocketAddr,
    servers: Vec<SocketAddr>,
}

impl Fleet {
    fn config(&self, index: usize) -> String {
        let (name, listen) = (index + 1, self.places[index].listen);
        let registry = self.registry;
        format!(
            r#"{{"name":"n{name}","listen":"{listen}","engine":"127.0.0.1:1","registry":"{registry}",
"seed":"00000000000000c{name}","stop_ms":1000,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"settings":{{"servers":4,"tick":4000,"worth_by":"request","over_share_worth":0.1,
"bounds":{{"retry_after":true,"max_retry_after":1000000}},
"lanes":[{{"name":"tides","idempotency":"safe","worth":1,"late_worth":0,"target":1500000,"deadline":4000000,"window":5000000}}],
"parties":[{{"name":"east-quay","allowance_per_s":1000}}],
"safety":{{"drain_grace":500000,"overload_for":3000000,"ramp_time":10000000,"start_capacity":0.3,"tip_multiple":6}},
"family_info":{{"cores":16,"memory_kb":200000,"run_factor":8,"key_kb":1,"gauges":[],
"halt":"drop","say":"silent","said_for":1000000,"readiness":true,"fresh_start":false,"fresh":0,
"deep_checks":false,"passes_deadline":false,"below":"silent","calls_by_class":[false],"class_skip_worth":[0],
"calls_out":0,"dep_window":5000000,"linger":0,"keepalive_max":30000000}}}}}}"#
        )
    }

    fn installation(&self, index: usize, voters: &[&str]) -> String {
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let quoted = |text: &dyn ToString| format!("\"{}\"", text.to_string());
        let seeds = list(
            self.places
                .iter()
                .map(|place| quoted(&place.peer))
                .collect(),
        );
        let servers = list(self.servers.iter().map(|server| quoted(server)).collect());
        let voters = list(voters.iter().map(|voter| quoted(voter)).collect());
        let listen = self.places[index].peer;
        format!(
            r#"{{"servers":{{"protocol":"uwsgi","addresses":{servers},"at_once":16}},
"fleet":{{"name":"delta","listen":"{listen}","seeds":{seeds},"voters":{voters}}},
"budgets":[{{"name":"east-quay","kind":"rate","limit":{LIMIT},"burst":{BURST},"for":{{"customer":"east-quay"}}}}]}}"#
        )
    }

    fn write_all(&self, voters: &[&str]) {
        for index in 0..NODES {
            let (config, installation) = self.files(index);
            self.folder.write(&config, &self.config(index));
            self.folder
                .write(&installation, &self.installation(index, voters));
        }
    }

    fn files(&self, index: usize) -> (String, String) {
        (
            format!("node-{index}.json"),
            format!("installation-{index}.json"),
        )
    }

    fn start(&self, index: usize) -> Node {
        let (config, installation) = self.files(index);
        let path = |name: &str| -> PathBuf { self.folder.0.join(name) };
        let log = path(&format!("node-{index}.log"));
        let listen = self.places[index].listen;
        Node::start(&path(&config), Some(&path(&installation)), &log, listen)
    }

    /// The leader that a node names to an operator.
    fn leader(&self, index: usize) -> String {
        let mut command = Command::new("target/release/doortrack");
        command.args(["fleet", "status", "--json", "--peer"]);
        let output = command.arg(self.places[index].peer.to_string()).output();
        let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned());
        let text = text.unwrap_or_default();
        let rest = text.split_once("\"leader\":");
        let name = rest.and_then(|(_, rest)| rest.split([',', '}']).next());
        name.unwrap_or("?").trim().trim_matches('"').to_string()
    }

    /// The leader that each node names to an operator.
    fn leaders(&self) -> String {
        let named: Vec<String> = (0..NODES)
            .map(|index| format!("n{} names {}", index + 1, self.leader(index)))
            .collect();
        named.join(", ")
    }
}

/// The most by which runs exceed the limit times the span plus the burst, over all spans, and where that span ends.
fn excess(times_s: &[f64]) -> (f64, f64, f64) {
    let mut worst = (f64::MIN, 0.0, 0.0);
    // The start of the span for which `limit * start - place` is greatest.
    let mut best = (f64::MIN, 0.0);
    for (place, time) in times_s.iter().enumerate() {
        let value = LIMIT * time - place as f64;
        if value > best.0 {
            best = (value, *time);
        }
        let over = (place + 1) as f64 - LIMIT * time + best.0 - LIMIT * ON_ITS_WAY_S - BURST;
        if over > worst.0 {
            worst = (over, best.1, *time);
        }
    }
    worst
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let runs: Arc<Mutex<Vec<f64>>> = Arc::default();
    let servers = (0..2).map(|_| {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        server::serve(move |request| {
            {
                let mut runs = runs.lock().unwrap();
                runs.push(record.ms() as f64 / 1000.0);
            }
            let id = request.variable("HTTP_X_REQUEST_ID");
            record.line(format!("server: runs {id}"));
            sleep_ms(5);
            b"high water".to_vec()
        })
    });
    let fleet = Arc::new(Fleet {
        folder: Folder::create("voter-change"),
        servers: servers.collect(),
        registry: registry(),
        places: (0..NODES)
            .map(|_| Place {
                listen: free_tcp(),
                peer: free_udp(),
            })
            .collect(),
    });
    fleet.write_all(&["n1", "n2", "n3"]);
    let mut nodes: Vec<Node> = (0..NODES).map(|index| fleet.start(index)).collect();
    let mut ready = nodes.iter().all(Node::wait_ready);
    let stop = Arc::new(AtomicBool::new(false));
    let served: Arc<AtomicU64> = Arc::default();
    let mut callers = Vec::new();
    for caller in 0..NODES * 3 {
        let listen = fleet.places[caller % NODES].listen;
        let (record, stop, served) = (record.clone(), Arc::clone(&stop), Arc::clone(&served));
        callers.push(std::thread::spawn(move || {
            let (mut stream, mut count) = (None, 0);
            while !stop.load(Ordering::Relaxed) {
                sleep_ms(25);
                if stream.is_none() {
                    stream = fastcgi::connect(listen).ok();
                }
                let Some(open) = &mut stream else { continue };
                _ = open.set_read_timeout(Some(Duration::from_secs(5)));
                count += 1;
                let id = format!("{:08x}{count:08x}", caller + 1);
                let variables = fastcgi::variables(&id, "tides", "east-quay", None);
                match fastcgi::ask(open, &variables, b"when") {
                    Ok(answer) => {
                        record.line(format!("n{}: {id} {}", caller % NODES + 1, answer.word()));
                        served.fetch_add(u64::from(answer.word() == "served"), Ordering::Relaxed);
                    }
                    Err(_) => stream = None,
                }
            }
        }));
    }
    let watch = |ms: u64| {
        let until = record.ms() + ms;
        while record.ms() < until {
            sleep_ms(1000);
            record.line(format!("status: {}", fleet.leaders()));
        }
    };
    watch(BETWEEN_RESTARTS_MS);
    // The voter that is to be one no more leads at that time, as one of the three does. The new voter is restarted
    // first, and that one last.
    let leader = fleet.leader(0);
    let retired = (0..3).find(|index| format!("n{}", index + 1) == leader);
    ready &= retired.is_some();
    let retired = retired.unwrap_or(2);
    let stay: Vec<usize> = (0..3).filter(|index| *index != retired).collect();
    if trouble {
        let names = [stay[0], stay[1], 3].map(|index| format!("n{}", index + 1));
        record.say(format!(
            "the files of all nodes name the voters {} in place of n1, n2, n3",
            names.join(", ")
        ));
        fleet.write_all(&names.each_ref().map(|name| name.as_str()));
    }
    for index in [3, stay[0], stay[1], retired] {
        record.say(format!("n{} is restarted; {}", index + 1, fleet.leaders()));
        nodes[index].signal(SIGTERM);
        ready &= nodes[index].wait_end(Duration::from_secs(5));
        nodes[index] = fleet.start(index);
        ready &= nodes[index].wait_ready();
        watch(BETWEEN_RESTARTS_MS);
    }
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| _ = caller.join());
    let runs = runs.lock().unwrap();
    let (over, from, to) = excess(&runs);
    let (served, span) = (served.load(Ordering::Relaxed), to - from);
    let within = runs
        .iter()
        .filter(|time| **time >= from && **time <= to)
        .count();
    record.say(format!(
        "{} runs, {served} answers served; most over: {within} runs in {span:.1} s from {from:.1} s, \
         allowed {LIMIT} a second and {BURST} beyond, and {ON_ITS_WAY_S} s on their way: {over:.0} over",
        runs.len()
    ));
    record.flush();
    let code = match (ready && served > 500, over > 0.0) {
        (false, _) => NOT_RUN,
        (true, true) => BROKEN,
        (true, false) => 0,
    };
    drop(nodes);
    _ = std::fs::remove_dir_all(&fleet.folder.0);
    std::process::exit(code);
}
