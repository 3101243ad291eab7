//! Admission while every server is down or in slow start: only as many requests as the servers may
//! get now.

use std::collections::BTreeSet;

use super::Pool;
use crate::slow_start::{TokenSource, Warmup};
use crate::{Action, ServerId};
use doortrack_time::{MILLISECOND, TenthMillis};

/// Minimum time that a rejected request is told to wait.
const MIN_RETRY_AFTER: TenthMillis = 20 * MILLISECOND;
/// Maximum time that a rejected request is told to wait while a server is in slow start, where credit
/// accrues steadily.
const MAX_RETRY_AFTER_IN_SLOW_START: TenthMillis = 100 * MILLISECOND;
/// Maximum number of servers that are tried for credit for one request.
const MAX_SERVERS_TRIED: usize = 2;

/// How a request was admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// Admitted without a reservation.
    #[default]
    Unreserved,
    /// Admitted with a reservation of a run that a server is ready for. The caller releases it with
    /// [`Pool::release_reservation`].
    Reserved,
}

/// Credit and reservations of all servers that are down or in slow start.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    pub(super) tokens: TokenSource,
    /// When each slow start is reviewed next, one entry per server.
    pub(super) reviews: BTreeSet<(TenthMillis, ServerId)>,
    /// Sum of `Warmup::ready_runs` over all servers.
    ready_runs: usize,
    /// Requests that were admitted with a reservation and have not released it.
    reserved: usize,
    /// Servers that are in use and warmed up.
    warm_servers: usize,
}

impl Pool {
    /// Admits one more request to this pool, unless every server is down or in slow start and can't
    /// get another run now.
    ///
    /// # Errors
    /// Returns how long the caller should wait before it tries again.
    pub fn admit(&mut self, now: TenthMillis) -> Result<Admission, TenthMillis> {
        if self.has_warm_server() {
            return Ok(Admission::Unreserved);
        }
        if self.ensure_ready_runs(self.reservations.reserved + self.queue.len() + 1, now) {
            self.reservations.reserved += 1;
            return Ok(Admission::Reserved);
        }
        self.counters.held_back += 1;
        Err(self.retry_after(now))
    }

    /// Releases a reservation. The caller does so immediately before it begins the request, or when the
    /// request is abandoned.
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

    /// Whether runs can be sent without credit: slow start is not configured, or a server is in use and
    /// warmed up.
    fn has_warm_server(&self) -> bool {
        self.config.slow_start.is_none() || self.reservations.warm_servers > 0
    }

    /// Whether the first queued run may be sent without using runs that are reserved for admitted
    /// requests.
    pub(super) fn may_dispatch(&mut self, now: TenthMillis) -> bool {
        self.has_warm_server() || self.ensure_ready_runs(self.reservations.reserved + 1, now)
    }

    /// Ends queued runs, the latest first, while every server is down or in slow start and there is no
    /// credit for all of them.
    pub(super) fn end_runs_without_credit(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while !self.queue.is_empty()
            && !self.has_warm_server()
            && !self.ensure_ready_runs(self.reservations.reserved + self.queue.len(), now)
            && let Some((_, run)) = self.queue.pop_last()
        {
            let end = self.runs[&run].end_without_server;
            self.end_run(run, end, actions);
        }
    }

    /// Takes credit of servers until they are ready for `wanted` runs in total. Returns whether they
    /// are.
    fn ensure_ready_runs(&mut self, wanted: usize, now: TenthMillis) -> bool {
        for _ in 0..MAX_SERVERS_TRIED {
            if self.reservations.ready_runs >= wanted || self.available.is_empty() {
                break;
            }
            let server = self.available[self.rng.usize(0..self.available.len())];
            if !self.add_ready_run(server, now) {
                self.mark_exhausted(server, now);
            }
        }
        self.reservations.ready_runs >= wanted
    }

    /// Uses up one of the server's ready runs if it is down or in slow start. Returns false if it has
    /// neither a ready run nor credit; the server then gets no runs until its next review.
    pub(super) fn take_ready_run(&mut self, server: ServerId, now: TenthMillis) -> bool {
        let Some(warmup) = &self.servers[server].warmup else {
            return true;
        };
        if warmup.ready_runs == 0 && !self.add_ready_run(server, now) {
            self.mark_exhausted(server, now);
            return false;
        }
        if let Some(warmup) = &mut self.servers[server].warmup {
            warmup.ready_runs -= 1;
            self.reservations.ready_runs -= 1;
        }
        true
    }

    /// Adds a ready run to a server in slow start if it has the credit. Returns whether it did.
    fn add_ready_run(&mut self, server: ServerId, now: TenthMillis) -> bool {
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

    /// Removes the ready runs of a server. A slow start under way gets their credit back.
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

    /// Updates the count of warm servers and the ready runs of a server. Called after each change of
    /// the server.
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

    /// Makes a server that is down ready for one run as a health check, once no earlier run is in
    /// progress on it.
    fn allow_health_check(&mut self, server_id: ServerId) {
        let server = &mut self.servers[server_id];
        if server.busy_connections > 0 {
            return;
        }
        let needs_health_check = |warmup: &&mut Warmup| warmup.is_down() && warmup.ready_runs == 0;
        if let Some(warmup) = server.warmup.as_mut().filter(needs_health_check) {
            warmup.ready_runs = 1;
            self.reservations.ready_runs += 1;
        }
    }
}
