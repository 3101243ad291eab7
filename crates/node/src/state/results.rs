//! The table of results by idempotency key: what became of each key's first request, for its duplicates.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use doortrack_admission::RequestId;
use doortrack_time::{MILLISECOND, TenthMillis};
use rustc_hash::FxHashMap;

use crate::network::request::{IdempotencyKey, RunOutput};

/// Times of arrival are whole ms and every timeout on sockets is 50 ms longer than stated; a window is kept open
/// for a little more than both, since a request that is taken for a duplicate for too long is merely answered from
/// the table.
const WINDOW_SLACK: TenthMillis = 100 * MILLISECOND;

/// Least interval between two removals of expired entries.
const EXPIRY_INTERVAL: TenthMillis = 500 * MILLISECOND;

/// The table keeps capacity for this many entries at least.
const MIN_CAPACITY: usize = 64;
/// Capacity is kept for so many times the entries.
const SPARE_CAPACITY: usize = 4;

/// Index of the endpoint group, and the caller's idempotency key.
pub type DedupKey = (u8, IdempotencyKey);

struct Entry {
    request: RequestId,
    /// A keyed hash of the body, to tell it from another body under the same key.
    body_hash: u64,
    /// The last time of arrival within the window.
    window_ends: TenthMillis,
    /// When no duplicate can arrive any more.
    expires_at: TenthMillis,
    /// None while the request is in flight.
    result: Option<Result<StoredOutput, NoResult>>,
}

impl Entry {
    fn is_expired(&self, now: TenthMillis) -> bool {
        self.result.is_some() && self.expires_at < now
    }

    /// Bytes of the stored output.
    fn size(&self) -> usize {
        match &self.result {
            Some(Ok(output)) => output.bytes.len(),
            Some(Err(NoResult)) | None => 0,
        }
    }
}

/// The output of a run, kept for duplicates.
struct StoredOutput {
    /// Headers and body, one after the other.
    bytes: Box<[u8]>,
    body_start: usize,
}

impl StoredOutput {
    fn new(output: RunOutput) -> StoredOutput {
        StoredOutput {
            bytes: [output.headers, output.body].concat().into(),
            body_start: output.headers.len(),
        }
    }

    fn output(&self) -> RunOutput<'_> {
        let (headers, body) = self.bytes.split_at(self.body_start);
        RunOutput { headers, body }
    }
}

/// The request ran, or may have, and there is no output for its duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResult;

/// What a request with an idempotency key is to those that came before.
#[derive(Debug, PartialEq)]
pub enum DuplicateCheck {
    /// The first with its key.
    FirstUse,
    /// A duplicate of this request.
    Duplicate(RequestId),
    /// The first with its key, without room for the entry by which its own duplicates would be known.
    TableFull,
    /// The key is in use for another body, whose result is not for this one.
    BodyMismatch,
}

/// What a duplicate may be answered with.
#[derive(Debug, PartialEq)]
pub enum StoredResult<'a> {
    /// The original is in flight.
    Pending,
    /// The output of the original.
    Output(RunOutput<'a>),
    /// The original left no output, or is not known.
    None,
}

/// The results by idempotency key, bounded in entries and in bytes.
pub struct ResultTable {
    entries: HashMap<DedupKey, Entry>,
    /// Randomly keyed, so that nobody can craft a body with the hash of another.
    body_hasher: RandomState,
    keys: FxHashMap<RequestId, DedupKey>,
    /// Bytes of all stored outputs.
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
    /// A duplicate may be read so long after it arrived.
    longest_deadline: TenthMillis,
    /// When expired entries were last removed.
    cleaned_at: TenthMillis,
}

impl ResultTable {
    /// An empty table.
    pub fn new(max_entries: usize, max_bytes: usize, longest_deadline: TenthMillis) -> Self {
        ResultTable {
            entries: HashMap::default(),
            body_hasher: RandomState::default(),
            keys: FxHashMap::default(),
            bytes: 0,
            max_entries,
            max_bytes,
            longest_deadline,
            cleaned_at: 0,
        }
    }

    /// Bytes of all stored outputs.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What a request with this key and body repeats. The window counts from arrival to arrival, so it does
    /// not matter how late a duplicate is read. `arrived_at` must not be later than now: whatever another clock
    /// says, it came no later, and a duplicate within the window must not pass for a new request.
    pub fn check_duplicate(
        &self,
        key: &DedupKey,
        body: &[u8],
        arrived_at: TenthMillis,
    ) -> DuplicateCheck {
        let Some(entry) = self.entries.get(key) else {
            return if self.entries.len() < self.max_entries {
                DuplicateCheck::FirstUse
            } else {
                DuplicateCheck::TableFull
            };
        };
        let within_window = arrived_at <= entry.window_ends.saturating_add(WINDOW_SLACK);
        if !within_window && entry.result.is_some() {
            DuplicateCheck::FirstUse
        } else if entry.body_hash == self.body_hasher.hash_one(body) {
            DuplicateCheck::Duplicate(entry.request)
        } else {
            DuplicateCheck::BodyMismatch
        }
    }

    /// Enters a request for a window of which `ttl` is left. If `arrived_at` is ahead of this node's clock,
    /// nothing of the window is used up yet, and all of it counts from then.
    pub fn record(
        &mut self,
        request: RequestId,
        key: DedupKey,
        body: &[u8],
        arrived_at: TenthMillis,
        ttl: TenthMillis,
        now: TenthMillis,
    ) {
        let window_ends = arrived_at.max(now).saturating_add(ttl);
        let entry = Entry {
            request,
            body_hash: self.body_hasher.hash_one(body),
            window_ends,
            expires_at: window_ends.saturating_add(WINDOW_SLACK + self.longest_deadline),
            result: None,
        };
        if let Some(old) = self.entries.insert(key, entry) {
            self.bytes -= old.size();
            self.keys.remove(&old.request);
        }
        self.keys.insert(request, key);
    }

    /// Removes the entry of a request that never ran, so that a later attempt may run.
    pub fn forget(&mut self, request: RequestId) {
        if let Some(key) = self.keys.remove(&request)
            && let Some(old) = self.entries.remove(&key)
        {
            self.bytes -= old.size();
        }
    }

    /// A run has ended. An output that there is no room for is not kept: duplicates find no result.
    pub fn complete(&mut self, request: RequestId, result: Result<RunOutput, NoResult>) {
        let key = self.keys.get(&request);
        let Some(entry) = key.and_then(|key| self.entries.get_mut(key)) else {
            return;
        };
        let available = self.max_bytes.saturating_sub(self.bytes);
        let size = |output: &RunOutput| output.headers.len() + output.body.len();
        let output = result.ok().filter(|output| size(output) <= available);
        self.bytes += output.as_ref().map_or(0, size);
        entry.result = Some(output.map(StoredOutput::new).ok_or(NoResult));
    }

    /// What duplicates of this request may be answered with.
    pub fn result(&self, request: RequestId) -> StoredResult<'_> {
        let key = self.keys.get(&request);
        let Some(entry) = key.and_then(|key| self.entries.get(key)) else {
            return StoredResult::None;
        };
        match &entry.result {
            None => StoredResult::Pending,
            Some(Ok(stored)) => StoredResult::Output(stored.output()),
            Some(Err(NoResult)) => StoredResult::None,
        }
    }

    /// When the last of this endpoint group's entries expires: `None` if the group has no entries, `Some(None)`
    /// if one of them is of a request in flight. It scans all entries.
    pub fn last_expiry(&self, group: u8) -> Option<Option<TenthMillis>> {
        self.entries
            .iter()
            .filter(|((entry_group, _), _)| *entry_group == group)
            .map(|(_, entry)| entry.result.as_ref().map(|_| entry.expires_at))
            .reduce(|latest, expiry| Some(latest?.max(expiry?)))
    }

    /// Removes entries that no duplicate can refer to any more, unless that was done a moment ago, as it scans
    /// all entries.
    pub fn remove_expired(&mut self, now: TenthMillis) {
        if now < self.cleaned_at + EXPIRY_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        let (keys, bytes) = (&mut self.keys, &mut self.bytes);
        self.entries.retain(|_, entry| {
            let expired = entry.is_expired(now);
            if expired {
                keys.remove(&entry.request);
                *bytes -= entry.size();
            }
            !expired
        });
        self.shrink();
    }

    /// Gives back memory that a peak of entries took.
    fn shrink(&mut self) {
        let enough = SPARE_CAPACITY * self.entries.len().max(MIN_CAPACITY);
        if self.entries.capacity() > 2 * enough {
            self.entries.shrink_to(enough);
            self.keys.shrink_to(enough);
        }
    }
}
