//! A configuration that comes into force beside a caller who asks on and on: built off the loop, as a whole,
//! in order, and the last one that was written.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::caller::{CallerOutcome, PendingAnswer};
use doortrack_fakes::fixture::{NodeFixture, NodeSetup, connect};
use doortrack_fakes::server::{Behavior, Server};
use doortrack_protocols::{Protocol, Variable, write_request};
use serde_json::{Value, json};

use super::reload_with_shutdown::rewrite_config;

const UWSGI: Protocol = Protocol::Uwsgi;

/// How much there is to read and build.
#[derive(Clone, Copy)]
struct Size {
    rules: usize,
    tenants: usize,
}

const LARGE: Size = Size {
    rules: 3_400,
    tenants: 20_000,
};
const SMALL: Size = Size {
    rules: 400,
    tenants: 2_000,
};
const MIDDLE: Size = Size {
    rules: 1_000,
    tenants: 2_000,
};

/// A node with application servers, each of which answers with its pool's name, and a front over uwsgi.
struct Site {
    fixture: NodeFixture,
    front: SocketAddr,
    servers: Vec<Server>,
    size: Size,
    log: Receiver<String>,
    /// Lines of the log that were looked at.
    seen: Vec<String>,
}

/// The file in its version `nth`: the first and the last rule send their requests to the pool of that place,
/// and one rule in the middle is another one.
fn installation(size: Size, front: SocketAddr, servers: &[Server], nth: usize) -> Value {
    let pool = |server: &Server| json!({"protocol": "uwsgi", "addresses": [server.address.to_string()], "at_once": 8});
    let names = (0..servers.len()).map(|place| format!("p{place}"));
    let pools: serde_json::Map<String, Value> = names.zip(servers.iter().map(pool)).collect();
    let rule = |place: usize| {
        let when = format!(
            "path.starts_with(\"/yard-{place}/\") && (header(\"x-yard\") ?? \"\") == \"north-{place}\""
        );
        json!({"when": when, "group": "look", "subject": "segment(1)", "rank": "0.5"})
    };
    let probe = |path: &str| {
        let when = format!("path == \"{path}\"");
        json!({"when": when, "group": "look", "servers": format!("p{}", nth % servers.len())})
    };
    let mut rules: Vec<Value> = (0..size.rules).map(rule).collect();
    rules[size.rules / 2]["when"] = json!(format!("path == \"/changed/{nth}\""));
    rules.insert(0, probe("/first"));
    rules.push(probe("/last"));
    json!({"fronts": [{"protocol": "uwsgi", "listen": front.to_string()}], "servers": pool(&servers[0]),
        "pools": pools, "rules": rules})
}

impl Site {
    fn start(size: Size, pools: usize) -> Site {
        let mut plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let front = plan.port(9091);
        let servers: Vec<Server> = (0..pools)
            .map(|place| {
                let name = format!("p{place}");
                Server::start(UWSGI, move |_| Behavior::ok(name.clone()))
            })
            .collect();
        let party =
            |nth: usize| json!({"name": format!("customer-{nth:05}"), "allowance_per_s": 1});
        plan.config["settings"]["parties"] = (0..size.tenants).map(party).collect();
        plan.config["settings"]["family_info"]["cores"] = json!(64);
        plan.arguments = ["--log-level", "debug", "--log-lines", "1000"]
            .map(String::from)
            .to_vec();
        plan.installation = Some(installation(size, front, &servers, 0));
        let mut fixture = plan.start();
        let (sender, log) = mpsc::channel();
        let lines = BufReader::new(fixture.program.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        drop(connect(front));
        Site {
            fixture,
            front,
            servers,
            size,
            log,
            seen: Vec::new(),
        }
    }

    fn version(&self, nth: usize) -> Value {
        installation(self.size, self.front, &self.servers, nth)
    }

    /// Asks once: the place of the pool that answered.
    fn ask(&self, path: &str) -> usize {
        let pairs: [Variable; 3] = [
            (b"REQUEST_METHOD", b"GET"),
            (b"PATH_INFO", path.as_bytes()),
            (b"HTTP_X_TENANT", b"customer-00001"),
        ];
        let mut out = Vec::new();
        write_request(UWSGI, &mut out, 1, false, &pairs, b"").unwrap();
        let mut sock = connect(self.front);
        sock.write_all(&out).unwrap();
        match (PendingAnswer {
            sock,
            protocol: UWSGI,
        })
        .outcome()
        {
            CallerOutcome::Completed(body) => {
                String::from_utf8(body).unwrap()[1..].parse().unwrap()
            }
            seen => panic!("{path}: {seen:?}"),
        }
    }

    fn count(&self, part: &str) -> usize {
        self.seen.iter().filter(|line| line.contains(part)).count()
    }

    /// Waits until the log has this so many times.
    fn until_logged(&mut self, part: &str, times: usize) {
        let until = Instant::now() + MAX_WAIT;
        while self.count(part) < times {
            let left = until.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("{part}: {:?}", self.seen));
            self.seen.push(line);
        }
    }

    /// A figure of each line that has one by this name.
    fn figures(&self, name: &str) -> Vec<u64> {
        let of = |line: &String| {
            let (_, rest) = line.split_once(&format!(" {name}="))?;
            rest.split_whitespace().next()?.parse().ok()
        };
        self.seen.iter().filter_map(of).collect()
    }

    /// Has the node leave, and reads the log to its end.
    fn end(mut self) -> Vec<String> {
        self.fixture.signal("-TERM");
        assert_eq!(self.fixture.program.wait().unwrap().code(), Some(0));
        self.seen.extend(self.log.iter());
        self.seen
    }

    fn resident_kb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.fixture.program.id())).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }
}

/// Asks by the first rule and the last, in turn, until `version` answers: answers by the version before, once
/// the notice was given. No answer may be by an older version than one before it.
fn ask_until(site: &Site, version: usize) -> usize {
    let until = Instant::now() + MAX_WAIT;
    let (mut newest, mut by_the_old) = (version - 1, 0);
    for path in ["/first", "/last"].into_iter().cycle() {
        let found = site.ask(path);
        assert!(
            found == version - 1 || found == version,
            "{path} by {found}"
        );
        assert!(found >= newest, "{path} by {found} after one by {newest}");
        newest = found;
        by_the_old += usize::from(found < version);
        // Both must have come by then, and come again.
        if newest == version && path == "/last" {
            assert_eq!((site.ask("/first"), site.ask("/last")), (version, version));
            break;
        }
        assert!(
            Instant::now() < until,
            "version {version} never comes into force"
        );
    }
    by_the_old
}

#[test]
fn a_caller_is_answered_on_and_on_while_rules_change_and_never_by_older_ones_again() {
    const CHANGES: usize = 5;
    let mut site = Site::start(LARGE, CHANGES + 1);
    let mut by_the_old = Vec::new();
    for version in 1..=CHANGES {
        // The first comes right after the start.
        site.fixture.replace_installation(&site.version(version));
        by_the_old.push(ask_until(&site, version));
    }
    site.until_logged("configuration in force", CHANGES);
    // Built beside the loop, answers go on: were it done in the loop, one at the most would be by the old.
    assert!(by_the_old.iter().all(|count| *count >= 3), "{by_the_old:?}");
    // By the node's own clock; medians, as one swap may meet a machine that is busy elsewhere.
    let median = |mut figures: Vec<u64>| {
        assert_eq!(figures.len(), CHANGES);
        figures.sort_unstable();
        figures[CHANGES / 2]
    };
    let (built, held) = (
        median(site.figures("built_ms")) * 1000,
        median(site.figures("held_us")),
    );
    assert!(
        held * 10 < built,
        "the loop was held for {held} us, builds took {built} us"
    );
    // The first and the last rule and the one in the middle are others each time.
    let reused = [vec![0], vec![LARGE.rules as u64 - 1; CHANGES]].concat();
    assert_eq!(site.figures("reused"), reused);
    site.end();
}

#[test]
fn notices_that_come_while_one_is_built_are_one_and_the_last_content_wins() {
    const NOTICES: usize = 24;
    let site = Site::start(LARGE, NOTICES + 1);
    let versions: Vec<String> = (1..=NOTICES)
        .map(|nth| site.version(nth).to_string())
        .collect();
    let (path, next) = (
        site.fixture.folder.join("installation.json"),
        site.fixture.folder.join("next.json"),
    );
    for version in &versions {
        std::fs::write(&next, version).unwrap();
        std::fs::rename(&next, &path).unwrap();
        site.fixture.signal("-HUP");
    }
    let until = Instant::now() + MAX_WAIT;
    let mut newest = 0;
    while newest < NOTICES {
        let found = site.ask("/last");
        assert!(
            found >= newest && Instant::now() < until,
            "{found} after {newest}"
        );
        newest = found;
    }
    let log = site.end();
    let count = |part: &str| log.iter().filter(|line| line.contains(part)).count();
    let (begun, in_force) = (
        count("configuration being read"),
        count("configuration in force"),
    );
    // A build that was begun for the last notice may be dropped: the one before it had the same content.
    assert!(
        begun <= in_force + 1 && begun < NOTICES / 2,
        "{begun} builds for {NOTICES} notices"
    );
    assert_eq!(count("configuration rejected"), begun - in_force);
}

#[test]
fn a_file_with_a_fault_changes_nothing_and_the_log_names_the_key() {
    let mut site = Site::start(SMALL, 2);
    let mut bad = site.version(1);
    bad["rules"][7]["when"] = json!("pth == \"/x\"");
    bad["servers"]["at_once"] = json!(16);
    site.fixture.replace_installation(&bad);
    site.until_logged("configuration rejected", 1);
    assert!(
        site.seen
            .last()
            .unwrap()
            .contains("installation.rules[7].when: 1:1: there is no value 'pth'")
    );
    std::fs::write(
        site.fixture.folder.join("installation.json"),
        "{\"rules\": [",
    )
    .unwrap();
    site.fixture.signal("-HUP");
    site.until_logged("installation: not JSON", 1);
    site.fixture.reload("{}");
    site.until_logged("config.json: config: needed key 'name' is missing", 1);
    std::fs::remove_file(site.fixture.folder.join("installation.json")).unwrap();
    site.fixture.signal("-HUP");
    site.until_logged("configuration rejected", 4);
    assert_eq!(
        (
            site.ask("/first"),
            site.ask("/last"),
            site.count("configuration in force")
        ),
        (0, 0, 0)
    );
    site.end();
}

/// The drain goes on beside the build, and what was built comes into force within it: the stop of before is
/// far away, that of the new configuration is near.
#[test]
fn a_node_told_to_leave_waits_for_no_build_and_keeps_to_the_nearer_stop() {
    let mut site = Site::start(LARGE, 2);
    rewrite_config(&site.fixture, |config| config["stop_ms"] = json!(600_000));
    site.fixture.replace_installation(&site.version(1));
    site.until_logged("configuration in force", 1);
    rewrite_config(&site.fixture, |config| config["stop_ms"] = json!(1_000));
    site.fixture.replace_installation(&site.version(2));
    site.fixture.signal("-TERM");
    site.until_logged("draining ", 1);
    assert_eq!(
        site.count("configuration in force"),
        1,
        "the build was waited for"
    );
    site.until_logged("configuration in force", 2);
    let log = site.end();
    assert!(
        !log.iter()
            .any(|line| line.contains("configuration rejected")),
        "{log:#?}"
    );
}

#[test]
fn change_after_change_takes_no_more_memory() {
    const FIRST: usize = 10;
    const CHANGES: usize = 50;
    let mut site = Site::start(MIDDLE, 2);
    let mut after_first = 0;
    for nth in 1..=CHANGES {
        site.fixture.replace_installation(&site.version(nth));
        site.until_logged("configuration in force", nth);
        if nth == FIRST {
            after_first = site.resident_kb();
        }
    }
    let grown = site.resident_kb().saturating_sub(after_first);
    // Where what is retired is kept, 40 changes take about 20 MB.
    assert!(
        grown < 8 * 1024,
        "{grown} kB more after {CHANGES} changes than after {FIRST}"
    );
    assert_eq!(site.ask("/first"), 0);
    site.end();
}

#[test]
fn there_is_a_thread_more_only_where_a_file_of_the_operators_is_read_again() {
    let threads = |fixture: &NodeFixture| {
        std::fs::read_dir(format!("/proc/{}/task", fixture.program.id()))
            .unwrap()
            .count()
    };
    let mut site = Site::start(SMALL, 2);
    assert_eq!(threads(&site.fixture), 1);
    for nth in 1..=3 {
        site.fixture.replace_installation(&site.version(nth));
        site.until_logged("configuration in force", nth);
        assert_eq!(threads(&site.fixture), 2);
    }
    site.end();
    // As the platform starts it: in the loop, as the engine's move shows.
    let plan = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let mut config = plan.config.clone();
    let (fixture, _engine) = plan.start_with_engine();
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    elsewhere.set_nonblocking(true).unwrap();
    config["engine"] = json!(elsewhere.local_addr().unwrap().to_string());
    fixture.reload(&config.to_string());
    let until = Instant::now() + MAX_WAIT;
    while elsewhere.accept().is_err() {
        assert!(
            Instant::now() < until,
            "the engine's move is never followed"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(threads(&fixture), 1);
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert!(
        code == Some(0) && log.contains("configuration in force"),
        "{log}"
    );
}
