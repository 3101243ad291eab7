//! The log: plain lines on standard error, a bounded number of them a second.

use std::fmt::{Arguments, Write as _};
use std::io::Write as _;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec};
use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Lines a second: a trouble that repeats itself must not slow the node down or fill the log.
const MOST_LINES: u32 = 20;
/// Bytes of a line: a pipe that is ready takes 4 kB without waiting.
const LONGEST: usize = 4000;

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
        let mut pairs = Pairs(Vec::new());
        _ = record.kv().serialize(record, &mut pairs);
        _ = values.serialize(record, &mut pairs);
        let mut line = format!("{} {} {}", since.as_millis(), record.level(), record.msg());
        // They are handed over last one first.
        pairs.0.iter().rev().for_each(|pair| line.push_str(pair));
        if second.left_out > 0 {
            _ = write!(line, " lines_left_out={}", second.left_out);
            second.left_out = 0;
        }
        // What others wrote into it must not look like a line of its own, nor be more than a pipe takes.
        line.retain(|c| !c.is_control());
        line.truncate(line.floor_char_boundary(LONGEST));
        line.push('\n');
        if !takes_a_line() || std::io::stderr().write_all(line.as_bytes()).is_err() {
            second.left_out += 1;
        }
        Ok(())
    }
}

/// Whether standard error takes a line at once. Nobody may be reading it: that must not stop the node.
fn takes_a_line() -> bool {
    let stderr = std::io::stderr();
    let mut asked = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut asked, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

struct Pairs(Vec<String>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, value: &Arguments) -> slog::Result {
        self.0.push(format!(" {key}={value}"));
        Ok(())
    }
}
