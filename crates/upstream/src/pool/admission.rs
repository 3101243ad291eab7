//! What is admitted while every server is down or in slow start: no more than those may get now.

use std::collections::BTreeSet;

use super::Pool;
use crate::slow_start::{TokenSource, Warmup};
use crate::{Action, ServerId};
use doortrack_time::{MILLISECOND, TenthMillis};

/// The shortest time that a rejected request is asked to wait.
const MIN_RETRY_AFTER: TenthMillis = 20 * MILLISECOND;
/// The longest while a server is in slow start, as credit comes in steadily then.
const MAX_RETRY_AFTER_IN_SLOW_START: TenthMillis = 100 * MILLISECOND;
/// Servers that are asked for credit for one run.
const MAX_SERVERS_ASKED: usize = 2;

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Without a reservation.
    #[default]
    Unreserved,
    /// On the credit of a server in slow start; returned by [`Pool::release_reservation`].
    Reserved,
}

/// The credit of all servers that are down or in slow start.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    pub(super) tokens: TokenSource,
    /// When slow starts are reviewed, one entry each.
    pub(super) reviews: BTreeSet<(TenthMillis, ServerId)>,
    /// Runs that servers may get at once, in all.
    ready_runs: usize,
    /// Requests that were admitted on that and not begun yet.
    reserved: usize,
    /// Servers that are in use and warmed up.
    warm_servers: usize,
}

impl Pool {
    /// Admits one more request to this pool, unless every server is down or in slow start and may
    /// get no more runs now.
    ///
    /// # Errors
    /// How long to wait before trying again, in tenths of a millisecond.
    pub fn admit(&mut self, now: TenthMillis) -> Result<Admission, TenthMillis> {
        if self.has_warm_server() {
            return Ok(Admission::Unreserved);
        }
        if self.ensure_ready(self.reservations.reserved + self.queue.len() + 1, now) {
            self.reservations.reserved += 1;
            return Ok(Admission::Reserved);
        }
        self.counters.held_back += 1;
        Err(self.retry_after(now))
    }

    /// Returns a reservation: its request is begun next, or never will be.
    pub fn release_reservation(&mut self) {
        self.reservations.reserved = self.reservations.reserved.saturating_sub(1);
    }

    fn retry_after(&self, now: TenthMillis) -> TenthMillis {
        let max = if self.reservations.reviews.is_empty() {
            self.config.outlier.base_ejection
        } else {
            MAX_RETRY_AFTER_IN_SLOW_START
        };
        self.next_ejection_end()
            .min(self.next_slow_start_review())
            .saturating_sub(now)
            .clamp(MIN_RETRY_AFTER, max.max(MIN_RETRY_AFTER))
    }

    /// Whether a queued run will find a server without credit.
    fn has_warm_server(&self) -> bool {
        self.config.slow_start.is_none() || self.reservations.warm_servers > 0
    }

    /// Whether the first queued run may be sent without using what others have reserved.
    pub(super) fn may_dispatch(&mut self, now: TenthMillis) -> bool {
        self.has_warm_server() || self.ensure_ready(self.reservations.reserved + 1, now)
    }

    /// Ends queued runs for which there is no credit while every server is down or in slow start.
    pub(super) fn end_hopeless_runs(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while !self.queue.is_empty()
            && !self.has_warm_server()
            && !self.ensure_ready(self.reservations.reserved + self.queue.len(), now)
            && let Some((_, run)) = self.queue.pop_last()
        {
            let end = self.runs[&run].end_without_server;
            self.end_run(run, end, actions);
        }
    }

    /// Makes servers ready for this many runs in all, if their credit allows it.
    fn ensure_ready(&mut self, wanted: usize, now: TenthMillis) -> bool {
        for _ in 0..MAX_SERVERS_ASKED {
            if self.reservations.ready_runs >= wanted || self.available.is_empty() {
                break;
            }
            let server = self.available[self.rng.usize(0..self.available.len())];
            if !self.make_ready(server, now) {
                self.mark_exhausted(server, now);
            }
        }
        self.reservations.ready_runs >= wanted
    }

    /// Takes one run of what the server may get, if it is bounded; one without credit gets no more
    /// requests for a while.
    pub(super) fn take_ready_run(&mut self, server: ServerId, now: TenthMillis) -> bool {
        let Some(warmup) = &self.servers[server].warmup else {
            return true;
        };
        if warmup.ready_runs == 0 && !self.make_ready(server, now) {
            self.mark_exhausted(server, now);
            return false;
        }
        if let Some(warmup) = &mut self.servers[server].warmup {
            warmup.ready_runs -= 1;
            self.reservations.ready_runs -= 1;
        }
        true
    }

    /// Makes a server in slow start ready for one run more, if it has the credit.
    fn make_ready(&mut self, server: ServerId, now: TenthMillis) -> bool {
        let Some(warmup) = &mut self.servers[server].warmup else {
            return false;
        };
        let Some(slow_start) = &mut warmup.slow_start else {
            return false;
        };
        let has_credit = slow_start.try_take(&mut self.reservations.tokens, now);
        if has_credit {
            warmup.ready_runs += 1;
            self.reservations.ready_runs += 1;
        }
        has_credit
    }

    fn mark_exhausted(&mut self, server: ServerId, now: TenthMillis) {
        self.update_slow_start(server, |slow_start, _| slow_start.mark_exhausted(now));
        self.update_availability(server);
    }

    /// Takes back what a server was made ready for; a slow start that goes on keeps its credit.
    pub(super) fn revoke_ready_runs(&mut self, server: ServerId) {
        let Some(warmup) = &mut self.servers[server].warmup else {
            return;
        };
        let ready_runs = std::mem::take(&mut warmup.ready_runs);
        self.reservations.ready_runs -= ready_runs as usize;
        if let Some(slow_start) = &mut warmup.slow_start {
            slow_start.refund(ready_runs);
        }
    }

    /// Updates the count of warm servers and readiness for a health check; called after each change
    /// of a server.
    pub(super) fn update_warm_count(&mut self, server_id: ServerId) {
        let server = &mut self.servers[server_id];
        let in_use = !server.removed && !server.health.is_ejected();
        let warm = in_use && server.warmup.is_none();
        match (server.counted_as_warm, warm) {
            (false, true) => self.reservations.warm_servers += 1,
            (true, false) => self.reservations.warm_servers -= 1,
            _ => {}
        }
        server.counted_as_warm = warm;
        if !in_use {
            return self.revoke_ready_runs(server_id);
        }
        self.allow_health_check(server_id);
    }

    /// Makes a server that is down ready for one health check at a time, once earlier runs on it
    /// are over.
    fn allow_health_check(&mut self, server_id: ServerId) {
        let server = &mut self.servers[server_id];
        if server.busy_connections > 0 {
            return;
        }
        let awaits_check = |warmup: &&mut Warmup| warmup.is_down() && warmup.ready_runs == 0;
        if let Some(warmup) = server.warmup.as_mut().filter(awaits_check) {
            warmup.ready_runs = 1;
            self.reservations.ready_runs += 1;
        }
    }
}
