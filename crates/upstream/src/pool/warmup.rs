//! Slow starts of servers that were down, from their return to the end of the slow start.

use super::Pool;
use crate::slow_start::{SlowStart, TokenSource};
use crate::{Action, ServerId, ServerState, TokenResponse};
use doortrack_time::TenthMillis;

impl Pool {
    /// Sets the function that requests slow start tokens, for a pool that shares slow starts with other
    /// pools.
    pub fn set_slow_start_tokens(&mut self, request: Box<dyn FnMut() -> TokenResponse>) {
        self.reservations.tokens = TokenSource::new(request);
    }

    /// The number of members that are down or in slow start.
    pub fn cold_servers(&self) -> usize {
        self.servers
            .iter()
            .filter(|(_, server)| !server.removed && server.warmup.is_some())
            .count()
    }

    /// Begins a slow start if the server was down: the connection that has opened shows its return.
    pub(super) fn begin_slow_start_if_down(
        &mut self,
        server_id: ServerId,
        now: TenthMillis,
        actions: &mut Vec<Action>,
    ) {
        let Some(config) = self.config.slow_start else {
            return;
        };
        let server = &mut self.servers[server_id];
        if server.removed {
            return;
        }
        let Some(warmup) = server.warmup.as_mut().filter(|warmup| warmup.is_down()) else {
            return;
        };
        let slow_start = SlowStart::begin(config, now);
        let (until, review_at) = (slow_start.ends_at(), slow_start.review_at);
        warmup.slow_start = Some(slow_start);
        self.reservations.reviews.insert((review_at, server_id));
        self.counters.slow_starts += 1;
        actions.push(Action::StateChanged {
            server: server_id,
            state: ServerState::SlowStart { until },
        });
        self.update_availability(server_id);
    }

    pub(super) fn next_slow_start_review(&self) -> TenthMillis {
        self.reservations
            .reviews
            .first()
            .map_or(TenthMillis::MAX, |(review_at, _)| *review_at)
    }

    /// Reviews the slow starts that are due.
    pub(super) fn review_slow_starts(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        while let Some((review_at, server)) = self.reservations.reviews.first().copied()
            && review_at <= now
        {
            self.reservations.reviews.pop_first();
            let warmup = self.servers[server].warmup.as_ref();
            let slow_start = warmup.and_then(|warmup| warmup.slow_start.as_ref());
            if slow_start.is_none_or(|slow_start| slow_start.ends_at() <= now) {
                self.finish_warmup(server);
                let state = ServerState::WarmedUp;
                actions.push(Action::StateChanged { server, state });
            } else {
                self.update_slow_start(server, |slow_start, tokens| slow_start.review(tokens, now));
                self.update_availability(server);
            }
        }
    }

    /// Changes a slow start, if there is one, and updates when it is reviewed next.
    pub(super) fn update_slow_start(
        &mut self,
        server: ServerId,
        change: impl FnOnce(&mut SlowStart, &mut TokenSource),
    ) {
        let warmup = self.servers[server].warmup.as_mut();
        let Some(slow_start) = warmup.and_then(|warmup| warmup.slow_start.as_mut()) else {
            return;
        };
        let reservations = &mut self.reservations;
        reservations.reviews.remove(&(slow_start.review_at, server));
        change(slow_start, &mut reservations.tokens);
        reservations.reviews.insert((slow_start.review_at, server));
    }

    /// Ends the warm-up of the server. Only its health bounds its runs from now on.
    pub(super) fn finish_warmup(&mut self, server: ServerId) {
        self.stop_slow_start(server);
        self.servers[server].warmup = None;
        self.update_availability(server);
    }

    /// Ends a slow start, if there is one. The server counts as down until a connection to it opens.
    pub(super) fn stop_slow_start(&mut self, server: ServerId) {
        self.revoke_ready_runs(server);
        let warmup = self.servers[server].warmup.as_mut();
        if let Some(slow_start) = warmup.and_then(|warmup| warmup.slow_start.take()) {
            let review = (slow_start.review_at, server);
            self.reservations.reviews.remove(&review);
        }
    }
}
