//! The cases of the second review: each plays clients, servers and the platform around real nodes and judges what they saw.
//!
//! `stand-ins-2 CASE FOLDER` runs a case from the repository's root and writes `FOLDER/record.txt`. Exit code 1: the rule was
//! broken; 0: it held; 2: the case could not run. `TROUBLE=0` leaves the disruption out.

mod cut_body;
mod engine;
mod fastcgi;
mod key_reload;
mod lockout;
mod node;
mod record;
mod two_protocols;
mod uwsgi;
mod withdrawn;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use crate::record::Record;

/// A case ends by itself before this; a watch ends it with 2 otherwise.
const MAX_CASE: Duration = Duration::from_secs(112);

/// What a case found: `Ok(true)` if the rule held, `Ok(false)` if it was broken, `Err` if the case could not run.
pub type Finding = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path: PathBuf = Path::new(folder).join("record.txt");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_CASE);
        watched.line("the case took too long: could not run");
        node::kill_all();
        std::process::exit(2);
    });
    let finding = match case.as_str() {
        "key-reload" => key_reload::run(&record, trouble),
        "two-protocols" => two_protocols::run(&record, trouble),
        "cut-body" => cut_body::run(&record, trouble),
        "withdrawn" => withdrawn::run(&record, trouble),
        "lockout" => lockout::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    node::kill_all();
    let (code, text) = match finding {
        Ok(true) => (0, "the rule held".to_string()),
        Ok(false) => (1, "the rule was BROKEN".to_string()),
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
