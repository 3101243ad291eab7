//! The pool against a scripted world: what must hold after every event, and what each failure comes to.

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::{
    Action, Aside, ConnId, Over, Pool, Retries, RunEnd, RunId, ServerId, Terms,
};
use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn terms() -> Terms {
    Terms {
        at_once: 4,
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
        ramp: None,
    }
}

/// What a server does with what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Sound,
    /// Takes connections and never answers.
    Hangs,
    Refuses,
    /// Breaks off once a run was sent.
    Breaks,
    /// Answers at once that it failed.
    Fails,
    /// Takes so long.
    Slow(TenthMillis),
}

/// Plays the sockets: carries out what the pool wants, on servers with moods.
struct World {
    pool: Pool,
    now: TenthMillis,
    moods: BTreeMap<ServerId, Mood>,
    conns: BTreeMap<ConnId, (ServerId, Option<RunId>)>,
    /// What happens next, by time: a connection opens, or answers.
    next: BTreeSet<(TenthMillis, u64, ConnId)>,
    nth: u64,
    repeatable: BTreeMap<RunId, bool>,
    sent: BTreeMap<RunId, Vec<ServerId>>,
    ended: BTreeMap<RunId, (RunEnd, TenthMillis)>,
    most_on_one: BTreeMap<ServerId, usize>,
    /// Servers in use when the last load ended.
    in_use: usize,
}

impl World {
    fn new(terms: Terms, servers: usize, seed: u64) -> World {
        let mut pool = Pool::new(terms, seed);
        let ids: Vec<ServerId> = (0..servers).map(|_| pool.add(0, &mut Vec::new())).collect();
        World {
            pool,
            now: 0,
            moods: ids.into_iter().map(|id| (id, Mood::Sound)).collect(),
            conns: BTreeMap::new(),
            next: BTreeSet::new(),
            nth: 0,
            repeatable: BTreeMap::new(),
            sent: BTreeMap::new(),
            ended: BTreeMap::new(),
            most_on_one: BTreeMap::new(),
            in_use: 0,
        }
    }

    fn at(&mut self, after: TenthMillis, conn: ConnId) {
        self.nth += 1;
        self.next.insert((self.now + after, self.nth, conn));
    }

    fn begin(&mut self, run: RunId, repeatable: bool) {
        self.repeatable.insert(run, repeatable);
        let mut actions = Vec::new();
        self.pool.begin(run, repeatable, self.now, &mut actions);
        self.carry_out(actions);
    }

    fn stop(&mut self, run: RunId) {
        let mut actions = Vec::new();
        self.pool.stop(run, self.now, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for what in actions {
            match what {
                Action::Open { conn, server } => {
                    assert!(
                        self.conns.insert(conn, (server, None)).is_none(),
                        "{conn} is open already"
                    );
                    let open = self.conns.values().filter(|(of, _)| *of == server).count();
                    let most = self.most_on_one.entry(server).or_default();
                    *most = open.max(*most);
                    self.at(
                        if self.moods[&server] == Mood::Refuses {
                            2
                        } else {
                            1
                        },
                        conn,
                    );
                }
                Action::Send { conn, run } => {
                    let (server, carries) = self.conns.get_mut(&conn).expect("sent on none");
                    assert_eq!(carries.replace(run), None, "two runs on one connection");
                    let sent = self.sent.entry(run).or_default();
                    sent.push(*server);
                    let most = if self.repeatable[&run] { 3 } else { 1 };
                    assert!(sent.len() <= most, "{run} was sent to {sent:?}");
                    let mood = self.moods[server];
                    self.pool.sent(conn);
                    match mood {
                        Mood::Hangs => {}
                        Mood::Slow(time) => self.at(time, conn),
                        Mood::Sound => self.at(20 * MILLISECOND, conn),
                        Mood::Breaks | Mood::Fails | Mood::Refuses => self.at(MILLISECOND, conn),
                    }
                }
                Action::Close { conn } => {
                    assert!(self.conns.remove(&conn).is_some(), "closed twice");
                    self.next.retain(|(.., other)| *other != conn);
                }
                Action::Report { .. } => {}
                Action::Ended { run, end } => {
                    assert!(
                        self.ended.insert(run, (end, self.now)).is_none(),
                        "{run} ended twice"
                    );
                }
            }
        }
        self.check();
    }

    /// What must hold whatever comes.
    fn check(&self) {
        let counts = self.pool.counts;
        assert!(counts.retries <= 10 + counts.begun / 10 + 1, "{counts:?}");
        let floor = (self.pool.servers() as f64 / 4.0).ceil() as usize;
        assert!(
            self.pool.in_use() >= floor.min(self.pool.servers()),
            "{} in use",
            self.pool.in_use()
        );
        assert!(
            self.most_on_one.values().all(|most| *most <= 4),
            "{:?}",
            self.most_on_one
        );
        assert_eq!(self.pool.connections(), self.conns.len());
    }

    /// Lets time pass, with what happens in it.
    fn pass(&mut self, till: TenthMillis) {
        loop {
            let next = self.next.first().map_or(TenthMillis::MAX, |(at, ..)| *at);
            let due = self.pool.next_due();
            self.now = next.min(due).min(till).max(self.now);
            let mut actions = Vec::new();
            if next <= self.now && next <= due {
                let (_, _, conn) = self.next.pop_first().unwrap();
                self.handle(conn, &mut actions);
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

    fn handle(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
        let (server, carries) = self.conns[&conn];
        let mood = self.moods[&server];
        let Some(_) = carries else {
            if mood == Mood::Refuses {
                self.conns.remove(&conn);
                return self.pool.open_failed(conn, self.now, actions);
            }
            return self.pool.opened(conn, self.now, actions);
        };
        match mood {
            Mood::Breaks | Mood::Refuses => {
                self.conns.remove(&conn);
                self.pool.lost(conn, self.now, actions);
            }
            Mood::Fails => {
                self.conns.get_mut(&conn).unwrap().1 = None;
                self.pool
                    .over(conn, Over::Failed { keep: true }, self.now, actions);
            }
            _ => {
                self.conns.get_mut(&conn).unwrap().1 = None;
                self.pool
                    .over(conn, Over::Completed { keep: true }, self.now, actions);
            }
        }
    }

    fn end(&self, run: RunId) -> Option<RunEnd> {
        self.ended.get(&run).map(|(end, _)| *end)
    }

    /// A run every `every` for so long; the share of them that completed, of those begun from `since` on.
    fn load(
        &mut self,
        from: RunId,
        every: TenthMillis,
        lasts: TenthMillis,
        since: TenthMillis,
    ) -> f64 {
        let (start, mut run, mut counted) = (self.now, from, Vec::new());
        while self.now < start + lasts {
            self.begin(run, run % 2 == 0);
            if self.now >= start + since {
                counted.push(run);
            }
            run += 1;
            self.pass(self.now + every);
        }
        self.in_use = self.pool.in_use();
        self.pass(self.now + 10_000 * MILLISECOND);
        let good = counted
            .iter()
            .filter(|run| self.end(**run) == Some(RunEnd::Completed))
            .count();
        good as f64 / counted.len() as f64
    }
}

#[test]
fn sound_servers_share_the_runs_and_keep_their_connections() {
    let mut world = World::new(terms(), 4, 1);
    assert_eq!(world.load(0, 5 * MILLISECOND, 4_000 * MILLISECOND, 0), 1.0);
    let counts = world.pool.counts;
    assert_eq!((counts.begun, counts.retries, counts.failures), (800, 0, 0));
    assert!(counts.opened <= 16, "{counts:?}");
    let mut on = BTreeMap::<ServerId, u32>::new();
    world
        .sent
        .values()
        .flatten()
        .for_each(|server| *on.entry(*server).or_default() += 1);
    assert!(on.values().all(|runs| (150..250).contains(runs)), "{on:?}");
    // Kept ones are closed after lying idle.
    world.pass(world.now + 6_000 * MILLISECOND);
    assert_eq!((world.pool.connections(), world.pool.in_hand()), (0, 0));
}

#[test]
fn one_bad_server_of_four_costs_little_and_comes_back_slowly() {
    for mood in [
        Mood::Refuses,
        Mood::Breaks,
        Mood::Fails,
        Mood::Hangs,
        Mood::Slow(2_000 * MILLISECOND),
    ] {
        let mut world = World::new(terms(), 4, 2);
        world.moods.insert(2, mood);
        // The first seconds are for finding out.
        let share = world.load(
            0,
            5 * MILLISECOND,
            20_000 * MILLISECOND,
            4_000 * MILLISECOND,
        );
        assert!(share > 0.985, "{mood:?}: {share}, {:?}", world.pool.counts);
        assert!(world.in_use <= 4, "{mood:?}");
        let without = World::load(
            &mut {
                let aside = Aside {
                    failures: u32::MAX,
                    ..terms().aside
                };
                let mut world = World::new(Terms { aside, ..terms() }, 4, 2);
                world.moods.insert(2, mood);
                world
            },
            0,
            5 * MILLISECOND,
            20_000 * MILLISECOND,
            4_000 * MILLISECOND,
        );
        assert!(share > without, "{mood:?}: {share} with, {without} without");
        world.moods.insert(2, Mood::Sound);
        let before = world
            .sent
            .values()
            .flatten()
            .filter(|server| **server == 2)
            .count();
        assert_eq!(
            world.load(
                100_000,
                5 * MILLISECOND,
                12_000 * MILLISECOND,
                9_000 * MILLISECOND
            ),
            1.0
        );
        assert_eq!(world.pool.in_use(), 4);
        assert!(
            world
                .sent
                .values()
                .flatten()
                .filter(|server| **server == 2)
                .count()
                > before + 200
        );
    }
}

#[test]
fn a_full_outage_is_not_multiplied_and_ends_soon_after_its_cause() {
    for mood in [Mood::Refuses, Mood::Breaks, Mood::Fails, Mood::Hangs] {
        let mut world = World::new(terms(), 4, 3);
        world.moods.values_mut().for_each(|of| *of = mood);
        assert_eq!(world.load(0, 5 * MILLISECOND, 20_000 * MILLISECOND, 0), 0.0);
        // A quarter is tried whatever they do.
        assert!(
            world.in_use <= 2,
            "{mood:?}: one, and perhaps one that is being probed"
        );
        let counts = world.pool.counts;
        assert!(
            counts.retries <= 10 + counts.begun / 10,
            "{mood:?}: {counts:?}"
        );
        // Where they fail at once the budget is used up, and no more than that.
        let fast = [Mood::Refuses, Mood::Breaks].contains(&mood);
        assert!(
            !fast || counts.retries >= counts.begun / 20,
            "{mood:?}: {counts:?}"
        );
        // Whoever begins runs does not wait for ever; where all hang, most found no server.
        (0..5000)
            .filter(|run| world.end(*run).is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|run| world.stop(run));
        world.moods.values_mut().for_each(|of| *of = Mood::Sound);
        let share = world.load(
            100_000,
            50 * MILLISECOND,
            3_000 * MILLISECOND,
            200 * MILLISECOND,
        );
        assert_eq!(share, 1.0, "{mood:?}: the floor serves at once");
        world.load(200_000, 50 * MILLISECOND, 9_000 * MILLISECOND, 0);
        assert_eq!(world.pool.in_use(), 4, "{mood:?}");
    }
}

#[test]
fn what_may_have_reached_a_server_is_never_sent_again_unless_it_may_run_twice() {
    let mut world = World::new(
        Terms {
            aside: Aside {
                failures: 9,
                ..terms().aside
            },
            ..terms()
        },
        2,
        4,
    );
    world.moods.values_mut().for_each(|of| *of = Mood::Breaks);
    world.begin(1, false);
    world.begin(2, true);
    world.pass(100 * MILLISECOND);
    assert_eq!(
        (world.end(1), world.end(2)),
        (Some(RunEnd::Lost), Some(RunEnd::Lost))
    );
    assert_eq!((world.sent[&1].len(), world.sent[&2].len()), (1, 3));
    // What no connection could be had for is tried again in any case, and told as never run.
    world.moods.values_mut().for_each(|of| *of = Mood::Refuses);
    world.begin(3, false);
    world.pass(200 * MILLISECOND);
    assert_eq!(
        (world.end(3), world.sent.get(&3)),
        (Some(RunEnd::NeverRan), None)
    );
    // One that hangs is late, and not sent elsewhere.
    world.moods.values_mut().for_each(|of| *of = Mood::Hangs);
    world.begin(4, false);
    world.pass(3_000 * MILLISECOND);
    assert_eq!(
        (world.end(4), world.sent[&4].len()),
        (Some(RunEnd::Late), 1)
    );
}

#[test]
fn a_retry_goes_to_another_server_and_keeps_its_turn() {
    let mut world = World::new(terms(), 3, 5);
    world.moods.insert(0, Mood::Breaks);
    (0..60).filter(|run| run % 2 == 0).for_each(|run| {
        world.begin(run, true);
        world.pass(world.now + 100 * MILLISECOND);
    });
    for (run, servers) in &world.sent {
        assert!(
            servers.windows(2).all(|pair| pair[0] != pair[1]),
            "{run}: {servers:?}"
        );
    }
    assert!(
        world
            .ended
            .values()
            .all(|(end, _)| *end == RunEnd::Completed)
    );
}

#[test]
fn a_kept_connection_that_its_server_closed_costs_neither_retry_nor_failure() {
    let mut world = World::new(terms(), 1, 6);
    world.begin(1, false);
    world.pass(100 * MILLISECOND);
    let conn = *world.conns.keys().next().unwrap();
    let (mut actions, now) = (Vec::new(), world.now);
    world.pool.begin(2, false, now, &mut actions);
    assert_eq!(actions, [Action::Send { conn, run: 2 }]);
    // Found closed before any byte of it was handed over.
    world.conns.remove(&conn);
    actions.clear();
    world.pool.lost(conn, now, &mut actions);
    assert!(
        matches!(actions[..], [Action::Open { server: 0, .. }]),
        "{actions:?}"
    );
    world.repeatable.insert(2, false);
    world.carry_out(actions);
    world.pass(now + 100 * MILLISECOND);
    let counts = world.pool.counts;
    assert_eq!(
        (world.end(2), counts.stale, counts.failures, counts.retries),
        (Some(RunEnd::Completed), 1, 0, 0)
    );
}

#[test]
fn who_is_stopped_ends_at_once_in_every_stage() {
    let mut world = World::new(
        Terms {
            at_once: 1,
            ..terms()
        },
        1,
        7,
    );
    world.moods.insert(0, Mood::Hangs);
    (1..=3).for_each(|run| world.begin(run, false));
    world.stop(3);
    assert_eq!(
        world.end(3),
        Some(RunEnd::NeverRan),
        "it waited for a server"
    );
    world.stop(1);
    assert_eq!(
        world.end(1),
        Some(RunEnd::NeverRan),
        "its connection was being opened"
    );
    world.pass(10 * MILLISECOND);
    world.stop(2);
    assert_eq!(world.end(2), Some(RunEnd::Stopped), "it was sent");
    world.stop(2);
    assert_eq!((world.pool.in_hand(), world.pool.connections()), (0, 0));
}

#[test]
fn members_come_and_go_under_load() {
    let mut world = World::new(terms(), 2, 8);
    world.moods.insert(1, Mood::Hangs);
    (0..8).for_each(|run| world.begin(run, false));
    world.pass(10 * MILLISECOND);
    let mut actions = Vec::new();
    world.pool.remove(0, world.now, &mut actions);
    world.pool.remove(1, world.now, &mut actions);
    world.pool.remove(1, world.now, &mut actions);
    let fresh = world.pool.add(world.now, &mut actions);
    world.moods.insert(fresh, Mood::Sound);
    world.carry_out(actions);
    assert!(world.pool.knows(1) && fresh > 1, "what runs there may end");
    (8..12).for_each(|run| world.begin(run, false));
    world.pass(5_000 * MILLISECOND);
    assert!(
        (8..12).all(|run| world.end(run) == Some(RunEnd::Completed) && world.sent[&run] == [fresh])
    );
    assert_eq!(world.ended.len(), 12);
    assert!(!world.pool.knows(0) && !world.pool.knows(1));
    // Without any, runs wait for one; with fewer at once, what is kept beyond goes.
    let mut actions = Vec::new();
    world.pool.retune(
        Terms {
            at_once: 1,
            ..terms()
        },
        world.now,
        &mut actions,
    );
    world.pool.remove(fresh, world.now, &mut actions);
    world.carry_out(actions);
    world.begin(20, true);
    assert_eq!(
        (
            world.pool.servers(),
            world.pool.in_hand(),
            world.pool.connections()
        ),
        (0, 1, 0)
    );
    let mut actions = Vec::new();
    let server = world.pool.add(world.now, &mut actions);
    world.moods.insert(server, Mood::Sound);
    world.carry_out(actions);
    world.pass(world.now + 100 * MILLISECOND);
    assert_eq!(world.end(20), Some(RunEnd::Completed));
}

/// One thing that a random play does.
#[derive(Clone, Debug)]
enum Step {
    Begin { repeatable: bool },
    Stop(u8),
    Mood(u8, Mood),
    Pass(TenthMillis),
    Break(u8),
    Add,
    Remove(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let moods = [
        Mood::Sound,
        Mood::Hangs,
        Mood::Refuses,
        Mood::Breaks,
        Mood::Fails,
        Mood::Slow(1500 * MILLISECOND),
    ];
    let mood = prop::sample::select(moods.to_vec());
    prop_oneof![
        8 => any::<bool>().prop_map(|repeatable| Step::Begin { repeatable }),
        1 => any::<u8>().prop_map(Step::Stop),
        2 => (any::<u8>(), mood).prop_map(|(server, mood)| Step::Mood(server, mood)),
        4 => (0..900 * MILLISECOND).prop_map(Step::Pass),
        1 => any::<u8>().prop_map(Step::Break),
        1 => Just(Step::Add),
        1 => any::<u8>().prop_map(Step::Remove),
    ]
}

fn play(steps: &[Step], seed: u64) -> World {
    let mut world = World::new(terms(), 3, seed);
    let (mut members, mut runs) = (vec![0, 1, 2], 0);
    for step in steps {
        let mut actions = Vec::new();
        match step {
            Step::Begin { repeatable } => {
                runs += 1;
                world.begin(runs, *repeatable);
            }
            Step::Stop(run) => world.stop(RunId::from(*run) % (runs + 1)),
            Step::Mood(server, mood) => {
                let server = usize::from(*server) % world.moods.len();
                *world.moods.values_mut().nth(server).unwrap() = *mood;
            }
            Step::Pass(time) => world.pass(world.now + time),
            // A connection ends for no reason.
            Step::Break(nth) => {
                let conn = world
                    .conns
                    .keys()
                    .nth(usize::from(*nth) % world.conns.len().max(1))
                    .copied();
                if let Some(conn) = conn {
                    world.conns.remove(&conn);
                    world.next.retain(|(.., other)| *other != conn);
                    world.pool.lost(conn, world.now, &mut actions);
                }
            }
            Step::Add if members.len() < 6 => {
                let server = world.pool.add(world.now, &mut actions);
                world.moods.insert(server, Mood::Sound);
                members.push(server);
            }
            Step::Remove(nth) if members.len() > 1 => {
                let server = members.swap_remove(usize::from(*nth) % members.len());
                world.pool.remove(server, world.now, &mut actions);
            }
            _ => {}
        }
        world.carry_out(actions);
    }
    world.pass(world.now + 60_000 * MILLISECOND);
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0d00_5e41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_run_ends_once_whatever_comes(
        steps in prop::collection::vec(step(), 1..120),
        seed in any::<u64>(),
    ) {
        let world = play(&steps, seed);
        prop_assert_eq!(world.ended.len(), world.repeatable.len(), "not all have ended");
        prop_assert_eq!(world.pool.in_hand(), 0);
        let again = play(&steps, seed);
        prop_assert_eq!(again.ended, world.ended, "same input, same output");
    }
}

#[test]
fn spans_of_two_servers_differ_by_chance() {
    let mut rng = Rng::with_seed(9);
    let returns: BTreeSet<TenthMillis> = (0..20)
        .map(|_| {
            let mut world = World::new(terms(), 2, rng.u64(..));
            world.moods.insert(0, Mood::Refuses);
            world.moods.insert(1, Mood::Refuses);
            (0..9).for_each(|run| world.begin(run, true));
            world.pass(100 * MILLISECOND);
            assert_eq!(world.pool.in_use(), 1);
            let due = world.pool.next_due();
            assert!(
                (250 * MILLISECOND..=510 * MILLISECOND).contains(&due),
                "{due}"
            );
            due
        })
        .collect();
    assert!(returns.len() > 10, "{returns:?}");
}

#[test]
fn what_a_server_says_it_did_not_run_is_tried_elsewhere_whatever_it_is() {
    let mut pool = Pool::new(terms(), 10);
    let mut actions = Vec::new();
    let servers = [pool.add(0, &mut actions), pool.add(0, &mut actions)];
    pool.begin(1, false, 0, &mut actions);
    let mut seen = Vec::new();
    for _ in 0..3 {
        let Some(Action::Open { conn, server }) = actions.pop() else {
            panic!("{actions:?}")
        };
        seen.push(server);
        actions.clear();
        pool.opened(conn, 0, &mut actions);
        assert_eq!(actions, [Action::Send { conn, run: 1 }]);
        pool.sent(conn);
        actions.clear();
        pool.over(conn, Over::Refused { keep: false }, 0, &mut actions);
        assert!(actions.contains(&Action::Close { conn }), "{actions:?}");
    }
    // Within its three tries, never twice in a row on one; then it ends as one that never ran.
    assert!(
        seen[0] != seen[1]
            && seen[1] != seen[2]
            && seen.iter().all(|server| servers.contains(server))
    );
    assert!(
        actions.contains(&Action::Ended {
            run: 1,
            end: RunEnd::NeverRan
        }),
        "{actions:?}"
    );
    assert_eq!(
        (pool.counts.retries, pool.in_hand(), pool.connections()),
        (2, 0, 0)
    );
}
