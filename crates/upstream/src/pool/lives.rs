//! The lives of connections and runs: from one stage to the next, and to their ends.

use super::{Pool, Stage};
use crate::{Action, ConnId, RunEnd, RunId, ServerId};
use doortrack_time::TenthMillis;

impl Pool {
    pub(super) fn carry(
        &mut self,
        conn: ConnId,
        run: RunId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        self.stage(
            conn,
            Stage::Carrying { run, sent: false },
            now + self.terms.answer_within,
        );
        actions.push(Action::Send { conn, run });
    }

    pub(super) fn stage(&mut self, conn: ConnId, stage: Stage, due: TenthMillis) {
        let of = &mut self.conns[conn];
        self.dues.remove(&(of.due, conn));
        (of.stage, of.due) = (stage, due);
        self.dues.insert((due, conn));
    }

    /// Its run is over: kept for the next one, or closed.
    pub(super) fn rest(
        &mut self,
        conn: ConnId,
        keep: bool,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let server = self.conns[conn].server;
        let of = &self.servers[server];
        // It may be one from before the server went down, which proves nothing of its return.
        let down = of.cold.as_ref().is_some_and(|cold| cold.ramping.is_none());
        let given_up = of.removed || down || of.health.is_aside();
        if !keep || self.terms.idle == 0 || given_up || self.has_too_many(server) {
            return self.close(conn, actions);
        }
        self.stage(conn, Stage::Idle, now + self.terms.idle);
        self.conns[conn].used = true;
        let of = &mut self.servers[server];
        of.in_hand -= 1;
        of.idle.push(conn);
        self.place(server);
    }

    /// Whether it has more connections than it may; so only after it was given other terms.
    pub(super) fn has_too_many(&self, server: ServerId) -> bool {
        let of = &self.servers[server];
        of.in_hand + of.idle.len() as u32 > self.terms.at_once
    }

    pub(super) fn close(&mut self, conn: ConnId, actions: &mut Vec<Action>) {
        let server = self.forget_conn(conn);
        actions.push(Action::Close { conn });
        self.gone_if_over(server);
    }

    pub(super) fn forget_conn(&mut self, conn: ConnId) -> ServerId {
        let gone = self.conns.remove(conn);
        self.dues.remove(&(gone.due, conn));
        let of = &mut self.servers[gone.server];
        if gone.stage == Stage::Idle {
            of.idle.retain(|other| *other != conn);
        } else {
            of.in_hand -= 1;
        }
        self.place(gone.server);
        gone.server
    }

    pub(super) fn wait(&mut self, run: RunId) {
        if let Some(of) = self.runs.get_mut(&run) {
            of.conn = None;
            self.waiting.insert(of.turn, run);
        }
    }

    /// No whole answer came. What may have reached the server is tried again only if it may run twice.
    pub(super) fn after_loss(
        &mut self,
        run: RunId,
        sent: bool,
        end: RunEnd,
        actions: &mut Vec<Action>,
    ) {
        if !sent {
            return self.again_or(run, RunEnd::NeverRan, actions);
        }
        match self.runs.get(&run).is_some_and(|of| of.repeatable) {
            true => self.again_or(run, end, actions),
            false => self.end(run, end, actions),
        }
    }

    /// Tries a run again where tries and budget allow it; else it ends so.
    pub(super) fn again_or(&mut self, run: RunId, end: RunEnd, actions: &mut Vec<Action>) {
        let tries = self.runs.get(&run).map_or(u32::MAX, |of| of.tries);
        if tries < self.terms.retries.tries {
            if self.budget.take() {
                self.counts.retries += 1;
                if let Some(of) = self.runs.get_mut(&run) {
                    of.otherwise = end;
                }
                return self.wait(run);
            }
            self.counts.unbudgeted += 1;
        }
        self.end(run, end, actions);
    }

    pub(super) fn end(&mut self, run: RunId, end: RunEnd, actions: &mut Vec<Action>) {
        self.runs.remove(&run);
        actions.push(Action::Ended { run, end });
    }
}
