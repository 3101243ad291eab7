//! The identity of idempotency keys: the same key is the same record whichever listener, protocol and rule it comes by,
//! and values of unlike meaning are different keys.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use doortrack_fakes::caller::{CallerOutcome, CallerRequest};
use doortrack_fakes::engine::Engine;
use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_protocols::Protocol;
use serde_json::{Value, json};

use super::rules::run_unless_answered;

const PLATFORM_HEADER: &str = "HTTP_IDEMPOTENCY_KEY";
const ORDER_HEADER: &str = "HTTP_X_ORDER";
const TRIP_HEADER: &str = "HTTP_X_TRIP";
/// Keys of the platform; the first two differ only in the case of their digits.
const VALUES: [&str; 4] = [
    "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
    "5C0F6E1A2B3D4C59A8B7C6D5E4F30211",
    "00000000000000000000000000000001",
    "000000000000000000000000000000aF",
];
/// Paths with the key expression of their rule.
const KEY_EXPRESSIONS: [(&str, Option<&str>); 8] = [
    ("/none", None),
    ("/header", Some("header(\"idempotency-key\")")),
    ("/lower", Some("lower(header(\"Idempotency-Key\") ?? \"\")")),
    ("/variable", Some("variable(\"HTTP_IDEMPOTENCY_KEY\")")),
    ("/order", Some("header(\"x-order\")")),
    ("/raw", Some("raw_header(\"X-Order\")")),
    ("/trip", Some("header( \"x-trip\" ) ?? \"\"")),
    (
        "/either",
        Some("header(\"x-order\") ?? header(\"idempotency-key\") ?? \"\""),
    ),
];
/// Each path with a header that its key is read from.
const ROUTES: [(&str, &str); 10] = [
    ("/svc/pay", PLATFORM_HEADER),
    ("/none", PLATFORM_HEADER),
    ("/header", PLATFORM_HEADER),
    ("/lower", PLATFORM_HEADER),
    ("/variable", PLATFORM_HEADER),
    ("/order", ORDER_HEADER),
    ("/raw", ORDER_HEADER),
    ("/trip", TRIP_HEADER),
    ("/either", ORDER_HEADER),
    ("/either", PLATFORM_HEADER),
];
const SEEDS: u64 = 2;
const REQUESTS_PER_SEED: usize = 120;

fn rules() -> Value {
    let rule = |(path, key): (&str, Option<&str>)| json!({"when": format!("path == \"{path}\""), "group": "pay", "idempotency_key": key});
    KEY_EXPRESSIONS.map(rule).to_vec().into()
}

struct KeyFixture {
    fixture: NodeFixture,
    engine: Engine,
    fronts: [(Protocol, SocketAddr); 2],
    attempts: u64,
}

impl KeyFixture {
    fn start() -> KeyFixture {
        let mut setup = NodeSetup::new(env!("CARGO_BIN_EXE_doortrack"));
        let fronts = [
            (Protocol::FastCgi, setup.port(9091)),
            (Protocol::Uwsgi, setup.port(9092)),
        ];
        let front = |(protocol, address): &(Protocol, SocketAddr)| json!({"protocol": protocol.name(), "listen": address.to_string()});
        let fronts_json: Vec<Value> = fronts.iter().map(front).collect();
        setup.installation = Some(json!({"fronts": fronts_json, "rules": rules()}));
        let (fixture, engine) = setup.start_with_engine();
        KeyFixture {
            fixture,
            engine,
            fronts,
            attempts: 0,
        }
    }

    /// Sends a request with a key in this header, and has the engine run it. Returns true if it ran.
    fn runs(&mut self, path: &str, front: usize, header: &str, value: &str) -> bool {
        let (protocol, address) = match path {
            "/svc/pay" => (Protocol::FastCgi, self.fixture.address),
            _ => self.fronts[front],
        };
        self.attempts += 1;
        let pending = CallerRequest::new(self.attempts, path, b"berth")
            .with(header, value)
            .send(address, protocol);
        let run = run_unless_answered(&pending, &mut self.engine);
        if let Some(call) = &run {
            self.engine.finish_run(call, "OK", b"paid");
        }
        assert_eq!(pending.outcome(), CallerOutcome::Completed(b"paid".into()));
        run.is_some()
    }
}

/// What a key is by its documentation: the header that gave the value, and the value, which for the platform's header
/// is a number in hex.
fn identity(header: &'static str, value: &str) -> (&'static str, String) {
    match header {
        PLATFORM_HEADER => (header, value.to_ascii_lowercase()),
        _ => (header, value.to_string()),
    }
}

/// Guards against a key that is two where it comes by another listener, protocol or rule, so that the request runs
/// twice, and against two keys that are taken for one, so that the second request never runs.
#[test]
fn a_request_runs_once_for_each_key_whichever_listener_and_rule_it_comes_by() {
    for seed in 0..SEEDS {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut node = KeyFixture::start();
        let mut ran = BTreeSet::new();
        for _ in 0..REQUESTS_PER_SEED {
            let (path, header) = ROUTES[random.usize(..ROUTES.len())];
            let value = VALUES[random.usize(..VALUES.len())];
            let front = random.usize(..node.fronts.len());
            let is_new = ran.insert(identity(header, value));
            assert_eq!(
                node.runs(path, front, header, value),
                is_new,
                "seed {seed}: {path} on front {front} with {header}={value}"
            );
        }
    }
}

/// Guards against two runs of a request that comes over the platform's listener and over a uwsgi front whose rule names
/// the same header, in either order (case 10 of the second review).
#[test]
fn a_key_that_a_rule_reads_from_the_platforms_header_is_the_platforms_key() {
    for first in ["/svc/pay", "/header"] {
        let mut node = KeyFixture::start();
        let second = if first == "/header" {
            "/svc/pay"
        } else {
            "/header"
        };
        assert!(node.runs(first, 1, PLATFORM_HEADER, VALUES[0]));
        assert!(!node.runs(second, 1, PLATFORM_HEADER, VALUES[0]));
        assert!(!node.runs(second, 1, PLATFORM_HEADER, VALUES[1]));
    }
}
