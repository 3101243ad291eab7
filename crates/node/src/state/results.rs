//! The table of deduplicated requests: which idempotency key was taken in when, and what its run brought.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use doortrack_admission::RequestId;
use doortrack_time::TenthMillis;
use rustc_hash::FxHashMap;

use crate::network::request::{IdempotencyKey, RunOutput};

/// Stamps are whole ms and every limit on sockets is 50 ms longer; a window is held open for a little more
/// than both, as a repeat taken for one too long is merely answered from the table.
const WINDOW_SLACK: TenthMillis = 1_000;

const TIDY: TenthMillis = 5_000;

/// Endpoint group and idempotency key.
pub type Key = (u8, IdempotencyKey);

struct Entry {
    ex: RequestId,
    /// Tells the body that it came with from others.
    tag: u64,
    /// The last stamp that is within the window.
    until: TenthMillis,
    kept_till: TenthMillis,
    end: Option<Result<Kept, NoResult>>,
}

/// What a run brought, kept.
pub struct Kept {
    bytes: Box<[u8]>,
    body_from: usize,
}

impl Kept {
    fn of(made: RunOutput) -> Kept {
        Kept {
            bytes: [made.headers, made.body].concat().into(),
            body_from: made.headers.len(),
        }
    }

    pub fn made(&self) -> RunOutput<'_> {
        let (headers, body) = self.bytes.split_at(self.body_from);
        RunOutput { headers, body }
    }
}

/// It ran, or may have, and there is nothing to answer a repeat with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResult;

/// What one with an idempotency key is to those that came before.
#[derive(Debug, PartialEq)]
pub enum Repeats {
    Nothing,
    Of(RequestId),
    /// It repeats nothing and finds no place for an entry, without which its own repeats would not be known.
    NoRoom,
    /// The key is in use for another body, by a mistake or by design: what that one brings is not for it.
    Misused,
}

/// What a repeat may be answered with.
#[derive(Debug, PartialEq)]
pub enum Found<'a> {
    Pending,
    Result(RunOutput<'a>),
    None,
}

pub struct Results {
    entries: HashMap<Key, Entry>,
    /// Keyed by chance, so that nobody can make a body that passes for another.
    tags: RandomState,
    keys: FxHashMap<RequestId, Key>,
    bytes: usize,
    most_entries: usize,
    most_bytes: usize,
    /// A repeat may be read so long after it came.
    longest_deadline: TenthMillis,
    tidied: TenthMillis,
}

impl Results {
    pub fn new(most_entries: usize, most_bytes: usize, longest_deadline: TenthMillis) -> Self {
        let (entries, tags, keys) = Default::default();
        Results {
            entries,
            tags,
            keys,
            bytes: 0,
            most_entries,
            most_bytes,
            longest_deadline,
            tidied: 0,
        }
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What one with this key and body repeats. The window counts from stamp to stamp, so it does not matter
    /// how late a repeat is read. `stamp` is never later than now: whatever its caller's clock says, it came
    /// no later than that, and one that came within the window may not pass for a new one.
    pub fn repeats(&self, key: &Key, body: &[u8], stamp: TenthMillis) -> Repeats {
        let Some(entry) = self.entries.get(key) else {
            return if self.entries.len() < self.most_entries {
                Repeats::Nothing
            } else {
                Repeats::NoRoom
            };
        };
        let within = stamp <= entry.until.saturating_add(WINDOW_SLACK);
        match within || entry.end.is_none() {
            false => Repeats::Nothing,
            true if entry.tag == self.tags.hash_one(body) => Repeats::Of(entry.ex),
            true => Repeats::Misused,
        }
    }

    /// Enters a request that came at `stamp`, for a window that has `lasting` left. Where the stamp is of a
    /// clock ahead of this one, nothing of the window is used up yet, and all of it counts from the stamp.
    pub fn record(
        &mut self,
        ex: RequestId,
        key: Key,
        body: &[u8],
        stamp: TenthMillis,
        lasting: TenthMillis,
        now: TenthMillis,
    ) {
        let until = stamp.max(now).saturating_add(lasting);
        let kept_till = until.saturating_add(WINDOW_SLACK + self.longest_deadline);
        let tag = self.tags.hash_one(body);
        let entry = Entry {
            ex,
            tag,
            until,
            kept_till,
            end: None,
        };
        if let Some(old) = self.entries.insert(key, entry) {
            self.bytes -= size(&old);
            self.keys.remove(&old.ex);
        }
        self.keys.insert(ex, key);
    }

    /// Takes out one that never ran, so that a later try may.
    pub fn forget(&mut self, ex: RequestId) {
        if let Some(key) = self.keys.remove(&ex)
            && let Some(old) = self.entries.remove(&key)
        {
            self.bytes -= size(&old);
        }
    }

    /// A run has ended. Where its result finds no room, repeats are told that there is none.
    pub fn ended(&mut self, ex: RequestId, result: Result<RunOutput, NoResult>) {
        let Some(entry) = self.keys.get(&ex).and_then(|key| self.entries.get_mut(key)) else {
            return;
        };
        let room = self.most_bytes.saturating_sub(self.bytes);
        let size = |made: &RunOutput| made.headers.len() + made.body.len();
        let kept = result.ok().filter(|made| size(made) <= room);
        self.bytes += kept.as_ref().map_or(0, size);
        entry.end = Some(kept.map(Kept::of).ok_or(NoResult));
    }

    pub fn result(&self, ex: RequestId) -> Found<'_> {
        match self
            .keys
            .get(&ex)
            .and_then(|key| self.entries.get(key))
            .map(|entry| &entry.end)
        {
            Some(None) => Found::Pending,
            Some(Some(Ok(kept))) => Found::Result(kept.made()),
            Some(Some(Err(NoResult))) | None => Found::None,
        }
    }

    /// When the last entry of a group that is there now can be named by no repeat any more; none where
    /// there is none, and no time where one is in hand. It looks at every entry.
    pub fn last_of(&self, group: u8) -> Option<Option<TenthMillis>> {
        let of = self
            .entries
            .iter()
            .filter(|((other, _), _)| *other == group);
        of.map(|(_, entry)| entry.end.as_ref().map(|_| entry.kept_till))
            .reduce(|one, other| Some(one?.max(other?)))
    }

    /// Lets go of what no repeat can name any more; now and then, as it looks at every entry.
    pub fn tidy(&mut self, now: TenthMillis) {
        if now < self.tidied + TIDY {
            return;
        }
        self.tidied = now;
        let (keys, bytes) = (&mut self.keys, &mut self.bytes);
        self.entries.retain(|_, entry| {
            let keep = entry.end.is_none() || entry.kept_till >= now;
            if !keep {
                keys.remove(&entry.ex);
                *bytes -= size(entry);
            }
            keep
        });
        // After a peak they take no more than a few times what they hold.
        let enough = 4 * self.entries.len().max(64);
        if self.entries.capacity() > 2 * enough {
            self.entries.shrink_to(enough);
            self.keys.shrink_to(enough);
        }
    }
}

fn size(entry: &Entry) -> usize {
    entry
        .end
        .as_ref()
        .and_then(|end| end.as_ref().ok())
        .map_or(0, |kept| kept.bytes.len())
}
