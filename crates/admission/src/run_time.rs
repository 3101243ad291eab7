//! Estimates of how long runs take, based on completed runs.

use doortrack_time::TenthMillis;

use crate::moving_mean::MovingMean;
use crate::{AdmissionConfig, EndpointGroup};

/// Weight of the newest run in the regression of run time on work.
const REGRESSION_NEWEST_WEIGHT: f32 = 0.03;
/// Initial variance of the work, as a multiple of the square of the first work. It keeps the
/// regression line flat at first, because two runs alone could give any slope.
const INITIAL_VARIANCE: f32 = 0.1;

/// The run time estimate of one endpoint group.
#[derive(Debug)]
struct GroupRunTime {
    mean: MovingMean,
    /// Maximum expected run time of requests whose work is not known.
    max_expected: TenthMillis,
}

/// Mean run times and mean work, in the unit of [`doortrack_time`].
#[derive(Debug)]
pub(crate) struct RunTimes {
    by_group: Vec<GroupRunTime>,
    run_time: MovingMean,
    work: MovingMean,
    estimator: RunTimeEstimator,
}

impl RunTimes {
    /// Creates the state before the first run.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let group_run_time = |group: &EndpointGroup| GroupRunTime {
            mean: MovingMean::default(),
            max_expected: group.latency_objective / 2,
        };
        Self {
            by_group: config.groups.iter().map(group_run_time).collect(),
            run_time: MovingMean::default(),
            work: MovingMean::default(),
            estimator: RunTimeEstimator::default(),
        }
    }

    /// Records a completed run. `work` is 0 if it is not known.
    pub(crate) fn record(&mut self, group: usize, work: f32, run_time: f32) {
        if work > 0.0 {
            self.estimator.record(work, run_time);
        }
        self.by_group[group].mean.record(run_time);
        self.run_time.record(run_time);
        self.work.record(if work > 0.0 { work } else { run_time });
    }

    /// Returns the mean run time of all groups, or 0 before the first run.
    pub(crate) fn mean(&self) -> f32 {
        self.run_time.get()
    }

    /// Returns the expected run time of a request with this work. If the work is not known, this is
    /// the mean of the group, but at most half of the latency objective, so that a node whose mean
    /// is too high still starts runs and corrects the mean.
    pub(crate) fn expected(&self, group: usize, work: f32) -> TenthMillis {
        if work > 0.0
            && let Some(run_time) = self.estimator.estimate(work)
        {
            return run_time as TenthMillis;
        }
        let group = &self.by_group[group];
        (group.mean.get() as TenthMillis).min(group.max_expected)
    }

    /// Returns the work, or the group's mean run time if the work is not known, as a multiple of
    /// the mean work. Returns 1 before the first run.
    pub(crate) fn relative_work(&self, group: usize, work: f32) -> f32 {
        let work = if work > 0.0 {
            work
        } else {
            self.by_group[group].mean.get()
        };
        let mean_work = self.work.get();
        if work > 0.0 && mean_work > 0.0 {
            work / mean_work
        } else {
            1.0
        }
    }
}

/// Linear regression of run time on work, with exponentially decaying weights. The line is flat
/// where the work predicts little or all runs cost the same.
#[derive(Debug, Default)]
struct RunTimeEstimator {
    mean_work: f32,
    mean_run_time: f32,
    variance: f32,
    covariance: f32,
}

impl RunTimeEstimator {
    /// Adds a run.
    fn record(&mut self, work: f32, run_time: f32) {
        if self.mean_work <= 0.0 {
            self.mean_work = work;
            self.mean_run_time = run_time;
            self.variance = INITIAL_VARIANCE * work * work;
        }
        let work_delta = work - self.mean_work;
        let time_delta = run_time - self.mean_run_time;
        let newest = REGRESSION_NEWEST_WEIGHT;
        self.mean_work += newest * work_delta;
        self.mean_run_time += newest * time_delta;
        self.variance = (1.0 - newest) * (self.variance + newest * work_delta * work_delta);
        self.covariance = (1.0 - newest) * (self.covariance + newest * work_delta * time_delta);
    }

    /// Returns the estimated run time for this work, or `None` before the first run.
    fn estimate(&self, work: f32) -> Option<f32> {
        if self.variance <= 0.0 {
            return None;
        }
        let slope = self.covariance / self.variance;
        Some(self.mean_run_time + slope * (work - self.mean_work))
    }
}
