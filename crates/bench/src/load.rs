//! The callers: closed loop, or open loop whose latencies count from when a request was due to begin, so
//! that a node that stands still is charged for all that would have come meanwhile.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use doortrack_fakes::unix_ms;
use doortrack_protocols::fastcgi::{ResponseRecord, ResponseSplitter};
use doortrack_protocols::{Protocol, fastcgi};
use fastrand::Rng;
use hdrhistogram::Histogram;
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Socket, Type};

use crate::request::Template;
use crate::target::{Target, Used};

#[derive(Clone, Copy)]
pub enum Pace {
    /// So many requests in hand at once.
    Closed(usize),
    /// So many begun a second, at times drawn by chance.
    Open(f64),
}

pub struct Load {
    pub at: SocketAddr,
    pub protocol: Protocol,
    pub pace: Pace,
    pub connections: usize,
    pub threads: usize,
    pub body: usize,
    pub warm: Duration,
    pub lasts: Duration,
    pub seed: u64,
}

/// What came of one round, in the time that counts.
pub struct Played {
    /// Microseconds from due to the end of the answer.
    pub latencies: Histogram<u64>,
    pub good: u64,
    pub bad: u64,
    pub seconds: f64,
    pub used: Used,
}

impl Load {
    pub fn play(&self, target: &Target) -> io::Result<Played> {
        let start = Instant::now();
        let (from, till) = (start + self.warm, start + self.warm + self.lasts);
        let threads: Vec<_> = (0..self.threads)
            .map(|nth| {
                let callers = Callers::new(self, nth, from, till);
                std::thread::spawn(move || callers?.play())
            })
            .collect();
        std::thread::sleep(self.warm);
        let before = target.used();
        std::thread::sleep(self.lasts);
        let after = target.used();
        let mut latencies = histogram();
        let (mut good, mut bad) = (0, 0);
        for thread in threads {
            let part = thread
                .join()
                .map_err(|_| io::Error::other("a caller's thread has ended"))??;
            latencies.add(&part.0).map_err(io::Error::other)?;
            (good, bad) = (good + part.1, bad + part.2);
        }
        let used = Used {
            cpu_us: after.cpu_us - before.cpu_us,
            memory_kb: after.memory_kb,
        };
        Ok(Played {
            latencies,
            good,
            bad,
            seconds: self.lasts.as_secs_f64(),
            used,
        })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that make sense")
}

struct Conn {
    sock: TcpStream,
    out: Vec<u8>,
    written: usize,
    /// Requests in hand: id, when it was due, and the start of its answer.
    hand: Vec<(u16, Instant, Vec<u8>)>,
    reader: ResponseSplitter,
    next_id: u16,
    watches_writes: bool,
}

/// One thread of callers.
struct Callers {
    at: SocketAddr,
    protocol: Protocol,
    pace: Pace,
    /// Mean time between requests of this thread.
    every: Duration,
    template: Template,
    poller: Poller,
    conns: Slab<Conn>,
    most: usize,
    turn: usize,
    rng: Rng,
    from: Instant,
    till: Instant,
    latencies: Histogram<u64>,
    good: u64,
    bad: u64,
    next_try: u64,
}

impl Callers {
    fn new(load: &Load, nth: usize, from: Instant, till: Instant) -> io::Result<Callers> {
        let pace = match load.pace {
            Pace::Closed(callers) => Pace::Closed(callers.div_ceil(load.threads)),
            open => open,
        };
        let every = match load.pace {
            Pace::Open(rate) => Duration::from_secs_f64(load.threads as f64 / rate),
            Pace::Closed(_) => Duration::ZERO,
        };
        Ok(Callers {
            at: load.at,
            protocol: load.protocol,
            pace,
            every,
            template: Template::new(load.protocol, load.body),
            poller: Poller::new()?,
            conns: Slab::new(),
            most: load.connections.div_ceil(load.threads),
            turn: 0,
            rng: Rng::with_seed(load.seed * 1000 + nth as u64),
            from,
            till,
            latencies: histogram(),
            good: 0,
            bad: 0,
            next_try: (nth as u64 + 1) << 48,
        })
    }

    fn play(mut self) -> io::Result<(Histogram<u64>, u64, u64)> {
        if self.protocol == Protocol::FastCgi {
            for _ in 0..self.most {
                self.connect()?;
            }
        }
        let mut due = Instant::now();
        if let Pace::Closed(callers) = self.pace {
            for _ in 0..callers {
                self.begin(due)?;
            }
        }
        let mut events = Events::new();
        loop {
            let now = Instant::now();
            if now >= self.till {
                return Ok((self.latencies, self.good, self.bad));
            }
            let mut wait = self.till - now;
            if let Pace::Open(_) = self.pace {
                while due <= now {
                    self.begin(due)?;
                    let draw = -(1.0 - self.rng.f64()).ln();
                    due += self.every.mul_f64(draw);
                }
                wait = wait.min(due - now);
            }
            events.clear();
            self.poller.wait(&mut events, Some(wait))?;
            for event in events.iter() {
                if event.writable {
                    self.write(event.key)?;
                }
                if event.readable {
                    self.read(event.key)?;
                }
            }
        }
    }

    fn connect(&mut self) -> io::Result<usize> {
        let socket = Socket::new(Domain::for_address(self.at), Type::STREAM, None)?;
        socket.set_tcp_nodelay(true)?;
        // Of a loopback listener with room in its backlog this does not wait.
        socket.connect(&self.at.into())?;
        socket.set_nonblocking(true)?;
        let sock = TcpStream::from(socket);
        let (out, hand, reader) = Default::default();
        let entry = self.conns.vacant_entry();
        // SAFETY: the socket is taken out of the poller before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&sock, Event::readable(entry.key()), PollMode::Level)?
        };
        let key = entry.key();
        entry.insert(Conn {
            sock,
            out,
            written: 0,
            hand,
            reader,
            next_id: 0,
            watches_writes: false,
        });
        Ok(key)
    }

    fn begin(&mut self, due: Instant) -> io::Result<()> {
        let key = match self.protocol {
            Protocol::Uwsgi => self.connect()?,
            Protocol::FastCgi => {
                self.turn = (self.turn + 1) % self.most;
                self.turn
            }
        };
        self.next_try += 1;
        let conn = &mut self.conns[key];
        conn.next_id = conn.next_id % 30_000 + 1;
        let id = conn.next_id;
        self.template
            .stamp(&mut conn.out, id, self.next_try, unix_ms());
        conn.hand.push((id, due, Vec::new()));
        self.write(key)
    }

    fn write(&mut self, key: usize) -> io::Result<()> {
        let Some(conn) = self.conns.get_mut(key) else {
            return Ok(());
        };
        while conn.written < conn.out.len() {
            match conn.sock.write(&conn.out[conn.written..]) {
                Ok(n) => conn.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if conn.written == conn.out.len() {
            (conn.written, _) = (0, conn.out.clear());
        }
        let wants = !conn.out.is_empty();
        if wants != conn.watches_writes {
            self.poller.modify_with_mode(
                &conn.sock,
                Event::new(key, true, wants),
                PollMode::Level,
            )?;
            conn.watches_writes = wants;
        }
        Ok(())
    }

    fn read(&mut self, key: usize) -> io::Result<()> {
        let Some(conn) = self.conns.get_mut(key) else {
            return Ok(());
        };
        let mut buffer = [0; 64 * 1024];
        let n = match conn.sock.read(&mut buffer) {
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        };
        let mut over = Vec::new();
        match self.protocol {
            Protocol::Uwsgi if n > 0 => conn.hand[0].2.extend(&buffer[..n]),
            Protocol::Uwsgi => {
                let conn = self.conns.remove(key);
                self.poller.delete(&conn.sock)?;
                over.extend(
                    conn.hand
                        .into_iter()
                        .map(|(_, due, answer)| (due, answer.starts_with(b"HTTP/1.1 200"))),
                );
            }
            Protocol::FastCgi if n == 0 => {
                return Err(io::Error::other("the node closed a connection"));
            }
            Protocol::FastCgi => {
                let mut input = &buffer[..n];
                let find = |hand: &[(u16, Instant, Vec<u8>)], id| {
                    hand.iter().position(|(other, ..)| *other == id)
                };
                while let Some(reply) = conn.reader.next(&mut input).map_err(io::Error::other)? {
                    match reply {
                        ResponseRecord::Stdout { id, bytes } => {
                            if let Some(place) = find(&conn.hand, id) {
                                let start = &mut conn.hand[place].2;
                                let room = 16usize.saturating_sub(start.len());
                                start.extend(&bytes[..bytes.len().min(room)]);
                            }
                        }
                        ResponseRecord::End { id, status } => {
                            if let Some(place) = find(&conn.hand, id) {
                                let (_, due, start) = conn.hand.swap_remove(place);
                                let whole = status == Some(fastcgi::ProtocolStatus::Complete);
                                over.push((due, whole && start.starts_with(b"Status: 200")));
                            }
                        }
                    }
                }
            }
        }
        let now = Instant::now();
        for (due, good) in over {
            if now >= self.from && now < self.till {
                self.latencies
                    .saturating_record((now - due).as_micros() as u64);
                if good { self.good += 1 } else { self.bad += 1 }
            }
            if let Pace::Closed(_) = self.pace {
                self.begin(now)?;
            }
        }
        Ok(())
    }
}
