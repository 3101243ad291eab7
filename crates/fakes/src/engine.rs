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
    pub reader: BufReader<TcpStream>,
    /// What the gauge of busy cores reads.
    pub busy_cores: f32,
    /// Number of the last notice told with `end`.
    pub last_serial: u64,
}

impl Engine {
    pub fn new(sock: TcpStream) -> Engine {
        Engine {
            reader: BufReader::new(sock),
            busy_cores: 0.0,
            last_serial: 0,
        }
    }

    /// A result as it stands in a notice.
    pub fn encode_result(result: &[u8]) -> String {
        STANDARD.encode(result)
    }

    /// The next command; none once the link has ended.
    pub fn try_read_command(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(n) if n > 0 => serde_json::from_str(&line).ok(),
            _ => None,
        }
    }

    /// Tells a notice; whether the link still takes it.
    pub fn try_send(&mut self, notice: &Value) -> bool {
        self.reader
            .get_mut()
            .write_all(format!("{notice}\n").as_bytes())
            .is_ok()
    }

    pub fn read_command(&mut self) -> Value {
        let mut line = String::new();
        assert!(
            self.reader.read_line(&mut line).unwrap() > 0,
            "the node closed its link"
        );
        serde_json::from_str(&line).unwrap()
    }

    pub fn send(&mut self, notice: Value) {
        self.reader
            .get_mut()
            .write_all(format!("{notice}\n").as_bytes())
            .unwrap();
    }

    pub fn answer_stat(&mut self, command: &Value) {
        self.send(
            json!({"msg": "STATS", "cookie": command["cookie"], "stats": [self.busy_cores, 3]}),
        );
    }

    /// Takes the link up; `last` is what the node should say that it read.
    pub fn handshake(&mut self, last: u64) {
        self.handshake_as(last, "WARM", 60_000);
    }

    pub fn handshake_as(&mut self, last: u64, how: &str, age_ms: u64) {
        assert_eq!(
            self.read_command(),
            json!({"msg": "ATTACH", "serial": last})
        );
        self.send(json!({"msg": "HELLO", "how": how, "duration": age_ms}));
    }

    /// Answers so many readings, between which there must be no other command.
    pub fn answer_stats(&mut self, count: usize) {
        for _ in 0..count {
            let stat = self.read_command();
            assert_eq!(stat["msg"], "STAT", "{stat}");
            self.answer_stat(&stat);
        }
    }

    /// The next command other than STAT, which is answered on the way.
    pub fn next_command(&mut self) -> Value {
        let until = Instant::now() + MAX_WAIT;
        loop {
            assert!(Instant::now() < until, "no command but STAT");
            let command = self.read_command();
            if command["msg"] != "STAT" {
                return command;
            }
            self.answer_stat(&command);
        }
    }

    /// The next command other than STAT, if one comes before so many readings were asked for.
    pub fn next_command_within_stats(&mut self, count: usize) -> Option<Value> {
        for _ in 0..count {
            let command = self.read_command();
            if command["msg"] != "STAT" {
                return Some(command);
            }
            self.answer_stat(&command);
        }
        None
    }

    /// The next RUN: its id and body.
    pub fn next_run(&mut self) -> (String, Vec<u8>) {
        let command = self.next_command();
        assert_eq!(command["msg"], "RUN", "{command}");
        let body = STANDARD.decode(command["blob"].as_str().unwrap()).unwrap();
        (command["call"].as_str().unwrap().to_string(), body)
    }

    /// Tells the end of a run under the next number.
    pub fn finish_run(&mut self, call: &str, how: &str, result: &[u8]) {
        self.last_serial += 1;
        self.send_done(self.last_serial, call, how, result);
    }

    pub fn send_done(&mut self, serial: u64, call: &str, how: &str, result: &[u8]) {
        let blob = STANDARD.encode(result);
        self.send(
            json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "duration": 12, "blob": blob}),
        );
    }
}
