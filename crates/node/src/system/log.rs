//! The log: lines on standard error, plain or one JSON object each, a bounded number of them a second.

use std::fmt::{Arguments, Write as _};
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::ValueEnum;
use rustix::event::{PollFd, PollFlags, Timespec};
use serde_json::json;
use slog::{
    Drain, FnValue, KV, Key, Level, Logger, Never, OwnedKVList, PushFnValue, Record, SerdeValue,
};
use slog::{Serializer, o};
use slog_json::Json;

/// Lines a second: a trouble that repeats itself must not slow the node down or fill the log.
pub const MOST_LINES: u32 = 20;
/// Bytes of a line: a pipe that is ready takes 4 kB without waiting.
const LONGEST: usize = 4000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    Text,
    Json,
}

/// `most` are the lines of a second.
pub fn open(name: &str, format: Format, level: Level, most: u32) -> Logger {
    let writer = match format {
        Format::Text => Writer::Text,
        Format::Json => {
            let line = Line::default();
            Writer::Json(line.clone(), Box::new(json_writer(line)))
        }
    };
    let lines = Lines {
        most,
        held: Mutex::new((Second::default(), writer)),
    };
    Logger::root(
        lines.filter_level(level).fuse(),
        o!("node" => name.to_string()),
    )
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn json_writer(line: Line) -> Json<Line> {
    let time = FnValue(|_| unix_ms());
    let level = FnValue(|record: &Record| record.level().as_str());
    let text = PushFnValue(|record: &Record, to| to.emit(record.msg()));
    let first = o!("time" => time, "level" => level, "msg" => text);
    Json::new(line)
        .set_newlines(false)
        .add_key_value(first)
        .build()
}

/// One line under way.
#[derive(Clone, Default)]
struct Line(Arc<Mutex<Vec<u8>>>);

impl io::Write for Line {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Ok(mut line) = self.0.lock() {
            line.extend(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

enum Writer {
    Text,
    Json(Line, Box<Json<Line>>),
}

impl Writer {
    fn line(&self, record: &Record, values: &OwnedKVList, left_out: u32) -> String {
        match self {
            Writer::Text => text(record, values, left_out),
            Writer::Json(line, json) => {
                _ = json.log(record, values);
                let bytes = line
                    .0
                    .lock()
                    .map(|mut line| std::mem::take(&mut *line))
                    .unwrap_or_default();
                let mut line = String::from_utf8(bytes).unwrap_or_default();
                if line.len() > LONGEST - 40 || !line.ends_with('}') {
                    // An object that is cut would be none.
                    let (level, msg) = (record.level().as_str(), record.msg().to_string());
                    line = json!({"time": unix_ms(), "level": level, "msg": msg, "cut": true})
                        .to_string();
                }
                if left_out > 0 {
                    line.truncate(line.len() - 1);
                    _ = write!(line, ",\"lines_left_out\":{left_out}}}");
                }
                line
            }
        }
    }
}

fn text(record: &Record, values: &OwnedKVList, left_out: u32) -> String {
    let mut pairs = Pairs(Vec::new());
    _ = record.kv().serialize(record, &mut pairs);
    _ = values.serialize(record, &mut pairs);
    let mut line = format!("{} {} {}", unix_ms(), record.level(), record.msg());
    // They are handed over last one first.
    pairs.0.iter().rev().for_each(|pair| line.push_str(pair));
    if left_out > 0 {
        _ = write!(line, " lines_left_out={left_out}");
    }
    // What others wrote into it must not look like a line of its own, nor be more than a pipe takes.
    line.retain(|c| !c.is_control());
    line.truncate(line.floor_char_boundary(LONGEST));
    line
}

#[derive(Default)]
struct Second {
    at: u64,
    written: u32,
    left_out: u32,
}

struct Lines {
    most: u32,
    held: Mutex<(Second, Writer)>,
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let now = unix_ms() / 1000;
        let Ok(mut held) = self.held.lock() else {
            return Ok(());
        };
        let (second, writer) = &mut *held;
        if second.at != now {
            (second.at, second.written) = (now, 0);
        }
        second.written += 1;
        if second.written > self.most {
            second.left_out += 1;
            return Ok(());
        }
        let mut line = writer.line(record, values, std::mem::take(&mut second.left_out));
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
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    rustix::event::poll(&mut asked, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

struct Pairs(Vec<String>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, value: &Arguments) -> slog::Result {
        self.0.push(format!(" {key}={value}"));
        Ok(())
    }

    fn emit_serde(&mut self, key: Key, value: &dyn SerdeValue) -> slog::Result {
        let text = serde_json::to_string(value.as_serde()).unwrap_or_default();
        self.0.push(format!(" {key}={text}"));
        Ok(())
    }
}
