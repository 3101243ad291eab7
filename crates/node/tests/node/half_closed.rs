//! A caller that has half-closed its connection, for which the node gets several events in one turn: after a pause
//! of the process the event loop reads twice in a turn.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;

use doortrack_config::ResourceLimits;
use doortrack_fakes::MAX_WAIT;
use doortrack_fakes::fixture::fresh_address;
use doortrack_fakes::records::{Client, request};
use doortrack_node::network::listeners::{
    Caller, FIRST_CONNECTION_KEY, FIRST_LISTENER_KEY, ListenerEvent, Listeners,
};
use doortrack_node::network::request::{Answer, DeploymentNames, RunOutput};
use doortrack_protocols::Protocol;
use polling::{Events, Poller};

use super::connection_ends::small_limits;

/// Handles all ready events without writing, as the loop does between two reads. Returns the callers of new
/// requests.
fn handle_ready_events(poller: &Poller, listeners: &mut Listeners, now: u64) -> Vec<Caller> {
    let (mut events, mut listener_events) = (Events::new(), Vec::new());
    assert!(
        poller.wait(&mut events, Some(MAX_WAIT)).unwrap() > 0,
        "no event arrives"
    );
    for event in events.iter() {
        match event.key {
            FIRST_LISTENER_KEY..FIRST_CONNECTION_KEY => {
                _ = listeners.accept(event.key - FIRST_LISTENER_KEY, now, &mut listener_events)
            }
            _ => listeners.on_event(event, now, &mut listener_events),
        }
    }
    let request_caller = |event| match event {
        ListenerEvent::Request { caller, .. } => Some(caller),
        ListenerEvent::Ended { .. } | ListenerEvent::Incomplete { .. } => None,
        ListenerEvent::PossibleDuplicate { .. } => {
            panic!("a request without a key is reported as a possible duplicate")
        }
    };
    listener_events
        .into_iter()
        .filter_map(request_caller)
        .collect()
}

#[test]
fn a_half_close_read_twice_in_one_turn_is_no_reset() {
    let poller = Arc::new(Poller::new().unwrap());
    let limits = ResourceLimits {
        open_requests: 8,
        ..small_limits()
    };
    let names = DeploymentNames {
        groups: vec!["look".into()],
        idempotency_keyed: vec![false],
        tenants: Vec::new(),
    };
    let mut listeners = Listeners::new(poller.clone(), names, limits, 100_000);
    let at: SocketAddr = fresh_address();
    listeners.listen(at, Protocol::FastCgi, None).unwrap();
    let now = doortrack_fakes::unix_ms() * 10;
    let mut client = Client {
        sock: TcpStream::connect(at).unwrap(),
    };
    client.sock.set_read_timeout(Some(MAX_WAIT)).unwrap();
    client.send(&request(1, 1, "/svc/look", &[], b"body"));
    client.sock.shutdown(Shutdown::Write).unwrap();
    let caller = loop {
        if let Some(caller) = handle_ready_events(&poller, &mut listeners, now).pop() {
            break caller;
        }
    };
    // The end of the stream is read twice before anything is written.
    handle_ready_events(&poller, &mut listeners, now);
    handle_ready_events(&poller, &mut listeners, now);
    assert!(
        listeners.is_pending(caller),
        "the half-closed connection was taken for a closed one"
    );
    listeners.answer(
        caller,
        Answer::Completed(RunOutput {
            headers: b"",
            body: b"yours",
        }),
    );
    while listeners.flush(now, &mut Vec::new()).is_break() {}
    assert_eq!(client.reply().body, b"yours");
    assert!(client.is_closed());
}
