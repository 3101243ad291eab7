//! The bound on the memory of incomplete requests, on the table of connections itself.

use doortrack_fakes::records::{Client, record, request};

use super::connection_ends::TableFixture;

const CONNECTIONS: usize = 8;
/// Memory of incomplete requests that a table with this many connections may hold.
const MAX_BYTES: usize = CONNECTIONS * 10_500;
/// Number of variables of about 100 bytes in a request that is nearly as long as it may be.
const VARIABLES: usize = 65;

/// Length of the last record of a request, which is empty and padded.
const LAST_RECORD_BYTES: usize = 11;

/// A request that is nearly as long as it may be.
fn long_request(id: u16, attempt_number: u64) -> Vec<u8> {
    let value = "x".repeat(100);
    let variables = vec![("HTTP_X_FILLER", value.as_str()); VARIABLES];
    request(id, attempt_number, "/svc/look", &variables, &[0; 2000])
}

fn incomplete_bytes(table: &TableFixture) -> usize {
    table.listeners.pending_usage().incomplete_bytes
}

/// Guards against incomplete requests that take memory without a bound, and against giving up the only one of a
/// connection for those of others.
#[test]
fn incomplete_requests_stay_within_their_memory_and_a_single_one_is_not_given_up() {
    let mut table = TableFixture::new(CONNECTIONS);
    let mut single = table.connect_accepted();
    let bytes = long_request(1, 1);
    let (most, rest) = bytes.split_at(bytes.len() - 1);
    single.send(most);
    table.turn();
    let mut others: Vec<Client> = (1..CONNECTIONS).map(|_| table.connect_accepted()).collect();
    let mut given_up = 0;
    for round in 0..8 {
        for other in &mut others {
            let bytes = long_request(round + 1, 10 + u64::from(round));
            other.send(&bytes[..bytes.len() - LAST_RECORD_BYTES]);
            table.advance(1);
            table.turn();
            assert!(incomplete_bytes(&table) <= MAX_BYTES);
        }
        given_up = table.listeners.counts().unreadable.values().sum();
    }
    assert!(given_up > 0, "the bound is never reached");
    single.send(rest);
    table.run_until(|table| table.requests.len() == 1);
    drop(others);
    table.run_until(|table| table.listeners.connection_count() == 1);
    assert_eq!(incomplete_bytes(&table), 0);
}

/// Guards against a bound that counts requests which have ended in another way than by their last record.
#[test]
fn aborted_and_unreadable_requests_release_their_memory() {
    let mut table = TableFixture::new(CONNECTIONS);
    let mut client = table.connect_accepted();
    let bytes = long_request(1, 1);
    client.send(&bytes[..bytes.len() - LAST_RECORD_BYTES]);
    table.run_until(|table| incomplete_bytes(table) > 0);
    client.send(&record(2, 1, b""));
    table.run_until(|table| incomplete_bytes(table) == 0);
    client.send(&bytes[..bytes.len() - LAST_RECORD_BYTES]);
    table.run_until(|table| incomplete_bytes(table) > 0);
    client.send(&[0xff; 8]);
    table.run_until(|table| incomplete_bytes(table) == 0);
    assert_eq!(client.reply().status, 400);
}
