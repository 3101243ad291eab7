//! The invariants that hold after every turn: the node is not overloaded, every answer is given in
//! time, and no answer is owed when a shutdown stops the process.

use doortrack_time::TenthMillis;

use super::simulated_node::{SimulatedNode, Stage, TrackedRequest};

impl SimulatedNode {
    pub(super) fn check_invariants(&self) {
        self.check_concurrency();
        self.check_memory();
        self.check_downstream_calls();
        self.check_answers();
    }

    fn unended(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.requests
            .values()
            .filter(|request| request.stage != Stage::Ended)
    }

    fn check_concurrency(&self) {
        let running = self
            .unended()
            .filter(|request| request.stage == Stage::Running)
            .count() as f32;
        let age = (self.now - self.started_at) as f32 / self.config.warm_up_time as f32;
        let warm_up_progress = if self.config.cold { age.min(1.0) } else { 1.0 };
        let initial = self.config.initial_speed;
        let speed = initial + (1.0 - initial) * warm_up_progress;
        let per_core = 1.0 + (self.config.overload_multiple - 1.0) * speed;
        let sustainable = per_core * self.config.cores;
        assert!(
            running <= sustainable,
            "overload: {running} requests run, {sustainable} can be sustained"
        );
    }

    fn check_memory(&self) {
        let live_records = self
            .records
            .iter()
            .filter(|record| record.expires_at > self.now)
            .count() as f32;
        let mut memory_kb = live_records * self.config.record_kb;
        for request in self.unended() {
            let factor = if matches!(request.stage, Stage::Queued | Stage::Attached(_)) {
                1.0
            } else {
                self.config.run_memory_factor
            };
            memory_kb += request.memory_kb * factor;
        }
        assert!(
            memory_kb <= self.config.memory_kb,
            "overload: {memory_kb} kB of memory in use"
        );
    }

    fn check_downstream_calls(&self) {
        let Some(share) = self.config.downstream_concurrency else {
            return;
        };
        let window_start = self.now.saturating_sub(self.config.downstream_window);
        let open = self
            .unended()
            .filter_map(|request| request.call_started_at.map(|start| (start, self.now)));
        let time_in_window = |(start, end): (TenthMillis, TenthMillis)| {
            end.min(self.now).saturating_sub(start.max(window_start)) as f32
        };
        let ended = self.ended_calls.iter().copied();
        let sum: f32 = ended.chain(open).map(time_in_window).sum();
        let mean = sum / self.config.downstream_window as f32;
        assert!(
            mean <= share * 1.0001,
            "overload: mean of {mean} downstream calls, the share is {share}"
        );
    }

    fn check_answers(&self) {
        for (id, request) in &self.requests {
            assert!(
                !request.answer_owed || self.now <= request.deadline,
                "lost: request {id} is due at {}, the time is {}",
                request.deadline,
                self.now
            );
        }
        if self.stops_within(0) {
            let unanswered = self
                .requests
                .iter()
                .find(|(_, request)| request.answer_owed)
                .map(|(id, request)| (*id, request.stage, request.arrived_at));
            assert!(
                unanswered.is_none(),
                "drain: {unanswered:?} is not answered at the stop"
            );
        }
    }
}
