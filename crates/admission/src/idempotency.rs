//! Records of requests by idempotency key, so that retries are not run again.

use std::collections::VecDeque;

use doortrack_time::TenthMillis;
use rustc_hash::FxHashSet;

use crate::RequestId;
use crate::in_flight::{InFlightTable, Stage};

/// The current records in the node's table of deduplicated requests.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyRecords {
    live: FxHashSet<RequestId>,
    /// Expiration times in order of insertion. Entries whose records have been removed are skipped.
    expirations: VecDeque<(TenthMillis, RequestId)>,
}

impl IdempotencyRecords {
    /// Records a request.
    pub(crate) fn insert(&mut self, id: RequestId, expires_at: TenthMillis) {
        self.live.insert(id);
        self.expirations.push_back((expires_at, id));
    }

    /// Removes the record of a request. Returns `true` if there was one.
    pub(crate) fn remove(&mut self, id: RequestId) -> bool {
        self.live.remove(&id)
    }

    /// Returns the next request whose record has expired; the caller removes the record.
    pub(crate) fn pop_expired(&mut self, now: TenthMillis) -> Option<RequestId> {
        let (_, id) = self
            .expirations
            .pop_front_if(|(expires_at, _)| *expires_at < now)?;
        Some(id)
    }
}

/// Returns the original whose result answers `id`, or `None` if `id` is to be run itself. Two
/// requests of one batch may each name the other as the original: the one whose chain of
/// attachments leads back to itself is run.
pub(crate) fn original_of(
    in_flight: &InFlightTable,
    id: RequestId,
    duplicate_of: Option<RequestId>,
) -> Option<RequestId> {
    let original = duplicate_of?;
    let mut ancestor = original;
    for _ in 0..=in_flight.len() {
        if ancestor == id {
            return None;
        }
        let Some(slot) = in_flight.slot_of(ancestor) else {
            break;
        };
        if in_flight[slot].stage != Stage::Attached {
            break;
        }
        ancestor = in_flight[slot].attached_to;
    }
    Some(original)
}
