//! What each rule of membership is for, a few nodes at a time and without any network: datagrams are handed
//! over by hand.

use std::collections::VecDeque;
use std::net::SocketAddr;

use doortrack_fleet::{
    Action, Claim, Datagram, Event, Fleet, Head, Life, Message, News, Stand, State, Terms,
};

const MS: u64 = 10;

fn address(of: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, of as u8 + 1], 7_400))
}

fn claim(of: usize, life: u64) -> Claim {
    Claim {
        name: format!("n{of}").into(),
        life: Life(life),
        turn: 0,
        stand: Stand::Alive,
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
    news: Vec<(usize, News)>,
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
            news: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn node(of: usize, life: u64, now: u64) -> Fleet {
        let terms = Terms { seeds: vec![address(0), address(1)], ..Terms::default() };
        Fleet::new(claim(of, life), terms, 7 + of as u64, now)
    }

    fn handle(&mut self, of: usize, event: Event) {
        let mut queue = VecDeque::from([(of, event)]);
        while let Some((of, event)) = queue.pop_front() {
            let mut out = Vec::new();
            self.fleets[of].handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Report(news) => self.news.push((of, news)),
                    Action::Send { to, datagram } => {
                        let Some(to) = (0..self.fleets.len()).find(|n| address(*n) == to) else { continue };
                        self.sent.push((of, to, (*datagram).clone()));
                        if !(self.cut)(of, to) && !self.stopped[to] {
                            let from = address(of);
                            queue.push_back((to, Event::Received { from, datagram: *datagram }));
                        }
                    }
                }
            }
        }
    }

    /// Lets time pass, in steps as fine as the timers.
    fn pass(&mut self, ms: u64) {
        let till = self.now + ms * MS;
        loop {
            let up = (0..self.fleets.len()).filter(|of| !self.stopped[*of]);
            let Some((due, of)) = up.map(|of| (self.fleets[of].next_due(), of)).min() else { break };
            if due > till {
                break;
            }
            self.now = self.now.max(due);
            self.handle(of, Event::Turn);
        }
        self.now = till;
    }

    fn told(&self, of: usize, word: &str, whom: &str) -> bool {
        let about = |news: &News| news.about().is_some_and(|(name, _)| &**name == whom);
        self.news.iter().any(|(by, news)| *by == of && news.word() == word && about(news))
    }

    fn state(&self, of: usize, whom: usize) -> Option<State> {
        let (reports, _) = self.fleets[of].report(None, 100, self.now);
        reports.iter().find(|report| *report.name == *format!("n{whom}")).map(|report| report.state)
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
    assert!(few.news.iter().all(|(_, news)| news.word() != "suspected"), "{:?}", few.news);
}

#[test]
fn one_that_dies_is_lost_and_comes_back_under_a_new_life() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.stopped[4] = true;
    few.pass(3_000);
    assert!((0..4).all(|of| few.told(of, "lost", "n4") && few.members(of) == 4));
    few.fleets[4] = Few::node(4, 200, few.now);
    few.stopped[4] = false;
    few.pass(3_000);
    assert!((0..5).all(|of| few.members(of) == 5), "{:?}", few.news);
    let seat = few.fleets[0].view().members.get("n4").copied();
    assert_eq!(seat.map(|seat| seat.life), Some(Life(200)));
}

#[test]
fn one_that_leaves_is_left_at_once_and_never_lost() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.handle(2, Event::Leave);
    few.pass(400);
    few.stopped[2] = true;
    assert!([0, 1, 3, 4].iter().all(|of| few.told(*of, "left", "n2")), "{:?}", few.news);
    few.pass(5_000);
    assert!([0, 1, 3, 4].iter().all(|of| !few.told(*of, "lost", "n2") && few.members(*of) == 4));
    assert_eq!(few.state(0, 2), Some(State::Left));
}

#[test]
fn a_broken_link_between_two_loses_nobody() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.cut = Box::new(|from, to| from.min(to) == 0 && from.max(to) == 1);
    few.pass(20_000);
    assert!((0..5).all(|of| few.members(of) == 5));
    assert!(!few.told(0, "lost", "n1") && !few.told(1, "lost", "n0"), "{:?}", few.news);
}

#[test]
fn who_hears_nobody_holds_itself_for_cut_off_and_loses_nobody() {
    let mut few = Few::new(5);
    few.pass(2_000);
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    few.pass(20_000);
    assert!(few.fleets[0].is_cut_off());
    assert_eq!(few.members(0), 5);
    assert!((1..5).all(|of| few.told(of, "lost", "n0") && few.members(of) == 4));
    few.cut = Box::new(|_, _| false);
    few.pass(3_000);
    assert!((0..5).all(|of| few.members(of) == 5 && !few.fleets[of].is_cut_off()), "{:?}", few.news);
}

#[test]
fn who_is_heard_but_hears_nothing_back_is_the_cut_off_one_too() {
    for outward in [true, false] {
        let mut few = Few::new(5);
        few.pass(2_000);
        few.cut = Box::new(move |from, to| if outward { from == 0 } else { to == 0 });
        few.pass(10_000);
        assert!(few.fleets[0].is_cut_off(), "outward {outward}");
        assert!(
            (1..5).all(|of| !few.told(0, "lost", &format!("n{of}"))),
            "outward {outward}: {:?}",
            few.news
        );
    }
}

#[test]
fn without_the_word_cut_off_everybody_would_be_lost() {
    // The safeguard taken out: silence means nothing.
    let mut few = Few::new(5);
    for of in 0..5 {
        let terms =
            Terms { seeds: vec![address(0), address(1)], silent_periods: u32::MAX, ..Terms::default() };
        few.fleets[of] = Fleet::new(claim(of, 100), terms, 7 + of as u64, 0);
    }
    few.pass(2_000);
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    few.pass(20_000);
    assert_eq!(few.members(0), 1);
}

#[test]
fn who_stood_still_says_so_and_doubts_nobody_before_it_heard() {
    let mut few = Few::new(4);
    few.pass(2_000);
    few.stopped[0] = true;
    let due = few.fleets[0].next_due();
    few.pass(5_000);
    assert!(due < few.now);
    few.stopped[0] = false;
    // It wakes, and nothing reaches it yet.
    few.cut = Box::new(|_, to| to == 0);
    few.news.clear();
    few.pass(2_500);
    let own: Vec<&News> = few.news.iter().filter(|(by, _)| *by == 0).map(|(_, news)| news).collect();
    assert!(matches!(own[0], News::StoodStill { late } if *late > 4_000 * MS), "{own:?}");
    assert!(!own.iter().any(|news| matches!(news.word(), "suspected" | "lost")), "{own:?}");
}

#[test]
fn two_halves_lose_one_another_and_find_together_without_a_start() {
    let mut few = Few::new(8);
    few.pass(3_000);
    few.cut = Box::new(|from, to| (from < 4) != (to < 4));
    few.pass(8_000);
    assert!((0..8).all(|of| few.members(of) == 4), "{:?}", few.news);
    few.cut = Box::new(|_, _| false);
    few.pass(4_000);
    assert!((0..8).all(|of| few.members(of) == 8), "{:?}", few.news);
    assert!((0..8).all(|of| few.fleets[of].me().life == Life(100)), "no life was given up");
}

#[test]
fn of_two_processes_of_one_name_the_later_stays() {
    let mut few = Few::new(4);
    few.pass(2_000);
    // A process elsewhere goes by the name of n3, and joins later.
    let mut twin = claim(3, 300);
    twin.address = address(4);
    let terms = Terms { seeds: vec![address(0)], ..Terms::default() };
    few.fleets.push(Fleet::new(twin, terms, 99, few.now));
    few.stopped.push(false);
    few.pass(3_000);
    assert!(few.fleets[3].is_displaced(), "{:?}", few.news);
    assert!(few.news.iter().any(|(by, news)| *by == 3 && matches!(news, News::Displaced { .. })));
    let sent = few.sent.iter().filter(|(by, ..)| *by == 3).count();
    few.pass(1_000);
    assert_eq!(few.sent.iter().filter(|(by, ..)| *by == 3).count(), sent, "it takes part no more");
    assert_eq!(few.fleets[0].view().members.get("n3").map(|seat| seat.address), Some(address(4)));
}

#[test]
fn a_start_with_the_clock_set_back_takes_a_younger_life() {
    let mut few = Few::new(4);
    few.pass(2_000);
    few.fleets[3] = Few::node(3, 50, few.now);
    few.pass(4_000);
    assert!(few.fleets[3].me().life > Life(100) && !few.fleets[3].is_displaced(), "{:?}", few.news);
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
        few.handle(0, Event::Received { from: address(3), datagram: datagram.clone() });
    }
    assert_eq!(few.fleets[0].view().number, view, "to the same process");
    assert!(few.fleets[0].refused() > refused);
    few.fleets[0] = Few::node(0, 500, few.now);
    few.pass(2_000);
    let view = few.fleets[0].view().clone();
    assert_eq!(view.members.len(), 3);
    for datagram in old {
        few.handle(0, Event::Received { from: address(3), datagram });
    }
    assert_eq!(few.fleets[0].view().number, view.number, "to a later one");
}

#[test]
fn one_that_comes_back_again_and_again_is_held_back_longer() {
    let mut few = Few::new(5);
    few.pass(2_000);
    for life in 1..5 {
        few.stopped[4] = true;
        few.pass(3_000);
        few.fleets[4] = Few::node(4, 100 + life, few.now);
        few.stopped[4] = false;
        few.pass(500);
    }
    let waits: Vec<u64> = few
        .news
        .iter()
        .filter_map(|(by, news)| match news {
            News::HeldBack { wait, .. } if *by == 0 => Some(*wait),
            _ => None,
        })
        .collect();
    assert!(waits.len() >= 3 && waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    assert_eq!(few.state(0, 4), Some(State::Joining));
    few.pass(10_000);
    assert_eq!(few.state(0, 4), Some(State::Alive));
}

#[test]
fn a_slow_one_is_told_apart_from_a_lost_one() {
    // Two nodes by hand: the answer comes after 600 ms, each time.
    let mut few = Few::new(3);
    few.pass(2_000);
    few.cut = Box::new(|from, _| from == 2);
    let mut late: VecDeque<(u64, usize, Datagram)> = VecDeque::new();
    few.news.clear();
    for _ in 0..1_200 {
        let sent = few.sent.len();
        few.pass(10);
        for (by, to, datagram) in &few.sent[sent..] {
            if *by == 2 {
                late.push_back((few.now + 300 * MS, *to, datagram.clone()));
            }
        }
        while late.front().is_some_and(|(at, ..)| *at <= few.now) {
            let Some((_, to, datagram)) = late.pop_front() else { break };
            few.handle(to, Event::Received { from: address(2), datagram });
        }
    }
    assert!(few.told(0, "slow", "n2") || few.told(1, "slow", "n2"), "{:?}", few.news);
    assert!(!few.told(0, "lost", "n2") && !few.told(1, "lost", "n2"), "{:?}", few.news);
    assert_eq!(few.members(0), 3);
}

#[test]
fn nonsense_is_counted_and_changes_nothing() {
    let mut few = Few::new(3);
    few.pass(2_000);
    let view = few.fleets[0].view().clone();
    let sound = claim(9, 5);
    let odd = [
        Claim { name: "".into(), ..sound.clone() },
        Claim { name: "x".repeat(65).into(), ..sound.clone() },
        Claim { life: Life(0), ..sound.clone() },
        Claim { address: SocketAddr::from(([0, 0, 0, 0], 1)), ..sound.clone() },
        Claim { weight: 0, ..sound.clone() },
        Claim { stand: Stand::Lost, ..sound.clone() },
    ];
    for of in odd {
        let head = Head { of, to: Life(100), nth: 1, digest: 0, view: 0 };
        let datagram = Datagram { head, message: Message::News, claims: Vec::new() };
        few.handle(0, Event::Received { from: address(9), datagram });
    }
    let head = Head { of: claim(1, 100), to: Life(100), nth: 1 << 40, digest: view.digest, view: 0 };
    let claims = vec![sound.clone(); 65];
    few.handle(
        0,
        Event::Received { from: address(1), datagram: Datagram { head, message: Message::News, claims } },
    );
    assert_eq!(few.fleets[0].view().number, view.number);
    assert_eq!(few.fleets[0].refused(), 7);
}

#[test]
fn a_full_table_leaves_newcomers_out() {
    let mut few = Few::new(2);
    for of in 0..2 {
        let terms = Terms { seeds: vec![address(0)], most_members: 3, ..Terms::default() };
        few.fleets[of] = Fleet::new(claim(of, 100), terms, of as u64, 0);
    }
    few.pass(2_000);
    for nth in 10..20 {
        let head = Head { of: claim(nth, 5), to: Life(100), nth: 1, digest: 0, view: 0 };
        let datagram = Datagram { head, message: Message::News, claims: Vec::new() };
        few.handle(0, Event::Received { from: address(nth), datagram });
    }
    assert_eq!(few.members(0), 4);
    assert!(few.news.iter().any(|(_, news)| matches!(news, News::NoRoom { .. })));
}

/// Two halves find together: of a member that is doubted for long already, another says that it is lost, and
/// its contradiction has not come by yet.
#[test]
fn one_that_others_hold_for_lost_is_looked_at_before_it_is_lost_here() {
    let mut few = Few::new(6);
    few.pass(3_000);
    let word = |few: &mut Few, from: usize, nth: u64, stand: Stand| {
        let head = Head { of: claim(from, 100), to: Life(100), nth, digest: 0, view: 0 };
        let claims = vec![Claim { stand, ..claim(2, 100) }];
        let datagram = Datagram { head, message: Message::News, claims };
        few.handle(0, Event::Received { from: address(from), datagram });
    };
    // Nothing reaches it for a while, so that nobody clears the doubt; too short for it to be cut off.
    few.cut = Box::new(|from, to| from == 0 || to == 0);
    word(&mut few, 1, 10_000, Stand::Suspected { by: 0 });
    assert_eq!(few.state(0, 2), Some(State::Suspected));
    few.pass(450);
    assert_eq!(few.state(0, 2), Some(State::Suspected));
    few.cut = Box::new(|_, _| false);
    let sent = few.sent.len();
    word(&mut few, 3, 10_000, Stand::Lost);
    few.pass(1);
    assert!(!few.told(0, "lost", "n2"), "lost at once");
    few.pass(2_000);
    let looks = few.sent[sent..].iter();
    let looks = looks
        .filter(|(from, to, what)| (*from, *to) == (0, 2) && matches!(what.message, Message::Ping { .. }));
    assert!(looks.count() > 0, "no look at it");
    assert!(!few.told(0, "lost", "n2"));
    assert_eq!(few.state(0, 2), Some(State::Alive));
}

/// Claims of the fullest datagram of news that a node sends once it has heard of so many members at once.
fn fullest_news(members: usize) -> usize {
    let mut fleet = Few::node(0, 100, 0);
    let mut out = Vec::new();
    for nth in 0..members {
        let of = Claim { name: format!("m{nth}").into(), address: address(nth % 200 + 1), ..claim(0, 100) };
        let head = Head { of, to: Life(100), nth: 1, digest: 0, view: 0 };
        let datagram = Datagram { head, message: Message::News, claims: Vec::new() };
        fleet.handle(0, Event::Received { from: address(1), datagram }, &mut out);
    }
    out.clear();
    while fleet.next_due() < 60 * MS {
        fleet.handle(fleet.next_due(), Event::Turn, &mut out);
    }
    let news = out.iter().filter_map(|action| match action {
        Action::Send { datagram, .. } if datagram.message == Message::News => Some(datagram.claims.len()),
        _ => None,
    });
    news.max().unwrap_or(0)
}

/// Where hundreds are lost or come back at once, ten claims a datagram take seconds to go round.
#[test]
fn news_of_many_at_once_fills_its_datagrams_and_of_few_does_not() {
    assert_eq!(fullest_news(50), 10);
    assert!((20..=40).contains(&fullest_news(300)), "{}", fullest_news(300));
}
