//! Hashes of request bodies, by which two bodies are told apart without keeping them.

use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

/// The key of all hashes of this process. It is random, so that callers can't craft two bodies with the same hash.
static HASH_KEY: LazyLock<RandomState> = LazyLock::new(RandomState::new);

/// The keyed hash of a request body, comparable within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyHash(u64);

impl BodyHash {
    /// Returns the hash of a body.
    pub fn of(body: &[u8]) -> BodyHash {
        BodyHash(HASH_KEY.hash_one(body))
    }
}
