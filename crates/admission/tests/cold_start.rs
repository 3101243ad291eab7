//! A cold node that all its callers discover at once: what it runs stays within what a cold one
//! can sustain, and what is beyond that is rejected within the four rules, which are checked after
//! every turn.

mod common;

use common::{SimulatedNode, Stage, config};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

const CALLERS: u64 = 30;
const REQUESTS_PER_CALLER: usize = 10;
const ALL_REQUESTS: usize = CALLERS as usize * REQUESTS_PER_CALLER;
const LATENCY_OBJECTIVE: TenthMillis = 1500 * MILLISECOND;
/// Time until the first gauges are in.
const FIRST_GAUGES: TenthMillis = 60 * MILLISECOND;

/// A node of four cores that sustains few runs while it is cold: 3 at first, by its margin of a
/// tenth.
fn cold_config() -> AdmissionConfig {
    AdmissionConfig {
        cold: true,
        initial_speed: 0.05,
        overload_multiple: 2.0,
        tenant_quotas: Vec::new(),
        ..config()
    }
}

/// Runs that a cold node is allowed to have at once at this age.
fn max_running(config: &AdmissionConfig, age: TenthMillis) -> usize {
    let warmth = (age as f32 / config.warm_up_time as f32).min(1.0);
    let speed = config.initial_speed + (1.0 - config.initial_speed) * warmth;
    ((1.0 + (config.overload_multiple - 1.0) * speed) * config.cores) as usize
}

fn count(node: &SimulatedNode, stage: Stage) -> usize {
    node.requests
        .values()
        .filter(|request| request.stage == stage)
        .count()
}

/// Every caller sends what it has; all of it is read in one turn, or each caller's in a turn of its
/// own.
fn flood(node: &mut SimulatedNode, in_one_turn: bool) {
    for caller in 1..=CALLERS {
        node.caller = caller;
        for _ in 0..REQUESTS_PER_CALLER {
            node.arrive(0, 0, 0, None, 1.0);
        }
        if !in_one_turn {
            node.turn();
        }
    }
    node.turn();
}

/// Requests that were admitted and not answered since: they run, or are queued.
fn admitted(node: &SimulatedNode) -> usize {
    node.requests
        .values()
        .filter(|request| request.answer_owed)
        .count()
}

fn rejected(node: &SimulatedNode) -> usize {
    node.actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. }))
        .count()
}

fn assert_no_rejected_request_ran(node: &SimulatedNode) {
    let ran = node.actions.iter().any(|action| match action {
        Action::Reject { id, .. } => node.requests[id].ran,
        _ => false,
    });
    assert!(!ran, "a rejected request ran");
}

#[test]
fn a_flood_of_thirty_callers_on_a_cold_node_is_rejected_at_once_beyond_its_limit() {
    for in_one_turn in [true, false] {
        let config = cold_config();
        let mut node = SimulatedNode::new(config.clone(), 1);
        // Its first gauges say that its cores are busy.
        node.advance(FIRST_GAUGES);
        flood(&mut node, in_one_turn);
        let running = count(&node, Stage::Running);
        assert!(
            running <= max_running(&config, FIRST_GAUGES),
            "{running} run"
        );
        // The limit is the number of cores, and one more is admitted at a load of just that.
        let admitted = admitted(&node);
        assert!(
            (1..=5).contains(&admitted),
            "{admitted} of 300 are admitted"
        );
        assert_eq!(rejected(&node) + admitted, ALL_REQUESTS);
        assert_no_rejected_request_ran(&node);
    }
}

/// Before the first gauges, and where there are none, what runs and is queued shows that the cores
/// are busy, so that a flood is rejected in the turn in which it is read.
#[test]
fn a_flood_before_the_first_gauges_is_rejected_at_once_beyond_the_limit() {
    for in_one_turn in [true, false] {
        let config = cold_config();
        let mut node = SimulatedNode::new(config.clone(), 2);
        flood(&mut node, in_one_turn);
        let running = count(&node, Stage::Running);
        assert!(running <= max_running(&config, 0), "{running} run");
        let at_first = admitted(&node);
        assert!(
            (1..=5).contains(&at_first),
            "{at_first} of 300 are admitted"
        );
        node.advance(LATENCY_OBJECTIVE / 3 + 20 * MILLISECOND);
        assert_eq!(
            count(&node, Stage::Queued),
            0,
            "none is left to its deadline"
        );
        let later = admitted(&node);
        assert!(later <= max_running(&config, 0), "{later} are admitted");
        assert_no_rejected_request_ran(&node);
    }
}

#[test]
fn a_flood_that_goes_on_is_served_by_more_and_more_as_the_node_warms_up() {
    let config = cold_config();
    let mut node = SimulatedNode::new(config.clone(), 3);
    node.advance(FIRST_GAUGES);
    let (mut age, mut served) = (FIRST_GAUGES, Vec::new());
    // Once a second, for twice the time in which the node warms up.
    while age < 2 * config.warm_up_time {
        flood(&mut node, true);
        let running = count(&node, Stage::Running);
        assert!(
            running <= max_running(&config, age),
            "{running} run at an age of {} ms",
            age / MILLISECOND
        );
        served.push(running);
        node.advance(1_000 * MILLISECOND);
        age += 1_000 * MILLISECOND;
        while let Some(id) = node.pick(Stage::Running, 0) {
            node.end_run(id, RunOutcome::Completed);
        }
        node.turn();
    }
    assert_eq!(served.first(), Some(&3), "a cold one runs three");
    assert_eq!(
        served.last(),
        Some(&4),
        "a warm and busy one runs one per core"
    );
    node.advance(4_000 * MILLISECOND);
    assert!(
        node.requests
            .values()
            .all(|request| !request.answer_owed || request.stage == Stage::Running),
        "some were left"
    );
    assert_no_rejected_request_ran(&node);
}
