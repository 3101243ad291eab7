//! A machine whose cores are shared by all its jobs.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use slab::Slab;

use crate::Micros;

/// Identifies a job of a station until the job ends; the number may then be reused.
pub type JobId = usize;

/// How fast a station works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    /// Jobs per core above which each further job slows down all jobs, as contention for caches and memory does.
    pub overload_threshold: f64,
    /// Slowdown for each multiple of `overload_threshold` above it; 0 for none.
    pub overload_slowdown: f64,
}

impl ServiceRate {
    /// Work done per job and microsecond while there are `jobs` jobs.
    fn per_job(&self, jobs: usize) -> f64 {
        let jobs = jobs as f64;
        let overload = (jobs / (self.cores * self.overload_threshold) - 1.0).max(0.0);
        self.speed * (self.cores / jobs).min(1.0) / (1.0 + self.overload_slowdown * overload)
    }
}

/// A station with processor sharing: all jobs get the same share of the cores, and each ends once its work
/// is done. An operation takes time logarithmic in the number of jobs, since it advances one sum and not each
/// job.
pub struct ProcessorSharingStation {
    rate: ServiceRate,
    jobs: Slab<Job>,
    /// Jobs by the value of `work_per_job` at which they are done. Cancelled jobs are skipped when reached.
    completions: BinaryHeap<Reverse<Completion>>,
    /// Work done for each job that has been present since the station was last idle.
    work_per_job: f64,
    updated_at: Micros,
    sequence: u64,
}

/// Distinguishes a job from an earlier one with the same number.
struct Job {
    sequence: u64,
}

/// When a job is done. Ordered by the work, then by the start of the job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    at_work: Work,
    sequence: u64,
    job: JobId,
}

/// An amount of work in microseconds of a standard core. Always finite, so that it is ordered.
#[derive(Clone, Copy, PartialEq)]
struct Work(f64);

impl Eq for Work {}

impl PartialOrd for Work {
    fn partial_cmp(&self, other: &Work) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Work {
    fn cmp(&self, other: &Work) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl ProcessorSharingStation {
    /// An idle station at time 0.
    pub fn new(rate: ServiceRate) -> ProcessorSharingStation {
        ProcessorSharingStation {
            rate,
            jobs: Slab::new(),
            completions: BinaryHeap::new(),
            work_per_job: 0.0,
            updated_at: 0,
            sequence: 0,
        }
    }

    /// The number of jobs.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// The fraction of the cores in use, 0 to 1.
    pub fn utilization(&self) -> f64 {
        (self.jobs.len() as f64 / self.rate.cores).min(1.0)
    }

    /// Advances the time, at most to [`ProcessorSharingStation::next_completion`].
    pub fn advance_to(&mut self, now: Micros) {
        if self.jobs.is_empty() {
            // No job depends on the sum: restarting it keeps it precise.
            self.work_per_job = 0.0;
            self.completions.clear();
        } else {
            let elapsed = (now - self.updated_at) as f64;
            self.work_per_job += elapsed * self.rate.per_job(self.jobs.len());
        }
        self.updated_at = now;
    }

    /// Changes the speed from `now` on.
    pub fn set_rate(&mut self, rate: ServiceRate, now: Micros) {
        self.advance_to(now);
        self.rate = rate;
    }

    /// Starts a job; `work` is in microseconds of a standard core.
    pub fn start_job(&mut self, work: Micros, now: Micros) -> JobId {
        self.advance_to(now);
        self.sequence += 1;
        let job = self.jobs.insert(Job {
            sequence: self.sequence,
        });
        self.completions.push(Reverse(Completion {
            at_work: Work(self.work_per_job + work as f64),
            sequence: self.sequence,
            job,
        }));
        job
    }

    /// Ends a job early. Returns false if there is no such job.
    pub fn cancel_job(&mut self, job: JobId, now: Micros) -> bool {
        self.advance_to(now);
        self.jobs.try_remove(job).is_some()
    }

    /// When the next job is done unless one is started or cancelled before; rounded up.
    pub fn next_completion(&mut self) -> Option<Micros> {
        self.discard_cancelled();
        let Reverse(next) = self.completions.peek()?;
        let work_left = (next.at_work.0 - self.work_per_job).max(0.0);
        let time_left = work_left / self.rate.per_job(self.jobs.len());
        Some(self.updated_at + time_left.ceil() as Micros)
    }

    /// Removes the first job that is done by `now`.
    pub fn take_completed(&mut self, now: Micros) -> Option<JobId> {
        let done_at = self.next_completion().filter(|done_at| *done_at <= now)?;
        self.advance_to(done_at.max(self.updated_at));
        let Reverse(completion) = self.completions.pop()?;
        self.jobs.remove(completion.job);
        Some(completion.job)
    }

    fn discard_cancelled(&mut self) {
        while let Some(Reverse(next)) = self.completions.peek() {
            let current = self.jobs.get(next.job);
            if current.is_some_and(|job| job.sequence == next.sequence) {
                break;
            }
            self.completions.pop();
        }
    }
}
