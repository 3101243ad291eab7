//! Invalid datagrams, and how updates fill datagrams.

use std::net::SocketAddr;

use doortrack_membership::{
    Action, Datagram, DatagramHeader, Event, Incarnation, MemberState, MemberUpdate, Message,
};
use doortrack_time::MILLISECOND;

use crate::cluster::*;

/// Updates of a sender on itself that are invalid, one field each.
fn invalid_senders(valid: &MemberUpdate) -> [MemberUpdate; 6] {
    [
        MemberUpdate {
            name: "".into(),
            ..valid.clone()
        },
        MemberUpdate {
            name: "x".repeat(65).into(),
            ..valid.clone()
        },
        MemberUpdate {
            incarnation: Incarnation(0),
            ..valid.clone()
        },
        MemberUpdate {
            address: SocketAddr::from(([0, 0, 0, 0], 1)),
            ..valid.clone()
        },
        MemberUpdate {
            weight: 0,
            ..valid.clone()
        },
        MemberUpdate {
            state: MemberState::Dead,
            ..valid.clone()
        },
    ]
}

#[test]
fn invalid_datagrams_are_counted_and_change_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.advance(2_000);
    let view = cluster.fleets[0].view().clone();
    let receive =
        |cluster: &mut Cluster, from: usize, head: DatagramHeader, updates: Vec<MemberUpdate>| {
            let datagram = Datagram {
                head,
                message: Message::Updates,
                updates,
            };
            let from = address(from);
            cluster.handle(0, Event::Received { from, datagram });
        };
    let valid = update(9, 5);
    for sender in invalid_senders(&valid) {
        let head = DatagramHeader {
            sender,
            to: Incarnation(100),
            sequence: 1,
            digest: 0,
            view: 0,
        };
        receive(&mut cluster, 9, head, Vec::new());
    }
    let head = DatagramHeader {
        sender: update(1, 100),
        to: Incarnation(100),
        sequence: 1 << 40,
        digest: view.digest,
        view: 0,
    };
    receive(&mut cluster, 1, head, vec![valid; 65]);
    assert_eq!(cluster.fleets[0].view().number, view.number);
    assert_eq!(cluster.fleets[0].refused(), 7);
}

/// Updates of the fullest datagram of updates that a node sends once it has learnt of this many
/// members at once.
fn fullest_datagram(members: usize) -> usize {
    let mut fleet = Cluster::node(0, 100, 0);
    let mut actions = Vec::new();
    for index in 0..members {
        let name = format!("m{index}").into();
        let sender = MemberUpdate {
            name,
            address: address(index % 200 + 1),
            ..update(0, 100)
        };
        let head = DatagramHeader {
            sender,
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
        fleet.handle(
            0,
            Event::Received {
                from: address(1),
                datagram,
            },
            &mut actions,
        );
    }
    actions.clear();
    while fleet.next_due() < 60 * MILLISECOND {
        fleet.handle(fleet.next_due(), Event::Tick, &mut actions);
    }
    let news = actions.iter().filter_map(|action| match action {
        Action::Send { datagram, .. } if datagram.message == Message::Updates => {
            Some(datagram.updates.len())
        }
        _ => None,
    });
    news.max().unwrap_or(0)
}

/// Where hundreds die or come back at once, ten updates a datagram take seconds to go round.
#[test]
fn many_pending_updates_fill_datagrams_and_few_do_not() {
    assert_eq!(fullest_datagram(50), 10);
    assert!(
        (20..=40).contains(&fullest_datagram(300)),
        "{}",
        fullest_datagram(300)
    );
}
