//! A simplified engine with two cores. A run takes one second, or longer while more than two runs are in
//! progress.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

const CORES: f64 = 2.0;
/// CPU time of each run, in seconds on one core.
const RUN_CPU_S: f64 = 1.0;
/// Read timeout of a connection: the interval at which runs advance while no command arrives.
const TICK: Duration = Duration::from_millis(10);
/// Maximum number of notices kept for a node that attaches again.
const MAX_NOTICES: usize = 4000;
/// Maximum length of a load report to the registry, in bytes.
const MAX_REPORT_BYTES: usize = 200;

/// A run in progress.
struct Run {
    group: String,
    body: Vec<u8>,
    started_at: Instant,
    remaining_cpu_s: f64,
}

/// The message that tells the node how a run ended.
struct Notice {
    serial: u64,
    message: Value,
}

/// The engine's state, which is kept between connections.
struct Engine {
    started_at: Instant,
    runs: BTreeMap<String, Run>,
    notices: Vec<Notice>,
    last_serial: u64,
}

/// Serves one node at a time and prints what it sends to the engine and the registry.
///
/// # Errors
/// Returns an error if a socket cannot be bound or a connection cannot be accepted.
pub fn serve(engine_address: &str, registry_address: &str) -> io::Result<()> {
    let listener = TcpListener::bind(engine_address)?;
    let mut registry = Registry::bind(registry_address)?;
    println!(
        "engine at {engine_address}, registry at {}; waiting for a node",
        registry.socket.local_addr()?
    );
    let mut engine = Engine {
        started_at: Instant::now(),
        runs: BTreeMap::new(),
        notices: Vec::new(),
        last_serial: 0,
    };
    for stream in listener.incoming() {
        registry.last_report.clear();
        if let Err(e) = engine.serve_node(stream?, &mut registry) {
            println!("connection ended: {e}");
        }
    }
    Ok(())
}

/// A registry that prints each load report that differs from the previous one.
struct Registry {
    socket: UdpSocket,
    last_report: String,
}

impl Registry {
    fn bind(address: &str) -> io::Result<Registry> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Registry {
            socket,
            last_report: String::new(),
        })
    }

    fn print_reports(&mut self) {
        let mut buffer = [0; MAX_REPORT_BYTES];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            let report = String::from_utf8_lossy(&buffer[..length]);
            if report != self.last_report {
                println!("registry: {report}");
                self.last_report = report.into_owned();
            }
        }
    }
}

impl Engine {
    /// Serves one connection until it ends. Runs advance only while a node is connected.
    fn serve_node(&mut self, stream: TcpStream, registry: &mut Registry) -> io::Result<()> {
        stream.set_read_timeout(Some(TICK))?;
        let (mut input, mut output) = (BufReader::new(stream.try_clone()?), stream);
        let (mut line, mut advanced_at) = (Vec::new(), Instant::now());
        let mut last_sent = 0;
        loop {
            if let Some(command) = read_command(&mut input, &mut line)?
                && let Some(serial) = self.execute(&command, &mut output)?
            {
                last_sent = serial;
            }
            self.advance(advanced_at.elapsed().as_secs_f64());
            advanced_at = Instant::now();
            last_sent = self.send_notices(last_sent, &mut output)?;
            registry.print_reports();
        }
    }

    /// Executes one command. For an attach command, returns the serial of the last notice that the node has read.
    fn execute(&mut self, command: &Value, output: &mut TcpStream) -> io::Result<Option<u64>> {
        let run_id = string_field(command, "call");
        match command["msg"].as_str().unwrap_or_default() {
            "ATTACH" => {
                println!("a node attached");
                let uptime_ms = self.started_at.elapsed().as_millis() as u64;
                let hello = json!({"msg": "HELLO", "how": "WARM", "duration": uptime_ms});
                writeln!(output, "{hello}")?;
                return Ok(command["serial"].as_u64());
            }
            "RUN" => self.start_run(run_id, command),
            "HALT" => {
                if let Some(run) = self.runs.remove(run_id) {
                    println!("halted {run_id}");
                    self.notify(run_id, "STOPPED", &run, b"");
                }
            }
            "STAT" => {
                let load = self.runs.len() as f64;
                let stats = [(load / CORES).min(1.0), load];
                let reply = json!({"msg": "STATS", "cookie": command["cookie"], "stats": stats});
                writeln!(output, "{reply}")?;
            }
            _ => return Err(io::Error::other(format!("unknown command: {command}"))),
        }
        Ok(None)
    }

    fn start_run(&mut self, run_id: &str, command: &Value) {
        let group = string_field(command, "service").to_string();
        let body = STANDARD
            .decode(string_field(command, "blob"))
            .unwrap_or_default();
        println!("run {run_id} ({group}): {}", String::from_utf8_lossy(&body));
        self.runs.entry(run_id.to_string()).or_insert(Run {
            group,
            body,
            started_at: Instant::now(),
            remaining_cpu_s: RUN_CPU_S,
        });
    }

    /// Divides the CPU time of the cores among all runs, and ends the runs that have none remaining.
    fn advance(&mut self, elapsed_s: f64) {
        let cpu_s = elapsed_s * (CORES / self.runs.len().max(1) as f64).min(1.0);
        for run in self.runs.values_mut() {
            run.remaining_cpu_s -= cpu_s;
        }
        let finished = self
            .runs
            .extract_if(.., |_, run| run.remaining_cpu_s <= 0.0);
        let finished: Vec<(String, Run)> = finished.collect();
        for (run_id, run) in finished {
            let result = [run.group.as_bytes(), b" done: ", &run.body].concat();
            self.notify(&run_id, "OK", &run, &result);
        }
    }

    /// Appends a notice that a run has ended.
    fn notify(&mut self, run_id: &str, outcome: &str, run: &Run, result: &[u8]) {
        self.last_serial += 1;
        let run_time_ms = run.started_at.elapsed().as_millis() as u64;
        let message = json!({"msg": "DONE", "serial": self.last_serial, "call": run_id, "how": outcome,
            "duration": run_time_ms, "blob": STANDARD.encode(result)});
        self.notices.push(Notice {
            serial: self.last_serial,
            message,
        });
        if self.notices.len() > MAX_NOTICES {
            self.notices.remove(0);
        }
    }

    /// Sends the notices whose serial is above `last_sent`. Returns the serial of the last notice sent.
    fn send_notices(&self, last_sent: u64, output: &mut TcpStream) -> io::Result<u64> {
        let first = self
            .notices
            .partition_point(|notice| notice.serial <= last_sent);
        let unsent = &self.notices[first..];
        for notice in unsent {
            writeln!(output, "{}", notice.message)?;
        }
        Ok(unsent.last().map_or(last_sent, |notice| notice.serial))
    }
}

/// Reads a command, or returns `None` if its line is incomplete when the read times out. `line` keeps the part
/// that was read.
fn read_command(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Option<Value>> {
    match input.read_until(b'\n', line) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(_) if line.ends_with(b"\n") => {
            let command = serde_json::from_slice(line)?;
            line.clear();
            Ok(Some(command))
        }
        Ok(_) => Ok(None),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(None),
        Err(e) => Err(e),
    }
}

fn string_field<'a>(command: &'a Value, key: &str) -> &'a str {
    command[key].as_str().unwrap_or_default()
}
