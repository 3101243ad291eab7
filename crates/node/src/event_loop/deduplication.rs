//! Recognizes duplicates of requests by their idempotency keys.
//!
//! A refusal tells the caller that nothing ran, so the caller may have the request run at another node, which does not
//! know the key. Whatever the reason of a refusal, it is given only once it is known that the request repeats none that
//! ran here.

use doortrack_admission::RequestId;

use super::Node;
use crate::network::listeners::Caller;
use crate::network::request::{
    Answer, BodyHash, IncomingRequest, IncompleteKey, RefusalReason, Unreadable,
};
use crate::state::results::{DedupKey, DuplicateCheck, StoredResult};

impl Node {
    /// Answers a request that can't be run: from the request that it duplicates, if there is one.
    pub(super) fn on_possible_duplicate(
        &mut self,
        caller: Caller,
        request: &IncomingRequest,
        body_hash: BodyHash,
        refusal: RefusalReason,
    ) {
        if !self.is_to_be_answered(caller) {
            return;
        }
        match self.find_original(request, body_hash) {
            Ok(Some(original)) => self.take_duplicate(caller, request, original),
            Ok(None) => self.listeners.answer(caller, Answer::NoCapacity(refusal)),
            Err(answer) => self.listeners.answer(caller, answer),
        }
    }

    /// Answers a request whose rest can't be waited for.
    pub(super) fn on_incomplete(&mut self, caller: Caller, key: IncompleteKey) {
        let answer = if self.may_have_run(key) {
            Answer::INCOMPLETE
        } else {
            Answer::NoCapacity(RefusalReason::Incomplete)
        };
        self.listeners.answer(caller, answer);
    }

    /// Returns true if an incomplete request may be a duplicate of a request that ran.
    fn may_have_run(&mut self, key: IncompleteKey) -> bool {
        match key {
            IncompleteKey::None => false,
            IncompleteKey::Known { group, key } => {
                self.decide_before_duplicate((group, key));
                self.results.contains(&(group, key))
            }
            IncompleteKey::Unknown => {
                self.decide();
                !self.results.is_empty()
            }
        }
    }

    /// Finds the request that a request duplicates, if any.
    ///
    /// # Errors
    /// The answer to send instead, when the result table is full or the key was used with another body. The table
    /// refuses only keys without an entry: a duplicate of a request that has run is never refused for space.
    pub(super) fn find_original(
        &mut self,
        request: &IncomingRequest,
        body_hash: BodyHash,
    ) -> Result<Option<RequestId>, Answer<'static>> {
        let Some(key) = request.dedup_key() else {
            return Ok(None);
        };
        self.decide_before_duplicate(key);
        let arrived_at = request.arrived_at.min(self.now);
        match self.results.check_duplicate(&key, body_hash, arrived_at) {
            DuplicateCheck::FirstUse => Ok(None),
            DuplicateCheck::Duplicate(original) => Ok(Some(original)),
            DuplicateCheck::TableFull => Err(Answer::NoCapacity(RefusalReason::ResultTable)),
            DuplicateCheck::BodyMismatch => Err(Answer::Unreadable(Unreadable::Field(
                "HTTP_IDEMPOTENCY_KEY",
            ))),
        }
    }

    /// Returns true if a duplicate of this request can be answered at once, or may wait for the result.
    pub(super) fn has_room_for_duplicate(&self, original: RequestId) -> bool {
        self.in_flight.attached_count() < self.listeners.limits().waiting_duplicates()
            || self.results.result(original) != StoredResult::Pending
    }

    /// Processes the current batch first if it has a request with the same key, so that the duplicate finds that
    /// request's entry.
    fn decide_before_duplicate(&mut self, key: DedupKey) {
        if !self.admission.insert_key(key) {
            self.decide();
            self.admission.insert_key(key);
        }
    }
}
