//! Servers that go down and return cold: what they are sent by when, what the others take, and that nothing
//! waits for credit that does not come.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, Admission, Aside, ConnId, Over, Pool, Ramp, Retries, RunEnd, RunId, ServerId, Standing,
    Terms, Token,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OVER: TenthMillis = 10_000 * MILLISECOND;
const RUNS: u32 = 100;
const AT_ONCE: u32 = 4;

fn terms() -> Terms {
    Terms {
        at_once: AT_ONCE,
        idle: 5_000 * MILLISECOND,
        open_within: 250 * MILLISECOND,
        answer_within: 1_000 * MILLISECOND,
        aside: Aside {
            failures: 3,
            first: 500 * MILLISECOND,
            longest: 8_000 * MILLISECOND,
            floor: 0.25,
        },
        retries: Retries {
            share: 0.1,
            burst: 10,
            tries: 3,
        },
        ramp: Some(Ramp {
            over: OVER,
            runs: RUNS,
        }),
    }
}

/// What a server does with what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Sound,
    /// Nothing listens there.
    Gone,
    /// Takes connections and never answers.
    Hangs,
    /// Breaks off once a run was sent.
    Breaks,
    /// Answers that the run failed.
    Fails,
}

/// What came of one request that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    HeldBack,
    Ended(RunEnd),
}

/// Plays node and sockets: requests that are admitted begin at once, on servers with moods.
struct World {
    pool: Pool,
    now: TenthMillis,
    moods: BTreeMap<ServerId, Mood>,
    conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    next: BTreeSet<(TenthMillis, ConnId)>,
    runs: RunId,
    came: BTreeMap<RunId, (Came, TenthMillis)>,
    /// When runs were sent, by server, and when ramps began.
    sent: BTreeMap<ServerId, Vec<TenthMillis>>,
    ramps: Vec<(ServerId, TenthMillis)>,
    told: Vec<(ServerId, Standing)>,
}

impl World {
    fn new(terms: Terms, servers: usize) -> World {
        let mut pool = Pool::new(terms, 1);
        let ids: Vec<ServerId> = (0..servers).map(|_| pool.add(0, &mut Vec::new())).collect();
        let (conns, next, came, sent, ramps, told) = Default::default();
        let moods = ids.into_iter().map(|id| (id, Mood::Sound)).collect();
        World {
            pool,
            now: 0,
            moods,
            conns,
            next,
            runs: 0,
            came,
            sent,
            ramps,
            told,
        }
    }

    /// One request: admitted and begun, or held back.
    fn ask(&mut self) -> RunId {
        self.runs += 1;
        let run = self.runs;
        match self.pool.admit(self.now) {
            Err(wait) => {
                assert!((1..=OVER).contains(&wait), "come back after {wait}");
                self.came.insert(run, (Came::HeldBack, self.now));
            }
            Ok(admission) => {
                if admission == Admission::Reserved {
                    self.pool.release();
                }
                let mut actions = Vec::new();
                self.pool
                    .begin(run, run.is_multiple_of(2), self.now, &mut actions);
                self.carry_out(actions);
            }
        }
        run
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for what in actions {
            match what {
                Action::Open { conn, server } => {
                    assert!(self.conns.insert(conn, (server, None)).is_none());
                    self.next.insert((self.now + MILLISECOND, conn));
                }
                Action::Send { conn, run } => {
                    let (server, carries) = self.conns.get_mut(&conn).expect("sent on none");
                    assert_eq!(carries.replace(run), None, "two runs on one connection");
                    self.pool.sent(conn);
                    self.sent.entry(*server).or_default().push(self.now);
                    let mood = self.moods[server];
                    if mood != Mood::Hangs {
                        self.next.insert((
                            self.now
                                + if mood == Mood::Sound {
                                    10 * MILLISECOND
                                } else {
                                    MILLISECOND
                                },
                            conn,
                        ));
                    }
                }
                Action::Close { conn } => {
                    assert!(self.conns.remove(&conn).is_some(), "closed twice");
                    self.next.retain(|(_, other)| *other != conn);
                }
                Action::Report { server, standing } => {
                    self.told.push((server, standing));
                    if matches!(standing, Standing::Ramping { .. }) {
                        self.ramps.push((server, self.now));
                    }
                }
                Action::Ended { run, end } => {
                    let ended = self.came.insert(run, (Came::Ended(end), self.now));
                    assert!(ended.is_none(), "{run} ended twice");
                }
            }
        }
    }

    /// Lets time pass, with what happens in it.
    fn pass(&mut self, span: TenthMillis) {
        let till = self.now + span;
        loop {
            let next = self.next.first().map_or(TenthMillis::MAX, |(at, _)| *at);
            let due = self.pool.next_due();
            self.now = next.min(due).min(till).max(self.now);
            let mut actions = Vec::new();
            if next <= self.now && next <= due {
                let (_, conn) = self.next.pop_first().unwrap();
                self.happens(conn, &mut actions);
            } else if due <= self.now {
                self.pool.tick(self.now, &mut actions);
                assert!(
                    self.pool.next_due() > self.now,
                    "what was due is due again at once"
                );
            } else {
                return;
            }
            self.carry_out(actions);
        }
    }

    fn happens(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
        let (server, carries) = self.conns[&conn];
        let mood = self.moods[&server];
        if carries.is_none() {
            if mood != Mood::Gone {
                return self.pool.opened(conn, self.now, actions);
            }
            self.conns.remove(&conn);
            return self.pool.refused(conn, self.now, actions);
        }
        if matches!(mood, Mood::Gone | Mood::Breaks) {
            self.conns.remove(&conn);
            return self.pool.lost(conn, self.now, actions);
        }
        self.conns.get_mut(&conn).unwrap().1 = None;
        let over = match mood {
            Mood::Fails => Over::Failed { keep: true },
            _ => Over::Completed { keep: true },
        };
        self.pool.over(conn, over, self.now, actions);
    }

    /// Requests at this pace for so long.
    fn load(&mut self, every: TenthMillis, lasts: TenthMillis) {
        let till = self.now + lasts;
        while self.now < till {
            self.ask();
            self.pass(every);
        }
    }

    /// A server goes: its connections end, and nothing listens.
    fn kill(&mut self, server: ServerId) {
        self.moods.insert(server, Mood::Gone);
        let ends: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, (of, _))| *of == server)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in ends {
            // Another's end may have closed this one.
            if self.conns.remove(&conn).is_some() {
                self.next.retain(|(_, other)| *other != conn);
                let mut actions = Vec::new();
                self.pool.lost(conn, self.now, &mut actions);
                self.carry_out(actions);
            }
        }
    }

    fn sent_within(&self, server: ServerId, from: TenthMillis, till: TenthMillis) -> usize {
        self.sent
            .get(&server)
            .into_iter()
            .flatten()
            .filter(|at| (from..till).contains(at))
            .count()
    }

    fn counted(&self, came: Came) -> usize {
        self.came.values().filter(|(of, _)| *of == came).count()
    }

    /// Of each ramp: no more than its curve at any time, the probe apart, and no more than its runs in all.
    fn check_ramps(&self) {
        for (server, since) in &self.ramps {
            let next = self
                .ramps
                .iter()
                .filter(|(of, at)| of == server && at > since)
                .map(|(_, at)| *at)
                .min();
            let till = next.unwrap_or(TenthMillis::MAX).min(since + OVER);
            let sent = self
                .sent
                .get(server)
                .into_iter()
                .flatten()
                .filter(|at| (*since..till).contains(at));
            for (nth, at) in sent.enumerate() {
                let allowed = f64::from(RUNS) * ((at - since) as f64 / OVER as f64).powi(2);
                let count = nth + 1;
                assert!(
                    count as f64 <= allowed.max(1.0) + 1e-6,
                    "{count} sent {} after its return",
                    at - since
                );
            }
        }
    }
}

/// A pool of one server that was served, went down, and returns just before its next probe.
fn returned(terms: Terms) -> World {
    let mut world = World::new(terms, 1);
    world.load(5 * MILLISECOND, 100 * MILLISECOND);
    world.kill(0);
    world.load(5 * MILLISECOND, 2_000 * MILLISECOND);
    world.moods.insert(0, Mood::Sound);
    world
}

#[test]
fn a_server_that_is_down_is_probed_by_one_run_at_a_time_and_the_rest_is_told_when_to_come_back() {
    let mut world = World::new(terms(), 1);
    world.load(5 * MILLISECOND, 100 * MILLISECOND);
    let served = world.runs;
    world.kill(0);
    world.load(5 * MILLISECOND, 10_000 * MILLISECOND);
    // A probe every 250 to 500 ms, though the only server there is.
    let asked = (world.runs - served) as usize;
    let tried = world.counted(Came::Ended(RunEnd::NeverRan));
    assert!((20..=41).contains(&tried), "{tried} probes of {asked}");
    assert_eq!(
        world.counted(Came::HeldBack),
        asked - tried,
        "{:?}",
        world.pool.counts
    );
    let told = world
        .told
        .iter()
        .filter(|(_, what)| matches!(what, Standing::Down { .. }))
        .count();
    assert_eq!(told, 1, "{:?}", world.told);
}

#[test]
fn a_return_is_met_with_a_rate_that_grows_from_one_probe_to_all_runs_of_the_ramp() {
    let mut world = returned(terms());
    world.load(5 * MILLISECOND, OVER + 1_000 * MILLISECOND);
    let (_, since) = world.ramps[0];
    world.check_ramps();
    let by = |tenth: TenthMillis| world.sent_within(0, since, since + OVER * tenth / 10);
    assert!((95..=100).contains(&by(10)), "{}", by(10));
    // A quarter of it in the first half.
    assert!((20..=26).contains(&by(5)), "{}", by(5));
    assert!(
        world.sent_within(0, since + OVER, TenthMillis::MAX) > 100,
        "full load after it"
    );
    assert_eq!(world.told.last(), Some(&(0, Standing::Warm)));
}

#[test]
fn without_a_ramp_a_return_is_met_with_all_there_is() {
    let mut world = returned(Terms {
        ramp: None,
        ..terms()
    });
    let since = world.now;
    world.load(5 * MILLISECOND, OVER);
    assert!(world.sent_within(0, since, since + OVER) > 1_500);
    assert_eq!((world.pool.counts.held_back, world.ramps.len()), (0, 0));
}

#[test]
fn credit_that_was_not_used_is_not_saved_up_for_the_end() {
    let mut world = returned(terms());
    // The probe is due within half a second.
    for _ in 0..100 {
        if world.ramps.is_empty() {
            world.load(5 * MILLISECOND, 5 * MILLISECOND);
        }
    }
    assert_eq!(world.ramps.len(), 1);
    world.pass(OVER - 500 * MILLISECOND);
    let before = world.sent[&0].len();
    // Nothing was wanted for most of the ramp: what comes now gets the rate of now, about 20 a second.
    world.load(MILLISECOND, 400 * MILLISECOND);
    let sent = world.sent[&0].len() - before;
    assert!((6..=11).contains(&sent), "{sent}");
}

#[test]
fn a_ramp_begins_anew_where_the_server_goes_down_again() {
    let mut world = returned(terms());
    world.load(5 * MILLISECOND, 9_000 * MILLISECOND);
    world.kill(0);
    world.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    world.moods.insert(0, Mood::Sound);
    let back = world.now;
    world.load(5 * MILLISECOND, 5_000 * MILLISECOND);
    assert_eq!(world.ramps.len(), 2);
    world.check_ramps();
    // Five seconds into the first ramp's successor, not fifteen into the first.
    assert!(world.sent_within(0, back, back + 5_000 * MILLISECOND) <= 25);
}

#[test]
fn the_other_servers_take_what_a_ramping_one_may_not_have() {
    let mut world = World::new(terms(), 3);
    world.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    world.kill(2);
    world.load(5 * MILLISECOND, 5_000 * MILLISECOND);
    world.moods.insert(2, Mood::Sound);
    let (from, asked) = (world.now, world.runs);
    // A probe may have been due long ago: the spans of one that stays down grow.
    world.load(5 * MILLISECOND, 8_000 * MILLISECOND + OVER);
    let (_, since) = world.ramps[0];
    world.check_ramps();
    assert!(
        world.sent_within(2, since, since + OVER) > 60,
        "it gets its part"
    );
    assert_eq!(world.pool.counts.held_back, 0);
    let ends = (asked + 1..=world.runs).filter_map(|run| world.came.get(&run));
    let bad = ends
        .filter(|(came, at)| *at >= from && *came != Came::Ended(RunEnd::Completed))
        .count();
    assert_eq!(bad, 0);
}

#[test]
fn a_server_that_breaks_or_hangs_up_to_the_threshold_returns_cold_and_one_that_answers_does_not() {
    for (mood, cold) in [
        (Mood::Breaks, true),
        (Mood::Hangs, true),
        (Mood::Fails, false),
    ] {
        let mut world = World::new(terms(), 2);
        world.moods.insert(1, mood);
        world.load(5 * MILLISECOND, 4_000 * MILLISECOND);
        assert_eq!(world.pool.cold() == 1, cold, "{mood:?}");
        world.moods.insert(1, Mood::Sound);
        world.load(5 * MILLISECOND, 20_000 * MILLISECOND);
        assert_eq!(world.pool.counts.ramps > 0, cold, "{mood:?}");
        assert_eq!((world.pool.cold(), world.pool.in_use()), (0, 2), "{mood:?}");
        world.check_ramps();
    }
}

#[test]
fn one_that_is_added_later_ramps_up_and_those_of_the_start_do_not() {
    let mut world = World::new(terms(), 1);
    world.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    assert_eq!((world.pool.cold(), world.ramps.len()), (0, 0));
    let mut actions = Vec::new();
    let late = world.pool.add_cold(world.now, &mut actions);
    world.moods.insert(late, Mood::Sound);
    world.carry_out(actions);
    assert_eq!(world.pool.cold(), 1);
    world.load(5 * MILLISECOND, OVER + 1_000 * MILLISECOND);
    world.check_ramps();
    assert!(
        world.ramps.len() == 1 && world.pool.cold() == 0,
        "{:?}",
        world.ramps
    );
}

#[test]
fn terms_without_a_ramp_end_those_under_way() {
    let mut world = returned(terms());
    world.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    let mut actions = Vec::new();
    world.pool.retune(
        Terms {
            ramp: None,
            ..terms()
        },
        world.now,
        &mut actions,
    );
    world.carry_out(actions);
    assert_eq!(world.pool.cold(), 0);
    let before = world.sent[&0].len();
    world.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    assert!(world.sent[&0].len() >= before + 150);
}

#[test]
fn a_removed_server_leaves_nothing_of_its_ramp() {
    let mut world = World::new(terms(), 2);
    world.load(5 * MILLISECOND, 500 * MILLISECOND);
    world.kill(1);
    world.load(5 * MILLISECOND, 1_000 * MILLISECOND);
    world.moods.insert(1, Mood::Sound);
    world.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    assert_eq!(world.ramps.len(), 1);
    let mut actions = Vec::new();
    world.pool.remove(1, world.now, &mut actions);
    world.carry_out(actions);
    world.load(5 * MILLISECOND, 2 * OVER);
    assert!(!world.pool.knows(1) && world.pool.cold() == 0);
}

// --- Shared ramps ---

/// One pool's part of the tokens of a budget, where all need as much.
struct Share {
    tokens: f64,
    counted: TenthMillis,
}

impl Share {
    fn take(&mut self, now: TenthMillis, pools: usize) -> Token {
        let rate = 2.0 * f64::from(RUNS) / OVER as f64 / pools as f64;
        // A share holds one whole token.
        self.tokens = (self.tokens + rate * (now - self.counted) as f64).min(1.0);
        self.counted = now;
        if self.tokens < 1.0 {
            return Token::Refused;
        }
        self.tokens -= 1.0;
        Token::Granted
    }
}

#[test]
fn pools_that_share_a_ramp_send_no_more_than_one_would_and_each_sends_some() {
    const POOLS: usize = 12;
    let clock: Rc<RefCell<TenthMillis>> = Rc::default();
    let mut worlds: Vec<World> = (0..POOLS).map(|_| returned(terms())).collect();
    let began = worlds[0].now;
    for world in &mut worlds {
        let (clock, mut share) = (
            clock.clone(),
            Share {
                tokens: 1.0,
                counted: began,
            },
        );
        world
            .pool
            .gate_ramps(Box::new(move || share.take(*clock.borrow(), POOLS)));
    }
    while worlds[0].now < began + OVER {
        for world in &mut worlds {
            *clock.borrow_mut() = world.now;
            world.ask();
            world.pass(5 * MILLISECOND);
        }
    }
    let sent = worlds
        .iter()
        .map(|world| world.sent_within(0, began, began + OVER));
    let sent: Vec<usize> = sent.collect();
    let sum: usize = sent.iter().sum();
    assert!((60..=RUNS as usize).contains(&sum), "{sum}: {sent:?}");
    assert!(sent.iter().all(|count| *count >= 5), "{sent:?}");
}

#[test]
fn the_probe_is_made_up_for_also_where_nothing_more_is_wanted() {
    let mut world = returned(terms());
    let asked = Rc::new(RefCell::new(0));
    let counter = asked.clone();
    world.pool.gate_ramps(Box::new(move || {
        *counter.borrow_mut() += 1;
        Token::Granted
    }));
    while world.now < 2 * OVER && world.ramps.is_empty() {
        world.load(5 * MILLISECOND, 5 * MILLISECOND);
    }
    world.pass(OVER / 2);
    // One run's worth, at tokens of a hundredth and more; then no more are asked for.
    let taken = *asked.borrow();
    assert!((3..=100).contains(&taken), "{taken} tokens");
    world.pass(OVER / 4);
    assert_eq!(*asked.borrow(), taken);
}

#[test]
fn without_a_share_nothing_is_sent_but_the_probe_and_nothing_waits() {
    let mut world = returned(terms());
    world.pool.gate_ramps(Box::new(|| Token::Refused));
    let back = world.now;
    world.load(5 * MILLISECOND, OVER - 1_000 * MILLISECOND);
    assert_eq!(
        world.sent_within(0, back, TenthMillis::MAX),
        1,
        "the probe alone"
    );
    assert_eq!(world.pool.in_hand(), 0);
    // Once its time is over a ramp binds nobody.
    world.load(5 * MILLISECOND, 3_000 * MILLISECOND);
    assert!(world.sent_within(0, back, TenthMillis::MAX) > 100);
}

#[test]
fn what_is_begun_without_a_reservation_while_all_are_down_ends_at_once_as_never_run() {
    let mut world = World::new(terms(), 1);
    world.load(5 * MILLISECOND, 100 * MILLISECOND);
    world.kill(0);
    world.ask();
    world.pass(2 * MILLISECOND);
    let mut actions = Vec::new();
    world.pool.begin(9_000, false, world.now, &mut actions);
    assert!(
        actions.contains(&Action::Ended {
            run: 9_000,
            end: RunEnd::NeverRan
        }),
        "{actions:?}"
    );
    assert_eq!(world.pool.in_hand(), 0);
}

#[test]
fn a_connection_begun_before_its_server_went_down_is_no_sign_of_its_return() {
    let mut pool = Pool::new(terms(), 1);
    let mut actions = Vec::new();
    let server = pool.add(0, &mut actions);
    (1..=2).for_each(|run| pool.begin(run, false, 0, &mut actions));
    let [
        Action::Open { conn: first, .. },
        Action::Open { conn: second, .. },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    actions.clear();
    pool.refused(first, MILLISECOND, &mut actions);
    assert!(
        matches!(
            actions[0],
            Action::Report {
                standing: Standing::Down { .. },
                ..
            }
        ),
        "{actions:?}"
    );
    actions.clear();
    pool.opened(second, MILLISECOND, &mut actions);
    // Its run is not sent, as nothing of it is within a ramp; no other server is there.
    assert_eq!(
        actions,
        [
            Action::Close { conn: second },
            Action::Ended {
                run: 2,
                end: RunEnd::NeverRan
            }
        ],
        "{:?}",
        pool.counts
    );
    assert_eq!(
        (pool.cold(), pool.counts.ramps, pool.knows(server)),
        (1, 0, true)
    );
}

#[test]
fn a_connection_of_before_is_not_kept_once_its_server_went_down() {
    let mut pool = Pool::new(terms(), 1);
    let mut actions = Vec::new();
    pool.add(0, &mut actions);
    (1..=2).for_each(|run| pool.begin(run, false, 0, &mut actions));
    let [
        Action::Open { conn: first, .. },
        Action::Open { conn: second, .. },
    ] = actions[..]
    else {
        panic!("{actions:?}");
    };
    pool.opened(first, MILLISECOND, &mut actions);
    pool.sent(first);
    pool.refused(second, MILLISECOND, &mut actions);
    // The run that was under way ends well after the server is to be probed: it says nothing of a return.
    pool.tick(600 * MILLISECOND, &mut actions);
    actions.clear();
    pool.over(
        first,
        Over::Completed { keep: true },
        600 * MILLISECOND,
        &mut actions,
    );
    let ended = Action::Ended {
        run: 1,
        end: RunEnd::Completed,
    };
    assert!(
        actions.contains(&ended) && actions.contains(&Action::Close { conn: first }),
        "{actions:?}"
    );
    assert_eq!(
        (pool.connections(), pool.cold(), pool.counts.ramps),
        (0, 1, 0)
    );
    // The probe begins on a connection of its own.
    assert_eq!(pool.admit(600 * MILLISECOND), Ok(Admission::Reserved));
    pool.release();
    actions.clear();
    pool.begin(3, false, 600 * MILLISECOND, &mut actions);
    assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
}

#[test]
fn a_reservation_is_kept_for_who_has_it_and_free_once_let_go_of() {
    let mut world = returned(terms());
    world.pass(600 * MILLISECOND);
    assert_eq!(
        world.pool.admit(world.now),
        Ok(Admission::Reserved),
        "the probe"
    );
    assert!(world.pool.admit(world.now).is_err(), "there is one probe");
    let mut actions = Vec::new();
    world.pool.begin(9_000, true, world.now, &mut actions);
    assert!(
        actions.contains(&Action::Ended {
            run: 9_000,
            end: RunEnd::NeverRan
        }),
        "{actions:?}"
    );
    world.pool.release();
    assert_eq!(world.pool.admit(world.now), Ok(Admission::Reserved));
}

// --- Whatever comes ---

#[derive(Clone, Debug)]
enum Step {
    Ask(u8),
    Pass(TenthMillis),
    Kill(u8),
    Mood(u8, Mood),
    Add,
    Remove(u8),
    Tokens(bool),
    Stop(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let moods = [
        Mood::Sound,
        Mood::Sound,
        Mood::Gone,
        Mood::Hangs,
        Mood::Breaks,
        Mood::Fails,
    ];
    prop_oneof![
        8 => (1..20u8).prop_map(Step::Ask),
        8 => (0..700 * MILLISECOND).prop_map(Step::Pass),
        1 => any::<u8>().prop_map(Step::Kill),
        3 => (any::<u8>(), prop::sample::select(moods.to_vec())).prop_map(|(of, mood)| Step::Mood(of, mood)),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
        1 => any::<bool>().prop_map(Step::Tokens),
        1 => any::<u8>().prop_map(Step::Stop),
    ]
}

fn play(steps: &[Step], shared: bool) -> World {
    let mut world = World::new(terms(), 3);
    let mut members = vec![0, 1, 2];
    let granted = Rc::new(RefCell::new(true));
    if shared {
        let granted = granted.clone();
        let answer = move || {
            if *granted.borrow() {
                Token::Granted
            } else {
                Token::Refused
            }
        };
        world.pool.gate_ramps(Box::new(answer));
    }
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Ask(count) => (0..*count).for_each(|_| _ = world.ask()),
            Step::Pass(span) => world.pass(*span),
            Step::Kill(nth) => world.kill(usize::from(*nth) % world.moods.len()),
            Step::Mood(nth, mood) => {
                let server = usize::from(*nth) % world.moods.len();
                *world.moods.values_mut().nth(server).unwrap() = *mood;
            }
            Step::Add if members.len() < 5 => {
                let server = world.pool.add_cold(world.now, &mut actions);
                world.moods.insert(server, Mood::Sound);
                members.push(server);
            }
            Step::Remove(nth) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*nth) % members.len());
                world.pool.remove(server, world.now, &mut actions);
                // Its place may be another's later.
                world.ramps.retain(|(of, _)| *of != server);
                world.sent.remove(&server);
            }
            Step::Tokens(given) => *granted.borrow_mut() = *given,
            Step::Stop(nth) => {
                let run = RunId::from(*nth) % (world.runs + 1);
                world.pool.stop(run, world.now, &mut actions);
            }
            Step::Add | Step::Remove(_) => {}
        }
        world.carry_out(actions);
        // Whoever waits has a server to wait for: one that is in use and not cold, or a place on credit.
        let served = world.pool.connections() > 0 || world.pool.in_use() > 0;
        assert!(world.pool.in_hand() == 0 || served, "{:?}", world.pool);
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_7a3b),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_ramp_is_exceeded_and_each_run_ends_once_whatever_comes(
        steps in prop::collection::vec(step(), 1..150),
        shared in any::<bool>(),
    ) {
        let mut world = play(&steps, shared);
        if !shared {
            world.check_ramps();
        }
        world.pass(60_000 * MILLISECOND);
        prop_assert_eq!(world.came.len(), world.runs as usize, "not all have come to something");
        prop_assert_eq!(world.pool.in_hand(), 0);
        // Left alone and sound, all return and serve.
        world.moods.values_mut().for_each(|mood| *mood = Mood::Sound);
        world.load(20 * MILLISECOND, 10_000 * MILLISECOND + 2 * OVER);
        let last = world.ask();
        world.pass(1_000 * MILLISECOND);
        prop_assert_eq!(world.came.get(&last).map(|(came, _)| *came), Some(Came::Ended(RunEnd::Completed)));
    }

    #[test]
    fn one_server_alone_gets_no_more_than_its_ramp_for_any_arrivals(
        gaps in prop::collection::vec(1..300 * MILLISECOND, 50..400),
        bursts in prop::collection::vec(1..6usize, 50..400),
    ) {
        let mut world = returned(terms());
        for (gap, burst) in gaps.iter().zip(bursts) {
            (0..burst).for_each(|_| _ = world.ask());
            world.pass(*gap);
        }
        world.check_ramps();
        world.pass(5_000 * MILLISECOND);
        prop_assert_eq!(world.came.len(), world.runs as usize);
    }
}
