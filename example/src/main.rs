//! What a doortrack node talks to, as a toy: `serve` plays its engine and its registry, `ask` its dispatcher.

mod ask;
mod engine;

use std::process::ExitCode;

const ENGINE: &str = "127.0.0.1:4400";
const REGISTRY: &str = "127.0.0.1:2379";
const NODE: &str = "127.0.0.1:9090";

const USAGE: &str = "doortrack-toy serve
    plays the engine and the registry of example/node.json, and tells what it sees
doortrack-toy ask GROUP TEXT [CUSTOMER] [MARK]
    sends one exchange to the node and prints the answer; a mark of 32 hex digits is for the group 'moor'";

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let done = match words[..] {
        ["serve"] => engine::serve(ENGINE, REGISTRY),
        ["ask", group, text] => ask::ask(NODE, group, text, "east-quay", None),
        ["ask", group, text, customer] => ask::ask(NODE, group, text, customer, None),
        ["ask", group, text, customer, mark] => ask::ask(NODE, group, text, customer, Some(mark)),
        _ => {
            eprintln!("{USAGE}");
            return ExitCode::FAILURE;
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("doortrack-toy: {e}");
            ExitCode::FAILURE
        }
    }
}
