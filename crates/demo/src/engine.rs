//! A toy engine: two cores, on which each run takes a second, or longer the more run at once.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

const CORES: f64 = 2.0;
/// Work of each run, in seconds on one core.
const WORK: f64 = 1.0;
const TURN: Duration = Duration::from_millis(10);
/// Notices kept for a link that is taken up again.
const KEPT: usize = 4000;

struct Run {
    group: String,
    body: Vec<u8>,
    began: Instant,
    left: f64,
}

#[derive(Default)]
struct Engine {
    runs: BTreeMap<String, Run>,
    notices: Vec<(u64, Value)>,
    serial: u64,
}

pub fn serve(at: &str, registry: &str) -> io::Result<()> {
    let door = TcpListener::bind(at)?;
    let registry = UdpSocket::bind(registry)?;
    registry.set_nonblocking(true)?;
    println!(
        "engine at {at}, registry at {}; waiting for a node",
        registry.local_addr()?
    );
    let (mut engine, up) = (Engine::default(), Instant::now());
    for link in door.incoming() {
        if let Err(e) = engine.speak(link?, &registry, up) {
            println!("link ended: {e}");
        }
    }
    Ok(())
}

impl Engine {
    /// One link, until it ends. Runs go on without one, but stand still here until the next.
    fn speak(&mut self, link: TcpStream, registry: &UdpSocket, up: Instant) -> io::Result<()> {
        link.set_read_timeout(Some(TURN))?;
        let (mut lines, mut out) = (BufReader::new(link.try_clone()?), link);
        let (mut line, mut last, mut told) = (Vec::new(), Instant::now(), 0);
        let mut seen = String::new();
        loop {
            match lines.read_until(b'\n', &mut line) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) if line.ends_with(b"\n") => {
                    let command: Value = serde_json::from_slice(&line)?;
                    line.clear();
                    if let Some(serial) = self.carry_out(&command, up, &mut out)? {
                        told = serial;
                    }
                }
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(e) => return Err(e),
            }
            self.work(last.elapsed().as_secs_f64());
            last = Instant::now();
            let from = self.notices.partition_point(|(serial, _)| *serial <= told);
            for (serial, notice) in &self.notices[from..] {
                writeln!(out, "{notice}")?;
                told = *serial;
            }
            let mut report = [0; 200];
            while let Ok(n) = registry.recv(&mut report) {
                let report = String::from_utf8_lossy(&report[..n]).into_owned();
                if report != seen {
                    println!("registry: {report}");
                    seen = report;
                }
            }
        }
    }

    /// Carries out one command; after ATTACH, the number of the last notice that the node has read.
    fn carry_out(
        &mut self,
        command: &Value,
        up: Instant,
        out: &mut TcpStream,
    ) -> io::Result<Option<u64>> {
        let word = |key: &str| command[key].as_str().unwrap_or_default().to_string();
        match &*word("msg") {
            "ATTACH" => {
                println!("a node attached");
                let age = up.elapsed().as_millis() as u64;
                writeln!(
                    out,
                    "{}",
                    json!({"msg": "HELLO", "how": "WARM", "duration": age})
                )?;
                return Ok(command["serial"].as_u64());
            }
            "RUN" => {
                let body = STANDARD.decode(word("blob")).unwrap_or_default();
                let (group, began, left) = (word("service"), Instant::now(), WORK);
                println!(
                    "run {} ({group}): {}",
                    word("call"),
                    String::from_utf8_lossy(&body)
                );
                self.runs.entry(word("call")).or_insert(Run {
                    group,
                    body,
                    began,
                    left,
                });
            }
            "HALT" => {
                if let Some(run) = self.runs.remove(&word("call")) {
                    println!("halted {}", word("call"));
                    self.done(&word("call"), "STOPPED", &run, b"");
                }
            }
            "STAT" => {
                let wanted = self.runs.len() as f64;
                let stats = [(wanted / CORES).min(1.0), wanted];
                writeln!(
                    out,
                    "{}",
                    json!({"msg": "STATS", "cookie": command["cookie"], "stats": stats})
                )?;
            }
            _ => return Err(io::Error::other(format!("not a command: {command}"))),
        }
        Ok(None)
    }

    /// Lets time pass on the cores, which all runs share.
    fn work(&mut self, passed: f64) {
        let each = passed * (CORES / self.runs.len().max(1) as f64).min(1.0);
        self.runs.values_mut().for_each(|run| run.left -= each);
        while let Some(call) = self
            .runs
            .iter()
            .find(|(_, run)| run.left <= 0.0)
            .map(|(call, _)| call.clone())
            && let Some(run) = self.runs.remove(&call)
        {
            let result = [run.group.as_bytes(), b" done: ", &run.body].concat();
            self.done(&call, "OK", &run, &result);
        }
    }

    fn done(&mut self, call: &str, how: &str, run: &Run, result: &[u8]) {
        self.serial += 1;
        let (took, blob) = (
            run.began.elapsed().as_millis() as u64,
            STANDARD.encode(result),
        );
        let notice = json!({"msg": "DONE", "serial": self.serial, "call": call, "how": how,
            "duration": took, "blob": blob});
        self.notices.push((self.serial, notice));
        if self.notices.len() > KEPT {
            self.notices.remove(0);
        }
    }
}
