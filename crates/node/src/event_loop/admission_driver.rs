//! The admission controller with the batch of events that it is to handle next.

use std::collections::HashSet;

use doortrack_admission::{Action, AdmissionController, Event};
use doortrack_time::TenthMillis;

use crate::state::results::DedupKey;

/// Batches events for the admission controller, which does no I/O of its own.
#[derive(Default)]
pub(super) struct AdmissionDriver {
    /// None until the backend has come up.
    controller: Option<AdmissionController>,
    batch: Vec<Event>,
    /// Idempotency keys of the requests in the batch.
    batch_keys: HashSet<DedupKey>,
}

impl AdmissionDriver {
    pub(super) fn is_started(&self) -> bool {
        self.controller.is_some()
    }

    pub(super) fn start(&mut self, controller: AdmissionController) {
        self.controller = Some(controller);
    }

    /// Adds an event to the batch.
    pub(super) fn push(&mut self, event: Event) {
        self.batch.push(event);
    }

    /// Adds an event to the batch, if there is one.
    pub(super) fn extend(&mut self, event: Option<Event>) {
        self.batch.extend(event);
    }

    /// Notes the idempotency key of a request in the batch; whether the batch has no other with this key.
    pub(super) fn insert_key(&mut self, key: DedupKey) -> bool {
        self.batch_keys.insert(key)
    }

    pub(super) fn clear_keys(&mut self) {
        self.batch_keys.clear();
    }

    /// Has the controller handle the batch, which is empty afterwards, and adds the actions that follow. False
    /// if there was nothing to handle, or nobody to handle it.
    pub(super) fn handle_batch(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> bool {
        let Some(controller) = self.controller.as_mut().filter(|_| !self.batch.is_empty()) else {
            return false;
        };
        controller.handle(now, &self.batch, actions);
        self.batch.clear();
        true
    }
}
