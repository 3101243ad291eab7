//! The table of callers' connections with clients that read no answers or send unreadable requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use doortrack_config::ResourceLimits;
use doortrack_fakes::fixture::fresh_address;
use doortrack_node::network::listeners::{FIRST_CONNECTION_KEY, Listeners};
use doortrack_protocols::Protocol;
use polling::{Events, Poller};

use super::components::{deployment_names, record};
use super::connection_ends::small_limits;

/// Has two callers send requests that are answered at once, one of which never reads, until that one is closed or after
/// `turns` turns. Returns true if it was closed.
fn non_reading_caller_is_closed(max_unread_bytes: usize, turns: usize) -> bool {
    let poller = Arc::new(Poller::new().unwrap());
    let limits = ResourceLimits {
        open_requests: 8,
        unread_answer_bytes: max_unread_bytes,
        ..small_limits()
    };
    let address = fresh_address();
    let mut listeners = Listeners::new(poller.clone(), deployment_names(), limits, u64::MAX);
    listeners.listen(address, Protocol::FastCgi, None).unwrap();
    let (mut non_reading, mut reading) = (
        TcpStream::connect(address).unwrap(),
        TcpStream::connect(address).unwrap(),
    );
    non_reading.set_nonblocking(true).unwrap();
    // The streams of the request are empty, so it is answered with 400.
    let empty_request = [
        record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
        record(4, 1, b"", 0),
        record(5, 1, b"", 0),
    ]
    .concat();
    let (batch, mut listener_events, mut events) =
        (empty_request.repeat(200), Vec::new(), Events::new());
    for _ in 0..turns {
        // A connection that sent an unreadable request is read again after the next sweep.
        listeners.sweep(0, &mut listener_events);
        while listeners.flush(0, &mut listener_events).is_break() {}
        _ = non_reading.write(&batch);
        reading.write_all(&empty_request).unwrap();
        let counts_before = listeners.counts().unreadable.clone();
        while listeners.counts().unreadable == counts_before {
            events.clear();
            poller.wait(&mut events, None).unwrap();
            listeners.accept(0, 0, &mut listener_events);
            events
                .iter()
                .filter(|e| e.key >= FIRST_CONNECTION_KEY)
                .for_each(|e| listeners.on_event(e, 0, &mut listener_events));
            while listeners.flush(0, &mut listener_events).is_break() {}
        }
        assert!(
            listeners.unread_answer_bytes() < 200_000,
            "{} bytes of unread answers",
            listeners.unread_answer_bytes()
        );
        if listeners.counts().terminations.contains_key("unread") {
            assert_eq!(
                (
                    listeners.connection_count(),
                    listeners.unread_answer_bytes()
                ),
                (1, 0)
            );
            return true;
        }
    }
    // The caller that reads gets all its answers.
    let mut answers: Vec<u8> = Vec::new();
    while answers.windows(6).filter(|w| w == b"Status").count() < turns {
        let mut buffer = [0; 65_536];
        let length = reading.read(&mut buffer).unwrap();
        answers.extend(&buffer[..length]);
        while listeners.flush(0, &mut listener_events).is_break() {}
    }
    false
}

#[test]
fn a_caller_that_reads_no_answers_is_not_read_and_is_closed_if_unread_answers_exceed_the_limit() {
    assert!(!non_reading_caller_is_closed(10_000_000, 2000));
    assert!(non_reading_caller_is_closed(1000, 20_000));
}

#[test]
fn a_connection_with_an_unreadable_request_is_not_read_again_before_the_next_sweep() {
    let poller = Arc::new(Poller::new().unwrap());
    let limits = ResourceLimits {
        open_requests: 8,
        unread_answer_bytes: 1000,
        ..small_limits()
    };
    let address = fresh_address();
    let mut listeners = Listeners::new(poller.clone(), deployment_names(), limits, u64::MAX);
    listeners.listen(address, Protocol::FastCgi, None).unwrap();
    let mut connection = TcpStream::connect(address).unwrap();
    let empty_request = [
        record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0], 0),
        record(4, 1, b"", 0),
        record(5, 1, b"", 0),
    ]
    .concat();
    let (mut listener_events, mut events, mut answer) = (Vec::new(), Events::new(), [0; 4096]);
    listeners.accept(0, 0, &mut listener_events);
    for answer_count in 1..=3 {
        connection.write_all(&empty_request).unwrap();
        // From the second request on, the poller does not report the waiting bytes.
        events.clear();
        let timeout = if answer_count == 1 {
            None
        } else {
            Some(Duration::from_millis(20))
        };
        poller.wait(&mut events, timeout).unwrap();
        assert_eq!(
            events.iter().any(|e| e.key >= FIRST_CONNECTION_KEY),
            answer_count == 1
        );
        listeners.sweep(0, &mut listener_events);
        while listeners.flush(0, &mut listener_events).is_break() {}
        events.clear();
        poller.wait(&mut events, None).unwrap();
        events
            .iter()
            .filter(|e| e.key >= FIRST_CONNECTION_KEY)
            .for_each(|e| listeners.on_event(e, 0, &mut listener_events));
        while listeners.flush(0, &mut listener_events).is_break() {}
        assert!(connection.read(&mut answer).unwrap() > 0);
        assert_eq!(
            listeners.counts().unreadable.values().sum::<u64>(),
            answer_count
        );
    }
}
