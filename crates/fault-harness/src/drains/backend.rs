//! What runs the requests of a node under faults: an engine, or application servers.

use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use doortrack_fakes::rules::ExecutedRun;
use doortrack_fakes::server::Server;
use doortrack_fakes::unreliable_engine::{EngineBehavior, UnreliableEngine};
use serde_json::json;

use super::fault_plan::{BackendKind, FaultPlan};
use super::judge::RequestRecord;
use super::run::{runs_of, server_pool, start_servers, work_of};
use super::scenario::Scenario;
use crate::traffic::expected_body;

pub(super) enum Backend {
    Engine(UnreliableEngine),
    Servers(Vec<Server>),
}

impl Backend {
    /// Starts a node, and what runs its requests.
    ///
    /// # Panics
    /// The node can't be started.
    pub(super) fn start(
        mut setup: NodeSetup,
        scenario: &Scenario,
        plan: &FaultPlan,
    ) -> (NodeFixture, Backend) {
        match plan.backend {
            BackendKind::Engine => {
                let fixture = setup.start();
                let engine = start_engine(&fixture, scenario, plan);
                (fixture, Backend::Engine(engine))
            }
            BackendKind::Servers => {
                let servers = start_servers(scenario);
                let pool = server_pool(scenario, &servers);
                setup.installation = Some(json!({"fronts": [], "servers": pool}));
                (setup.start(), Backend::Servers(servers))
            }
        }
    }

    /// Returns all runs, each with the idempotency key of its request.
    pub(super) fn into_runs(self, records: &[RequestRecord]) -> Vec<ExecutedRun> {
        match self {
            Backend::Engine(engine) => {
                let mut runs = engine.stop();
                add_keys(&mut runs, records);
                runs
            }
            Backend::Servers(servers) => runs_of(&servers),
        }
    }
}

fn start_engine(fixture: &NodeFixture, scenario: &Scenario, plan: &FaultPlan) -> UnreliableEngine {
    let (seed, stop_ms) = (scenario.seed, scenario.stop_ms);
    let listener = fixture.engine_listener.try_clone();
    let behavior = EngineBehavior {
        seed,
        can_cancel: plan.cancellation != "silent",
        duration: Box::new(move |id| work_of(id.as_bytes(), seed, stop_ms)),
        result: expected_body,
    };
    UnreliableEngine::start(listener.expect("the engine's listener"), behavior)
}

/// Gives each run the idempotency key of its request, as the engine receives none.
fn add_keys(runs: &mut [ExecutedRun], records: &[RequestRecord]) {
    for run in runs {
        let matches =
            |record: &&RequestRecord| doortrack_fakes::attempt_id(record.number) == run.attempt_id;
        run.idempotency_key = records
            .iter()
            .find(matches)
            .and_then(|record| record.idempotency_key.clone());
    }
}
