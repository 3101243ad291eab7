//! Data that crosses the end of a caller's connection. The tests drive the connection table itself with real
//! sockets, a test clock and single turns, so that the order of events is fixed.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_config::ResourceLimits;
use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::fixture::fresh_address;
use doortrack_fakes::records::{Client, record, request};
use doortrack_node::network::bounds::{EVICTION_GRACE, MAX_FINAL_READS};
use doortrack_node::network::listeners::{
    Caller, FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY, ListenerEvent, Listeners,
};
use doortrack_node::network::request::{Answer, DeploymentNames, RunOutput};
use doortrack_node::network::termination::Termination;
use doortrack_protocols::Protocol;
use polling::{Events, Poller};

/// Tenths of a millisecond in a second.
const SECOND: u64 = 10_000;

/// Limits of a small table of connections.
pub fn small_limits() -> ResourceLimits {
    ResourceLimits {
        connections: 8,
        open_requests: 64,
        dedup_entries: 1,
        result_bytes: 1,
        unread_answer_bytes: 100_000,
        engine_command_bytes: 1,
    }
}

/// A connection table on a clock that the test advances.
pub struct TableFixture {
    poller: Arc<Poller>,
    pub listeners: Listeners,
    at: SocketAddr,
    now: u64,
    /// Requests read so far.
    pub requests: Vec<Caller>,
}

impl TableFixture {
    pub fn new(connections: usize) -> TableFixture {
        let poller = Arc::new(Poller::new().unwrap());
        let limits = ResourceLimits {
            connections,
            ..small_limits()
        };
        let names = DeploymentNames {
            groups: vec!["look".into()],
            idempotency_keyed: vec![false],
            tenants: Vec::new(),
        };
        let mut listeners = Listeners::new(poller.clone(), names, limits, 10 * SECOND);
        let at = fresh_address();
        listeners.listen(at, Protocol::FastCgi, None).unwrap();
        // Requests are stamped with the real time, so the test clock starts there.
        let now = doortrack_fakes::unix_ms() * 10;
        TableFixture {
            poller,
            listeners,
            at,
            now,
            requests: Vec::new(),
        }
    }

    /// Runs one turn: waits for events, accepts and reads what is ready, and writes.
    pub fn turn(&mut self) {
        let (mut events, mut listener_events) = (Events::new(), Vec::new());
        assert!(
            self.poller.wait(&mut events, Some(MAX_WAIT)).unwrap() > 0,
            "no event arrives"
        );
        for event in events.iter() {
            match event.key {
                FIRST_LISTENER_KEY..FIRST_CONNECTION_KEY => {
                    _ = self.listeners.accept(
                        event.key - FIRST_LISTENER_KEY,
                        self.now,
                        &mut listener_events,
                    )
                }
                _ => self
                    .listeners
                    .on_event(event, self.now, &mut listener_events),
            }
        }
        while self
            .listeners
            .flush(self.now, &mut listener_events)
            .is_break()
        {}
        self.requests
            .extend(listener_events.into_iter().filter_map(|event| match event {
                ListenerEvent::Request { caller, .. } => Some(caller),
                ListenerEvent::Ended { .. } | ListenerEvent::Incomplete { .. } => None,
                ListenerEvent::PossibleDuplicate { .. } => {
                    panic!("a request without a key is reported as a possible duplicate")
                }
            }));
    }

    pub fn run_until(&mut self, condition: impl Fn(&TableFixture) -> bool) {
        while !condition(self) {
            self.turn();
        }
    }

    /// Advances the clock and runs a sweep.
    pub fn advance(&mut self, duration: u64) {
        self.now += duration;
        let mut listener_events = Vec::new();
        self.listeners.sweep(self.now, &mut listener_events);
        while self
            .listeners
            .flush(self.now, &mut listener_events)
            .is_break()
        {}
    }

    fn drain_listener(&mut self, address: SocketAddr) {
        let events = &mut Vec::new();
        let slots = self.listeners.drain_listener(address, self.now, events);
        self.drain_connections(slots, Termination::ListenerClosed);
        self.listeners.remove_drained();
    }

    fn drain_all(&mut self) {
        let slots = self.listeners.drain_all(self.now, &mut Vec::new());
        self.drain_connections(slots, Termination::Shutdown);
    }

    /// Reads what has arrived on these connections, and refuses further requests, as the event loop does.
    fn drain_connections(&mut self, slots: Vec<usize>, termination: Termination) {
        for slot in slots {
            for _ in 0..MAX_FINAL_READS {
                self.listeners.read_arrived(slot, self.now, &mut Vec::new());
            }
            self.listeners.refuse_further_requests(slot, termination);
        }
    }

    fn connect(&self, at: SocketAddr) -> Client {
        let sock = TcpStream::connect(at).unwrap();
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        Client { sock }
    }

    /// Opens a connection and waits until it is accepted.
    pub fn connect_accepted(&mut self) -> Client {
        let accepted = self.listeners.counts().accepted;
        let client = self.connect(self.at);
        self.run_until(|table| table.listeners.counts().accepted > accepted);
        client
    }

    /// Opens a connection with a pending request.
    fn connect_with_request(&mut self, nth: u64) -> Client {
        let (mut client, open) = (self.connect_accepted(), self.requests.len());
        client.send_look(1, nth);
        self.run_until(|table| table.requests.len() > open);
        client
    }

    fn check_health(&mut self, client: &mut Client, nth: u64) {
        let checks = self.listeners.counts().health_checks;
        client.send(&request(9, nth, "/status/live", &[], b""));
        self.run_until(|table| table.listeners.counts().health_checks > checks);
        assert_eq!(client.reply().status, 200);
    }

    /// Checks that a further request on a closing connection is refused as never run.
    fn check_refused(&mut self, client: &mut Client, id: u16, nth: u64) {
        let refused = self.listeners.counts().no_capacity_total();
        client.send_look(id, nth);
        self.run_until(|table| table.listeners.counts().no_capacity_total() > refused);
        let reply = client.reply();
        assert_eq!((reply.id, reply.status), (id, 2));
    }

    fn check_answered(&mut self, index: usize, client: &mut Client) {
        let output = RunOutput {
            headers: b"",
            body: b"made",
        };
        self.listeners
            .answer(self.requests[index], Answer::Completed(output));
        while self.listeners.flush(self.now, &mut Vec::new()).is_break() {}
        assert_eq!(client.reply().body, b"made");
    }
}

fn is_at_end(client: &mut Client) -> bool {
    client.sock.read(&mut [0]).unwrap() == 0
}

#[test]
fn a_request_that_crosses_an_eviction_meets_no_reset_and_is_not_run() {
    let mut table = TableFixture::new(16);
    let mut callers: Vec<Client> = Vec::new();
    for nth in 0..15 {
        let mut caller = table.connect_accepted();
        table.check_health(&mut caller, nth);
        callers.push(caller);
        table.advance(EVICTION_GRACE);
    }
    let mut newest = table.connect_accepted();
    let longest_idle = &mut callers[0];
    assert!(is_at_end(longest_idle));
    longest_idle.send_look(1, 20);
    table.turn();
    assert_eq!(
        longest_idle.sock.take_error().unwrap().map(|e| e.kind()),
        None,
        "the connection was reset"
    );
    assert!(
        table.requests.is_empty(),
        "a request after the end of the connection was accepted"
    );
    table.check_health(&mut newest, 21);
    drop(callers.remove(0));
    table.run_until(|table| table.listeners.connection_count() == 15);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&1)
    );
    callers
        .iter_mut()
        .zip(22..)
        .for_each(|(caller, nth)| table.check_health(caller, nth));
}

/// Guards against reading requests that can't be answered any more: what is not read was never the node's.
#[test]
fn input_after_the_end_of_a_connection_is_left_unread_until_the_peer_closes() {
    let mut table = TableFixture::new(8);
    let mut client = table.connect_accepted();
    table.check_health(&mut client, 1);
    table.advance(SECOND);
    table.listeners.idle_timeout = SECOND;
    table.advance(SECOND);
    assert!(is_at_end(&mut client));
    let late = request(1, 2, "/svc/look", &[], b"late");
    client.send(&late);
    table.turn();
    assert!(table.listeners.counts().discarded_bytes.is_empty());
    assert_eq!(table.listeners.connection_count(), 1);
    drop(client);
    table.run_until(|table| table.listeners.connection_count() == 0);
    let discarded = &table.listeners.counts().discarded_bytes;
    assert_eq!(discarded.get("idle"), Some(&(late.len() as u64)));
    assert!(table.requests.is_empty());
}

#[test]
fn a_new_connection_does_not_evict_one_whose_first_request_is_under_way() {
    let mut table = TableFixture::new(8);
    let _busy: Vec<Client> = (0..7).map(|nth| table.connect_with_request(nth)).collect();
    let mut eighth = table.connect_accepted();
    let mut ninth = table.connect(table.at);
    // The listener is ready, but no connection can be evicted.
    table.turn();
    assert_eq!(table.listeners.connection_count(), 8);
    table.check_health(&mut eighth, 10);
    // Once the eighth connection has been quiet for the grace period, it is evicted.
    table.advance(EVICTION_GRACE);
    table.run_until(|table| table.listeners.counts().accepted == 9);
    table.check_health(&mut ninth, 11);
    assert!(is_at_end(&mut eighth));
}

#[test]
fn partial_requests_that_fill_the_table_are_evicted_at_the_next_accept() {
    let mut table = TableFixture::new(8);
    let mut partial_clients: Vec<Client> = (0..8).map(|_| table.connect_accepted()).collect();
    for partial_client in &mut partial_clients {
        partial_client.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
        table.turn();
    }
    let mut check = table.connect(table.at);
    // All connections were active just now, so none can be evicted.
    table.turn();
    assert_eq!(table.listeners.connection_count(), 8);
    table.advance(EVICTION_GRACE);
    table.check_health(&mut check, 1);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&8)
    );
}

#[test]
fn partial_requests_after_complete_ones_are_evicted_after_idle_connections() {
    let mut table = TableFixture::new(8);
    let mut partial_clients: Vec<Client> = (0..7).map(|_| table.connect_accepted()).collect();
    for (partial_client, nth) in partial_clients.iter_mut().zip(1..) {
        table.check_health(partial_client, nth);
        partial_client.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
        table.turn();
    }
    let mut idle = table.connect_accepted();
    table.check_health(&mut idle, 10);
    table.advance(EVICTION_GRACE);
    let mut first = table.connect_accepted();
    table.check_health(&mut first, 11);
    assert!(
        is_at_end(&mut idle),
        "an idle connection is evicted before one with a partial request"
    );
    first.send_look(1, 12);
    table.run_until(|table| table.requests.len() == 1);
    table.advance(EVICTION_GRACE);
    let mut second = table.connect_accepted();
    table.check_health(&mut second, 13);
    table.check_answered(0, &mut first);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&2)
    );
}

#[test]
fn a_slow_request_ends_its_connection_only_after_other_pending_requests() {
    let mut table = TableFixture::new(8);
    let mut client = table.connect_accepted();
    client.send(&record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]));
    client.send_look(1, 1);
    table.run_until(|table| table.requests.len() == 1);
    table.advance(3 * SECOND);
    let slow = client.reply();
    assert_eq!((slow.id, slow.status), (2, 400));
    // After an unreadable request, the connection is not read until the next sweep.
    table.advance(EVICTION_GRACE);
    table.check_refused(&mut client, 3, 3);
    table.advance(3 * SECOND);
    table.check_answered(0, &mut client);
    assert!(is_at_end(&mut client));
    assert_eq!(table.requests.len(), 1);
}

#[test]
fn requests_to_a_withdrawn_listener_are_refused_and_never_left_unread() {
    let mut table = TableFixture::new(8);
    let listener_address = SocketAddr::new(table.at.ip(), 9091);
    table
        .listeners
        .listen(listener_address, Protocol::FastCgi, None)
        .unwrap();
    let mut client = table.connect(listener_address);
    client.send_look(1, 1);
    table.run_until(|table| table.requests.len() == 1);
    table.drain_listener(listener_address);
    table.check_refused(&mut client, 2, 2);
    table.check_answered(0, &mut client);
    assert!(is_at_end(&mut client));
    drop(client);
    table.run_until(|table| table.listeners.iter().count() == 1);
}

#[test]
fn a_partly_written_answer_is_completed_when_its_connection_drains() {
    let mut table = TableFixture::new(8);
    let mut client = table.connect_with_request(1);
    // More than the system buffers for a peer that does not read.
    let body = vec![7; 32_000_000];
    let output = RunOutput {
        headers: b"",
        body: &body,
    };
    table
        .listeners
        .answer(table.requests[0], Answer::Completed(output));
    while table.listeners.flush(table.now, &mut Vec::new()).is_break() {}
    assert!(
        table.listeners.unread_answer_bytes() > 0,
        "the whole answer was written at once"
    );
    table.drain_all();
    table.listeners.close_quiet(table.now, &mut Vec::new());
    let reader = std::thread::spawn(move || (client.reply().body, is_at_end(&mut client)));
    table.run_until(|table| table.listeners.unread_answer_bytes() == 0);
    table.listeners.close_quiet(table.now, &mut Vec::new());
    table.run_until(|table| table.listeners.connection_count() == 0);
    assert!(reader.join().unwrap() == (body, true));
}
