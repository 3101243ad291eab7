//! Stations against queueing theory, and the queue against a plain sort.

use std::collections::BTreeMap;

use doortrack_simulation::{JobId, Law, Micros, Pace, Queue, Station, stream};
use statrs::distribution::{ContinuousCDF, StudentsT};

const MEAN: f64 = 10_000.0;

enum Event {
    Arrives,
    MayEnd(u64),
}

#[derive(Default)]
struct Seen {
    /// Sojourns in order of their ends.
    stays: Vec<f64>,
    arrived: u64,
    lost: u64,
    /// Jobs there, over time.
    area: f64,
    time: Micros,
}

/// Poisson arrivals at a station of so many cores, with at most `room` jobs.
fn play(load: f64, cores: f64, work: Law, room: usize, count: u64, seed: u64) -> Seen {
    let (mut arrivals, mut works) = (stream(seed, 1), stream(seed, 2));
    let between = Law::Exponential {
        mean: MEAN / (load * cores),
    };
    let mut station = Station::new(Pace {
        cores,
        speed: 1.0,
        tip: 1e9,
        loss: 0.0,
    });
    let (mut queue, mut seen, mut since) = (
        Queue::default(),
        Seen::default(),
        BTreeMap::<JobId, Micros>::new(),
    );
    let mut turn = 0;
    queue.put(between.draw(&mut arrivals), Event::Arrives);
    while let Some((now, event)) = queue.take() {
        seen.area += station.jobs() as f64 * (now - seen.time) as f64;
        seen.time = now;
        match event {
            Event::Arrives => {
                seen.arrived += 1;
                if station.jobs() < room {
                    since.insert(station.begin(work.draw(&mut works), now), now);
                } else {
                    seen.lost += 1;
                }
                if seen.arrived < count {
                    queue.put(now + between.draw(&mut arrivals), Event::Arrives);
                }
            }
            // Something came or went since it was foreseen.
            Event::MayEnd(nth) if nth != turn => continue,
            Event::MayEnd(_) => {
                while let Some(job) = station.take_done(now) {
                    seen.stays.push((now - since.remove(&job).unwrap()) as f64);
                }
            }
        }
        turn += 1;
        if let Some(end) = station.next_end() {
            queue.put(end, Event::MayEnd(turn));
        }
    }
    assert_eq!((station.jobs(), since.len()), (0, 0), "all have ended");
    seen
}

/// Mean and half width of the interval that holds it with 99.9%, by the means of forty batches.
fn interval(values: &[f64]) -> (f64, f64) {
    let batches: Vec<f64> = values
        .chunks_exact(values.len() / 40)
        .map(|part| part.iter().sum::<f64>() / part.len() as f64)
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

fn agrees(name: &str, seen: &Seen, wanted: f64) {
    let (mean, half) = interval(&seen.stays);
    assert!(
        (mean - wanted).abs() <= half,
        "{name}: {mean:.0} +- {half:.0}, {wanted:.0} by theory"
    );
    assert!(
        half < 0.1 * wanted,
        "{name}: +- {half:.0} of {wanted:.0} says little"
    );
    // Little's law holds on every play, to rounding.
    let (there, rate) = (
        seen.area / seen.time as f64,
        seen.stays.len() as f64 / seen.time as f64,
    );
    let all = seen.stays.iter().sum::<f64>() / seen.stays.len() as f64;
    assert!(
        (there - rate * all).abs() < 1e-6 * there,
        "{name}: {there} jobs, {}",
        rate * all
    );
}

#[test]
fn one_core_shared_is_m_m_1_and_does_not_care_for_the_law_of_work() {
    for (name, work) in [
        ("exponential", Law::Exponential { mean: MEAN }),
        ("fixed", Law::Fixed(MEAN)),
        (
            "log-normal",
            Law::LogNormal {
                mean: MEAN,
                sigma: 1.0,
            },
        ),
        (
            "bimodal",
            Law::Bimodal {
                short: MEAN / 2.0,
                long: MEAN * 5.5,
                share: 0.1,
            },
        ),
    ] {
        for load in [0.3, 0.7] {
            let seen = play(load, 1.0, work, usize::MAX, 200_000, 7);
            agrees(&format!("{name} at {load}"), &seen, MEAN / (1.0 - load));
        }
    }
}

#[test]
fn many_cores_shared_are_m_m_c() {
    for (cores, load) in [(4, 0.5), (4, 0.8), (16, 0.9)] {
        let offered = f64::from(cores) * load;
        let blocked = erlang_b(cores, offered);
        let waits = blocked / (1.0 - load * (1.0 - blocked));
        let wanted = MEAN + waits * MEAN / (f64::from(cores) * (1.0 - load));
        let seen = play(
            load,
            f64::from(cores),
            Law::Exponential { mean: MEAN },
            usize::MAX,
            300_000,
            8,
        );
        agrees(&format!("{cores} cores at {load}"), &seen, wanted);
    }
}

#[test]
fn a_station_with_no_place_to_wait_loses_by_erlangs_formula() {
    for work in [
        Law::Exponential { mean: MEAN },
        Law::LogNormal {
            mean: MEAN,
            sigma: 1.0,
        },
    ] {
        let seen = play(0.9, 10.0, work, 10, 300_000, 9);
        let (found, wanted) = (seen.lost as f64 / seen.arrived as f64, erlang_b(10, 9.0));
        assert!(
            (found - wanted).abs() < 0.01,
            "{found} lost, {wanted} by theory"
        );
    }
}

#[test]
fn same_seed_same_play_and_events_of_one_time_keep_their_order() {
    let plays = [0, 0, 1].map(|seed| {
        play(
            0.6,
            2.0,
            Law::Pareto {
                mean: MEAN,
                shape: 2.2,
            },
            50,
            5000,
            seed,
        )
        .stays
    });
    assert_eq!(plays[0], plays[1]);
    assert_ne!(plays[0], plays[2]);
    let mut queue = Queue::default();
    let times: Vec<Micros> = (0..5000u64)
        .map(|n| n.wrapping_mul(2_654_435_761) % 97)
        .collect();
    times
        .iter()
        .enumerate()
        .for_each(|(nth, at)| queue.put(*at, nth));
    let mut wanted: Vec<(Micros, usize)> = times.iter().copied().zip(0..).collect();
    wanted.sort_unstable();
    let found: Vec<(Micros, usize)> = std::iter::from_fn(|| queue.take()).collect();
    assert_eq!(found, wanted);
    queue.put(3, 1);
    assert_eq!(queue.take(), Some((96, 1)), "what is past happens now");
}

#[test]
fn a_crowd_costs_a_stop_frees_and_a_change_of_pace_counts_from_then_on() {
    let pace = Pace {
        cores: 1.0,
        speed: 1.0,
        tip: 2.0,
        loss: 1.0,
    };
    let mut station = Station::new(pace);
    let jobs: Vec<JobId> = (0..4).map(|_| station.begin(1000, 0)).collect();
    // Four on one core, twice the tip: each at a quarter, halved.
    assert_eq!(station.next_end(), Some(8000));
    assert!(
        station.stop(jobs[0], 4000) && station.stop(jobs[1], 4000) && !station.stop(jobs[1], 4000)
    );
    assert_eq!((station.next_end(), station.jobs()), (Some(5000), 2));
    station.change(Pace { speed: 0.5, ..pace }, 4500);
    assert_eq!(station.next_end(), Some(5500));
    assert_eq!(station.take_done(5499), None);
    let ends: Vec<JobId> = std::iter::from_fn(|| station.take_done(5500)).collect();
    assert_eq!(ends, [jobs[2], jobs[3]]);
    for law in [
        Law::Fixed(0.0),
        Law::Pareto {
            mean: 1.0,
            shape: 1.0,
        },
        Law::LogNormal {
            mean: 1.0,
            sigma: f64::NAN,
        },
    ] {
        assert!(law.check().is_err(), "{law:?}");
    }
    assert!(
        Law::Bimodal {
            short: 1.0,
            long: 2.0,
            share: 0.5
        }
        .check()
        .is_ok()
    );
}
