//! Passes the batch of events to the admission controller and executes the actions it returns.

use doortrack_admission::{Action, AdmissionController, Event, RequestId};
use doortrack_time::TenthMillis;
use slog::{error, info};

use super::Node;
use crate::network::request::{Answer, RunOutput};
use crate::network::termination::Termination;
use crate::state::in_flight::Stage;

impl Node {
    /// Starts the admission controller when the backend comes up. `age` is the time since the backend started, which
    /// counts towards the slow start of a cold node.
    pub(super) fn start_admission(&mut self, cold: bool, age: TenthMillis) {
        if self.admission.is_started() {
            return;
        }
        let mut config = self.config.node.settings.admission.clone();
        config.cold = cold;
        let mut controller = AdmissionController::new(config, self.config.platform.seed);
        let mut actions = Vec::new();
        controller.handle(
            self.now.saturating_sub(age),
            &[Event::Started],
            &mut actions,
        );
        self.admission.start(controller);
        for action in actions {
            self.execute(action);
        }
        self.announce_drain();
    }

    /// Passes the batch to the admission controller and executes its actions, until these cause no new events.
    pub(super) fn decide(&mut self) {
        let mut actions = Vec::new();
        while self.admission.handle_batch(self.now, &mut actions) {
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
        self.admission.clear_keys();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Run { id } => self.start_run(id),
            Action::Reject {
                id,
                no_retry_elsewhere,
                retry_after,
            } => {
                let rejected = Answer::Rejected {
                    no_retry_elsewhere,
                    retry_after,
                };
                self.answer(id, rejected);
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Cancel { id } => self.cancel(id),
            Action::Record { id, ttl } => self.record(id, ttl),
            Action::Forget { id } => {
                self.results.forget(id);
                self.answer_duplicates(id);
            }
            Action::Attach { id } => self.attach(id),
            Action::Health { healthy, .. } => self.set_health(healthy),
            Action::Backpressure { value } => self.listeners.backpressure = Some(value),
            Action::IdleTimeout { timeout } => self.listeners.idle_timeout = timeout,
            Action::SetTimer { at, token } => self.timers.set(at, token),
            // Configurations with downstream calls are refused at the start: this node can't make them.
            Action::Call { id, .. } | Action::SkipCall { id } => {
                error!(self.log, "unsupported downstream call"; "request" => id);
            }
        }
    }

    /// Sends a request to the backend to be run.
    pub(super) fn start_run(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let idempotent = self.config.is_idempotent(request.group);
        let group_name = &self.config.group_names_json[usize::from(request.group)];
        // The run takes a server connection at once, so its reservation is released just before.
        let reserved = std::mem::take(&mut request.reservations.admission);
        self.backend.release(request.pool, reserved);
        let sent = self
            .backend
            .run(id, request, group_name, idempotent, self.now);
        request.stage = Stage::Running { sent };
    }

    /// Sends the answer to a request's caller, unless it was answered before or the caller has gone.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let request = self.in_flight.get(id);
        let Some(caller) = request.and_then(|request| request.caller.take()) else {
            return;
        };
        self.listeners.answer(caller, answer);
        self.drop_if_queued(id);
    }

    /// Cancels a run if it may have begun.
    fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        match request.stage {
            Stage::Running { sent: None } => {
                self.on_terminated(id, Termination::Unsent, RunOutput::default());
            }
            Stage::Running { .. } | Stage::InDoubt => self.backend.cancel(id, request, self.now),
            Stage::Queued | Stage::Attached { .. } => {}
        }
    }

    /// Opens an entry in the result table, for duplicates of this request.
    fn record(&mut self, id: RequestId, ttl: TenthMillis) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        if let Some(key) = request.key {
            self.results
                .record(id, key, &request.body, request.arrived_at, ttl, self.now);
        }
    }

    /// Answers a duplicate with the result of the original.
    fn attach(&mut self, id: RequestId) {
        let request = self.in_flight.get(id);
        if let Some(original) = request.and_then(|request| request.duplicate_of) {
            self.answer_from(id, original);
        }
    }

    fn set_health(&mut self, healthy: bool) {
        self.listeners.healthy = healthy;
        let follows_health = self.config.node.settings.drains_when_unhealthy;
        self.registry
            .set_draining(self.shutdown.is_draining() || (follows_health && !healthy));
        info!(self.log, "health"; "healthy" => healthy);
    }
}
