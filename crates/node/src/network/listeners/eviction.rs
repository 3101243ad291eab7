//! Chooses connections to close where slots run out.
//!
//! Only connections on which no caller waits are evicted, those first that are worth the least. Clients that
//! connect only to sit idle so cost those that send requests little.

use doortrack_time::TenthMillis;

use super::{ListenerEvent, Listeners};
use crate::network::bounds::{self, MAX_EVICTIONS};
use crate::network::connection::{Connection, EvictionPriority};
use crate::network::termination::Termination;

/// The connections among which one is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionScope {
    /// All: the table is full, or the process has no descriptor left.
    Table,
    /// Those of this listener: its own bound is met first.
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

/// A bound on connections, and how much of it is left.
struct SlotBound {
    scope: EvictionScope,
    slots: usize,
    free: usize,
}

/// A connection that may be evicted. The least is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    priority: EvictionPriority,
    last_activity: TenthMillis,
    slot: usize,
}

impl Listeners {
    /// Frees a slot in `scope` at once; whether that succeeded. It closes up to [`MAX_EVICTIONS`] connections
    /// that are unused or linger, the oldest first; without any, the one that has been idle longest, or else
    /// the one whose partial request has not moved for longest.
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

    /// Begins to close some connections while slots are left, so that a request that crosses the close meets no
    /// reset. [`Listeners::evict_now`] is needed only for clients that arrive faster than evicted peers close,
    /// and where the table is too small for spare slots.
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
        // At least half of the spare slots at once, as each search goes over all connections.
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

    /// Among which connections one is evicted for a new one at this listener.
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

    /// The bound that is met first by new connections at this listener: its own, or the table's.
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

    /// Connections that may be evicted, in order.
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
