//! How soon a fleet knows of a death, finds together after a cut, and what that costs: on real processes
//! behind the rig's relay, and in simulated time on the same decisions.
//!
//! `membership sim SIZES`, `membership processes SIZES`, `membership loss NODES SECONDS`. A line a figure.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use doortrack_fault_harness::history::{History, What, name};
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::{Fault, Script, Timed};
use doortrack_fault_harness::simulated::{Options, run};
use serde_json::Value;

/// Kills of one play, this far apart in ms.
const KILLS: usize = 5;
const APART: u64 = 6_000;
const CALM: u64 = 20_000;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = words
        .iter()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    match words.first().map(String::as_str) {
        Some("sim") => sizes.iter().for_each(|nodes| simulated(*nodes)),
        Some("processes") => sizes.iter().for_each(|nodes| processes(*nodes)),
        Some("loss") if sizes.len() == 2 => loss(sizes[0], sizes[1] as u64),
        _ => {
            eprintln!("membership sim SIZES | processes SIZES | loss NODES SECONDS");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Kills, one after the other, and when each was known to half and to all of those that remained.
fn known(history: &History) -> Vec<(u64, u64)> {
    let kills = history
        .entries
        .iter()
        .filter_map(|entry| match &entry.what {
            What::Fault {
                fault: Fault::Kill { nodes },
            } => Some((entry.at_ms, nodes[0])),
            _ => None,
        });
    let kills: Vec<(u64, usize)> = kills.collect();
    let mut found = Vec::new();
    for (nth, (at, of)) in kills.iter().enumerate() {
        let left = history.nodes - nth - 1;
        let told = history
            .entries
            .iter()
            .filter_map(|entry| match &entry.what {
                What::MemberChange {
                    change,
                    member: Some(member),
                    ..
                } if change == "dead" && *member == name(*of) => entry.at_ms.checked_sub(*at),
                _ => None,
            });
        let mut told: Vec<u64> = told.collect();
        told.sort_unstable();
        if told.len() >= left {
            found.push((told[left.div_ceil(2) - 1], told[left - 1]));
        }
    }
    found
}

fn middle(mut of: Vec<u64>) -> String {
    of.sort_unstable();
    match of.last() {
        Some(last) => format!("{} (worst {last})", of[of.len() / 2]),
        None => "none".into(),
    }
}

fn tell(what: &str, nodes: usize, found: &[(u64, u64)]) {
    let half = middle(found.iter().map(|(half, _)| *half).collect());
    let all = middle(found.iter().map(|(_, all)| *all).collect());
    println!(
        "{what} {nodes}: known to half after {half} ms, to all after {all} ms, of {} kills",
        found.len()
    );
}

fn kills(nodes: usize) -> Vec<Timed> {
    let kill = |nth: usize| Timed {
        at_ms: CALM + APART * nth as u64,
        fault: Fault::Kill {
            nodes: vec![nodes - 1 - nth],
        },
    };
    (0..KILLS.min(nodes / 2)).map(kill).collect()
}

/// When, after `at`, the last node had all in its view.
fn whole_again(history: &History, at: u64) -> u64 {
    let mut last: BTreeMap<usize, (u64, usize)> = BTreeMap::new();
    for entry in &history.entries {
        if let What::MemberChange { node, members, .. } = entry.what {
            let before = last.get(&node).map_or(0, |(_, members)| *members);
            if members != before {
                last.insert(node, (entry.at_ms, members));
            }
        }
    }
    let whole = last.values().all(|(_, members)| *members == history.nodes);
    let when = last
        .values()
        .map(|(when, _)| *when)
        .max()
        .unwrap_or_default();
    if whole {
        when.saturating_sub(at)
    } else {
        u64::MAX
    }
}

fn cuts(nodes: usize, at: u64, till: u64) -> Vec<Timed> {
    let (one, other): (Vec<usize>, Vec<usize>) =
        ((0..nodes / 2).collect(), (nodes / 2..nodes).collect());
    let pairs = [(one.clone(), other.clone()), (other, one)];
    let cut = pairs.clone().map(|(from, to)| Timed {
        at_ms: at,
        fault: Fault::Cut { from, to },
    });
    let mend = pairs.map(|(from, to)| Timed {
        at_ms: till,
        fault: Fault::Mend { from, to },
    });
    cut.into_iter().chain(mend).collect()
}

fn simulated(nodes: usize) {
    let options = |record_from_ms| Options {
        record_from_ms,
        ..Options::default()
    };
    let (mut found, began) = (Vec::new(), Instant::now());
    for seed in 1..=if nodes > 500 { 1 } else { 5 } {
        let script = Script {
            nodes,
            ms: CALM + APART * (KILLS as u64 + 1),
            seed,
            faults: kills(nodes),
        };
        found.extend(known(&run(&script, &options(CALM)).0));
    }
    tell("simulated", nodes, &found);
    // Alike but for ten calm seconds more: the difference is what calm costs.
    let calm = |ms| {
        let script = Script {
            nodes,
            ms,
            seed: 1,
            faults: Vec::new(),
        };
        run(
            &script,
            &Options {
                count_bytes: true,
                ..options(u64::MAX)
            },
        )
        .1
    };
    let (short, long) = (calm(CALM), calm(CALM + 10_000));
    let each = |of: u64| of as f64 / nodes as f64 / 10.0;
    println!(
        "simulated {nodes}: calm, {:.0} bytes and {:.1} datagrams a second sent by each, {:.0} ns an event",
        each(long.bytes - short.bytes),
        each(long.datagrams - short.datagrams),
        (long.decisions_ns.saturating_sub(short.decisions_ns)) as f64
            / (long.events - short.events) as f64,
    );
    if nodes <= 300 {
        let heals = (1..=3).map(|seed| {
            let script = Script {
                nodes,
                ms: 40_000,
                seed,
                faults: cuts(nodes, 20_000, 30_000),
            };
            whole_again(&run(&script, &options(0)).0, 30_000)
        });
        println!(
            "simulated {nodes}: whole again {} ms after a cut in halves",
            middle(heals.collect())
        );
    }
    println!(
        "simulated {nodes}: took {:.1} s",
        began.elapsed().as_secs_f64()
    );
}

/// Members wrongly declared dead while a twentieth of all datagrams is lost.
fn loss(nodes: usize, seconds: u64) {
    let rough = Fault::Links {
        loss: 0.05,
        doubled: 0.0,
        garbled: 0.0,
        delay_ms: 2,
    };
    let faults = vec![Timed {
        at_ms: 5_000,
        fault: rough,
    }];
    let script = Script {
        nodes,
        ms: seconds * 1_000,
        seed: 1,
        faults,
    };
    let (history, _) = run(
        &script,
        &Options {
            record_from_ms: 5_000,
            ..Options::default()
        },
    );
    let count = |wanted: &str| {
        let is =
            |what: &What| matches!(what, What::MemberChange { change, .. } if change == wanted);
        history
            .entries
            .iter()
            .filter(|entry| is(&entry.what))
            .count()
    };
    println!(
        "simulated {nodes}: {seconds} s with 5% lost: {} suspicions, {} deaths",
        count("suspected"),
        count("dead")
    );
}

fn cpu_ms(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    fields
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<u64>().ok())
        .sum::<u64>()
        * 10
}

fn processes(nodes: usize) {
    let program = Path::new("target/release/doortrack");
    let mut rig = Rig::new(program, nodes, 1).expect("a rig");
    let more = |_: usize| Value::Null;
    rig.begin();
    let began = Instant::now();
    let until =
        |ms: u64| std::thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    (0..nodes).for_each(|of| rig.start(of, of, &Value::Null).expect("a process"));
    until(8_000);
    let cpu = |rig: &Rig| {
        (0..nodes)
            .filter_map(|of| rig.pid(of))
            .map(cpu_ms)
            .sum::<u64>()
    };
    let (cpu_before, before) = (cpu(&rig), rig.relay.counts());
    until(CALM - 2_000);
    let (spent, after) = (cpu(&rig) - cpu_before, rig.relay.counts());
    let seconds = (CALM - 2_000 - 8_000) as f64 / 1_000.0;
    let (bytes, sent) = (
        after.bytes - before.bytes,
        after.passed + after.lost - before.passed - before.lost,
    );
    println!(
        "processes {nodes}: calm, {:.0} bytes and {:.1} datagrams a second sent by each, {:.2}% of a core",
        bytes as f64 / nodes as f64 / seconds,
        sent as f64 / nodes as f64 / seconds,
        spent as f64 / 10.0 / nodes as f64 / seconds,
    );
    for timed in kills(nodes) {
        until(timed.at_ms);
        rig.take_up(&timed.fault, &more).expect("a kill");
    }
    let rest = CALM + APART * KILLS as u64;
    until(rest);
    let dead: Vec<usize> = kills(nodes)
        .iter()
        .flat_map(|timed| timed.fault.nodes())
        .collect();
    rig.take_up(
        &Fault::Start {
            nodes: dead,
            clock_ms: 0,
        },
        &more,
    )
    .expect("starts");
    let cuts = cuts(nodes, rest + 8_000, rest + 18_000);
    for timed in &cuts {
        until(timed.at_ms);
        rig.take_up(&timed.fault, &more).expect("a cut");
    }
    until(rest + 28_000);
    let result = rig.finish();
    tell("processes", nodes, &known(&result.history));
    let whole = whole_again(&result.history, rest + 18_000);
    println!("processes {nodes}: whole again {whole} ms after a cut in halves");
}
