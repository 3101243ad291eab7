use doortrack_admission::*;
use doortrack_time::{MILLISECOND, TenthMillis};

use crate::common::request;
use crate::config_without_tenants;

/// A run that has ended.
struct Run {
    work: TenthMillis,
    run_time: TenthMillis,
}

/// 200 runs of differing work, whose run times follow from `run_time`.
fn runs(run_time: impl Fn(u64) -> TenthMillis) -> impl Iterator<Item = Run> {
    (0..200).map(move |n| Run {
        work: work_of(n),
        run_time: run_time(n),
    })
}

fn work_of(n: u64) -> TenthMillis {
    (100 + n % 7 * 30) * MILLISECOND
}

/// Whether a node that has seen these runs rejects a last request of this work.
fn rejects_after(runs: impl Iterator<Item = Run>, work: TenthMillis) -> bool {
    let mut controller = AdmissionController::new(config_without_tenants(), 1);
    let (mut now, mut actions) = (60_000 * MILLISECOND, Vec::new());
    controller.handle(now, &[Event::Started], &mut actions);
    for (id, run) in (1..).zip(runs) {
        let read = Event::Arrived(Request {
            work_hint: Some(run.work),
            ..request(id, 0)
        });
        controller.handle(now, &[read], &mut actions);
        now += run.run_time;
        let ended = Event::RunEnded {
            id,
            outcome: RunOutcome::Completed,
        };
        controller.handle(now, &[ended], &mut actions);
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
fn work_that_cannot_be_done_in_time_is_rejected_at_once_if_hints_predict_it() {
    // Found on tunis-intake: long work was run on slow nodes, always late, with half of all value
    // in it.
    let slow = || runs(|n| 2 * work_of(n));
    assert!(
        rejects_after(slow(), 800 * MILLISECOND),
        "it would take 1.6 s of 1.5"
    );
    assert!(!rejects_after(slow(), 700 * MILLISECOND));
}

#[test]
fn hints_that_predict_little_reject_nothing() {
    // Runs that all take long whatever their work: little of it follows from the hint.
    let fixed = runs(|n| 500 * MILLISECOND + work_of(n));
    assert!(
        !rejects_after(fixed, 700 * MILLISECOND),
        "1.2 s, though 3 s at the pace of the mean"
    );
    // Run times that have nothing to do with the hints.
    let unrelated = runs(|n| (300 + n % 5 * 30) * MILLISECOND);
    assert!(!rejects_after(unrelated, 2000 * MILLISECOND));
}

#[test]
fn two_runs_alone_predict_nothing() {
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
    // Equal hints, which leave the slope without a value.
    let equal = [200, 201].map(|millis| Run {
        work: 1,
        run_time: millis * MILLISECOND,
    });
    assert!(!rejects_after(
        equal.into_iter(),
        TenthMillis::from(u32::MAX)
    ));
}
