//! What each rule of membership is for, a few nodes at a time and without any network: datagrams are handed
//! over by hand.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doortrack_membership::{
    Action, Change, Datagram, Event, Fleet, Head, Incarnation, MemberState, MemberUpdate, Message,
    Parameters, ReportedState,
};
use doortrack_time::MILLISECOND;

fn address(of: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, of as u8 + 1], 7_400))
}

fn update(of: usize, incarnation: u64) -> MemberUpdate {
    MemberUpdate {
        name: format!("n{of}").into(),
        incarnation: Incarnation(incarnation),
        version: 0,
        state: MemberState::Alive,
        address: address(of),
        weight: 4,
    }
}

/// Nodes between which every datagram comes at once, but for what `cut` says.
struct Few {
    fleets: Vec<Fleet>,
    now: u64,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    stopped: Vec<bool>,
    changes: Vec<(usize, Change)>,
    sent: Vec<(usize, usize, Datagram)>,
}

impl Few {
    fn new(count: usize) -> Few {
        let fleets = (0..count).map(|of| Few::node(of, 100, 0)).collect();
        Few {
            fleets,
            now: 0,
            cut: Box::new(|_, _| false),
            stopped: vec![false; count],
            changes: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn node(of: usize, incarnation: u64, now: u64) -> Fleet {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            ..Parameters::default()
        };
        Fleet::new(update(of, incarnation), parameters, 7 + of as u64, now)
    }

    fn handle(&mut self, of: usize, event: Event) {
        let mut queue = VecDeque::from([(of, event)]);
        while let Some((of, event)) = queue.pop_front() {
            let mut out = Vec::new();
            self.fleets[of].handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Report(change) => self.changes.push((of, change)),
                    Action::Send { to, datagram } => {
                        let Some(to) = (0..self.fleets.len()).find(|n| address(*n) == to) else {
                            continue;
                        };
                        self.sent.push((of, to, (*datagram).clone()));
                        if !(self.cut)(of, to) && !self.stopped[to] {
                            let from = address(of);
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
    fn pass(&mut self, ms: u64) {
        let till = self.now + ms * MILLISECOND;
        loop {
            let up = (0..self.fleets.len()).filter(|of| !self.stopped[*of]);
            let Some((due, of)) = up.map(|of| (self.fleets[of].next_due(), of)).min() else {
                break;
            };
            if due > till {
                break;
            }
            self.now = self.now.max(due);
            self.handle(of, Event::Tick);
        }
        self.now = till;
    }

    fn told(&self, of: usize, word: &str, whom: &str) -> bool {
        let about = |change: &Change| change.about().is_some_and(|(name, _)| &**name == whom);
        self.changes
            .iter()
            .any(|(by, change)| *by == of && change.word() == word && about(change))
    }

    fn state(&self, of: usize, whom: usize) -> Option<ReportedState> {
        let (reports, _) = self.fleets[of].report(None, 100, self.now);
        reports
            .iter()
            .find(|report| *report.name == *format!("n{whom}"))
            .map(|report| report.state)
    }

    fn members(&self, of: usize) -> usize {
        self.fleets[of].view().members.len()
    }
}

#[test]
fn nodes_find_one_another_by_seeds_and_hold_the_same_view() {
    let mut few = Few::new(6);
    few.pass(3_000);
    for of in 0..6 {
        assert_eq!(few.members(of), 6, "n{of}");
        assert_eq!(few.fleets[of].view().digest, few.fleets[0].view().digest);
        assert_eq!(few.fleets[of].view().weight(), 24);
    }
    assert!(
        few.changes
            .iter()
            .all(|(_, change)| change.word() != "suspected"),
        "{:?}",
        few.changes
    );
}

#[test]
fn one_that_dies_is_declared_dead_and_comes_back_under_a_new_incarnation() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.stopped[4] = true;
    few.pass(3_000);
    assert!((0..4).all(|of| few.told(of, "dead", "n4") && few.members(of) == 4));
    few.fleets[4] = Few::node(4, 200, few.now);
    few.stopped[4] = false;
    few.pass(3_000);
    assert!((0..5).all(|of| few.members(of) == 5), "{:?}", few.changes);
    let member = few.fleets[0].view().members.get("n4").copied();
    assert_eq!(
        member.map(|member| member.incarnation),
        Some(Incarnation(200))
    );
}

#[test]
fn one_that_leaves_is_left_at_once_and_never_dead() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.handle(2, Event::Leave);
    few.pass(400);
    few.stopped[2] = true;
    assert!(
        [0, 1, 3, 4].iter().all(|of| few.told(*of, "left", "n2")),
        "{:?}",
        few.changes
    );
    few.pass(5_000);
    assert!(
        [0, 1, 3, 4]
            .iter()
            .all(|of| !few.told(*of, "dead", "n2") && few.members(*of) == 4)
    );
    assert_eq!(few.state(0, 2), Some(ReportedState::Left));
}

#[test]
fn a_broken_link_between_two_declares_nobody_dead() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.cut = Box::new(|from, to| from.min(to) == 0 && from.max(to) == 1);
    few.pass(20_000);
    assert!((0..5).all(|of| few.members(of) == 5));
    assert!(
        !few.told(0, "dead", "n1") && !few.told(1, "dead", "n0"),
        "{:?}",
        few.changes
    );
}

#[test]
fn who_hears_nobody_considers_itself_isolated_and_declares_nobody_dead() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    few.pass(20_000);
    assert!(few.fleets[0].is_isolated());
    assert_eq!(few.members(0), 5);
    assert!((1..5).all(|of| few.told(of, "dead", "n0") && few.members(of) == 4));
    few.cut = Box::new(|_, _| false);
    few.pass(3_000);
    assert!(
        (0..5).all(|of| few.members(of) == 5 && !few.fleets[of].is_isolated()),
        "{:?}",
        few.changes
    );
}

#[test]
fn who_is_heard_but_hears_nothing_back_is_isolated_too() {
    for outward in [true, false] {
        let mut few = Few::new(5);
        few.pass(2_000);
        few.cut = Box::new(move |from, to| if outward { from == 0 } else { to == 0 });
        few.pass(10_000);
        assert!(few.fleets[0].is_isolated(), "outward {outward}");
        assert!(
            (1..5).all(|of| !few.told(0, "dead", &format!("n{of}"))),
            "outward {outward}: {:?}",
            few.changes
        );
    }
}

#[test]
fn without_the_word_isolated_everybody_would_be_declared_dead() {
    // The safeguard taken out: silence means nothing.
    let mut few = Few::new(5);
    for of in 0..5 {
        let parameters = Parameters {
            seeds: vec![address(0), address(1)],
            silent_periods: u32::MAX,
            ..Parameters::default()
        };
        few.fleets[of] = Fleet::new(update(of, 100), parameters, 7 + of as u64, 0);
    }
    few.pass(2_000);
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    few.pass(20_000);
    assert_eq!(few.members(0), 1);
}

#[test]
fn who_was_paused_says_so_and_suspects_nobody_before_it_heard() {
    let mut few = Few::new(4);
    few.pass(2_000);
    few.stopped[0] = true;
    let due = few.fleets[0].next_due();
    few.pass(5_000);
    assert!(due < few.now);
    few.stopped[0] = false;
    // It wakes, and nothing reaches it yet.
    few.cut = Box::new(|_, to| to == 0);
    few.changes.clear();
    few.pass(2_500);
    let own: Vec<&Change> = few
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
            .any(|change| matches!(change.word(), "suspected" | "dead")),
        "{own:?}"
    );
}

#[test]
fn two_halves_declare_one_another_dead_and_find_together_without_a_start() {
    let mut few = Few::new(8);
    few.pass(3_000);
    few.cut = Box::new(|from, to| (from < 4) != (to < 4));
    few.pass(8_000);
    assert!((0..8).all(|of| few.members(of) == 4), "{:?}", few.changes);
    few.cut = Box::new(|_, _| false);
    few.pass(4_000);
    assert!((0..8).all(|of| few.members(of) == 8), "{:?}", few.changes);
    assert!(
        (0..8).all(|of| few.fleets[of].me().incarnation == Incarnation(100)),
        "no incarnation was given up"
    );
}

#[test]
fn of_two_processes_of_one_name_the_later_stays() {
    let mut few = Few::new(4);
    few.pass(2_000);
    // A process elsewhere goes by the name of n3, and joins later.
    let mut duplicate = update(3, 300);
    duplicate.address = address(4);
    let parameters = Parameters {
        seeds: vec![address(0)],
        ..Parameters::default()
    };
    few.fleets
        .push(Fleet::new(duplicate, parameters, 99, few.now));
    few.stopped.push(false);
    few.pass(3_000);
    assert!(few.fleets[3].is_superseded(), "{:?}", few.changes);
    assert!(
        few.changes
            .iter()
            .any(|(by, change)| *by == 3 && matches!(change, Change::Superseded { .. }))
    );
    let sent = few.sent.iter().filter(|(by, ..)| *by == 3).count();
    few.pass(1_000);
    assert_eq!(
        few.sent.iter().filter(|(by, ..)| *by == 3).count(),
        sent,
        "it takes part no more"
    );
    assert_eq!(
        few.fleets[0]
            .view()
            .members
            .get("n3")
            .map(|member| member.address),
        Some(address(4))
    );
}

#[test]
fn a_start_with_the_clock_set_back_takes_a_later_incarnation() {
    let mut few = Few::new(4);
    few.pass(2_000);
    few.fleets[3] = Few::node(3, 50, few.now);
    few.pass(4_000);
    assert!(
        few.fleets[3].me().incarnation > Incarnation(100) && !few.fleets[3].is_superseded(),
        "{:?}",
        few.changes
    );
    assert!((0..4).all(|of| few.members(of) == 4));
}

#[test]
fn old_datagrams_change_nothing_after_a_start() {
    let mut few = Few::new(4);
    few.pass(2_000);
    let old: Vec<Datagram> = few
        .sent
        .iter()
        .filter(|(by, to, _)| *by == 3 && *to == 0)
        .map(|(.., datagram)| datagram.clone())
        .collect();
    assert!(old.len() > 5);
    few.stopped[3] = true;
    few.pass(4_000);
    assert_eq!(few.members(0), 3);
    let (view, refused) = (few.fleets[0].view().number, few.fleets[0].refused());
    for datagram in &old {
        few.handle(
            0,
            Event::Received {
                from: address(3),
                datagram: datagram.clone(),
            },
        );
    }
    assert_eq!(few.fleets[0].view().number, view, "to the same process");
    assert!(few.fleets[0].refused() > refused);
    few.fleets[0] = Few::node(0, 500, few.now);
    few.pass(2_000);
    let view = few.fleets[0].view().clone();
    assert_eq!(view.members.len(), 3);
    for datagram in old {
        few.handle(
            0,
            Event::Received {
                from: address(3),
                datagram,
            },
        );
    }
    assert_eq!(few.fleets[0].view().number, view.number, "to a later one");
}

#[test]
fn one_that_comes_back_again_and_again_is_held_back_longer() {
    let mut few = Few::new(5);
    few.pass(2_000);
    for incarnation in 1..5 {
        few.stopped[4] = true;
        few.pass(3_000);
        few.fleets[4] = Few::node(4, 100 + incarnation, few.now);
        few.stopped[4] = false;
        few.pass(500);
    }
    let waits: Vec<u64> = few
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
    assert_eq!(few.state(0, 4), Some(ReportedState::Joining));
    few.pass(10_000);
    assert_eq!(few.state(0, 4), Some(ReportedState::Alive));
}

#[test]
fn a_slow_one_is_told_apart_from_a_dead_one() {
    // Two nodes by hand: the answer comes after 600 ms, each time.
    let mut few = Few::new(3);
    few.pass(2_000);
    few.cut = Box::new(|from, _| from == 2);
    let mut late: VecDeque<(u64, usize, Datagram)> = VecDeque::new();
    few.changes.clear();
    for _ in 0..1_200 {
        let sent = few.sent.len();
        few.pass(10);
        for (by, to, datagram) in &few.sent[sent..] {
            if *by == 2 {
                late.push_back((few.now + 300 * MILLISECOND, *to, datagram.clone()));
            }
        }
        while late.front().is_some_and(|(at, ..)| *at <= few.now) {
            let Some((_, to, datagram)) = late.pop_front() else {
                break;
            };
            few.handle(
                to,
                Event::Received {
                    from: address(2),
                    datagram,
                },
            );
        }
    }
    assert!(
        few.told(0, "slow", "n2") || few.told(1, "slow", "n2"),
        "{:?}",
        few.changes
    );
    assert!(
        !few.told(0, "dead", "n2") && !few.told(1, "dead", "n2"),
        "{:?}",
        few.changes
    );
    assert_eq!(few.members(0), 3);
}

#[test]
fn nonsense_is_counted_and_changes_nothing() {
    let mut few = Few::new(3);
    few.pass(2_000);
    let view = few.fleets[0].view().clone();
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
            nth: 1,
            digest: 0,
            view: 0,
        };
        let datagram = Datagram {
            head,
            message: Message::Updates,
            updates: Vec::new(),
        };
        few.handle(
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
        nth: 1 << 40,
        digest: view.digest,
        view: 0,
    };
    let updates = vec![sound.clone(); 65];
    few.handle(
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
    assert_eq!(few.fleets[0].view().number, view.number);
    assert_eq!(few.fleets[0].refused(), 7);
}

#[test]
fn a_full_table_leaves_newcomers_out() {
    let mut few = Few::new(2);
    for of in 0..2 {
        let parameters = Parameters {
            seeds: vec![address(0)],
            max_members: 3,
            ..Parameters::default()
        };
        few.fleets[of] = Fleet::new(update(of, 100), parameters, of as u64, 0);
    }
    few.pass(2_000);
    for nth in 10..20 {
        let head = Head {
            sender: update(nth, 5),
            to: Incarnation(100),
            nth: 1,
            digest: 0,
            view: 0,
        };
        let datagram = Datagram {
            head,
            message: Message::Updates,
            updates: Vec::new(),
        };
        few.handle(
            0,
            Event::Received {
                from: address(nth),
                datagram,
            },
        );
    }
    assert_eq!(few.members(0), 4);
    assert!(
        few.changes
            .iter()
            .any(|(_, change)| matches!(change, Change::NoRoom { .. }))
    );
}

/// Two halves find together: of a member that is suspected for long already, another says that it is dead,
/// and its refutation has not come by yet.
#[test]
fn one_that_others_hold_for_dead_is_probed_before_it_is_dead_here() {
    let mut few = Few::new(6);
    few.pass(3_000);
    let word = |few: &mut Few, from: usize, nth: u64, state: MemberState| {
        let head = Head {
            sender: update(from, 100),
            to: Incarnation(100),
            nth,
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
        few.handle(
            0,
            Event::Received {
                from: address(from),
                datagram,
            },
        );
    };
    // Nothing reaches it for a while, so that nobody clears the suspicion; too short for it to be isolated.
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    word(&mut few, 1, 10_000, MemberState::Suspected { by: 0 });
    assert_eq!(few.state(0, 2), Some(ReportedState::Suspected));
    few.pass(450);
    assert_eq!(few.state(0, 2), Some(ReportedState::Suspected));
    few.cut = Box::new(|_, _| false);
    let sent = few.sent.len();
    word(&mut few, 3, 10_000, MemberState::Dead);
    few.pass(1);
    assert!(!few.told(0, "dead", "n2"), "dead at once");
    few.pass(2_000);
    let probes = few.sent[sent..].iter();
    let probes = probes.filter(|(from, to, what)| {
        (*from, *to) == (0, 2) && matches!(what.message, Message::Ping { .. })
    });
    assert!(probes.count() > 0, "no probe of it");
    assert!(!few.told(0, "dead", "n2"));
    assert_eq!(few.state(0, 2), Some(ReportedState::Alive));
}

/// Updates of the fullest datagram of updates that a node sends once it has heard of so many members at once.
fn fullest_datagram(members: usize) -> usize {
    let mut fleet = Few::node(0, 100, 0);
    let mut out = Vec::new();
    for nth in 0..members {
        let name = format!("m{nth}").into();
        let sender = MemberUpdate {
            name,
            address: address(nth % 200 + 1),
            ..update(0, 100)
        };
        let head = Head {
            sender,
            to: Incarnation(100),
            nth: 1,
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
            &mut out,
        );
    }
    out.clear();
    while fleet.next_due() < 60 * MILLISECOND {
        fleet.handle(fleet.next_due(), Event::Tick, &mut out);
    }
    let news = out.iter().filter_map(|action| match action {
        Action::Send { datagram, .. } if datagram.message == Message::Updates => {
            Some(datagram.updates.len())
        }
        _ => None,
    });
    news.max().unwrap_or(0)
}

/// Where hundreds die or come back at once, ten updates a datagram take seconds to go round.
#[test]
fn updates_on_many_at_once_fill_their_datagrams_and_on_few_do_not() {
    assert_eq!(fullest_datagram(50), 10);
    assert!(
        (20..=40).contains(&fullest_datagram(300)),
        "{}",
        fullest_datagram(300)
    );
}
