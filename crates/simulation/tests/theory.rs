//! Compares stations with queueing theory, and the event queue with a sort.

use std::collections::BTreeMap;

use doortrack_simulation::{
    Distribution, EventQueue, JobId, Micros, ProcessorSharingStation, ServiceRate, random_stream,
};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Mean work per job in microseconds of a standard core.
const MEAN_WORK: f64 = 10_000.0;

enum Event {
    Arrival,
    Completion(u64),
}

#[derive(Default)]
struct Observed {
    /// Sojourn times in microseconds, in order of completion.
    sojourns: Vec<f64>,
    arrived: u64,
    lost: u64,
    /// Integral of the number of jobs over time.
    job_time: f64,
    time: Micros,
}

/// A station with its arrivals and the observations of the run.
struct Simulation {
    station: ProcessorSharingStation,
    queue: EventQueue<Event>,
    started_at: BTreeMap<JobId, Micros>,
    /// Incremented when jobs start or end; completions predicted earlier are ignored.
    version: u64,
    observed: Observed,
}

impl Simulation {
    fn new(cores: f64) -> Simulation {
        Simulation {
            station: ProcessorSharingStation::new(ServiceRate {
                cores,
                speed: 1.0,
                overload_threshold: 1e9,
                overload_slowdown: 0.0,
            }),
            queue: EventQueue::default(),
            started_at: BTreeMap::new(),
            version: 0,
            observed: Observed::default(),
        }
    }

    fn observe(&mut self, now: Micros) {
        let elapsed = (now - self.observed.time) as f64;
        self.observed.job_time += self.station.job_count() as f64 * elapsed;
        self.observed.time = now;
    }

    fn take_completed(&mut self, now: Micros) {
        while let Some(job) = self.station.take_completed(now) {
            let started_at = self.started_at.remove(&job).unwrap();
            self.observed.sojourns.push((now - started_at) as f64);
        }
    }

    fn predict_completion(&mut self) {
        self.version += 1;
        if let Some(at) = self.station.next_completion() {
            self.queue.schedule(at, Event::Completion(self.version));
        }
    }
}

/// Poisson arrivals of `count` jobs at a station with room for `max_jobs`.
fn simulate(
    load: f64,
    cores: f64,
    work: Distribution,
    max_jobs: usize,
    count: u64,
    seed: u64,
) -> Observed {
    let (mut arrival_random, mut work_random) = (random_stream(seed, 1), random_stream(seed, 2));
    let interarrival = Distribution::Exponential {
        mean: MEAN_WORK / (load * cores),
    };
    let mut simulation = Simulation::new(cores);
    let first = interarrival.sample(&mut arrival_random);
    simulation.queue.schedule(first, Event::Arrival);
    while let Some((now, event)) = simulation.queue.pop() {
        simulation.observe(now);
        match event {
            Event::Arrival => {
                simulation.observed.arrived += 1;
                if simulation.station.job_count() < max_jobs {
                    let work = work.sample(&mut work_random);
                    let job = simulation.station.start_job(work, now);
                    simulation.started_at.insert(job, now);
                } else {
                    simulation.observed.lost += 1;
                }
                if simulation.observed.arrived < count {
                    let next = now + interarrival.sample(&mut arrival_random);
                    simulation.queue.schedule(next, Event::Arrival);
                }
            }
            Event::Completion(version) if version != simulation.version => continue,
            Event::Completion(_) => simulation.take_completed(now),
        }
        simulation.predict_completion();
    }
    let jobs_left = (simulation.station.job_count(), simulation.started_at.len());
    assert_eq!(jobs_left, (0, 0), "all jobs have ended");
    simulation.observed
}

/// The mean and the half width of its 99.9% confidence interval, from the means of 40 batches.
fn confidence_interval(values: &[f64]) -> (f64, f64) {
    let batches: Vec<f64> = values
        .chunks_exact(values.len() / 40)
        .map(|batch| batch.iter().sum::<f64>() / batch.len() as f64)
        .collect();
    let count = batches.len() as f64;
    let mean = batches.iter().sum::<f64>() / count;
    let variance = batches
        .iter()
        .map(|batch| (batch - mean).powi(2))
        .sum::<f64>()
        / (count - 1.0);
    let t = StudentsT::new(0.0, 1.0, count - 1.0)
        .unwrap()
        .inverse_cdf(0.9995);
    (mean, t * (variance / count).sqrt())
}

fn erlang_b(cores: u32, offered: f64) -> f64 {
    (1..=cores).fold(1.0, |blocked, n| {
        offered * blocked / (f64::from(n) + offered * blocked)
    })
}

fn assert_agrees(name: &str, observed: &Observed, expected: f64) {
    let (mean, half_width) = confidence_interval(&observed.sojourns);
    assert!(
        (mean - expected).abs() <= half_width,
        "{name}: {mean:.0} +- {half_width:.0}, {expected:.0} by theory"
    );
    assert!(
        half_width < 0.1 * expected,
        "{name}: +- {half_width:.0} of {expected:.0} is too wide"
    );
    // Little's law holds for every run, up to rounding.
    let (mean_jobs, throughput) = (
        observed.job_time / observed.time as f64,
        observed.sojourns.len() as f64 / observed.time as f64,
    );
    let mean_sojourn = observed.sojourns.iter().sum::<f64>() / observed.sojourns.len() as f64;
    assert!(
        (mean_jobs - throughput * mean_sojourn).abs() < 1e-6 * mean_jobs,
        "{name}: {mean_jobs} jobs, {}",
        throughput * mean_sojourn
    );
}

#[test]
fn one_shared_core_matches_m_m_1_for_any_distribution_of_work() {
    for (name, work) in [
        ("exponential", Distribution::Exponential { mean: MEAN_WORK }),
        ("fixed", Distribution::Fixed(MEAN_WORK)),
        (
            "log-normal",
            Distribution::LogNormal {
                mean: MEAN_WORK,
                sigma: 1.0,
            },
        ),
        (
            "bimodal",
            Distribution::Bimodal {
                short: MEAN_WORK / 2.0,
                long: MEAN_WORK * 5.5,
                long_fraction: 0.1,
            },
        ),
    ] {
        for load in [0.3, 0.7] {
            let observed = simulate(load, 1.0, work, usize::MAX, 200_000, 7);
            assert_agrees(
                &format!("{name} at {load}"),
                &observed,
                MEAN_WORK / (1.0 - load),
            );
        }
    }
}

#[test]
fn several_shared_cores_match_m_m_c() {
    for (cores, load) in [(4, 0.5), (4, 0.8), (16, 0.9)] {
        let offered = f64::from(cores) * load;
        let blocking = erlang_b(cores, offered);
        let waiting = blocking / (1.0 - load * (1.0 - blocking));
        let expected = MEAN_WORK + waiting * MEAN_WORK / (f64::from(cores) * (1.0 - load));
        let observed = simulate(
            load,
            f64::from(cores),
            Distribution::Exponential { mean: MEAN_WORK },
            usize::MAX,
            300_000,
            8,
        );
        assert_agrees(&format!("{cores} cores at {load}"), &observed, expected);
    }
}

#[test]
fn losses_without_a_queue_match_the_erlang_b_formula() {
    for work in [
        Distribution::Exponential { mean: MEAN_WORK },
        Distribution::LogNormal {
            mean: MEAN_WORK,
            sigma: 1.0,
        },
    ] {
        let observed = simulate(0.9, 10.0, work, 10, 300_000, 9);
        let (found, expected) = (
            observed.lost as f64 / observed.arrived as f64,
            erlang_b(10, 9.0),
        );
        assert!(
            (found - expected).abs() < 0.01,
            "{found} lost, {expected} by theory"
        );
    }
}

#[test]
fn same_seed_gives_the_same_run_and_simultaneous_events_keep_their_order() {
    let runs = [0, 0, 1].map(|seed| {
        simulate(
            0.6,
            2.0,
            Distribution::Pareto {
                mean: MEAN_WORK,
                shape: 2.2,
            },
            50,
            5000,
            seed,
        )
        .sojourns
    });
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
    let mut queue = EventQueue::default();
    let times: Vec<Micros> = (0..5000u64)
        .map(|n| n.wrapping_mul(2_654_435_761) % 97)
        .collect();
    times
        .iter()
        .enumerate()
        .for_each(|(index, at)| queue.schedule(*at, index));
    let mut expected: Vec<(Micros, usize)> = times.iter().copied().zip(0..).collect();
    expected.sort_unstable();
    let found: Vec<(Micros, usize)> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(found, expected);
    queue.schedule(3, 1);
    assert_eq!(
        queue.pop(),
        Some((96, 1)),
        "a time in the past counts as now"
    );
}

#[test]
fn overload_cancellation_and_rate_changes_affect_completion_times() {
    let rate = ServiceRate {
        cores: 1.0,
        speed: 1.0,
        overload_threshold: 2.0,
        overload_slowdown: 1.0,
    };
    let mut station = ProcessorSharingStation::new(rate);
    let jobs: Vec<JobId> = (0..4).map(|_| station.start_job(1000, 0)).collect();
    // Four jobs share one core at twice the overload threshold: each gets half of a quarter of the speed.
    assert_eq!(station.next_completion(), Some(8000));
    assert!(
        station.cancel_job(jobs[0], 4000)
            && station.cancel_job(jobs[1], 4000)
            && !station.cancel_job(jobs[1], 4000)
    );
    assert_eq!(
        (station.next_completion(), station.job_count()),
        (Some(5000), 2)
    );
    station.set_rate(ServiceRate { speed: 0.5, ..rate }, 4500);
    assert_eq!(station.next_completion(), Some(5500));
    assert_eq!(station.take_completed(5499), None);
    let completed: Vec<JobId> = std::iter::from_fn(|| station.take_completed(5500)).collect();
    assert_eq!(completed, [jobs[2], jobs[3]]);
}

#[test]
fn parameters_out_of_range_are_errors() {
    for distribution in [
        Distribution::Fixed(0.0),
        Distribution::Pareto {
            mean: 1.0,
            shape: 1.0,
        },
        Distribution::LogNormal {
            mean: 1.0,
            sigma: f64::NAN,
        },
    ] {
        assert!(distribution.validate().is_err(), "{distribution:?}");
    }
    assert!(
        Distribution::Bimodal {
            short: 1.0,
            long: 2.0,
            long_fraction: 0.5
        }
        .validate()
        .is_ok()
    );
}
