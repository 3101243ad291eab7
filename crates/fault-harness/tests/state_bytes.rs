//! Measures with a counting allocator the memory of each kind of state that a node keeps, and checks it against
//! the bound that the node's own table sizes assume.
//!
//! `cargo test -p doortrack-fault-harness --test state_bytes -- --nocapture` prints all sizes.

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
use doortrack_node::network::request::{IdempotencyKey, RunOutput};
use doortrack_node::state::in_flight::{InFlightRequest, InFlightTable, Stage};
use doortrack_node::state::results::ResultTable;
use doortrack_routes::{GroupName, Names, Rule, Table};

/// An allocator that counts the bytes each thread has allocated and not freed.
struct CountingAllocator;

thread_local! {
    static ALLOCATED: Cell<i64> = const { Cell::new(0) };
}

// SAFETY: all calls are forwarded to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        _ = ALLOCATED.try_with(|allocated| allocated.set(allocated.get() + layout.size() as i64));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        _ = ALLOCATED.try_with(|allocated| allocated.set(allocated.get() - layout.size() as i64));
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated() -> i64 {
    ALLOCATED.with(Cell::get)
}

/// Memory of the value that `make` returns, in bytes for each of its `count` entries.
fn bytes_each<T>(count: usize, make: impl FnOnce() -> T) -> f64 {
    let before = allocated();
    let made = make();
    let bytes = (allocated() - before) as f64;
    drop(made);
    bytes / count as f64
}

/// Prints a size, and checks it against the bound that the documentation and the node assume.
fn assert_within(subject: &str, bytes: f64, max: f64) {
    println!("{subject}: {bytes:.0} bytes (at most {max:.0})");
    assert!(
        bytes > 0.0 && bytes <= max,
        "{subject}: {bytes} bytes, the bound is {max}"
    );
}

/// Bounds in bytes that the node's installation settings assume: for an entry of the table of idempotency keys, and
/// for a connection without open requests.
const MAX_KEY_ENTRY_BYTES: f64 = 300.0;
const MAX_CONNECTION_BYTES: f64 = 20_000.0;

#[test]
fn idempotency_key_with_result_is_within_its_bound() {
    const COUNT: usize = 20_000;
    let result = RunOutput {
        headers: &[],
        body: b"done",
    };
    let bytes = bytes_each(COUNT, || {
        let mut results = ResultTable::new(COUNT, usize::MAX, 10_000);
        for index in 0..COUNT {
            let mut key = [0; 32];
            key[..8].copy_from_slice(&index.to_le_bytes());
            let key = IdempotencyKey::Derived(key);
            results.record(index as u32, (1, key), b"{}", 0, 600_000, 0);
            results.complete(index as u32, Ok(result));
        }
        results
    });
    assert_within(
        "an idempotency key with a result of 4 bytes",
        bytes,
        MAX_KEY_ENTRY_BYTES,
    );
}

fn in_flight_request(index: usize) -> InFlightRequest {
    let mut attempt_id = [0; 16];
    attempt_id[..8].copy_from_slice(&index.to_le_bytes());
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
fn in_flight_requests_and_ended_attempts_are_within_their_bounds() {
    const COUNT: usize = 10_000;
    let bytes = bytes_each(COUNT, || {
        let mut requests = InFlightTable::default();
        (0..COUNT).for_each(|index| _ = requests.insert(in_flight_request(index)));
        requests
    });
    assert_within(
        "an in-flight request with a body of 2 bytes and no variables",
        bytes,
        600.0,
    );
    let bytes = bytes_each(COUNT, || {
        let mut requests = InFlightTable::default();
        for index in 0..COUNT {
            let id = requests.insert(in_flight_request(index)).unwrap();
            requests.remove(id).unwrap();
        }
        requests
    });
    assert_within(
        "the id of an ended attempt, of the last 16384",
        bytes,
        100.0,
    );
}

#[test]
fn connection_type_is_within_its_bound() {
    assert_within(
        "a connection without its buffers",
        size_of::<Connection>() as f64,
        MAX_CONNECTION_BYTES,
    );
    assert_within(
        "an open request without its parameters and body",
        size_of::<PendingRequest>() as f64,
        200.0,
    );
}

#[test]
fn route_and_tenant_are_within_their_bounds() {
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
        tenants: (0..tenants)
            .map(|index| format!("tenant-{index}"))
            .collect(),
        pools: pools.clone(),
    };
    let (one_tenant, all_tenants) = (names(1), names(size.tenants));
    let table = |names: &Names| Table::build(&rules, names, Limits::default()).unwrap();
    let bytes = bytes_each(rules.len(), || table(&one_tenant));
    assert_within("a route, compiled and in the index", bytes, 2_000.0);
    let bytes = bytes_each(size.tenants, || table(&all_tenants))
        - bytes * rules.len() as f64 / size.tenants as f64;
    assert_within("a tenant in the table of routes", bytes, 100.0);
}

fn update(index: usize) -> MemberUpdate {
    let address = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_400));
    let (name, incarnation) = (
        format!("node-{index:04}").into(),
        Incarnation(1_000 + index as u64),
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

/// A node that learned of `members` members from one of them.
fn fleet_of(members: usize) -> Fleet {
    let own_update = update(0);
    let incarnation = own_update.incarnation;
    let mut fleet = Fleet::new(own_update, Parameters::default(), 1, 0);
    let mut actions = Vec::new();
    let all: Vec<usize> = (1..members).collect();
    for (index, part) in all.chunks(MAX_UPDATES).enumerate() {
        let head = DatagramHeader {
            sender: update(1),
            to: incarnation,
            sequence: index as u64 + 1,
            digest: 0,
            view: 0,
        };
        let updates = part.iter().map(|index| update(*index)).collect();
        let datagram = Datagram {
            head,
            message: doortrack_membership::Message::Updates,
            updates,
        };
        let from = update(1).address;
        fleet.handle(
            index as u64,
            FleetEvent::Received { from, datagram },
            &mut actions,
        );
        actions.clear();
    }
    assert_eq!(fleet.view().members.len(), members);
    fleet
}

#[test]
fn member_is_within_its_bound() {
    const MEMBERS: usize = 770;
    let bytes = bytes_each(MEMBERS, || fleet_of(MEMBERS));
    assert_within("a member, with its pending gossip", bytes, 2_000.0);
}

fn budget(index: usize) -> Budget {
    Budget {
        name: format!("budget-{index}").into(),
        kind: Kind::Rate { burst: 10_000 },
        limit: 10_000,
        reserved: 0,
        reserved_for: Arc::new([]),
        max_per_node: 10_000,
    }
}

fn node_id(index: usize) -> NodeId {
    NodeId {
        name: format!("node-{index:04}").into(),
        incarnation: Incarnation(1 + index as u64),
    }
}

/// A node that is its fleet's only voter and has been elected.
fn leader(budgets: &[Budget]) -> (Budgets, u64) {
    let parameters = doortrack_budgets::Parameters {
        voters: Arc::new([node_id(0).name]),
        ..Default::default()
    };
    let mut leader = Budgets::new(node_id(0), 1, parameters, budgets, 1, 0);
    let (mut now, mut actions) = (0, Vec::new());
    while !leader.is_leader(now) {
        now = leader.next_due();
        leader.handle(now, BudgetEvent::Tick, &mut actions);
        actions.clear();
    }
    (leader, now)
}

/// The same leader after `holders` nodes reported on all budgets.
fn leader_of(holders: usize, budgets: &[Budget]) -> Budgets {
    let (mut leader, now) = leader(budgets);
    let mut actions = Vec::new();
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
        for (index, part) in budgets.chunks(MAX_REPORT_ITEMS).enumerate() {
            let items = part.iter().map(item).collect();
            let message = Message::Report {
                seq: index as u64 + 1,
                weight: 1,
                items,
            };
            let envelope = Envelope {
                from: node_id(holder),
                to: node_id(0),
                message,
            };
            leader.handle(now, BudgetEvent::Received(envelope), &mut actions);
            actions.clear();
        }
    }
    leader
}

#[test]
fn budgets_are_within_their_bounds_at_a_node_and_at_the_leader() {
    const HOLDERS: usize = 770;
    let list: Vec<Budget> = (0..40).map(budget).collect();
    let node = bytes_each(list.len(), || leader(&list));
    assert_within("a budget at one node", node, 1_000.0);
    let one = bytes_each(HOLDERS, || leader_of(HOLDERS, &list[..1]));
    let forty = bytes_each(HOLDERS, || leader_of(HOLDERS, &list));
    assert_within("a holder of one budget at the leader", one, 2_000.0);
    let per_budget = (forty - one) / (list.len() - 1) as f64;
    assert_within(
        "each further budget of a holder at the leader",
        per_budget,
        1_000.0,
    );
    let all_budgets: Vec<Budget> = (0..MAX_BUDGETS).map(budget).collect();
    let all_budgets_bytes = bytes_each(1, || leader_of(HOLDERS, &all_budgets));
    assert_within(
        "the leader of 770 holders with the greatest number of budgets",
        all_budgets_bytes,
        60_000_000.0,
    );
}
