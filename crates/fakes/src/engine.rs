//! The engine, played a line at a time.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::MAX_WAIT;

/// One link to the node.
pub struct Engine {
    pub lines: BufReader<TcpStream>,
    /// What the gauge of busy cores reads.
    pub busy: f32,
    /// Number of the last notice told with `end`.
    pub serial: u64,
}

impl Engine {
    pub fn on(sock: TcpStream) -> Engine {
        Engine {
            lines: BufReader::new(sock),
            busy: 0.0,
            serial: 0,
        }
    }

    /// A result as it stands in a notice.
    pub fn blob(result: &[u8]) -> String {
        STANDARD.encode(result)
    }

    /// The next command; none once the link has ended.
    pub fn try_line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(n) if n > 0 => serde_json::from_str(&line).ok(),
            _ => None,
        }
    }

    /// Tells a notice; whether the link still takes it.
    pub fn try_tell(&mut self, notice: &Value) -> bool {
        self.lines
            .get_mut()
            .write_all(format!("{notice}\n").as_bytes())
            .is_ok()
    }

    pub fn line(&mut self) -> Value {
        let mut line = String::new();
        assert!(
            self.lines.read_line(&mut line).unwrap() > 0,
            "the node closed its link"
        );
        serde_json::from_str(&line).unwrap()
    }

    pub fn tell(&mut self, notice: Value) {
        self.lines
            .get_mut()
            .write_all(format!("{notice}\n").as_bytes())
            .unwrap();
    }

    pub fn answer_stat(&mut self, command: &Value) {
        self.tell(json!({"msg": "STATS", "cookie": command["cookie"], "stats": [self.busy, 3]}));
    }

    /// Takes the link up; `last` is what the node should say that it read.
    pub fn hello(&mut self, last: u64) {
        self.hello_as(last, "WARM", 60_000);
    }

    pub fn hello_as(&mut self, last: u64, how: &str, age_ms: u64) {
        assert_eq!(self.line(), json!({"msg": "ATTACH", "serial": last}));
        self.tell(json!({"msg": "HELLO", "how": how, "duration": age_ms}));
    }

    /// Answers so many readings, between which there must be no other command.
    pub fn readings(&mut self, count: usize) {
        for _ in 0..count {
            let stat = self.line();
            assert_eq!(stat["msg"], "STAT", "{stat}");
            self.answer_stat(&stat);
        }
    }

    /// The next command other than STAT, which is answered on the way.
    pub fn command(&mut self) -> Value {
        let until = Instant::now() + MAX_WAIT;
        loop {
            assert!(Instant::now() < until, "no command but STAT");
            let command = self.line();
            if command["msg"] != "STAT" {
                return command;
            }
            self.answer_stat(&command);
        }
    }

    /// The next command other than STAT, if one comes before so many readings were asked for.
    pub fn command_within_readings(&mut self, count: usize) -> Option<Value> {
        for _ in 0..count {
            let command = self.line();
            if command["msg"] != "STAT" {
                return Some(command);
            }
            self.answer_stat(&command);
        }
        None
    }

    /// The next RUN: its id and body.
    pub fn run(&mut self) -> (String, Vec<u8>) {
        let command = self.command();
        assert_eq!(command["msg"], "RUN", "{command}");
        let body = STANDARD.decode(command["blob"].as_str().unwrap()).unwrap();
        (command["call"].as_str().unwrap().to_string(), body)
    }

    /// Tells the end of a run under the next number.
    pub fn end(&mut self, call: &str, how: &str, result: &[u8]) {
        self.serial += 1;
        self.done(self.serial, call, how, result);
    }

    pub fn done(&mut self, serial: u64, call: &str, how: &str, result: &[u8]) {
        let blob = STANDARD.encode(result);
        self.tell(
            json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "duration": 12, "blob": blob}),
        );
    }
}
