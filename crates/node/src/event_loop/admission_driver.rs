//! The admission controller, with the batch of events for its next call.

use std::collections::HashSet;

use doortrack_admission::{Action, AdmissionController, Event};
use doortrack_time::TenthMillis;

use crate::state::results::DedupKey;

/// Number of events from which on a batch is passed to the controller before more connections are read.
const FULL_BATCH_EVENTS: usize = 1024;

/// Batches events for the admission controller, which does no I/O itself.
#[derive(Default)]
pub(super) struct AdmissionDriver {
    /// `None` until the backend is up.
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

    /// Returns true if the batch is to be passed to the controller before more connections are read.
    pub(super) fn is_batch_full(&self) -> bool {
        self.batch.len() >= FULL_BATCH_EVENTS
    }

    /// Adds an event to the batch, if there is one.
    pub(super) fn extend(&mut self, event: Option<Event>) {
        self.batch.extend(event);
    }

    /// Records the idempotency key of a request in the batch. Returns false if the batch already has a request with
    /// this key.
    pub(super) fn insert_key(&mut self, key: DedupKey) -> bool {
        self.batch_keys.insert(key)
    }

    pub(super) fn clear_keys(&mut self) {
        self.batch_keys.clear();
    }

    /// Passes the batch to the controller, clears it, and appends the resulting actions. Returns false if the batch
    /// is empty or the controller is not started.
    pub(super) fn handle_batch(&mut self, now: TenthMillis, actions: &mut Vec<Action>) -> bool {
        let Some(controller) = self.controller.as_mut().filter(|_| !self.batch.is_empty()) else {
            return false;
        };
        controller.handle(now, &self.batch, actions);
        self.batch.clear();
        true
    }
}
