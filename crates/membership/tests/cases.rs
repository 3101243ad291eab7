//! Each rule of membership in small clusters without a network: datagrams are delivered directly.

#![allow(
    clippy::too_many_lines,
    reason = "a scenario is read from its start to its end"
)]

use std::collections::VecDeque;
use std::net::SocketAddr;

use doortrack_membership::{
    Action, Change, Datagram, Event, Fleet, Head, Incarnation, MemberState, MemberUpdate, Message,
    Parameters, ReportedState,
};
use doortrack_time::MILLISECOND;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7_400))
}

fn update(node: usize, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: format!("n{node}").into(),
        incarnation: Incarnation(incarnation),
        version: 0,
        state: MemberState::Alive,
        address: address(node),
        weight: 4,
    }
}

/// Nodes between which every datagram arrives at once, unless `cut` drops it.
struct Cluster {
    fleets: Vec<Fleet>,
    now: u64,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    stopped: Vec<bool>,
    changes: Vec<(usize, Change)>,
    sent: Vec<(usize, usize, Datagram)>,
}

impl Cluster {
    fn new(count: usize) -> Cluster {
        let fleets = (0..count).map(|node| Cluster::node(node, 100, 0)).collect();
        Cluster {
            fleets,
            now: 0,
            cut: Box::new(|_, _| false),
            stopped: vec![false; count],
            changes: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn node(node: usize, incarnation: u64, now: u64) -> Fleet {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            ..Parameters::default()
        };
        Fleet::new(update(node, incarnation), parameters, 7 + node as u64, now)
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut queue = VecDeque::from([(node, event)]);
        while let Some((node, event)) = queue.pop_front() {
            let mut actions = Vec::new();
            self.fleets[node].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Report(change) => self.changes.push((node, change)),
                    Action::Send { to, datagram } => {
                        let Some(to) = (0..self.fleets.len()).find(|n| address(*n) == to) else {
                            continue;
                        };
                        self.sent.push((node, to, (*datagram).clone()));
                        if !(self.cut)(node, to) && !self.stopped[to] {
                            let from = address(node);
                            queue.push_back((
                                to,
                                Event::Received {
                                    from,
                                    datagram: *datagram,
                                },
                            ));
                        }
                    }
                }
            }
        }
    }

    /// Lets time pass, in steps as fine as the timers.
    fn advance(&mut self, ms: u64) {
        let until = self.now + ms * MILLISECOND;
        loop {
            let up = (0..self.fleets.len()).filter(|node| !self.stopped[*node]);
            let Some((due, node)) = up.map(|node| (self.fleets[node].next_due(), node)).min()
            else {
                break;
            };
            if due > until {
                break;
            }
            self.now = self.now.max(due);
            self.handle(node, Event::Tick);
        }
        self.now = until;
    }

    fn reported(&self, node: usize, change_name: &str, member: &str) -> bool {
        let about = |change: &Change| change.member().is_some_and(|(name, _)| &**name == member);
        self.changes
            .iter()
            .any(|(by, change)| *by == node && change.name() == change_name && about(change))
    }

    fn state(&self, node: usize, member: usize) -> Option<ReportedState> {
        let (reports, _) = self.fleets[node].report(None, 100, self.now);
        reports
            .iter()
            .find(|report| *report.name == *format!("n{member}"))
            .map(|report| report.state)
    }

    fn members(&self, node: usize) -> usize {
        self.fleets[node].view().members.len()
    }
}

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
fn a_broken_link_between_two_declares_nobody_dead() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from.min(to) == 0 && from.max(to) == 1);
    cluster.advance(20_000);
    assert!((0..5).all(|node| cluster.members(node) == 5));
    assert!(
        !cluster.reported(0, "dead", "n1") && !cluster.reported(1, "dead", "n0"),
        "{:?}",
        cluster.changes
    );
}

#[test]
fn a_node_without_answers_considers_itself_isolated_and_declares_nobody_dead() {
    let mut cluster = Cluster::new(5);
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from == 0 || to == 0);
    cluster.advance(20_000);
    assert!(cluster.fleets[0].is_isolated());
    assert_eq!(cluster.members(0), 5);
    assert!((1..5).all(|node| cluster.reported(node, "dead", "n0") && cluster.members(node) == 4));
    cluster.cut = Box::new(|_, _| false);
    cluster.advance(3_000);
    assert!(
        (0..5).all(|node| cluster.members(node) == 5 && !cluster.fleets[node].is_isolated()),
        "{:?}",
        cluster.changes
    );
}

#[test]
fn a_node_with_a_one_way_link_is_isolated_too() {
    for outward in [true, false] {
        let mut cluster = Cluster::new(5);
        cluster.advance(2_000);
        cluster.cut = Box::new(move |from, to| if outward { from == 0 } else { to == 0 });
        cluster.advance(10_000);
        assert!(cluster.fleets[0].is_isolated(), "outward {outward}");
        assert!(
            (1..5).all(|node| !cluster.reported(0, "dead", &format!("n{node}"))),
            "outward {outward}: {:?}",
            cluster.changes
        );
    }
}

#[test]
fn without_isolation_everybody_would_be_declared_dead() {
    // The safeguard taken out: silence means nothing.
    let mut cluster = Cluster::new(5);
    for node in 0..5 {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            silent_periods: u32::MAX,
            ..Parameters::default()
        };
        cluster.fleets[node] = Fleet::new(update(node, 100), parameters, 7 + node as u64, 0);
    }
    cluster.advance(2_000);
    cluster.cut = Box::new(|from, to| from == 0 || to == 0);
    cluster.advance(20_000);
    assert_eq!(cluster.members(0), 1);
}

#[test]
fn a_paused_node_reports_it_and_suspects_nobody_before_an_answer() {
    let mut cluster = Cluster::new(4);
    cluster.advance(2_000);
    cluster.stopped[0] = true;
    let due = cluster.fleets[0].next_due();
    cluster.advance(5_000);
    assert!(due < cluster.now);
    cluster.stopped[0] = false;
    // It wakes, and nothing reaches it yet.
    cluster.cut = Box::new(|_, to| to == 0);
    cluster.changes.clear();
    cluster.advance(2_500);
    let own: Vec<&Change> = cluster
        .changes
        .iter()
        .filter(|(by, _)| *by == 0)
        .map(|(_, change)| change)
        .collect();
    assert!(
        matches!(own[0], Change::Resumed { late } if *late > 4_000 * MILLISECOND),
        "{own:?}"
    );
    assert!(
        !own.iter()
            .any(|change| matches!(change.name(), "suspected" | "dead")),
        "{own:?}"
    );
}

#[test]
fn two_halves_declare_one_another_dead_and_rejoin_without_a_restart() {
    let mut cluster = Cluster::new(8);
    cluster.advance(3_000);
    cluster.cut = Box::new(|from, to| (from < 4) != (to < 4));
    cluster.advance(8_000);
    assert!(
        (0..8).all(|node| cluster.members(node) == 4),
        "{:?}",
        cluster.changes
    );
    cluster.cut = Box::new(|_, _| false);
    cluster.advance(4_000);
    assert!(
        (0..8).all(|node| cluster.members(node) == 8),
        "{:?}",
        cluster.changes
    );
    assert!(
        (0..8).all(|node| cluster.fleets[node].me().incarnation == Incarnation(100)),
        "no incarnation was given up"
    );
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

#[test]
fn invalid_datagrams_are_counted_and_change_nothing() {
    let mut cluster = Cluster::new(3);
    cluster.advance(2_000);
    let view = cluster.fleets[0].view().clone();
    let sound = update(9, 5);
    let odd = [
        MemberUpdate {
            name: "".into(),
            ..sound.clone()
        },
        MemberUpdate {
            name: "x".repeat(65).into(),
            ..sound.clone()
        },
        MemberUpdate {
            incarnation: Incarnation(0),
            ..sound.clone()
        },
        MemberUpdate {
            address: SocketAddr::from(([0, 0, 0, 0], 1)),
            ..sound.clone()
        },
        MemberUpdate {
            weight: 0,
            ..sound.clone()
        },
        MemberUpdate {
            state: MemberState::Dead,
            ..sound.clone()
        },
    ];
    for sender in odd {
        let head = Head {
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
        cluster.handle(
            0,
            Event::Received {
                from: address(9),
                datagram,
            },
        );
    }
    let head = Head {
        sender: update(1, 100),
        to: Incarnation(100),
        sequence: 1 << 40,
        digest: view.digest,
        view: 0,
    };
    let updates = vec![sound.clone(); 65];
    cluster.handle(
        0,
        Event::Received {
            from: address(1),
            datagram: Datagram {
                head,
                message: Message::Updates,
                updates,
            },
        },
    );
    assert_eq!(cluster.fleets[0].view().number, view.number);
    assert_eq!(cluster.fleets[0].refused(), 7);
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
        let head = Head {
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

/// Two halves find together: of a member that is suspected for long already, another says that it is dead,
/// and its refutation has not come by yet.
#[test]
fn a_member_that_others_declared_dead_is_probed_before_it_is_dead_here() {
    let mut cluster = Cluster::new(6);
    cluster.advance(3_000);
    let send_update = |cluster: &mut Cluster, from: usize, sequence: u64, state: MemberState| {
        let head = Head {
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
    // Nothing reaches it for a while, so that nobody clears the suspicion; too short for it to be isolated.
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

/// Updates of the fullest datagram of updates that a node sends once it has learnt of this many members at once.
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
        let head = Head {
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
