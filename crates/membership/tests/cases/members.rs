//! Members that join, leave, die, return, and names that are used twice.

use doortrack_membership::{
    Change, Datagram, DatagramHeader, Event, Fleet, Incarnation, Message, Parameters, ReportedState,
};

use crate::cluster::*;

#[test]
fn nodes_join_by_seeds_and_agree_on_a_view() {
    let mut cluster = Cluster::new(6);
    cluster.advance(3_000);
    for node in 0..6 {
        assert_eq!(cluster.members(node), 6, "n{node}");
        assert_eq!(
            cluster.fleets[node].view().digest,
            cluster.fleets[0].view().digest
        );
        assert_eq!(cluster.fleets[node].view().weight(), 24);
    }
    assert!(
        cluster
            .changes
            .iter()
            .all(|(_, change)| change.name() != "suspected"),
        "{:?}",
        cluster.changes
    );
}

#[test]
fn a_dead_member_is_declared_dead_and_returns_under_a_new_incarnation() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.stopped[4] = true;
    cluster.advance(3_000);
    assert!((0..4).all(|node| cluster.reported(node, "dead", "n4") && cluster.members(node) == 4));
    cluster.fleets[4] = Cluster::node(4, 200, cluster.now);
    cluster.stopped[4] = false;
    cluster.advance(3_000);
    assert!(
        (0..5).all(|node| cluster.members(node) == 5),
        "{:?}",
        cluster.changes
    );
    let member = cluster.fleets[0].view().members.get("n4").copied();
    assert_eq!(
        member.map(|member| member.incarnation),
        Some(Incarnation(200))
    );
}

#[test]
fn a_leaving_member_is_left_at_once_and_never_dead() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.handle(2, Event::Leave);
    cluster.advance(400);
    cluster.stopped[2] = true;
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|node| cluster.reported(*node, "left", "n2")),
        "{:?}",
        cluster.changes
    );
    cluster.advance(5_000);
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|node| !cluster.reported(*node, "dead", "n2") && cluster.members(*node) == 4)
    );
    assert_eq!(cluster.state(0, 2), Some(ReportedState::Left));
}

#[test]
fn of_two_processes_of_one_name_the_later_stays() {
    let mut cluster = Cluster::new(4);
    cluster.advance(2_000);
    // A process elsewhere goes by the name of n3, and joins later.
    let mut duplicate = update(3, 300);
    duplicate.address = address(4);
    let parameters = Parameters {
        seeds: vec![address(0)],
        ..Parameters::default()
    };
    cluster
        .fleets
        .push(Fleet::new(duplicate, parameters, 99, cluster.now));
    cluster.stopped.push(false);
    cluster.advance(3_000);
    assert!(cluster.fleets[3].is_superseded(), "{:?}", cluster.changes);
    assert!(
        cluster
            .changes
            .iter()
            .any(|(by, change)| *by == 3 && matches!(change, Change::Superseded { .. }))
    );
    let sent = cluster.sent.iter().filter(|(by, ..)| *by == 3).count();
    cluster.advance(1_000);
    assert_eq!(
        cluster.sent.iter().filter(|(by, ..)| *by == 3).count(),
        sent,
        "it takes part no more"
    );
    assert_eq!(
        cluster.fleets[0]
            .view()
            .members
            .get("n3")
            .map(|member| member.address),
        Some(address(4))
    );
}

#[test]
fn a_restart_with_the_clock_set_back_takes_a_later_incarnation() {
    let mut cluster = Cluster::new(4);
    cluster.advance(2_000);
    cluster.fleets[3] = Cluster::node(3, 50, cluster.now);
    cluster.advance(4_000);
    assert!(
        cluster.fleets[3].me().incarnation > Incarnation(100) && !cluster.fleets[3].is_superseded(),
        "{:?}",
        cluster.changes
    );
    assert!((0..4).all(|node| cluster.members(node) == 4));
}

#[test]
fn old_datagrams_change_nothing_after_a_restart() {
    let mut cluster = Cluster::new(4);
    cluster.advance(2_000);
    let old: Vec<Datagram> = cluster
        .sent
        .iter()
        .filter(|(by, to, _)| *by == 3 && *to == 0)
        .map(|(.., datagram)| datagram.clone())
        .collect();
    assert!(old.len() > 5);
    cluster.stopped[3] = true;
    cluster.advance(4_000);
    assert_eq!(cluster.members(0), 3);
    let (view, refused) = (cluster.fleets[0].view().number, cluster.fleets[0].refused());
    for datagram in &old {
        cluster.handle(
            0,
            Event::Received {
                from: address(3),
                datagram: datagram.clone(),
            },
        );
    }
    assert_eq!(cluster.fleets[0].view().number, view, "to the same process");
    assert!(cluster.fleets[0].refused() > refused);
    cluster.fleets[0] = Cluster::node(0, 500, cluster.now);
    cluster.advance(2_000);
    let view = cluster.fleets[0].view().clone();
    assert_eq!(view.members.len(), 3);
    for datagram in old {
        cluster.handle(
            0,
            Event::Received {
                from: address(3),
                datagram,
            },
        );
    }
    assert_eq!(
        cluster.fleets[0].view().number,
        view.number,
        "to a later one"
    );
}

#[test]
fn a_member_that_returns_repeatedly_is_held_back_longer() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    for incarnation in 1..5 {
        cluster.stopped[4] = true;
        cluster.advance(3_000);
        cluster.fleets[4] = Cluster::node(4, 100 + incarnation, cluster.now);
        cluster.stopped[4] = false;
        cluster.advance(500);
    }
    let waits: Vec<u64> = cluster
        .changes
        .iter()
        .filter_map(|(by, change)| match change {
            Change::HeldBack { wait, .. } if *by == 0 => Some(*wait),
            _ => None,
        })
        .collect();
    assert!(
        waits.len() >= 3 && waits.windows(2).all(|pair| pair[0] < pair[1]),
        "{waits:?}"
    );
    assert_eq!(cluster.state(0, 4), Some(ReportedState::Joining));
    cluster.advance(10_000);
    assert_eq!(cluster.state(0, 4), Some(ReportedState::Alive));
}

#[test]

fn a_full_table_leaves_new_members_out() {
    let mut cluster = Cluster::new(2);
    for node in 0..2 {
        let parameters = Parameters {
            seeds: vec![address(0)],
            max_members: 3,
            ..Parameters::default()
        };
        cluster.fleets[node] = Fleet::new(update(node, 100), parameters, node as u64, 0);
    }
    cluster.advance(2_000);
    for sequence in 10..20 {
        let head = DatagramHeader {
            sender: update(sequence, 5),
            to: Incarnation(100),
            sequence: 1,
            digest: 0,
            view: 0,
        };
        let datagram = Datagram {
            head,
            message: Message::Updates,
            updates: Vec::new(),
        };
        cluster.handle(
            0,
            Event::Received {
                from: address(sequence),
                datagram,
            },
        );
    }
    assert_eq!(cluster.members(0), 4);
    assert!(
        cluster
            .changes
            .iter()
            .any(|(_, change)| matches!(change, Change::TableFull { .. }))
    );
}
