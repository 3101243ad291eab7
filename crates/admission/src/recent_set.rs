//! A bounded set of keys that drops keys not inserted recently.

use doortrack_time::TenthMillis;
use rustc_hash::FxHashSet;

/// A set with two generations. A key stays for one to two windows after it was last inserted, or
/// for less time if a generation reaches its maximum size.
#[derive(Debug)]
pub(crate) struct RecentSet {
    current: FxHashSet<u64>,
    previous: FxHashSet<u64>,
    window: TenthMillis,
    /// Size at which a generation is rotated before its window has passed.
    max_generation_len: usize,
    rotate_at: TenthMillis,
}

impl RecentSet {
    /// Creates an empty set. The first call of [`Self::rotate_if_due`] starts the first window.
    pub(crate) fn new(window: TenthMillis, max_generation_len: usize) -> Self {
        Self {
            current: FxHashSet::default(),
            previous: FxHashSet::default(),
            window,
            max_generation_len,
            rotate_at: 0,
        }
    }

    /// Returns `true` if the key was inserted recently.
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.current.contains(&key) || self.previous.contains(&key)
    }

    /// Inserts the key into the current generation.
    pub(crate) fn insert(&mut self, key: u64) {
        self.current.insert(key);
    }

    /// Starts a new generation if the window has passed or the current one is full.
    pub(crate) fn rotate_if_due(&mut self, now: TenthMillis) {
        if now < self.rotate_at && self.current.len() < self.max_generation_len {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.rotate_at = now + self.window;
    }

    /// Returns the number of keys in the larger generation.
    pub(crate) fn len_of_larger_generation(&self) -> usize {
        self.current.len().max(self.previous.len())
    }
}
