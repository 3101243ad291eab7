//! `membership`: measures how fast a fleet detects a dead node and rejoins after a partition, and the CPU and
//! network cost of membership. Fleets are either processes behind the relay of the fault harness, or simulated.
//!
//! `membership sim SIZES`, `membership processes SIZES`, `membership loss NODES SECONDS`. Prints one
//! line per figure.

mod detection;
mod processes;
mod simulated;

use std::process::ExitCode;

const USAGE: &str = "membership sim SIZES | processes SIZES | loss NODES SECONDS";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let numbers: Vec<usize> = arguments
        .iter()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    match (arguments.first().map(String::as_str), &numbers[..]) {
        (Some("sim"), sizes) => sizes.iter().for_each(|nodes| simulated::measure(*nodes)),
        (Some("processes"), sizes) => sizes.iter().for_each(|nodes| processes::measure(*nodes)),
        (Some("loss"), [nodes, seconds]) => simulated::measure_loss(*nodes, *seconds as u64),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
