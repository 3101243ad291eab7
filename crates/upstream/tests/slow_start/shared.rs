//! Slow starts that are shared by several pools.

use std::cell::RefCell;
use std::rc::Rc;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::TokenResponse;

use crate::simulation::*;

/// One pool's equal share of the tokens of a slow start.
struct TokenShare {
    tokens: f64,
    updated_at: TenthMillis,
}

impl TokenShare {
    fn take(&mut self, now: TenthMillis, pools: usize) -> TokenResponse {
        let rate = 2.0 * f64::from(RUNS) / DURATION as f64 / pools as f64;
        // A share holds at most one token.
        self.tokens = (self.tokens + rate * (now - self.updated_at) as f64).min(1.0);
        self.updated_at = now;
        if self.tokens < 1.0 {
            return TokenResponse::Refused;
        }
        self.tokens -= 1.0;
        TokenResponse::Granted
    }
}

#[test]
fn pools_that_share_a_slow_start_send_no_more_than_one_would_and_each_sends_some() {
    const POOLS: usize = 12;
    let clock: Rc<RefCell<TenthMillis>> = Rc::default();
    let mut simulations: Vec<Simulation> = (0..POOLS)
        .map(|_| recovering_simulation(config()))
        .collect();
    let began = simulations[0].now;
    for simulation in &mut simulations {
        let (clock, mut share) = (
            clock.clone(),
            TokenShare {
                tokens: 1.0,
                updated_at: began,
            },
        );
        simulation
            .pool
            .set_slow_start_tokens(Box::new(move || share.take(*clock.borrow(), POOLS)));
    }
    while simulations[0].now < began + DURATION {
        for simulation in &mut simulations {
            *clock.borrow_mut() = simulation.now;
            simulation.request();
            simulation.advance(5 * MILLISECOND);
        }
    }
    let sent = simulations
        .iter()
        .map(|simulation| simulation.sent_within(0, began, began + DURATION));
    let sent: Vec<usize> = sent.collect();
    let sum: usize = sent.iter().sum();
    assert!((60..=RUNS as usize).contains(&sum), "{sum}: {sent:?}");
    assert!(sent.iter().all(|count| *count >= 5), "{sent:?}");
}

#[test]
fn the_credit_of_the_health_check_is_collected_while_no_run_is_waiting() {
    let mut simulation = recovering_simulation(config());
    let requested = Rc::new(RefCell::new(0));
    let counter = requested.clone();
    simulation.pool.set_slow_start_tokens(Box::new(move || {
        *counter.borrow_mut() += 1;
        TokenResponse::Granted
    }));
    while simulation.now < 2 * DURATION && simulation.slow_starts.is_empty() {
        simulation.load(5 * MILLISECOND, 5 * MILLISECOND);
    }
    simulation.advance(DURATION / 2);
    // Tokens worth one run in total are requested, each worth at least a hundredth of a run.
    let taken = *requested.borrow();
    assert!((3..=100).contains(&taken), "{taken} tokens");
    simulation.advance(DURATION / 4);
    assert_eq!(*requested.borrow(), taken);
}

#[test]
fn without_tokens_only_the_health_check_is_sent_and_no_run_waits() {
    let mut simulation = recovering_simulation(config());
    simulation
        .pool
        .set_slow_start_tokens(Box::new(|| TokenResponse::Refused));
    let back = simulation.now;
    simulation.load(5 * MILLISECOND, DURATION - 1_000 * MILLISECOND);
    assert_eq!(
        simulation.sent_within(0, back, TenthMillis::MAX),
        1,
        "only the health check is sent"
    );
    assert_eq!(simulation.pool.in_flight(), 0);
    // No tokens are needed after the end of the slow start.
    simulation.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    assert!(simulation.sent_within(0, back, TenthMillis::MAX) > 100);
}
