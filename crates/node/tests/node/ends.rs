//! What crosses the end of a caller's connection, tried on the table of connections itself: real sockets, the
//! test's own clock, and turns that are taken one by one, so the order is the test's and not chance's.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_config::ResourceLimits;
use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::fixture::fresh_address;
use doortrack_fakes::records::{Client, record, request};
use doortrack_node::network::bounds::EVICTION_GRACE;
use doortrack_node::network::listeners::{
    Caller, FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY, ListenerEvent, Listeners,
};
use doortrack_node::network::request::{Answer, DeploymentNames, RunOutput};
use doortrack_protocols::Protocol;
use polling::{Events, Poller};

/// Tenths of a ms in a second.
const S: u64 = 10_000;

/// The table and its callers, on a clock that stands still unless it is moved.
struct Table {
    poller: Arc<Poller>,
    listeners: Listeners,
    at: SocketAddr,
    now: u64,
    /// Requests read so far.
    requests: Vec<Caller>,
}

impl Table {
    fn new(connections: usize) -> Table {
        let poller = Arc::new(Poller::new().unwrap());
        let room = ResourceLimits {
            connections,
            open_requests: 64,
            dedup_entries: 1,
            result_bytes: 1,
            unread_answer_bytes: 100_000,
            engine_command_bytes: 1,
        };
        let names = DeploymentNames {
            groups: vec!["look".into()],
            idempotency_keyed: vec![false],
            tenants: Vec::new(),
        };
        let mut listeners = Listeners::new(poller.clone(), names, room, 10 * S);
        let at = fresh_address();
        listeners.listen(at, Protocol::FastCgi, None).unwrap();
        // Stamps of requests are of this time, so they are not far off.
        let now = doortrack_fakes::unix_ms() * 10;
        Table {
            poller,
            listeners,
            at,
            now,
            requests: Vec::new(),
        }
    }

    /// Takes in and reads what is ready, and writes; it waits for something to be.
    fn turn(&mut self) {
        let (mut events, mut listener_events) = (Events::new(), Vec::new());
        assert!(
            self.poller.wait(&mut events, Some(MAX_WAIT)).unwrap() > 0,
            "nothing comes"
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
        self.listeners.flush(self.now, &mut listener_events);
        self.requests
            .extend(listener_events.into_iter().filter_map(|event| match event {
                ListenerEvent::Request { caller, .. } => Some(caller),
                ListenerEvent::Ended { .. } => None,
            }));
    }

    fn until(&mut self, over: impl Fn(&Table) -> bool) {
        while !over(self) {
            self.turn();
        }
    }

    /// Lets time pass, and looks over what lay idle meanwhile.
    fn pass(&mut self, time: u64) {
        self.now += time;
        let mut listener_events = Vec::new();
        self.listeners.sweep(self.now, &mut listener_events);
        self.listeners.flush(self.now, &mut listener_events);
    }

    fn connect(&self, at: SocketAddr) -> Client {
        let sock = TcpStream::connect(at).unwrap();
        sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
        Client { sock }
    }

    /// One more connection that was taken in.
    fn caller(&mut self) -> Client {
        let accepted = self.listeners.counts().accepted;
        let client = self.connect(self.at);
        self.until(|table| table.listeners.counts().accepted > accepted);
        client
    }

    /// One that has a request open.
    fn busy_caller(&mut self, nth: u64) -> Client {
        let (mut client, open) = (self.caller(), self.requests.len());
        client.send_look(1, nth);
        self.until(|table| table.requests.len() > open);
        client
    }

    fn checks(&mut self, client: &mut Client, nth: u64) {
        let checks = self.listeners.counts().health_checks;
        client.send(&request(9, nth, "/status/live", &[], b""));
        self.until(|table| table.listeners.counts().health_checks > checks);
        assert_eq!(client.reply().status, 200);
    }

    /// Sends one more request on a connection that is about to end, which is refused as never run.
    fn refuses(&mut self, client: &mut Client, id: u16, nth: u64) {
        let refused = self.listeners.counts().no_capacity;
        client.send_look(id, nth);
        self.until(|table| table.listeners.counts().no_capacity > refused);
        let reply = client.reply();
        assert_eq!((reply.id, reply.status), (id, 2));
    }

    fn serves(&mut self, index: usize, client: &mut Client) {
        let output = RunOutput {
            headers: b"",
            body: b"made",
        };
        self.listeners
            .answer(self.requests[index], Answer::Completed(output));
        self.listeners.flush(self.now, &mut Vec::new());
        assert_eq!(client.reply().body, b"made");
    }
}

fn has_ended(client: &mut Client) -> bool {
    client.sock.read(&mut [0]).unwrap() == 0
}

#[test]
fn what_crosses_the_end_of_one_that_makes_room_meets_no_reset_and_is_not_run() {
    let mut table = Table::new(16);
    let mut callers: Vec<Client> = Vec::new();
    for nth in 0..15 {
        let mut caller = table.caller();
        table.checks(&mut caller, nth);
        callers.push(caller);
        table.pass(EVICTION_GRACE);
    }
    let mut newest = table.caller();
    let longest_idle = &mut callers[0];
    assert!(has_ended(longest_idle));
    longest_idle.send_look(1, 20);
    table.turn();
    assert_eq!(
        longest_idle.sock.take_error().unwrap().map(|e| e.kind()),
        None,
        "it was reset"
    );
    assert!(
        table.requests.is_empty(),
        "what came after the end was taken in"
    );
    table.checks(&mut newest, 21);
    drop(callers.remove(0));
    table.until(|table| table.listeners.connection_count() == 15);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&1)
    );
    callers
        .iter_mut()
        .zip(22..)
        .for_each(|(caller, nth)| table.checks(caller, nth));
}

#[test]
fn a_new_caller_does_not_push_out_one_whose_first_request_is_under_way() {
    let mut table = Table::new(8);
    let _busy: Vec<Client> = (0..7).map(|nth| table.busy_caller(nth)).collect();
    let mut eighth = table.caller();
    let mut ninth = table.connect(table.at);
    // The listener is looked at, and there is nobody to let go of.
    table.turn();
    assert_eq!(table.listeners.connection_count(), 8);
    table.checks(&mut eighth, 10);
    // With nothing more from it, it is the one that makes room.
    table.pass(EVICTION_GRACE);
    table.until(|table| table.listeners.counts().accepted == 9);
    table.checks(&mut ninth, 11);
    assert!(has_ended(&mut eighth));
}

#[test]
fn half_requests_that_fill_the_table_make_room_at_the_next_look() {
    let mut table = Table::new(8);
    let mut halves: Vec<Client> = (0..8).map(|_| table.caller()).collect();
    for half in &mut halves {
        half.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
        table.turn();
    }
    let mut check = table.connect(table.at);
    // Something moved on all of them just now, so there is nobody to let go of.
    table.turn();
    assert_eq!(table.listeners.connection_count(), 8);
    table.pass(EVICTION_GRACE);
    table.checks(&mut check, 1);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&8)
    );
}

#[test]
fn half_requests_after_whole_ones_make_room_once_nobody_idle_is_left() {
    let mut table = Table::new(8);
    let mut halves: Vec<Client> = (0..7).map(|_| table.caller()).collect();
    for (half, nth) in halves.iter_mut().zip(1..) {
        table.checks(half, nth);
        half.send(&record(1, 1, &[0, 1, 1, 0, 0, 0, 0, 0]));
        table.turn();
    }
    let mut idle = table.caller();
    table.checks(&mut idle, 10);
    table.pass(EVICTION_GRACE);
    let mut first = table.caller();
    table.checks(&mut first, 11);
    assert!(
        has_ended(&mut idle),
        "one that is idle goes before a part of a request"
    );
    first.send_look(1, 12);
    table.until(|table| table.requests.len() == 1);
    table.pass(EVICTION_GRACE);
    let mut second = table.caller();
    table.checks(&mut second, 13);
    table.serves(0, &mut first);
    assert_eq!(
        table.listeners.counts().terminations.get("evicted"),
        Some(&2)
    );
}

#[test]
fn a_slow_request_ends_its_connection_only_once_what_is_open_beside_it_is_answered() {
    let mut table = Table::new(8);
    let mut client = table.caller();
    client.send(&record(1, 2, &[0, 1, 1, 0, 0, 0, 0, 0]));
    client.send_look(1, 1);
    table.until(|table| table.requests.len() == 1);
    table.pass(3 * S);
    let slow = client.reply();
    assert_eq!((slow.id, slow.status), (2, 400));
    // One that brought what can't be read rests until the next look.
    table.pass(EVICTION_GRACE);
    table.refuses(&mut client, 3, 3);
    table.pass(3 * S);
    table.serves(0, &mut client);
    assert!(has_ended(&mut client));
    assert_eq!(table.requests.len(), 1);
}

#[test]
fn what_comes_to_a_front_that_was_withdrawn_is_refused_and_never_left_unread() {
    let mut table = Table::new(8);
    let front = SocketAddr::new(table.at.ip(), 9091);
    table
        .listeners
        .listen(front, Protocol::FastCgi, None)
        .unwrap();
    let mut client = table.connect(front);
    client.send_look(1, 1);
    table.until(|table| table.requests.len() == 1);
    table
        .listeners
        .drain_listener(front, table.now, &mut Vec::new());
    table.refuses(&mut client, 2, 2);
    table.serves(0, &mut client);
    assert!(has_ended(&mut client));
    drop(client);
    table.until(|table| table.listeners.iter().count() == 1);
}

#[test]
fn an_answer_that_is_partly_written_when_its_connection_is_to_end_is_written_whole() {
    let mut table = Table::new(8);
    let mut client = table.busy_caller(1);
    // More than the system takes for a peer that does not read.
    let body = vec![7; 32_000_000];
    let output = RunOutput {
        headers: b"",
        body: &body,
    };
    table
        .listeners
        .answer(table.requests[0], Answer::Completed(output));
    table.listeners.flush(table.now, &mut Vec::new());
    assert!(
        table.listeners.unread_answer_bytes() > 0,
        "all of it was taken"
    );
    table.listeners.drain_all(table.now, &mut Vec::new());
    let reader = std::thread::spawn(move || (client.reply().body, has_ended(&mut client)));
    table.until(|table| table.listeners.connection_count() == 0);
    assert!(reader.join().unwrap() == (body, true));
}
