//! A cold node that all its callers discover at once: what it runs stays within what a cold one survives, and
//! what is beyond that is rejected within the four rules, which the world checks at every step.

mod common;

use common::{At, World, contract};
use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

const CALLERS: u64 = 30;
/// Requests that each caller sends at once.
const EACH: usize = 10;
const SLO_TIME: TenthMillis = 1500 * MILLISECOND;

/// A node of four cores that survives few runs while it is cold: 3 at first, by its margin of a tenth.
fn cold() -> AdmissionConfig {
    AdmissionConfig {
        cold: true,
        initial_speed: 0.05,
        overload_multiple: 2.0,
        tenant_quotas: Vec::new(),
        ..contract()
    }
}

/// Runs that a cold node is allowed to have at once after `age`.
fn allowed(terms: &AdmissionConfig, age: TenthMillis) -> usize {
    let warmth = (age as f32 / terms.warm_up_time as f32).min(1.0);
    let speed = terms.initial_speed + (1.0 - terms.initial_speed) * warmth;
    ((1.0 + (terms.overload_multiple - 1.0) * speed) * terms.cores as f32) as usize
}

fn count(world: &World, at: At) -> usize {
    world.items.values().filter(|item| item.at == at).count()
}

/// Every caller sends what it has; all of it is read in one turn, or each caller's in a turn of its own.
fn flood(world: &mut World, in_one_turn: bool) {
    for caller in 1..=CALLERS {
        world.caller = caller;
        (0..EACH).for_each(|_| _ = world.arrive(0, 0, 0, None, 1.0));
        if !in_one_turn {
            world.step();
        }
    }
    world.step();
}

/// What was taken in and is not rejected: it runs, or is queued.
fn held(world: &World) -> usize {
    world.items.values().filter(|item| item.owed).count()
}

fn none_ran_of_the_rejected(world: &World) {
    let ran = world.done.iter().filter_map(|action| match action {
        Action::Reject { id, .. } => Some(world.items[id].ran),
        _ => None,
    });
    assert!(!ran.into_iter().any(|ran| ran), "a rejected one ran");
}

#[test]
fn a_flood_of_thirty_callers_on_a_cold_node_is_rejected_at_once_beyond_what_it_holds() {
    for in_one_turn in [true, false] {
        let terms = cold();
        let mut world = World::new(terms.clone(), 1);
        // Its first reading of the gauge says that its cores are busy.
        world.pass(60 * MILLISECOND);
        flood(&mut world, in_one_turn);
        assert!(
            count(&world, At::Running) <= allowed(&terms, 60 * MILLISECOND),
            "{} run",
            count(&world, At::Running)
        );
        // C is as many as there are cores, and one more is taken at a load of just that.
        assert!(
            (1..=5).contains(&held(&world)),
            "{} of 300 are held",
            held(&world)
        );
        let rejected = world
            .done
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .count();
        assert_eq!(rejected + held(&world), CALLERS as usize * EACH);
        none_ran_of_the_rejected(&world);
    }
}

/// Before its first reading, and where there is no gauge, what runs and is queued tells that the cores are
/// busy, so that a flood is rejected in the turn in which it is read.
#[test]
fn a_flood_before_the_first_reading_is_rejected_at_once_beyond_what_is_held() {
    for in_one_turn in [true, false] {
        let terms = cold();
        let mut world = World::new(terms.clone(), 2);
        flood(&mut world, in_one_turn);
        assert!(
            count(&world, At::Running) <= allowed(&terms, 0),
            "{} run",
            count(&world, At::Running)
        );
        assert!(
            (1..=5).contains(&held(&world)),
            "{} of 300 are held",
            held(&world)
        );
        world.pass(SLO_TIME / 3 + 20 * MILLISECOND);
        assert_eq!(count(&world, At::Queued), 0, "none is left to its deadline");
        assert!(
            held(&world) <= allowed(&terms, 0),
            "{} are held",
            held(&world)
        );
        none_ran_of_the_rejected(&world);
    }
}

#[test]
fn a_flood_that_goes_on_is_served_by_more_and_more_as_the_node_warms_up() {
    let terms = cold();
    let mut world = World::new(terms.clone(), 3);
    world.pass(60 * MILLISECOND);
    let (mut age, mut served) = (60 * MILLISECOND, Vec::new());
    // Once a second, for twice the time in which the node warms up.
    while age < 2 * terms.warm_up_time {
        flood(&mut world, true);
        let running = count(&world, At::Running);
        assert!(
            running <= allowed(&terms, age),
            "{running} run at an age of {} ms",
            age / MILLISECOND
        );
        served.push(running);
        world.pass(1_000 * MILLISECOND);
        age += 1_000 * MILLISECOND;
        while let Some(run) = world.pick(At::Running, 0) {
            world.finish(run, RunOutcome::Completed);
        }
        world.step();
    }
    assert_eq!(served.first(), Some(&3), "a cold one runs three");
    assert_eq!(
        served.last(),
        Some(&4),
        "a warm and busy one runs one a core"
    );
    world.pass(4_000 * MILLISECOND);
    assert!(
        world
            .items
            .values()
            .all(|item| !item.owed || item.at == At::Running),
        "some were left"
    );
    none_ran_of_the_rejected(&world);
}
