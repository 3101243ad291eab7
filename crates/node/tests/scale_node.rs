//! Measures the cost of a small configuration on a real process, from its start to the reload of a changed rule.

use std::path::Path;
use std::time::Duration;

use doortrack_fault_harness::scale::node_cost::MeasureError;
use doortrack_fault_harness::scale::node_cost::bench::Bench;
use doortrack_fault_harness::scale::node_cost::measure::{Spans, measure};
use doortrack_fault_harness::scale::node_cost::settings::Size;

const SMALL: Size = Size {
    routes: 20,
    tenants: 20,
    services: 2,
    callers: 4,
    budgets: Some(0),
};

const SHORT: Spans = Spans {
    rest: Duration::from_millis(100),
    load: Duration::from_secs(1),
};

fn bench() -> Bench<'static> {
    Bench::open(Path::new(env!("CARGO_BIN_EXE_doortrack"))).unwrap()
}

#[test]
fn a_size_is_measured_from_start_to_reload() {
    let measured = measure(&bench(), &SMALL, SHORT).unwrap();
    assert_eq!(
        measured.outcomes.completed,
        measured.outcomes.all(),
        "{measured:?}"
    );
    assert_eq!(measured.through_node.count, 110, "{measured:?}");
    assert_eq!(measured.straight.count, 110, "{measured:?}");
    assert!(
        measured.ready_ms > 0.0 && measured.reload.in_force_ms > 0.0,
        "{measured:?}"
    );
    assert!(
        measured.resident_at_rest_kb > 0 && measured.log_bytes > 0,
        "{measured:?}"
    );
}

#[test]
fn the_measurement_waits_until_the_node_has_a_budget_allocation() {
    let measured = measure(
        &bench(),
        &Size {
            budgets: Some(1),
            ..SMALL
        },
        SHORT,
    )
    .unwrap();
    let outcomes = measured.outcomes;
    // On a machine that stalls, a lease may expire during the measurement.
    assert_eq!(
        outcomes.completed + outcomes.rejected,
        outcomes.all(),
        "{measured:?}"
    );
    assert!(outcomes.completed > 0, "{measured:?}");
}

#[test]
fn refused_settings_are_reported_with_the_error_message_of_the_program() {
    let refused = measure(
        &bench(),
        &Size {
            services: 150,
            ..SMALL
        },
        SHORT,
    );
    match refused {
        Err(MeasureError::DoesNotStart(message)) => {
            assert!(message.contains("installation.pools"), "{message}")
        }
        other => panic!("the invalid settings were not refused: {other:?}"),
    }
}
