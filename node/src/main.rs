//! Starts one node with what `GW_CONFIG` names, and serves until it is told to leave.

use std::process::ExitCode;

use doortrack_node::life::{log, orders};
use doortrack_node::serve::Node;

fn main() -> ExitCode {
    let served = orders::read().and_then(|orders| {
        let log = log::open(&orders.name);
        Node::start(orders, log)?.serve()
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("doortrack: {fault}");
            ExitCode::FAILURE
        }
    }
}
