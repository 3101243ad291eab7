use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use crate::common::request;
use crate::config_without_tenants;

/// A completed run.
struct Run {
    work: TenthMillis,
    run_time: TenthMillis,
}

/// Returns 200 runs with different amounts of work, with run times given by `run_time`.
fn runs(run_time: impl Fn(u64) -> TenthMillis) -> impl Iterator<Item = Run> {
    (0..200).map(move |n| Run {
        work: work_of(n),
        run_time: run_time(n),
    })
}

fn work_of(n: u64) -> TenthMillis {
    (100 + n % 7 * 30) * MILLISECOND
}

/// Returns `true` if a node that has completed these runs rejects a further request with this work.
fn rejects_after(runs: impl Iterator<Item = Run>, work: TenthMillis) -> bool {
    let mut controller = AdmissionController::new(config_without_tenants(), 1);
    let (mut now, mut actions) = (60_000 * MILLISECOND, Vec::new());
    controller.handle(now, &[Event::Started], &mut actions);
    for (id, run) in (1..).zip(runs) {
        let arrival = Event::Arrived(Request {
            work_hint: Some(run.work),
            ..request(id, 0)
        });
        controller.handle(now, &[arrival], &mut actions);
        now += run.run_time;
        let run_ended = Event::RunEnded {
            id,
            outcome: RunOutcome::Completed,
        };
        controller.handle(now, &[run_ended], &mut actions);
    }
    actions.clear();
    let last = Event::Arrived(Request {
        work_hint: Some(work),
        ..request(900, 0)
    });
    controller.handle(now, &[last], &mut actions);
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id: 900, .. }))
}

#[test]
fn work_that_hints_predict_to_be_late_is_rejected_at_once() {
    // Guards against long work on slow nodes that always completes late, although it holds half of
    // the value.
    let slow = || runs(|n| 2 * work_of(n));
    assert!(
        rejects_after(slow(), 800 * MILLISECOND),
        "the run would take 1.6 s, and the latency objective is 1.5 s"
    );
    assert!(!rejects_after(slow(), 700 * MILLISECOND));
}

#[test]
fn hints_that_predict_little_cause_no_rejection() {
    // All runs take long regardless of their work, so little of the run time depends on the hint.
    let fixed = runs(|n| 500 * MILLISECOND + work_of(n));
    assert!(
        !rejects_after(fixed, 700 * MILLISECOND),
        "expected to take 1.2 s; proportional scaling of the mean would give 3 s"
    );
    // The run times do not depend on the hints.
    let unrelated = runs(|n| (300 + n % 5 * 30) * MILLISECOND);
    assert!(!rejects_after(unrelated, 2000 * MILLISECOND));
}

#[test]
fn two_runs_alone_cause_no_rejection() {
    let steep = [
        Run {
            work: 100 * MILLISECOND,
            run_time: 200 * MILLISECOND,
        },
        Run {
            work: 101 * MILLISECOND,
            run_time: 900 * MILLISECOND,
        },
    ];
    assert!(!rejects_after(steep.into_iter(), 300 * MILLISECOND));
    // With equal hints the slope is undefined.
    let equal = [200, 201].map(|millis| Run {
        work: 1,
        run_time: millis * MILLISECOND,
    });
    assert!(!rejects_after(
        equal.into_iter(),
        TenthMillis::from(u32::MAX)
    ));
}
