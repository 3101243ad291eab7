//! Reloads under constant requests: configurations are built outside the event loop and applied as a whole and in
//! order, and the last one written wins.

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

/// Numbers of rules and tenants in a configuration.
#[derive(Clone, Copy)]
struct ConfigSize {
    rules: usize,
    tenants: usize,
}

const LARGE: ConfigSize = ConfigSize {
    rules: 3_400,
    tenants: 20_000,
};
const SMALL: ConfigSize = ConfigSize {
    rules: 400,
    tenants: 2_000,
};
const MEDIUM: ConfigSize = ConfigSize {
    rules: 1_000,
    tenants: 2_000,
};

/// A node with a uwsgi listener and application servers, each of which answers with the name of its pool.
struct ReloadFixture {
    fixture: NodeFixture,
    listener: SocketAddr,
    servers: Vec<Server>,
    size: ConfigSize,
    log: Receiver<String>,
    /// Lines received from `log` so far.
    seen_lines: Vec<String>,
}

/// Contents of one version of the installation file: its first and last rules route to the pool with the index
/// `version`, and one rule in the middle differs in each version.
fn installation(
    size: ConfigSize,
    listener: SocketAddr,
    servers: &[Server],
    version: usize,
) -> Value {
    let pool = |server: &Server| json!({"protocol": "uwsgi", "addresses": [server.address.to_string()], "at_once": 8});
    let pool_names = (0..servers.len()).map(|index| format!("p{index}"));
    let pools: serde_json::Map<String, Value> = pool_names.zip(servers.iter().map(pool)).collect();
    let rule = |index: usize| {
        let when = format!(
            "path.starts_with(\"/yard-{index}/\") && (header(\"x-yard\") ?? \"\") == \"north-{index}\""
        );
        json!({"when": when, "group": "look", "subject": "segment(1)", "rank": "0.5"})
    };
    let version_rule = |path: &str| {
        let when = format!("path == \"{path}\"");
        json!({"when": when, "group": "look", "servers": format!("p{}", version % servers.len())})
    };
    let mut rules: Vec<Value> = (0..size.rules).map(rule).collect();
    rules[size.rules / 2]["when"] = json!(format!("path == \"/changed/{version}\""));
    rules.insert(0, version_rule("/first"));
    rules.push(version_rule("/last"));
    json!({"fronts": [{"protocol": "uwsgi", "listen": listener.to_string()}], "servers": pool(&servers[0]),
        "pools": pools, "rules": rules})
}

impl ReloadFixture {
    fn start(size: ConfigSize, pools: usize) -> ReloadFixture {
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let listener = setup.port(9091);
        let servers: Vec<Server> = (0..pools)
            .map(|index| {
                let name = format!("p{index}");
                Server::start(UWSGI, move |_| Behavior::ok(name.clone()))
            })
            .collect();
        let tenant =
            |index: usize| json!({"name": format!("customer-{index:05}"), "allowance_per_s": 1});
        setup.config["settings"]["parties"] = (0..size.tenants).map(tenant).collect();
        setup.config["settings"]["family_info"]["cores"] = json!(64);
        setup.arguments = ["--log-level", "debug", "--log-lines", "1000"]
            .map(String::from)
            .to_vec();
        setup.installation = Some(installation(size, listener, &servers, 0));
        let mut fixture = setup.start();
        let (sender, log) = mpsc::channel();
        let lines = BufReader::new(fixture.program.stderr.take().unwrap()).lines();
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        drop(connect(listener));
        ReloadFixture {
            fixture,
            listener,
            servers,
            size,
            log,
            seen_lines: Vec::new(),
        }
    }

    fn version(&self, version: usize) -> Value {
        installation(self.size, self.listener, &self.servers, version)
    }

    /// Sends one request and returns the index of the pool that answered.
    fn pool_answering(&self, path: &str) -> usize {
        let pairs: [Variable; 3] = [
            (b"REQUEST_METHOD", b"GET"),
            (b"PATH_INFO", path.as_bytes()),
            (b"HTTP_X_TENANT", b"customer-00001"),
        ];
        let mut out = Vec::new();
        write_request(UWSGI, &mut out, 1, false, &pairs, b"").unwrap();
        let mut sock = connect(self.listener);
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
            outcome => panic!("{path}: {outcome:?}"),
        }
    }

    fn count_lines(&self, text: &str) -> usize {
        self.seen_lines
            .iter()
            .filter(|line| line.contains(text))
            .count()
    }

    /// Waits until at least `count` log lines contain `text`.
    fn wait_until_logged(&mut self, text: &str, count: usize) {
        let deadline = Instant::now() + MAX_WAIT;
        while self.count_lines(text) < count {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("{text}: {:?}", self.seen_lines));
            self.seen_lines.push(line);
        }
    }

    /// The values of the key `name` in the log lines that have it.
    fn logged_values(&self, name: &str) -> Vec<u64> {
        let value_in_line = |line: &String| {
            let (_, rest) = line.split_once(&format!(" {name}="))?;
            rest.split_whitespace().next()?.parse().ok()
        };
        self.seen_lines.iter().filter_map(value_in_line).collect()
    }

    /// Sends SIGTERM, waits for the exit and returns all log lines.
    fn finish(mut self) -> Vec<String> {
        self.fixture.signal("-TERM");
        assert_eq!(self.fixture.program.wait().unwrap().code(), Some(0));
        self.seen_lines.extend(self.log.iter());
        self.seen_lines
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

/// Sends requests for the first and the last rule in turn until `version` answers. Returns the number of answers by
/// the previous version. No answer may come from an older version than the answer before it.
fn count_old_answers_until(node: &ReloadFixture, version: usize) -> usize {
    let deadline = Instant::now() + MAX_WAIT;
    let (mut newest, mut old_answers) = (version - 1, 0);
    for path in ["/first", "/last"].into_iter().cycle() {
        let answered_version = node.pool_answering(path);
        assert!(
            answered_version == version - 1 || answered_version == version,
            "{path} answered by {answered_version}"
        );
        assert!(
            answered_version >= newest,
            "{path} answered by {answered_version} after {newest}"
        );
        newest = answered_version;
        old_answers += usize::from(answered_version < version);
        // Both rules must be of the new version by then, and stay so.
        if newest == version && path == "/last" {
            assert_eq!(
                (node.pool_answering("/first"), node.pool_answering("/last")),
                (version, version)
            );
            break;
        }
        assert!(
            Instant::now() < deadline,
            "version {version} never comes into force"
        );
    }
    old_answers
}

#[test]
fn a_caller_is_answered_throughout_rule_changes_and_never_by_older_rules_again() {
    const CHANGES: usize = 5;
    let mut node = ReloadFixture::start(LARGE, CHANGES + 1);
    let mut old_answers = Vec::new();
    for version in 1..=CHANGES {
        // The first reload comes right after the start.
        node.fixture.replace_installation(&node.version(version));
        old_answers.push(count_old_answers_until(&node, version));
    }
    node.wait_until_logged("configuration in force", CHANGES);
    // Answers continue during a build outside the loop. With a build inside the loop, at most one answer would come
    // from the old version.
    assert!(
        old_answers.iter().all(|count| *count >= 3),
        "{old_answers:?}"
    );
    // Times by the node's own clock. Medians are compared, since a busy machine may delay a single swap.
    let median = |mut values: Vec<u64>| {
        assert_eq!(values.len(), CHANGES);
        values.sort_unstable();
        values[CHANGES / 2]
    };
    let (build_us, held_us) = (
        median(node.logged_values("built_ms")) * 1000,
        median(node.logged_values("held_us")),
    );
    assert!(
        held_us * 10 < build_us,
        "the loop was held for {held_us} us, builds took {build_us} us"
    );
    // The first, the last and the middle rule differ in each version.
    let reused = [vec![0], vec![LARGE.rules as u64 - 1; CHANGES]].concat();
    assert_eq!(node.logged_values("reused"), reused);
    node.finish();
}

#[test]
fn reload_signals_during_a_build_are_merged_and_the_last_content_wins() {
    const SIGNALS: usize = 24;
    let node = ReloadFixture::start(LARGE, SIGNALS + 1);
    let versions: Vec<String> = (1..=SIGNALS)
        .map(|version| node.version(version).to_string())
        .collect();
    let (path, next_path) = (
        node.fixture.folder.join("installation.json"),
        node.fixture.folder.join("next.json"),
    );
    for version in &versions {
        std::fs::write(&next_path, version).unwrap();
        std::fs::rename(&next_path, &path).unwrap();
        node.fixture.signal("-HUP");
    }
    let deadline = Instant::now() + MAX_WAIT;
    let mut newest = 0;
    while newest < SIGNALS {
        let answered_version = node.pool_answering("/last");
        assert!(
            answered_version >= newest && Instant::now() < deadline,
            "{answered_version} after {newest}"
        );
        newest = answered_version;
    }
    let log = node.finish();
    let count_lines = |text: &str| log.iter().filter(|line| line.contains(text)).count();
    let (begun, in_force) = (
        count_lines("configuration being read"),
        count_lines("configuration in force"),
    );
    // A build begun for the last signal may be dropped: the build before it had the same content.
    assert!(
        begun <= in_force + 1 && begun < SIGNALS / 2,
        "{begun} builds for {SIGNALS} signals"
    );
    assert_eq!(count_lines("configuration rejected"), begun - in_force);
}

#[test]
fn a_faulty_file_changes_nothing_and_the_log_names_the_key() {
    let mut node = ReloadFixture::start(SMALL, 2);
    let mut faulty = node.version(1);
    faulty["rules"][7]["when"] = json!("pth == \"/x\"");
    faulty["servers"]["at_once"] = json!(16);
    node.fixture.replace_installation(&faulty);
    node.wait_until_logged("configuration rejected", 1);
    assert!(
        node.seen_lines
            .last()
            .unwrap()
            .contains("installation.rules[7].when: 1:1: there is no value 'pth'")
    );
    std::fs::write(
        node.fixture.folder.join("installation.json"),
        "{\"rules\": [",
    )
    .unwrap();
    node.fixture.signal("-HUP");
    node.wait_until_logged("installation: not JSON", 1);
    node.fixture.reload("{}");
    node.wait_until_logged("config.json: config: needed key 'name' is missing", 1);
    std::fs::remove_file(node.fixture.folder.join("installation.json")).unwrap();
    node.fixture.signal("-HUP");
    node.wait_until_logged("configuration rejected", 4);
    assert_eq!(
        (
            node.pool_answering("/first"),
            node.pool_answering("/last"),
            node.count_lines("configuration in force")
        ),
        (0, 0, 0)
    );
    node.finish();
}

/// The drain begins while a build is running, and the built configuration still comes into force during the drain: its
/// stop is near, that of the previous configuration far away.
#[test]
fn a_draining_node_waits_for_no_build_and_stops_at_the_nearer_stop() {
    let mut node = ReloadFixture::start(LARGE, 2);
    rewrite_config(&node.fixture, |config| config["stop_ms"] = json!(600_000));
    node.fixture.replace_installation(&node.version(1));
    node.wait_until_logged("configuration in force", 1);
    rewrite_config(&node.fixture, |config| config["stop_ms"] = json!(1_000));
    node.fixture.replace_installation(&node.version(2));
    node.fixture.signal("-TERM");
    node.wait_until_logged("draining ", 1);
    assert_eq!(
        node.count_lines("configuration in force"),
        1,
        "the drain waited for the build"
    );
    node.wait_until_logged("configuration in force", 2);
    let log = node.finish();
    assert!(
        !log.iter()
            .any(|line| line.contains("configuration rejected")),
        "{log:#?}"
    );
}

#[test]
fn repeated_changes_take_no_more_memory() {
    const EARLY_CHANGES: usize = 10;
    const CHANGES: usize = 50;
    let mut node = ReloadFixture::start(MEDIUM, 2);
    let mut early_kb = 0;
    for version in 1..=CHANGES {
        node.fixture.replace_installation(&node.version(version));
        node.wait_until_logged("configuration in force", version);
        if version == EARLY_CHANGES {
            early_kb = node.resident_kb();
        }
    }
    let growth_kb = node.resident_kb().saturating_sub(early_kb);
    // If replaced configurations were kept, 40 changes would take about 20 MB.
    assert!(
        growth_kb < 8 * 1024,
        "{growth_kb} kB more after {CHANGES} changes than after {EARLY_CHANGES}"
    );
    assert_eq!(node.pool_answering("/first"), 0);
    node.finish();
}

#[test]
fn a_build_thread_exists_only_after_a_reload_of_an_installation_file() {
    let thread_count = |fixture: &NodeFixture| {
        std::fs::read_dir(format!("/proc/{}/task", fixture.program.id()))
            .unwrap()
            .count()
    };
    let mut node = ReloadFixture::start(SMALL, 2);
    assert_eq!(thread_count(&node.fixture), 1);
    for version in 1..=3 {
        node.fixture.replace_installation(&node.version(version));
        node.wait_until_logged("configuration in force", version);
        assert_eq!(thread_count(&node.fixture), 2);
    }
    node.finish();
    // Started as by the platform, without an installation file, the node builds in its event loop. The move to another
    // engine address shows that the reload took effect.
    let setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
    let mut config = setup.config.clone();
    let (fixture, _engine) = setup.start_with_engine();
    let new_engine_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    new_engine_listener.set_nonblocking(true).unwrap();
    config["engine"] = json!(new_engine_listener.local_addr().unwrap().to_string());
    fixture.reload(&config.to_string());
    let deadline = Instant::now() + MAX_WAIT;
    while new_engine_listener.accept().is_err() {
        assert!(
            Instant::now() < deadline,
            "the node never connects to the new engine address"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(thread_count(&fixture), 1);
    fixture.signal("-TERM");
    let (code, log) = fixture.wait_for_exit();
    assert!(
        code == Some(0) && log.contains("configuration in force"),
        "{log}"
    );
}
