//! The event queue. Events are ordered by time, and simultaneous events by insertion.

use crate::Micros;

/// Children per heap node. Four share a cache line, and the heap is half as deep as with two.
const CHILDREN_PER_NODE: usize = 4;

struct Entry<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn is_before(&self, other: &Entry<E>) -> bool {
        (self.at, self.sequence) < (other.at, other.sequence)
    }
}

/// A queue of events that also holds the simulated time. Insertion and removal take logarithmic time, and allocate only
/// when the queue grows.
pub struct EventQueue<E> {
    heap: Vec<Entry<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: Vec::new(),
            sequence: 0,
            now: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// The time of the last event removed.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The number of events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Returns true if there is no event.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Inserts an event. A time in the past counts as now.
    pub fn schedule(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
        self.sift_up(self.heap.len() - 1);
    }

    /// The time of the next event.
    pub fn next_time(&self) -> Option<Micros> {
        self.heap.first().map(|entry| entry.at)
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        if self.heap.is_empty() {
            return None;
        }
        let entry = self.heap.swap_remove(0);
        self.sift_down(0);
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    fn sift_up(&mut self, mut index: usize) {
        while index > 0 {
            let parent = (index - 1) / CHILDREN_PER_NODE;
            if !self.heap[index].is_before(&self.heap[parent]) {
                break;
            }
            self.heap.swap(index, parent);
            index = parent;
        }
    }

    fn sift_down(&mut self, mut index: usize) {
        while let Some(child) = self.first_child(index) {
            if !self.heap[child].is_before(&self.heap[index]) {
                break;
            }
            self.heap.swap(index, child);
            index = child;
        }
    }

    /// Returns the child of a heap node whose event comes first.
    fn first_child(&self, index: usize) -> Option<usize> {
        let start = index * CHILDREN_PER_NODE + 1;
        let children = start..(start + CHILDREN_PER_NODE).min(self.heap.len());
        children.reduce(|first, child| {
            if self.heap[child].is_before(&self.heap[first]) {
                child
            } else {
                first
            }
        })
    }
}
