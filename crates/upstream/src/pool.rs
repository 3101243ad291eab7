//! The state of a pool of servers: runs, connections, and what each event makes of them.

mod choose;
mod lives;
mod members;
mod ramps;

use std::collections::{BTreeMap, BTreeSet};

use doortrack_time::TenthMillis;
use fastrand::Rng;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::budget::Budget;
use crate::health::{Failure, Health};
use crate::pool::ramps::Ramps;
use crate::ramp::Cold;
use crate::{Action, ConnId, Over, RunEnd, RunId, ServerId, Standing, Terms};

pub use ramps::Admission;

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub begun: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Tries that were wanted and not in the budget.
    pub unbudgeted: u64,
    /// Failures of servers: refused or broken connections, answers that are none, fail or come late.
    pub failures: u64,
    /// Times that a server was put aside.
    pub put_aside: u64,
    pub opened: u64,
    /// Kept connections that were found closed when they were to be used.
    pub stale: u64,
    /// Returns of servers that began a ramp.
    pub ramps: u64,
    /// Requests that were not admitted as no server was there but cold ones.
    pub held_back: u64,
}

#[derive(Debug)]
struct Server {
    health: Health,
    /// Connections that carry a run or are opened for one.
    in_hand: u32,
    /// Kept connections; the one used last is taken first, so that the others may lapse.
    idle: Vec<ConnId>,
    /// Its place among those that can take a run now.
    open_place: Option<usize>,
    /// It is gone once nothing is on it any more.
    removed: bool,
    /// It was down, and its ramp is not over; only where the terms have one.
    cold: Option<Cold>,
    /// It counts among those that are in use and not cold.
    counted_warm: bool,
    /// Times that it went down.
    downs: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Opening(RunId),
    /// It carries a run; whether any byte of that was handed to the system.
    Carrying {
        run: RunId,
        sent: bool,
    },
    Idle,
}

#[derive(Debug)]
struct Conn {
    server: ServerId,
    stage: Stage,
    /// When its stage has lasted for too long.
    due: TenthMillis,
    /// It carried a run before.
    used: bool,
    /// Times that its server had gone down when it was begun.
    downs: u32,
}

#[derive(Debug)]
struct Run {
    repeatable: bool,
    /// Its place in the line, which it keeps when it is tried again.
    turn: u64,
    tries: u32,
    /// Where it was tried last.
    last: Option<ServerId>,
    conn: Option<ConnId>,
    /// How it ends if no server is left that it could wait for.
    otherwise: RunEnd,
}

/// Servers, and the runs that they are given.
#[derive(Debug)]
pub struct Pool {
    terms: Terms,
    rng: Rng,
    servers: Slab<Server>,
    conns: Slab<Conn>,
    runs: FxHashMap<RunId, Run>,
    /// Runs that wait for a server, by turn.
    waiting: BTreeMap<u64, RunId>,
    turns: u64,
    /// Servers that can take a run now, in no order.
    open: Vec<ServerId>,
    /// Servers that are not put aside, and not removed; and all that are not removed.
    in_use: usize,
    members: usize,
    dues: BTreeSet<(TenthMillis, ConnId)>,
    returns: BTreeSet<(TenthMillis, ServerId)>,
    budget: Budget,
    ramps: Ramps,
    pub counts: Counts,
}

impl Pool {
    pub fn new(terms: Terms, seed: u64) -> Pool {
        let (servers, conns, open) = (Slab::new(), Slab::new(), Vec::new());
        let (runs, waiting, dues, returns, ramps, counts) = Default::default();
        let (rng, budget) = (Rng::with_seed(seed), Budget::new(&terms.retries));
        let (turns, in_use, members) = (0, 0, 0);
        Pool {
            terms,
            rng,
            servers,
            conns,
            runs,
            waiting,
            turns,
            open,
            in_use,
            members,
            dues,
            returns,
            budget,
            ramps,
            counts,
        }
    }

    /// Each retry that the pool's own budget allows is to pass this as well; asked just before it is made.
    pub fn gate_retries(&mut self, gate: Box<dyn FnMut() -> bool>) {
        self.budget.gate(gate);
    }

    // --- What is seen from outside ---

    /// Whether the server is still known: removed ones are until nothing is on them.
    pub fn knows(&self, server: ServerId) -> bool {
        self.servers.contains(server)
    }

    /// Whether the server is given runs, or would be.
    pub fn has(&self, server: ServerId) -> bool {
        self.servers.get(server).is_some_and(|of| !of.removed)
    }

    pub fn servers(&self) -> usize {
        self.members
    }

    /// Servers that are not put aside.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Runs that were begun and have not ended.
    pub fn in_hand(&self) -> usize {
        self.runs.len()
    }

    /// When [`Pool::tick`] is due.
    pub fn next_due(&self) -> TenthMillis {
        let conn = self.dues.first().map_or(TenthMillis::MAX, |(due, _)| *due);
        let returns = self
            .returns
            .first()
            .map_or(TenthMillis::MAX, |(till, _)| *till);
        conn.min(returns).min(self.next_wake())
    }

    // --- Runs ---

    /// Begins a run. One that is not repeatable is never sent twice.
    pub fn begin(
        &mut self,
        run: RunId,
        repeatable: bool,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.counts.begun += 1;
        self.budget.run_begun();
        self.turns += 1;
        let turn = self.turns;
        let otherwise = RunEnd::NeverRan;
        self.runs.insert(
            run,
            Run {
                repeatable,
                turn,
                tries: 0,
                last: None,
                conn: None,
                otherwise,
            },
        );
        self.waiting.insert(turn, run);
        self.hand_out(now, actions);
    }

    /// Stops a run; it ends at once.
    pub fn stop(&mut self, run: RunId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(of) = self.runs.get(&run) else {
            return;
        };
        let Some(conn) = of.conn else {
            self.waiting.remove(&of.turn);
            return self.end(run, RunEnd::NeverRan, actions);
        };
        let sent = matches!(self.conns[conn].stage, Stage::Carrying { sent: true, .. });
        self.close(conn, actions);
        self.end(
            run,
            if sent {
                RunEnd::Stopped
            } else {
                RunEnd::NeverRan
            },
            actions,
        );
        self.hand_out(now, actions);
    }

    // --- What became of connections ---

    pub fn opened(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(Conn {
            server,
            stage: Stage::Opening(run),
            downs,
            ..
        }) = self.conns.get(conn)
        else {
            return;
        };
        let (server, run, current) = (*server, *run, *downs == self.servers[*server].downs);
        self.counts.opened += 1;
        if current {
            self.has_opened(server, now, actions);
            return self.carry(conn, run, now, actions);
        }
        // Its server has gone down since: this is no probe, and its run is not within a ramp.
        self.close(conn, actions);
        self.again_or(run, RunEnd::NeverRan, actions);
        self.hand_out(now, actions);
    }

    /// It could not be opened, so nothing of its run was sent.
    pub fn open_failed(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.not_opened(conn, Failure::Lost, now, actions);
    }

    /// It was refused: nothing listens there, and nothing of its run was sent.
    pub fn refused(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        self.not_opened(conn, Failure::Refused, now, actions);
    }

    fn not_opened(
        &mut self,
        conn: ConnId,
        failure: Failure,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(Stage::Opening(run)) = self.conns.get(conn).map(|of| of.stage) else {
            return;
        };
        let server = self.forget_conn(conn);
        self.failed(server, failure, now, actions);
        self.again_or(run, RunEnd::NeverRan, actions);
        self.gone_if_over(server);
        self.hand_out(now, actions);
    }

    /// Some of the run that it carries was handed to the system, so that it may reach the server.
    pub fn sent(&mut self, conn: ConnId) {
        if let Some(Stage::Carrying { sent, .. }) = self.conns.get_mut(conn).map(|of| &mut of.stage)
        {
            *sent = true;
        }
    }

    /// The answer to what it carries has come to its end.
    pub fn over(&mut self, conn: ConnId, over: Over, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(of) = self.conns.get(conn) else {
            return;
        };
        let (server, Stage::Carrying { run, .. }) = (of.server, of.stage) else {
            return;
        };
        let (keep, end) = match over {
            Over::Completed { keep } => (keep, RunEnd::Completed),
            Over::Failed { keep } => (keep, RunEnd::Failed),
            Over::Refused { keep } => (keep, RunEnd::NeverRan),
        };
        if end == RunEnd::Completed {
            let health = &mut self.servers[server].health;
            let before = std::mem::replace(health, health.succeeded(self.terms.at_once));
            if before.is_returning() && !health.is_returning() {
                actions.push(Action::Report {
                    server,
                    standing: Standing::Fit,
                });
            }
        } else {
            self.failed(server, Failure::Answered, now, actions);
        }
        self.rest(conn, keep, now, actions);
        if end == RunEnd::NeverRan {
            self.again_or(run, end, actions);
        } else {
            self.end(run, end, actions);
        }
        self.gone_if_over(server);
        self.hand_out(now, actions);
    }

    /// The connection has ended, or what came on it can't be read. It is not to be closed any more.
    pub fn lost(&mut self, conn: ConnId, now: TenthMillis, actions: &mut Vec<Action>) {
        let Some(of) = self.conns.get(conn) else {
            return;
        };
        match (of.stage, of.used) {
            (Stage::Opening(_), _) => return self.open_failed(conn, now, actions),
            (Stage::Idle, _) => {
                let server = self.forget_conn(conn);
                self.gone_if_over(server);
            }
            // Kept, and closed by the server meanwhile as is its right: no failure, and no retry that would
            // have to be in the budget. Each uses up a kept connection, so there is an end of it.
            (Stage::Carrying { run, sent: false }, true) => {
                self.counts.stale += 1;
                self.forget_conn(conn);
                if let Some(of) = self.runs.get_mut(&run) {
                    of.tries -= 1;
                }
                self.wait(run);
            }
            (Stage::Carrying { run, sent }, _) => {
                let server = self.forget_conn(conn);
                self.failed(server, Failure::Lost, now, actions);
                self.after_loss(run, sent, RunEnd::Lost, actions);
                self.gone_if_over(server);
            }
        }
        self.hand_out(now, actions);
    }

    /// Acts on the times that ran out.
    pub fn tick(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((due, conn)) = self.dues.first().copied()
            && due <= now
        {
            let (server, stage) = (self.conns[conn].server, self.conns[conn].stage);
            self.close(conn, actions);
            match stage {
                Stage::Idle => {}
                Stage::Opening(run) => {
                    self.failed(server, Failure::Lost, now, actions);
                    self.again_or(run, RunEnd::NeverRan, actions);
                }
                Stage::Carrying { run, sent } => {
                    self.failed(server, Failure::Lost, now, actions);
                    self.after_loss(run, sent, RunEnd::Late, actions);
                }
            }
            self.gone_if_over(server);
        }
        while let Some((till, server)) = self.returns.first().copied()
            && till <= now
        {
            self.take_back(till, server, actions);
        }
        self.wake_ramping(now, actions);
        self.hand_out(now, actions);
    }
}
