//! The table of results by idempotency key. It holds the result of the first request with each key, from which
//! duplicates are answered.

use std::collections::HashMap;

use doortrack_admission::RequestId;
use doortrack_time::{MILLISECOND, TenthMillis};
use rustc_hash::FxHashMap;

use crate::network::request::{BodyHash, IdempotencyKey, RunOutput};

/// Time by which a dedup window is extended. Arrival times are rounded to whole ms, and socket timeouts are 50 ms
/// longer than stated; the slack exceeds both. Too long a window is harmless: a request that still counts as a
/// duplicate is answered from the table.
const WINDOW_SLACK: TenthMillis = 100 * MILLISECOND;

/// Minimum interval between two removals of expired entries.
const EXPIRY_INTERVAL: TenthMillis = 500 * MILLISECOND;

/// Shrinking keeps capacity for at least this many entries, times [`SPARE_CAPACITY`].
const MIN_CAPACITY: usize = 64;
/// Factor by which the capacity kept after shrinking exceeds the number of entries.
const SPARE_CAPACITY: usize = 4;

/// Key of a result: index of the endpoint group, and the caller's idempotency key.
pub type DedupKey = (u8, IdempotencyKey);

struct Entry {
    request: RequestId,
    /// Detects another body with the same idempotency key.
    body_hash: BodyHash,
    /// Latest arrival time within the dedup window.
    window_ends: TenthMillis,
    /// When no duplicate can be read any more.
    expires_at: TenthMillis,
    /// `None` while the request is in flight.
    result: Option<Result<StoredOutput, NoResult>>,
}

impl Entry {
    fn is_expired(&self, now: TenthMillis) -> bool {
        self.result.is_some() && self.expires_at < now
    }

    /// Size of the stored output, in bytes.
    fn size(&self) -> usize {
        match &self.result {
            Some(Ok(output)) => output.bytes.len(),
            Some(Err(NoResult)) | None => 0,
        }
    }
}

/// The output of a run, kept for duplicates.
struct StoredOutput {
    /// Headers, followed by the body.
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

/// The request ran, or may have run, but left no output for its duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoResult;

/// How a request with an idempotency key relates to earlier requests.
#[derive(Debug, PartialEq)]
pub enum DuplicateCheck {
    /// The first request with this key.
    FirstUse,
    /// A duplicate of this request.
    Duplicate(RequestId),
    /// The first request with this key, but the table has no room for its entry, so that duplicates of it would not be
    /// detected.
    TableFull,
    /// The key is in use for a request with another body.
    BodyMismatch,
}

/// The result that a duplicate may be answered with.
#[derive(Debug, PartialEq)]
pub enum StoredResult<'a> {
    /// The original is in flight.
    Pending,
    /// The output of the original.
    Output(RunOutput<'a>),
    /// The original left no output, or is unknown.
    None,
}

/// Results by idempotency key, bounded in entries and in bytes.
pub struct ResultTable {
    entries: HashMap<DedupKey, Entry>,
    keys: FxHashMap<RequestId, DedupKey>,
    /// Size of all stored outputs, in bytes.
    bytes: usize,
    max_entries: usize,
    max_bytes: usize,
    /// Maximum time between the arrival of a duplicate and its reading.
    longest_deadline: TenthMillis,
    /// When expired entries were last removed.
    cleaned_at: TenthMillis,
}

impl ResultTable {
    /// Creates an empty table.
    pub fn new(max_entries: usize, max_bytes: usize, longest_deadline: TenthMillis) -> Self {
        ResultTable {
            entries: HashMap::default(),
            keys: FxHashMap::default(),
            bytes: 0,
            max_entries,
            max_bytes,
            longest_deadline,
            cleaned_at: 0,
        }
    }

    /// Size of all stored outputs, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns true if the table has no entry, so that no request with an idempotency key has run within its window.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns true if there is an entry for this key. Without one, no request with this key has run within its window.
    pub fn contains(&self, key: &DedupKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Checks whether a request with this key and body is a duplicate. The dedup window is measured between arrival
    /// times, so the delay until a duplicate is read does not matter. `arrived_at` must not be later than now: an
    /// arrival time in the future, from a clock that is ahead, could make a duplicate look like a new request.
    pub fn check_duplicate(
        &self,
        key: &DedupKey,
        body_hash: BodyHash,
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
        } else if entry.body_hash == body_hash {
            DuplicateCheck::Duplicate(entry.request)
        } else {
            DuplicateCheck::BodyMismatch
        }
    }

    /// Adds the entry of a request whose dedup window has `ttl` left. If `arrived_at` is ahead of this node's clock,
    /// the window counts from `arrived_at`.
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
            body_hash: BodyHash::of(body),
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

    /// Stores the result of a run that has ended. An output for which there is no room is not kept, and duplicates find
    /// no result.
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

    /// The result that duplicates of this request may be answered with.
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

    /// When the last entry of this endpoint group expires: `None` if the group has no entries, `Some(None)` if one of
    /// its requests is in flight. Scans all entries.
    pub fn last_expiry(&self, group: u8) -> Option<Option<TenthMillis>> {
        self.entries
            .iter()
            .filter(|((entry_group, _), _)| *entry_group == group)
            .map(|(_, entry)| entry.result.as_ref().map(|_| entry.expires_at))
            .reduce(|latest, expiry| Some(latest?.max(expiry?)))
    }

    /// Removes entries that no duplicate can refer to any more. Does so at most once per `EXPIRY_INTERVAL`, as it
    /// scans all entries.
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

    /// Releases memory that a past peak of entries needed.
    fn shrink(&mut self) {
        let enough = SPARE_CAPACITY * self.entries.len().max(MIN_CAPACITY);
        if self.entries.capacity() > 2 * enough {
            self.entries.shrink_to(enough);
            self.keys.shrink_to(enough);
        }
    }
}
