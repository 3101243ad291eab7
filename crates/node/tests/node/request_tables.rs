//! The tables of results and of requests in flight, each by itself.

use doortrack_node::network::request::{BodyHash, IdempotencyKey, RunOutput};
use doortrack_node::state::in_flight::{InFlightRequest, InFlightTable, Stage};
use doortrack_node::state::results::{
    DedupKey, DuplicateCheck, NoResult, ResultTable, StoredResult,
};
use doortrack_time::MILLISECOND;

const DEDUP_KEY: DedupKey = (1, IdempotencyKey::Derived([b'a'; 32]));

/// A key in which each byte is `byte`.
fn key_of(byte: u8) -> DedupKey {
    (0, IdempotencyKey::Derived([byte; 32]))
}

#[test]
fn the_dedup_window_counts_between_arrival_times_however_late_a_duplicate_is_read() {
    let mut results = ResultTable::new(10, 100, 4500 * MILLISECOND);
    let (arrived_at, window) = (1000 * MILLISECOND, 6000 * MILLISECOND);
    // The request is read 20 ms after its arrival, so 5980 ms of the window are left.
    results.record(
        1,
        DEDUP_KEY,
        b"",
        arrived_at,
        window - 20 * MILLISECOND,
        arrived_at + 20 * MILLISECOND,
    );
    assert_eq!(results.result(1), StoredResult::Pending);
    results.complete(1, Ok(RunOutput::from(&b"done"[..])));
    results.remove_expired(arrived_at + window + 4000 * MILLISECOND);
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), arrived_at + window),
        DuplicateCheck::Duplicate(1),
        "arrived within the window, read 4 s after its end"
    );
    assert_eq!(
        results.check_duplicate(
            &DEDUP_KEY,
            BodyHash::of(b""),
            arrived_at + window + 200 * MILLISECOND
        ),
        DuplicateCheck::FirstUse,
        "arrived after the window"
    );
    assert_eq!(
        results.check_duplicate(&(0, DEDUP_KEY.1), BodyHash::of(b""), arrived_at),
        DuplicateCheck::FirstUse,
        "another endpoint group"
    );
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b"another body"), arrived_at),
        DuplicateCheck::BodyMismatch
    );
    assert_eq!(
        results.check_duplicate(
            &DEDUP_KEY,
            BodyHash::of(b"another body"),
            arrived_at + window + 200 * MILLISECOND
        ),
        DuplicateCheck::FirstUse
    );
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"done"[..]))
    );
    results.remove_expired(arrived_at + window + 5000 * MILLISECOND);
    assert_eq!(
        (
            results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), arrived_at),
            results.bytes()
        ),
        (DuplicateCheck::FirstUse, 0)
    );
}

#[test]
fn a_request_in_flight_has_duplicates_even_past_its_window() {
    let mut results = ResultTable::new(10, 100, 0);
    results.record(1, DEDUP_KEY, b"", 0, 10 * MILLISECOND, 0);
    results.remove_expired(60_000 * MILLISECOND);
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), 60_000 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
}

#[test]
fn results_stay_within_the_limits_of_bytes_and_entries() {
    let mut results = ResultTable::new(3, 10, 0);
    for request in 1..=3u32 {
        assert_eq!(
            results.check_duplicate(&key_of(request as u8), BodyHash::of(b""), 0),
            DuplicateCheck::FirstUse
        );
        results.record(
            request,
            key_of(request as u8),
            b"",
            0,
            1000 * MILLISECOND,
            0,
        );
        results.complete(request, Ok(RunOutput::from(&b"123456"[..])));
    }
    assert_eq!(
        results.check_duplicate(&key_of(4), BodyHash::of(b""), 0),
        DuplicateCheck::TableFull,
        "a new key"
    );
    assert_eq!(
        results.check_duplicate(&key_of(1), BodyHash::of(b""), 0),
        DuplicateCheck::Duplicate(1),
        "the key of a run is never refused"
    );
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"123456"[..]))
    );
    assert_eq!(
        results.result(2),
        StoredResult::None,
        "the request ran, but there was no room for its result"
    );
    assert_eq!(
        results.check_duplicate(&key_of(2), BodyHash::of(b""), 0),
        DuplicateCheck::Duplicate(2),
        "a request without a result must not run again"
    );
    results.forget(1);
    assert_eq!(
        (
            results.bytes(),
            results.check_duplicate(&key_of(1), BodyHash::of(b""), 0)
        ),
        (0, DuplicateCheck::FirstUse)
    );
    results.record(
        4,
        key_of(3),
        b"",
        2000 * MILLISECOND,
        1000 * MILLISECOND,
        2000 * MILLISECOND,
    );
    assert_eq!(
        (results.result(3), results.result(4)),
        (StoredResult::None, StoredResult::Pending),
        "the key belongs to the new attempt"
    );
    results.complete(4, Err(NoResult));
    assert_eq!(results.result(4), StoredResult::None);
}

#[test]
fn the_window_of_an_arrival_time_in_the_future_counts_from_that_time_and_still_ends() {
    let mut results = ResultTable::new(3, 10, 0);
    results.record(
        1,
        DEDUP_KEY,
        b"",
        2500 * MILLISECOND,
        1000 * MILLISECOND,
        500 * MILLISECOND,
    );
    results.complete(1, Ok(RunOutput::from(&b"1"[..])));
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), 500 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), 3500 * MILLISECOND),
        DuplicateCheck::Duplicate(1)
    );
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), 3700 * MILLISECOND),
        DuplicateCheck::FirstUse
    );
    results.remove_expired(3500 * MILLISECOND);
    assert_eq!(
        results.result(1),
        StoredResult::Output(RunOutput::from(&b"1"[..]))
    );
    results.remove_expired(4000 * MILLISECOND);
    assert_eq!(
        (results.result(1), results.bytes()),
        (StoredResult::None, 0)
    );
    // The largest arrival time causes no overflow.
    results.record(
        2,
        DEDUP_KEY,
        b"",
        u64::MAX,
        1000 * MILLISECOND,
        500 * MILLISECOND,
    );
    assert_eq!(
        results.check_duplicate(&DEDUP_KEY, BodyHash::of(b""), 500 * MILLISECOND),
        DuplicateCheck::Duplicate(2)
    );
}

fn in_flight_request(attempt: u8) -> InFlightRequest {
    InFlightRequest {
        variables: None,
        pool: 0,
        attempt_id: [attempt; 16],
        group: 0,
        key: None,
        arrived_at: 0,
        body: Vec::new(),
        caller: None,
        stage: Stage::Queued,
        duplicate_of: None,
        reservations: Default::default(),
    }
}

#[test]
fn a_duplicate_attempt_id_is_refused_during_and_after_the_request_and_request_ids_are_new() {
    let mut in_flight = InFlightTable::default();
    let first = in_flight.insert(in_flight_request(1)).unwrap();
    assert_eq!(in_flight.insert(in_flight_request(1)), None);
    in_flight.remove(first);
    assert_eq!(in_flight.insert(in_flight_request(1)), None);
    assert_ne!(in_flight.insert(in_flight_request(2)), Some(first));
}

#[test]
fn a_removed_duplicate_is_no_longer_attached() {
    let mut in_flight = InFlightTable::default();
    let ids: Vec<_> = (1..=3)
        .map(|n| in_flight.insert(in_flight_request(n)).unwrap())
        .collect();
    in_flight.attach(ids[1], ids[0]);
    in_flight.attach(ids[2], ids[0]);
    in_flight.remove(ids[1]);
    assert_eq!(in_flight.take_attached(ids[0]), [ids[2]]);
    assert!(in_flight.take_attached(ids[0]).is_empty());
}
