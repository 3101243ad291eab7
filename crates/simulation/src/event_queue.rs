//! The event queue: events by time, and those of one time in the order of insertion.

use crate::Micros;

/// Children of a node of the heap: four share a cache line, and the heap is half as deep as with two.
const WIDTH: usize = 4;

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

/// A queue of events. Insertion and removal cost the logarithm of its size, and allocate only when it grows.
pub struct Queue<E> {
    heap: Vec<Entry<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Queue {
            heap: Vec::new(),
            sequence: 0,
            now: 0,
        }
    }
}

impl<E> Queue<E> {
    /// The time of the last event removed.
    pub fn now(&self) -> Micros {
        self.now
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Inserts an event. An event of the past happens now.
    pub fn put(&mut self, at: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Entry {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
        let mut index = self.heap.len() - 1;
        while index > 0 {
            let parent = (index - 1) / WIDTH;
            if !self.heap[index].is_before(&self.heap[parent]) {
                break;
            }
            self.heap.swap(index, parent);
            index = parent;
        }
    }

    /// When the next event happens.
    pub fn next_at(&self) -> Option<Micros> {
        self.heap.first().map(|entry| entry.at)
    }

    /// Removes the next event and advances the time to it.
    pub fn take(&mut self) -> Option<(Micros, E)> {
        if self.heap.is_empty() {
            return None;
        }
        let entry = self.heap.swap_remove(0);
        let mut index = 0;
        loop {
            let first = index * WIDTH + 1;
            let children = first..(first + WIDTH).min(self.heap.len());
            let least = children.reduce(|one, other| {
                if self.heap[other].is_before(&self.heap[one]) {
                    other
                } else {
                    one
                }
            });
            match least {
                Some(least) if self.heap[least].is_before(&self.heap[index]) => {
                    self.heap.swap(index, least)
                }
                _ => break,
            }
            index = least.unwrap_or(index);
        }
        self.now = entry.at;
        Some((entry.at, entry.event))
    }
}
