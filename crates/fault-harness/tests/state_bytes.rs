//! What each thing that a node keeps takes of its memory, counted by the allocator, against the bound that
//! the node's own sizes rest on. `cargo test -p doortrack-fault-harness --test state_bytes -- --nocapture` prints all.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

use doortrack_budgets::{
    Budget, Budgets, Envelope, Event as BudgetEvent, Kind, MAX_BUDGETS, MAX_REPORT_ITEMS, Message,
    NodeId, ReportItem,
};
use doortrack_expr::Limits;
use doortrack_fault_harness::scale::node_cost::settings::{Addresses, Size, installation};
use doortrack_membership::{
    Datagram, DatagramHeader, Event as FleetEvent, Fleet, Incarnation, MAX_UPDATES, MemberState,
    MemberUpdate, Parameters,
};
use doortrack_node::network::connection::{Connection, PendingRequest};
use doortrack_node::network::request::RunOutput;
use doortrack_node::state::in_flight::{InFlightRequest, InFlightTable, Stage};
use doortrack_node::state::results::ResultTable;
use doortrack_routes::{GroupName, Names, Rule, Table};

/// Counts the bytes that a thread has taken and not given back.
struct Counting;

thread_local! {
    static HELD: Cell<i64> = const { Cell::new(0) };
}

// SAFETY: everything is handed on to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        _ = HELD.try_with(|held| held.set(held.get() + layout.size() as i64));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        _ = HELD.try_with(|held| held.set(held.get() - layout.size() as i64));
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

fn held() -> i64 {
    HELD.with(Cell::get)
}

/// Bytes of what `make` makes, for each of `count`.
fn bytes_each<T>(count: usize, make: impl FnOnce() -> T) -> f64 {
    let before = held();
    let made = make();
    let bytes = (held() - before) as f64;
    drop(made);
    bytes / count as f64
}

/// Prints a figure; it is to be within what the pages and the node's own bounds reckon with.
fn within(what: &str, bytes: f64, most: f64) {
    println!("{what}: {bytes:.0} bytes (at most {most:.0})");
    assert!(
        bytes > 0.0 && bytes <= most,
        "{what}: {bytes} bytes, at most {most} are reckoned with"
    );
}

/// The bounds of `installation::orders`: an entry of the table of keys, a connection with nothing open.
const ENTRY: f64 = 300.0;
const CONNECTION: f64 = 20_000.0;

#[test]
fn an_idempotency_key_and_its_result_are_within_their_bound() {
    const COUNT: usize = 20_000;
    let result = RunOutput {
        headers: &[],
        body: b"done",
    };
    let bytes = bytes_each(COUNT, || {
        let mut results = ResultTable::new(COUNT, usize::MAX, 10_000);
        for nth in 0..COUNT {
            let mut key = [0; 32];
            key[..8].copy_from_slice(&nth.to_le_bytes());
            results.record(nth as u32, (1, key), b"{}", 0, 600_000, 0);
            results.complete(nth as u32, Ok(result));
        }
        results
    });
    within("an idempotency key with a result of 4 bytes", bytes, ENTRY);
}

fn exchange(nth: usize) -> InFlightRequest {
    let mut attempt_id = [0; 16];
    attempt_id[..8].copy_from_slice(&nth.to_le_bytes());
    InFlightRequest {
        attempt_id,
        group: 0,
        key: None,
        arrived_at: 0,
        body: vec![0; 2],
        variables: None,
        pool: 0,
        caller: None,
        stage: Stage::Queued,
        duplicate_of: None,
        reservations: Default::default(),
    }
}

#[test]
fn exchanges_in_hand_and_ended_tries_are_small() {
    const COUNT: usize = 10_000;
    let bytes = bytes_each(COUNT, || {
        let mut exchanges = InFlightTable::default();
        (0..COUNT).for_each(|nth| _ = exchanges.insert(exchange(nth)));
        exchanges
    });
    within(
        "an exchange in hand, with a body of 2 bytes and no variables",
        bytes,
        600.0,
    );
    let bytes = bytes_each(COUNT, || {
        let mut exchanges = InFlightTable::default();
        for nth in 0..COUNT {
            let id = exchanges.insert(exchange(nth)).unwrap();
            exchanges.remove(id).unwrap();
        }
        exchanges
    });
    within(
        "the id of a try that has ended, of the last 16384",
        bytes,
        100.0,
    );
}

#[test]
fn a_connection_by_its_type_is_within_its_bound() {
    within(
        "a connection without its buffers",
        size_of::<Connection>() as f64,
        CONNECTION,
    );
    within(
        "an open request without its parameters and body",
        size_of::<PendingRequest>() as f64,
        200.0,
    );
}

#[test]
fn a_route_and_a_tenant_are_small() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = Addresses {
        listen: address,
        front: address,
        fleet: address,
        registry: address,
        server: address,
    };
    let size = Size {
        routes: 3_400,
        tenants: 20_000,
        ..Size::BASELINE
    };
    let generated = installation("n1", &size, &addresses);
    let text = |rule: &serde_json::Value, key: &str| rule[key].as_str().map(str::to_string);
    let rules: Vec<Rule> = generated["rules"]
        .as_array()
        .unwrap()
        .iter()
        .map(|rule| Rule {
            when: text(rule, "when").unwrap(),
            group: text(rule, "group").unwrap(),
            pool: text(rule, "servers"),
            ..Rule::default()
        })
        .collect();
    let pools: Vec<String> = generated["pools"]
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    let names = |tenants: usize| Names {
        groups: vec![GroupName::new("look", false), GroupName::new("pay", true)],
        tenants: (0..tenants).map(|nth| format!("tenant-{nth}")).collect(),
        pools: pools.clone(),
    };
    let (few, many) = (names(1), names(size.tenants));
    let table = |names: &Names| Table::build(&rules, names, Limits::default()).unwrap();
    let bytes = bytes_each(rules.len(), || table(&few));
    within("a route, compiled and in the index", bytes, 2_000.0);
    let bytes = bytes_each(size.tenants, || table(&many))
        - bytes * rules.len() as f64 / size.tenants as f64;
    within("a customer in the table of routes", bytes, 100.0);
}

fn update(nth: usize) -> MemberUpdate {
    let address = SocketAddr::from(([10, 0, (nth >> 8) as u8, nth as u8], 7_400));
    let (name, incarnation) = (
        format!("node-{nth:04}").into(),
        Incarnation(1_000 + nth as u64),
    );
    MemberUpdate {
        name,
        incarnation,
        version: 0,
        state: MemberState::Alive,
        address,
        weight: 4,
    }
}

/// A node that was told of so many members by one of them.
fn fleet_of(members: usize) -> Fleet {
    let me = update(0);
    let incarnation = me.incarnation;
    let mut fleet = Fleet::new(me, Parameters::default(), 1, 0);
    let mut out = Vec::new();
    let all: Vec<usize> = (1..members).collect();
    for (nth, part) in all.chunks(MAX_UPDATES).enumerate() {
        let head = DatagramHeader {
            sender: update(1),
            to: incarnation,
            sequence: nth as u64 + 1,
            digest: 0,
            view: 0,
        };
        let updates = part.iter().map(|nth| update(*nth)).collect();
        let datagram = Datagram {
            head,
            message: doortrack_membership::Message::Updates,
            updates,
        };
        let from = update(1).address;
        fleet.handle(
            nth as u64,
            FleetEvent::Received { from, datagram },
            &mut out,
        );
        out.clear();
    }
    assert_eq!(fleet.view().members.len(), members);
    fleet
}

#[test]
fn a_member_is_small() {
    const MEMBERS: usize = 770;
    let bytes = bytes_each(MEMBERS, || fleet_of(MEMBERS));
    within(
        "a member, with what is still to be passed on of it",
        bytes,
        2_000.0,
    );
}

fn budget(nth: usize) -> Budget {
    Budget {
        name: format!("budget-{nth}").into(),
        kind: Kind::Rate { burst: 10_000 },
        limit: 10_000,
        reserved: 0,
        reserved_for: Arc::new([]),
        max_per_node: 10_000,
    }
}

fn node_id(nth: usize) -> NodeId {
    NodeId {
        name: format!("node-{nth:04}").into(),
        incarnation: Incarnation(1 + nth as u64),
    }
}

/// A node that is its fleet's only voter and has been elected.
fn leader(budgets: &[Budget]) -> (Budgets, u64) {
    let parameters = doortrack_budgets::Parameters {
        voters: Arc::new([node_id(0).name]),
        ..Default::default()
    };
    let mut leader = Budgets::new(node_id(0), 1, parameters, budgets, 1, 0);
    let (mut now, mut out) = (0, Vec::new());
    while !leader.is_leader(now) {
        now = leader.next_due();
        leader.handle(now, BudgetEvent::Tick, &mut out);
        out.clear();
    }
    (leader, now)
}

/// The same with reports of so many holders on all budgets.
fn leader_of(holders: usize, budgets: &[Budget]) -> Budgets {
    let (mut leader, now) = leader(budgets);
    let mut out = Vec::new();
    let item = |budget: &Budget| {
        let (limit, reserved) = (budget.limit(), 0);
        ReportItem {
            id: budget.id(),
            need: 5_000,
            holding: 0,
            accepted: 0,
            limit,
            reserved,
        }
    };
    for holder in 1..=holders {
        for (nth, part) in budgets.chunks(MAX_REPORT_ITEMS).enumerate() {
            let items = part.iter().map(item).collect();
            let message = Message::Report {
                seq: nth as u64 + 1,
                weight: 1,
                items,
            };
            let envelope = Envelope {
                from: node_id(holder),
                to: node_id(0),
                message,
            };
            leader.handle(now, BudgetEvent::Received(envelope), &mut out);
            out.clear();
        }
    }
    leader
}

#[test]
fn budgets_are_small_at_a_node_and_at_the_leader() {
    const HOLDERS: usize = 770;
    let list: Vec<Budget> = (0..40).map(budget).collect();
    let node = bytes_each(list.len(), || leader(&list));
    within("a budget at one node", node, 1_000.0);
    let one = bytes_each(HOLDERS, || leader_of(HOLDERS, &list[..1]));
    let forty = bytes_each(HOLDERS, || leader_of(HOLDERS, &list));
    within("a holder of one budget at the leader", one, 2_000.0);
    let line = (forty - one) / (list.len() - 1) as f64;
    within(
        "each further budget of a holder at the leader",
        line,
        1_000.0,
    );
    let most: Vec<Budget> = (0..MAX_BUDGETS).map(budget).collect();
    let whole = bytes_each(1, || leader_of(HOLDERS, &most));
    within(
        "the leader of 770 holders with as many budgets as there may be",
        whole,
        60_000_000.0,
    );
}
