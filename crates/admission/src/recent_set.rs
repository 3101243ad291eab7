//! A bounded set of keys that forgets those not seen of late.

use doortrack_time::TenthMillis;
use rustc_hash::FxHashSet;

/// Keys of two generations. A key stays for one to two windows after it was last inserted, or less
/// where a generation reaches its bound.
#[derive(Debug)]
pub(crate) struct RecentSet {
    current: FxHashSet<u64>,
    previous: FxHashSet<u64>,
    window: TenthMillis,
    /// A generation of this many keys is the last one's successor at the next rotation, however
    /// young.
    max_generation_len: usize,
    rotate_at: TenthMillis,
}

impl RecentSet {
    /// An empty set; the first call of [`Self::rotate_if_due`] starts its first window.
    pub(crate) fn new(window: TenthMillis, max_generation_len: usize) -> Self {
        Self {
            current: FxHashSet::default(),
            previous: FxHashSet::default(),
            window,
            max_generation_len,
            rotate_at: 0,
        }
    }

    /// Whether the key was inserted of late.
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.current.contains(&key) || self.previous.contains(&key)
    }

    /// Inserts the key into the current generation.
    pub(crate) fn insert(&mut self, key: u64) {
        self.current.insert(key);
    }

    /// Starts a new generation where the window has passed or the current one is full.
    pub(crate) fn rotate_if_due(&mut self, now: TenthMillis) {
        if now < self.rotate_at && self.current.len() < self.max_generation_len {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.rotate_at = now + self.window;
    }

    /// Keys in the larger generation.
    pub(crate) fn len_of_larger_generation(&self) -> usize {
        self.current.len().max(self.previous.len())
    }
}
