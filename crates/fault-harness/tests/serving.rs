//! The check for processes that serve nobody, shown good observations and the same ones tampered with.

use std::net::SocketAddr;

use doortrack_fault_harness::progress::{Offer, ProcessLifetime, ProgressBounds, Stall, stalls};

const PATIENCE: ProgressBounds = ProgressBounds {
    window_ms: 3_000,
    min_offers: 10,
};

fn front(nth: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + nth))
}

fn life(nth: u16, ready_at: u64, ended_at: u64) -> ProcessLifetime {
    ProcessLifetime {
        listener: front(nth),
        ready_at,
        ended_at,
    }
}

/// Offered every 100 ms, each completed 20 ms later.
fn served(nth: u16, from: u64, till: u64) -> Vec<Offer> {
    let one = |at| Offer {
        listener: front(nth),
        at,
        completed_at: Some(at + 20),
    };
    (from..till).step_by(100).map(one).collect()
}

/// The same, where what is completed within the span is not.
fn without(offers: &[Offer], from: u64, till: u64) -> Vec<Offer> {
    let tampered = |offer: &Offer| match offer.completed_at {
        Some(at) if (from..till).contains(&at) => Offer {
            completed_at: None,
            ..*offer
        },
        _ => *offer,
    };
    offers.iter().map(tampered).collect()
}

fn found(lives: &[ProcessLifetime], offers: &[Offer]) -> Vec<Stall> {
    stalls(lives, offers, PATIENCE)
}

#[test]
fn processes_that_serve_are_found_good() {
    let offers = [
        served(0, 0, 10_000),
        served(1, 0, 4_000),
        served(1, 5_000, 10_000),
    ]
    .concat();
    let lives = [
        life(0, 0, 10_000),
        life(1, 0, 4_000),
        life(1, 5_000, 10_000),
    ];
    assert_eq!(found(&lives, &offers), []);
}

#[test]
fn one_that_completes_nothing_is_found_at_its_start_in_its_middle_and_at_its_end() {
    let offers = [served(0, 0, 10_000), served(1, 0, 10_000)].concat();
    let lives = [life(0, 0, 10_000), life(1, 0, 10_000)];
    for (from, till) in [(0, 3_200), (4_000, 7_300), (6_500, 11_000), (0, 11_000)] {
        let tampered: Vec<Offer> = [
            served(0, 0, 10_000),
            without(&served(1, 0, 10_000), from, till),
        ]
        .concat();
        let broken = found(&lives, &tampered);
        assert_eq!(broken.len(), 1, "{from} to {till}: {broken:?}");
        assert_eq!(broken[0].listener, front(1));
        assert!(broken[0].offers >= 30, "{broken:?}");
        assert!(
            broken[0].to_string().contains("completed none of"),
            "{}",
            broken[0]
        );
    }
    assert_eq!(
        found(&lives, &without(&offers, 4_000, 6_500)),
        [],
        "not as long as that"
    );
}

#[test]
fn one_that_takes_no_connection_is_found() {
    let refused = (0..10_000).step_by(100).map(|at| Offer {
        listener: front(0),
        at,
        completed_at: None,
    });
    assert_eq!(
        found(&[life(0, 0, 10_000)], &refused.collect::<Vec<_>>()).len(),
        1
    );
}

#[test]
fn what_others_complete_and_what_was_completed_before_and_after_do_not_count() {
    let silent = without(&served(0, 0, 10_000), 5_000, 10_000);
    let offers = [silent, served(1, 0, 10_000)].concat();
    // The process of before, under the same address, completed all until 5,000.
    assert_eq!(found(&[life(0, 0, 5_000)], &offers), []);
    assert_eq!(found(&[life(0, 5_000, 9_000)], &offers).len(), 1);
}

#[test]
fn one_that_is_offered_little_or_nothing_is_not_found() {
    assert_eq!(found(&[life(0, 0, 10_000)], &[]), []);
    let few: Vec<Offer> = without(&served(0, 0, 10_000), 0, 11_000)
        .into_iter()
        .step_by(12)
        .collect();
    assert_eq!((few.len(), found(&[life(0, 0, 10_000)], &few)), (9, vec![]));
    // Nothing was offered until shortly before its end.
    let late = without(&served(0, 8_000, 10_000), 0, 11_000);
    assert_eq!(found(&[life(0, 0, 10_000)], &late), []);
}

#[test]
fn one_that_was_ended_or_not_ready_owes_nothing() {
    let offers = without(&served(0, 0, 10_000), 2_000, 11_000);
    assert_eq!(found(&[life(0, 0, 4_500)], &offers), []);
    assert_eq!(found(&[life(0, 8_000, 10_000)], &offers), []);
    assert_eq!(found(&[life(0, 0, 10_000)], &offers).len(), 1);
}
