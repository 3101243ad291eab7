use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use crate::common::request;
use crate::config_without_tenants;

const START: TenthMillis = 60_000 * MILLISECOND;

/// Returns when a run that never ends is failed, after the node was told of this many shutdowns
/// that stop the process only after the run's deadline.
fn failed_at(shutdowns: usize) -> TenthMillis {
    let config = config_without_tenants();
    let (deadline, tick) = (config.groups[0].deadline, config.tick);
    let mut controller = AdmissionController::new(config, 1);
    let mut actions = Vec::new();
    controller.handle(START, &[Event::Started], &mut actions);
    controller.handle(START, &[Event::Arrived(request(1, 0))], &mut actions);
    assert!(actions.contains(&Action::Run { id: 1 }));
    let drain = Event::Drain {
        age: 0,
        stop_at: START + 2 * deadline,
    };
    for _ in 0..shutdowns {
        controller.handle(START, std::slice::from_ref(&drain), &mut actions);
    }
    let mut now = START;
    while !actions.contains(&Action::Fail { id: 1 }) {
        now += tick;
        let gauges = Gauges::default();
        controller.handle(now, &[Event::Timer { token: 0, gauges }], &mut actions);
        assert!(
            now < START + deadline,
            "the request was not answered before its deadline"
        );
    }
    now
}

/// Guards against an answer margin that is subtracted again on each shutdown event.
#[test]
fn shutdown_does_not_move_answers_that_are_due_before_the_stop() {
    assert_eq!(failed_at(1), failed_at(0));
    assert_eq!(failed_at(5), failed_at(0));
}
