//! Slow and suspected members.

use std::collections::VecDeque;

use doortrack_membership::{
    Datagram, DatagramHeader, Event, Incarnation, MemberState, MemberUpdate, Message, ReportedState,
};
use doortrack_time::MILLISECOND;

use crate::cluster::*;

#[test]
fn a_slow_member_is_distinguished_from_a_dead_one() {
    // Two nodes by hand: the answer comes after 600 ms, each time.
    let mut cluster = Cluster::new(3);
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, _| from == 2);
    let mut late: VecDeque<(u64, usize, Datagram)> = VecDeque::new();
    cluster.changes.clear();
    for _ in 0..1_200 {
        let sent = cluster.sent.len();
        cluster.advance(10);
        for (by, to, datagram) in &cluster.sent[sent..] {
            if *by == 2 {
                late.push_back((cluster.now + 300 * MILLISECOND, *to, datagram.clone()));
            }
        }
        while late.front().is_some_and(|(at, ..)| *at <= cluster.now) {
            let Some((_, to, datagram)) = late.pop_front() else {
                break;
            };
            cluster.handle(
                to,
                Event::Received {
                    from: address(2),
                    datagram,
                },
            );
        }
    }
    assert!(
        cluster.reported(0, "slow", "n2") || cluster.reported(1, "slow", "n2"),
        "{:?}",
        cluster.changes
    );
    assert!(
        !cluster.reported(0, "dead", "n2") && !cluster.reported(1, "dead", "n2"),
        "{:?}",
        cluster.changes
    );
    assert_eq!(cluster.members(0), 3);
}

/// Two halves find together: of a member that is suspected for long already, another says that it
/// is dead, and its refutation has not come by yet.
#[test]
fn a_member_that_others_declared_dead_is_probed_before_it_is_dead_here() {
    let mut cluster = Cluster::new(6);
    cluster.advance(3_000);
    let send_update = |cluster: &mut Cluster, from: usize, sequence: u64, state: MemberState| {
        let head = DatagramHeader {
            sender: update(from, 100),
            to: Incarnation(100),
            sequence,
            digest: 0,
            view: 0,
        };
        let updates = vec![MemberUpdate {
            state,
            ..update(2, 100)
        }];
        let datagram = Datagram {
            head,
            message: Message::Updates,
            updates,
        };
        cluster.handle(
            0,
            Event::Received {
                from: address(from),
                datagram,
            },
        );
    };
    // Nothing reaches it for a while, so that nobody clears the suspicion; too short for it to be
    // isolated.
    cluster.cut = Box::new(|from, to| from == 0 || to == 0);
    send_update(&mut cluster, 1, 10_000, MemberState::Suspected { by: 0 });
    assert_eq!(cluster.state(0, 2), Some(ReportedState::Suspected));
    cluster.advance(450);
    assert_eq!(cluster.state(0, 2), Some(ReportedState::Suspected));
    cluster.cut = Box::new(|_, _| false);
    let sent = cluster.sent.len();
    send_update(&mut cluster, 3, 10_000, MemberState::Dead);
    cluster.advance(1);
    assert!(!cluster.reported(0, "dead", "n2"), "dead at once");
    cluster.advance(2_000);
    let probes = cluster.sent[sent..].iter();
    let probes = probes.filter(|(from, to, datagram)| {
        (*from, *to) == (0, 2) && matches!(datagram.message, Message::Ping { .. })
    });
    assert!(probes.count() > 0, "no probe of it");
    assert!(!cluster.reported(0, "dead", "n2"));
    assert_eq!(cluster.state(0, 2), Some(ReportedState::Alive));
}
