//! The log: plain lines on standard error, a bounded number of them a second.

use std::fmt::{Arguments, Write as _};
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Lines a second: a trouble that repeats itself must not slow the node down or fill the log.
const MOST_LINES: u32 = 20;

pub fn open(name: &str) -> Logger {
    let lines = Lines(Mutex::new(Second::default()));
    Logger::root(lines.filter_level(Level::Info).fuse(), o!("node" => name.to_string()))
}

#[derive(Default)]
struct Second {
    at: u64,
    written: u32,
    left_out: u32,
}

struct Lines(Mutex<Second>);

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let Ok(mut second) = self.0.lock() else { return Ok(()) };
        if second.at != since.as_secs() {
            (second.at, second.written) = (since.as_secs(), 0);
        }
        second.written += 1;
        if second.written > MOST_LINES {
            second.left_out += 1;
            return Ok(());
        }
        let mut line = Line(format!("{} {} {}", since.as_millis(), record.level(), record.msg()));
        _ = record.kv().serialize(record, &mut line);
        _ = values.serialize(record, &mut line);
        if second.left_out > 0 {
            _ = write!(line.0, " lines_left_out={}", second.left_out);
            second.left_out = 0;
        }
        line.0.push('\n');
        _ = std::io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

struct Line(String);

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &Arguments) -> slog::Result {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}
