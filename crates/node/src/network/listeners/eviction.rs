//! Evicts connections when slots run out.
//!
//! Only connections on which no caller waits are evicted, in the order of [`EvictionPriority`]. So clients that only
//! hold idle connections have little effect on clients that send requests.

use doortrack_time::TenthMillis;

use super::{ListenerEvent, Listeners};
use crate::network::bounds::{self, MAX_EVICTIONS};
use crate::network::connection::{Connection, EvictionPriority};
use crate::network::termination::Termination;

/// The connections that are considered for an eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionScope {
    /// All connections: the table is full, or no file descriptor is left.
    Table,
    /// The connections of this listener: its own bound is reached before the table's.
    Listener(usize),
}

impl EvictionScope {
    fn includes(self, connection: &Connection) -> bool {
        match self {
            EvictionScope::Table => true,
            EvictionScope::Listener(listener) => connection.listener == listener,
        }
    }
}

/// A bound on the number of connections, and how many slots of it are free.
struct SlotBound {
    scope: EvictionScope,
    slots: usize,
    free: usize,
}

/// A connection that may be evicted. The least candidate is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    priority: EvictionPriority,
    last_activity: TenthMillis,
    slot: usize,
}

impl Listeners {
    /// Frees slots in `scope` at once. Returns true if that succeeded. Closes up to [`MAX_EVICTIONS`] connections that
    /// are unused or linger, the longest inactive first. If there are none, closes the connection that has been idle
    /// longest, or else the one whose partial request has made no progress for longest.
    pub(super) fn evict_now(
        &mut self,
        scope: EvictionScope,
        inactive_since: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) -> bool {
        let candidates = self.eviction_candidates(scope, inactive_since);
        let max_unused = candidates
            .partition_point(|candidate| candidate.priority == EvictionPriority::Unused)
            .min(MAX_EVICTIONS);
        let before = self.connections.len();
        for Candidate { priority, slot, .. } in candidates {
            let max_evictions = match priority {
                EvictionPriority::Unused => max_unused,
                EvictionPriority::Idle | EvictionPriority::PartialRequest => 1,
            };
            if before - self.connections.len() >= max_evictions {
                break;
            }
            let connection = &self.connections[slot];
            if connection.is_lingering() || connection.nothing_to_read() {
                self.close(slot, Termination::Evicted, events);
            }
        }
        self.connections.len() < before
    }

    /// Closes some connections gracefully while slots are left, so that a request sent at the same time does not cause
    /// a reset. [`Listeners::evict_now`] is needed only when clients connect faster than evicted peers close, or when
    /// the table is too small for spare slots.
    pub(super) fn evict_proactively(
        &mut self,
        listener: usize,
        inactive_since: TenthMillis,
        now: TenthMillis,
        events: &mut Vec<ListenerEvent>,
    ) {
        let bound = self.tighter_bound(listener);
        let spare = bounds::spare_slots(bound.slots);
        if bound.free >= spare {
            return;
        }
        let wanted = spare.saturating_sub(bound.free + self.count_lingering(bound.scope));
        // Waits until more than half of the spare slots are needed, as each search goes over all connections.
        if 2 * wanted <= spare {
            return;
        }
        let candidates = self.eviction_candidates(bound.scope, inactive_since);
        let closable = candidates
            .into_iter()
            .map(|candidate| candidate.slot)
            .filter(|slot| can_close_gracefully(&self.connections[*slot]));
        let chosen: Vec<usize> = closable.take(wanted).collect();
        for slot in chosen {
            self.linger(slot, Termination::Evicted, now, events);
        }
    }

    /// Returns the scope of an eviction for a new connection at this listener.
    pub(super) fn eviction_scope(&self, listener: usize) -> EvictionScope {
        self.tighter_bound(listener).scope
    }

    fn count_lingering(&self, scope: EvictionScope) -> usize {
        let lingering =
            |connection: &Connection| connection.is_lingering() && scope.includes(connection);
        self.connections
            .iter()
            .filter(|(_, connection)| lingering(connection))
            .count()
    }

    /// Returns the bound that new connections at this listener reach first: the listener's own, or the table's.
    fn tighter_bound(&self, listener: usize) -> SlotBound {
        let owner = &self.listeners[listener];
        let own = SlotBound {
            scope: EvictionScope::Listener(listener),
            slots: owner.max_connections,
            free: owner.max_connections.saturating_sub(owner.connections),
        };
        let table = SlotBound {
            scope: EvictionScope::Table,
            slots: self.limits.connections,
            free: self
                .limits
                .connections
                .saturating_sub(self.connections.len()),
        };
        if own.free < table.free { own } else { table }
    }

    /// Returns the connections that may be evicted, in the order of eviction.
    fn eviction_candidates(
        &self,
        scope: EvictionScope,
        inactive_since: TenthMillis,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_evictable(connection, inactive_since))
            .filter(|(_, connection)| scope.includes(connection))
            .map(|(slot, connection)| Candidate {
                priority: connection.eviction_priority(),
                last_activity: connection.last_activity,
                slot,
            })
            .collect();
        candidates.sort_unstable();
        candidates
    }
}

fn is_evictable(connection: &Connection, inactive_since: TenthMillis) -> bool {
    let is_inactive = connection.last_activity <= inactive_since;
    connection.is_lingering() || (is_inactive && connection.has_no_waiting_caller())
}

fn can_close_gracefully(connection: &Connection) -> bool {
    !connection.is_lingering() && connection.pending.is_empty() && connection.nothing_to_read()
}
