//! An engine that a test drives line by line.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::MAX_WAIT;

/// The engine's end of one link to a node.
pub struct Engine {
    pub reader: BufReader<TcpStream>,
    /// The number of busy cores that is reported in STATS.
    pub busy_cores: f32,
    /// The serial number of the last notice that [`Engine::finish_run`] sent.
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

    /// Encodes a result as the `blob` of a notice.
    pub fn encode_result(result: &[u8]) -> String {
        STANDARD.encode(result)
    }

    /// Reads the next command; `None` if the link has ended or the line is not JSON.
    pub fn try_read_command(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(n) if n > 0 => serde_json::from_str(&line).ok(),
            _ => None,
        }
    }

    /// Sends a notice. Returns false if the link has failed.
    pub fn try_send(&mut self, notice: &Value) -> bool {
        self.reader
            .get_mut()
            .write_all(format!("{notice}\n").as_bytes())
            .is_ok()
    }

    /// Reads the next command, whichever it is.
    pub fn read_command(&mut self) -> Value {
        let mut line = String::new();
        assert!(
            self.reader.read_line(&mut line).unwrap() > 0,
            "the node closed the engine link"
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

    /// Answers ATTACH with a HELLO of a warm engine. The node must report `last` as the last serial that it read.
    pub fn handshake(&mut self, last: u64) {
        self.handshake_as(last, "WARM", 60_000);
    }

    /// As [`Engine::handshake`], with the state and the age of the engine that HELLO gives.
    pub fn handshake_as(&mut self, last: u64, how: &str, age_ms: u64) {
        assert_eq!(
            self.read_command(),
            json!({"msg": "ATTACH", "serial": last})
        );
        self.send(json!({"msg": "HELLO", "how": how, "duration": age_ms}));
    }

    /// Answers `count` STAT commands. Panics if any other command arrives between them.
    pub fn answer_stats(&mut self, count: usize) {
        for _ in 0..count {
            let stat = self.read_command();
            assert_eq!(stat["msg"], "STAT", "{stat}");
            self.answer_stat(&stat);
        }
    }

    /// Reads the next command other than STAT, and answers each STAT before it.
    pub fn next_command(&mut self) -> Value {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            assert!(
                Instant::now() < deadline,
                "no command other than STAT arrived"
            );
            let command = self.read_command();
            if command["msg"] != "STAT" {
                return command;
            }
            self.answer_stat(&command);
        }
    }

    /// As [`Engine::next_command`], but returns `None` after `count` STAT commands.
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

    /// Reads the next command, which must be RUN, and returns its id and body.
    pub fn next_run(&mut self) -> (String, Vec<u8>) {
        let command = self.next_command();
        assert_eq!(command["msg"], "RUN", "{command}");
        let body = STANDARD.decode(command["blob"].as_str().unwrap()).unwrap();
        (command["call"].as_str().unwrap().to_string(), body)
    }

    /// Sends the DONE of a run under the next serial number.
    pub fn finish_run(&mut self, call: &str, how: &str, result: &[u8]) {
        self.last_serial += 1;
        self.send_done(self.last_serial, call, how, result);
    }

    /// Sends the DONE of a run under this serial number.
    pub fn send_done(&mut self, serial: u64, call: &str, how: &str, result: &[u8]) {
        let blob = STANDARD.encode(result);
        self.send(
            json!({"msg": "DONE", "serial": serial, "call": call, "how": how, "duration": 12, "blob": blob}),
        );
    }
}
