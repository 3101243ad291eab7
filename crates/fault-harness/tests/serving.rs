//! Checks that stalled processes are found, by observations of processes that serve and by altered ones.

use std::net::SocketAddr;

use doortrack_fault_harness::progress::{Offer, ProcessLifetime, ProgressBounds, Stall, stalls};

const BOUNDS: ProgressBounds = ProgressBounds {
    window_ms: 3_000,
    min_offers: 10,
};

fn listener_address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}

fn lifetime(index: u16, ready_at: u64, ended_at: u64) -> ProcessLifetime {
    ProcessLifetime {
        listener: listener_address(index),
        ready_at,
        ended_at,
    }
}

/// Offers every 100 ms, each completed 20 ms later.
fn served(index: u16, from: u64, until: u64) -> Vec<Offer> {
    let offer = |at| Offer {
        listener: listener_address(index),
        at,
        completed_at: Some(at + 20),
    };
    (from..until).step_by(100).map(offer).collect()
}

/// The same offers, where those completed within the span are not completed.
fn without_completions(offers: &[Offer], from: u64, until: u64) -> Vec<Offer> {
    let tampered = |offer: &Offer| match offer.completed_at {
        Some(at) if (from..until).contains(&at) => Offer {
            completed_at: None,
            ..*offer
        },
        _ => *offer,
    };
    offers.iter().map(tampered).collect()
}

fn find_stalls(lifetimes: &[ProcessLifetime], offers: &[Offer]) -> Vec<Stall> {
    stalls(lifetimes, offers, BOUNDS)
}

#[test]
fn processes_that_serve_have_no_stalls() {
    let offers = [
        served(0, 0, 10_000),
        served(1, 0, 4_000),
        served(1, 5_000, 10_000),
    ]
    .concat();
    let lifetimes = [
        lifetime(0, 0, 10_000),
        lifetime(1, 0, 4_000),
        lifetime(1, 5_000, 10_000),
    ];
    assert_eq!(find_stalls(&lifetimes, &offers), []);
}

#[test]
fn stalls_are_found_at_the_start_in_the_middle_and_at_the_end() {
    let offers = [served(0, 0, 10_000), served(1, 0, 10_000)].concat();
    let lifetimes = [lifetime(0, 0, 10_000), lifetime(1, 0, 10_000)];
    for (from, until) in [(0, 3_200), (4_000, 7_300), (6_500, 11_000), (0, 11_000)] {
        let tampered: Vec<Offer> = [
            served(0, 0, 10_000),
            without_completions(&served(1, 0, 10_000), from, until),
        ]
        .concat();
        let stalls_found = find_stalls(&lifetimes, &tampered);
        assert_eq!(stalls_found.len(), 1, "{from} to {until}: {stalls_found:?}");
        assert_eq!(stalls_found[0].listener, listener_address(1));
        assert!(stalls_found[0].offers >= 30, "{stalls_found:?}");
        assert!(
            stalls_found[0].to_string().contains("completed none of"),
            "{}",
            stalls_found[0]
        );
    }
    assert_eq!(
        find_stalls(&lifetimes, &without_completions(&offers, 4_000, 6_500)),
        [],
        "the span is shorter than the window"
    );
}

#[test]
fn refused_connections_are_a_stall() {
    let refused = (0..10_000).step_by(100).map(|at| Offer {
        listener: listener_address(0),
        at,
        completed_at: None,
    });
    assert_eq!(
        find_stalls(&[lifetime(0, 0, 10_000)], &refused.collect::<Vec<_>>()).len(),
        1
    );
}

#[test]
fn completions_of_other_processes_do_not_count() {
    let stalled = without_completions(&served(0, 0, 10_000), 5_000, 10_000);
    let offers = [stalled, served(1, 0, 10_000)].concat();
    // The earlier process at the same address completed all requests until 5,000 ms.
    assert_eq!(find_stalls(&[lifetime(0, 0, 5_000)], &offers), []);
    assert_eq!(find_stalls(&[lifetime(0, 5_000, 9_000)], &offers).len(), 1);
}

#[test]
fn few_or_no_offers_are_no_stall() {
    assert_eq!(find_stalls(&[lifetime(0, 0, 10_000)], &[]), []);
    let few: Vec<Offer> = without_completions(&served(0, 0, 10_000), 0, 11_000)
        .into_iter()
        .step_by(12)
        .collect();
    assert_eq!(
        (few.len(), find_stalls(&[lifetime(0, 0, 10_000)], &few)),
        (9, vec![])
    );
    // The offers start shortly before the end of the process.
    let late = without_completions(&served(0, 8_000, 10_000), 0, 11_000);
    assert_eq!(find_stalls(&[lifetime(0, 0, 10_000)], &late), []);
}

#[test]
fn processes_that_ended_or_are_not_ready_have_no_stalls() {
    let offers = without_completions(&served(0, 0, 10_000), 2_000, 11_000);
    assert_eq!(find_stalls(&[lifetime(0, 0, 4_500)], &offers), []);
    assert_eq!(find_stalls(&[lifetime(0, 8_000, 10_000)], &offers), []);
    assert_eq!(find_stalls(&[lifetime(0, 0, 10_000)], &offers).len(), 1);
}
