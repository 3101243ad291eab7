//! A machine whose cores are shared by all its jobs.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use slab::Slab;

use crate::Micros;

/// The key of a job on its station.
pub type JobId = usize;

/// The speed of a station.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    pub cores: f64,
    /// Work done by one core in a microsecond, in microseconds of a standard core.
    pub speed: f64,
    /// Jobs a core beyond which further jobs slow down all: caches, memory, context switches.
    pub tip: f64,
    /// Slowdown for each multiple of `tip` beyond it; 0 for no slowdown.
    pub loss: f64,
}

impl Pace {
    /// Work done for each of `jobs` jobs in a microsecond.
    fn each(&self, jobs: usize) -> f64 {
        let jobs = jobs as f64;
        let beyond = (jobs / (self.cores * self.tip) - 1.0).max(0.0);
        self.speed * (self.cores / jobs).min(1.0) / (1.0 + self.loss * beyond)
    }
}

/// Distinguishes a job from an earlier one with the same key.
struct Job {
    sequence: u64,
}

/// Processor sharing: all jobs get the same share of the cores, and each ends once its work is done. A step
/// costs the logarithm of the number of jobs, as only the work given to each is advanced, not the jobs.
pub struct Station {
    pace: Pace,
    jobs: Slab<Job>,
    /// Jobs by the value of `given` at which they are done; stopped ones are skipped.
    order: BinaryHeap<Reverse<(Work, u64, JobId)>>,
    /// Work given to each job that has been present from the start.
    given: f64,
    at: Micros,
    sequence: u64,
}

/// An amount of work. Always finite, so that it is ordered.
#[derive(Clone, Copy, PartialEq)]
struct Work(f64);

impl Eq for Work {}

impl PartialOrd for Work {
    fn partial_cmp(&self, other: &Work) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Work {
    fn cmp(&self, other: &Work) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Station {
    pub fn new(pace: Pace) -> Station {
        Station {
            pace,
            jobs: Slab::new(),
            order: BinaryHeap::new(),
            given: 0.0,
            at: 0,
            sequence: 0,
        }
    }

    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The share of the cores in use.
    pub fn busy(&self) -> f64 {
        (self.jobs.len() as f64 / self.pace.cores).min(1.0)
    }

    /// Advances the time, at most to [`Station::next_end`].
    pub fn pass(&mut self, now: Micros) {
        if !self.jobs.is_empty() {
            self.given += (now - self.at) as f64 * self.pace.each(self.jobs.len());
        } else {
            // No job depends on the sum, which stays small.
            self.given = 0.0;
            self.order.clear();
        }
        self.at = now;
    }

    /// Changes the speed from `now` on.
    pub fn change(&mut self, pace: Pace, now: Micros) {
        self.pass(now);
        self.pace = pace;
    }

    /// Starts a job; `work` is in microseconds of a standard core.
    pub fn begin(&mut self, work: Micros, now: Micros) -> JobId {
        self.pass(now);
        self.sequence += 1;
        let done_at = self.given + work as f64;
        let job = self.jobs.insert(Job {
            sequence: self.sequence,
        });
        self.order
            .push(Reverse((Work(done_at), self.sequence, job)));
        job
    }

    /// Stops a job; false if there is none of this key.
    pub fn stop(&mut self, job: JobId, now: Micros) -> bool {
        self.pass(now);
        self.jobs.try_remove(job).is_some()
    }

    /// When the next job is done if none is started or stopped before; rounded up.
    pub fn next_end(&mut self) -> Option<Micros> {
        while let Some(Reverse((_, sequence, job))) = self.order.peek() {
            if self
                .jobs
                .get(*job)
                .is_some_and(|job| job.sequence == *sequence)
            {
                break;
            }
            self.order.pop();
        }
        let Reverse((done_at, ..)) = self.order.peek()?;
        let left = (done_at.0 - self.given).max(0.0) / self.pace.each(self.jobs.len());
        Some(self.at + left.ceil() as Micros)
    }

    /// Removes the first job that is done by `now`.
    pub fn take_done(&mut self, now: Micros) -> Option<JobId> {
        let next = self.next_end().filter(|end| *end <= now)?;
        self.pass(next.max(self.at));
        let Reverse((_, _, job)) = self.order.pop()?;
        self.jobs.remove(job);
        Some(job)
    }
}
