//! The log: lines on standard error, as plain text or one JSON object each, limited to a number per second. Logging
//! never blocks: a line that can't be written at once is dropped and counted.

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

/// Default maximum number of lines per second, so that a recurring error neither slows the node down nor fills the
/// log.
pub const DEFAULT_LINES_PER_SECOND: u32 = 20;
/// Maximum length of a line, in bytes: a pipe that is ready takes 4 kB without blocking.
const MAX_LINE_LEN: usize = 4000;
/// Bytes reserved in a line for the count of dropped lines.
const DROPPED_COUNT_LEN: usize = 40;
/// Maximum number of characters of a value in a line of [`write_directly`]. Each may take six bytes in JSON.
const MAX_VALUE_CHARS: usize = 500;

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
    Text,
    #[allow(missing_docs, reason = "a doc comment would be printed by --help")]
    Json,
}

/// Opens the log of the node `name`, which drops lines below `level` and those beyond `lines_per_second`.
pub fn open(name: &str, format: LogFormat, level: Level, lines_per_second: u32) -> Logger {
    let writer = match format {
        LogFormat::Text => Writer::Text,
        LogFormat::Json => {
            let line = LineBuffer::default();
            Writer::Json(line.clone(), Box::new(json_writer(line)))
        }
    };
    let drain = RateLimited {
        lines_per_second,
        state: Mutex::new((CurrentSecond::default(), writer)),
    };
    Logger::root(
        drain.filter_level(level).fuse(),
        o!("node" => name.to_string()),
    )
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn json_writer(line: LineBuffer) -> Json<LineBuffer> {
    let time = FnValue(|_| unix_ms());
    let level = FnValue(|record: &Record| record.level().as_str());
    let message = PushFnValue(|record: &Record, serializer| serializer.emit(record.msg()));
    let first = o!("time" => time, "level" => level, "msg" => message);
    Json::new(line)
        .set_newlines(false)
        .add_key_value(first)
        .build()
}

/// Buffer for the line that is being written.
#[derive(Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LineBuffer {
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
    Json(LineBuffer, Box<Json<LineBuffer>>),
}

impl Writer {
    fn line(&self, record: &Record, values: &OwnedKVList, dropped: u32) -> String {
        match self {
            Writer::Text => text_line(record, values, dropped),
            Writer::Json(buffer, json) => json_line(buffer, json, record, values, dropped),
        }
    }
}

fn json_line(
    buffer: &LineBuffer,
    json: &Json<LineBuffer>,
    record: &Record,
    values: &OwnedKVList,
    dropped: u32,
) -> String {
    _ = json.log(record, values);
    let bytes = buffer.0.lock().map(|mut bytes| std::mem::take(&mut *bytes));
    let mut line = String::from_utf8(bytes.unwrap_or_default()).unwrap_or_default();
    if line.len() > MAX_LINE_LEN - DROPPED_COUNT_LEN || !line.ends_with('}') {
        // A truncated object would not parse.
        let (level, msg) = (record.level().as_str(), record.msg().to_string());
        line = json!({"time": unix_ms(), "level": level, "msg": msg, "cut": true}).to_string();
    }
    if dropped > 0 {
        line.truncate(line.len() - 1);
        _ = write!(line, ",\"lines_left_out\":{dropped}}}");
    }
    line
}

fn text_line(record: &Record, values: &OwnedKVList, dropped: u32) -> String {
    let mut pairs = KeyValuePairs(Vec::new());
    _ = record.kv().serialize(record, &mut pairs);
    _ = values.serialize(record, &mut pairs);
    let mut line = format!("{} {} {}", unix_ms(), record.level(), record.msg());
    // slog passes the values in reverse order.
    pairs.0.iter().rev().for_each(|pair| line.push_str(pair));
    if dropped > 0 {
        _ = write!(line, " lines_left_out={dropped}");
    }
    one_line(line)
}

/// Removes control characters, so that a logged value can't look like another line, and limits the length to
/// [`MAX_LINE_LEN`].
fn one_line(mut line: String) -> String {
    line.retain(|c| !c.is_control());
    line.truncate(line.floor_char_boundary(MAX_LINE_LEN));
    line
}

/// Writes one line without a logger and without the limit per second, if standard error accepts it without blocking.
pub(super) fn write_directly(
    format: LogFormat,
    level: Level,
    message: &str,
    values: &[(&str, &str)],
) {
    let mut line = match format {
        LogFormat::Text => {
            let mut line = format!("{} {level} {message}", unix_ms());
            for (key, value) in values {
                _ = write!(line, " {key}={value}");
            }
            one_line(line)
        }
        LogFormat::Json => {
            let mut object = json!({"time": unix_ms(), "level": level.as_str(), "msg": message});
            for (key, value) in values {
                object[key] = json!(value.chars().take(MAX_VALUE_CHARS).collect::<String>());
            }
            object.to_string()
        }
    };
    line.push('\n');
    if stderr_is_writable() {
        _ = io::stderr().write_all(line.as_bytes());
    }
}

/// Counters of lines written and dropped.
#[derive(Default)]
struct CurrentSecond {
    /// The second, since the Unix epoch, that `written` refers to.
    unix_seconds: u64,
    written: u32,
    /// Lines dropped since the last written line.
    dropped: u32,
}

/// Writes at most a given number of lines per second to standard error.
struct RateLimited {
    lines_per_second: u32,
    state: Mutex<(CurrentSecond, Writer)>,
}

impl Drain for RateLimited {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        let now = unix_ms() / 1000;
        let Ok(mut state) = self.state.lock() else {
            return Ok(());
        };
        let (second, writer) = &mut *state;
        if second.unix_seconds != now {
            (second.unix_seconds, second.written) = (now, 0);
        }
        second.written += 1;
        if second.written > self.lines_per_second {
            second.dropped += 1;
            return Ok(());
        }
        let mut line = writer.line(record, values, std::mem::take(&mut second.dropped));
        line.push('\n');
        if !stderr_is_writable() || io::stderr().write_all(line.as_bytes()).is_err() {
            second.dropped += 1;
        }
        Ok(())
    }
}

/// True if standard error accepts a line without blocking. Otherwise its reader may have stopped reading.
fn stderr_is_writable() -> bool {
    let stderr = io::stderr();
    let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    rustix::event::poll(&mut polled, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}

/// Collects the values of a record as ` key=value`.
struct KeyValuePairs(Vec<String>);

impl Serializer for KeyValuePairs {
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
