//! A thread that sends the requests of several callers over non-blocking connections.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::time::{Duration, Instant};

use doortrack_fakes::unix_ms;
use doortrack_protocols::Protocol;
use fastrand::Rng;
use polling::{Event, Events, PollMode, Poller};
use slab::Slab;
use socket2::{Domain, Socket, Type};

use super::connection::{Connection, FinishedRequest};
use super::{Arrivals, Load, RequestStats};
use crate::request::Template;

/// The attempt identifiers of a thread start at its index plus one, shifted left by this many bits, so that they
/// are unique across threads.
const ATTEMPT_ID_THREAD_SHIFT: u32 = 48;
/// Distance between the seeds of successive rounds, which leaves a separate seed for each thread.
const SEEDS_PER_ROUND: u64 = 1000;

/// The state of one caller thread.
pub(super) struct CallerThread {
    address: SocketAddr,
    protocol: Protocol,
    arrivals: ThreadArrivals,
    template: Template,
    poller: Poller,
    connections: Slab<Connection>,
    max_connections: usize,
    last_connection: usize,
    random: Rng,
    measured: Range<Instant>,
    stats: RequestStats,
    last_attempt: u64,
}

/// The share of the load's arrivals that one thread sends.
#[derive(Clone, Copy)]
enum ThreadArrivals {
    ClosedLoop { callers: usize },
    OpenLoop { mean_interval: Duration },
}

impl ThreadArrivals {
    fn new(load: &Load) -> ThreadArrivals {
        match load.arrivals {
            Arrivals::ClosedLoop { callers } => ThreadArrivals::ClosedLoop {
                callers: callers.div_ceil(load.threads),
            },
            Arrivals::OpenLoop { rate } => ThreadArrivals::OpenLoop {
                mean_interval: Duration::from_secs_f64(load.threads as f64 / rate),
            },
        }
    }
}

impl CallerThread {
    pub(super) fn new(
        load: &Load,
        index: usize,
        measured: Range<Instant>,
    ) -> io::Result<CallerThread> {
        Ok(CallerThread {
            address: load.address,
            protocol: load.protocol,
            arrivals: ThreadArrivals::new(load),
            template: Template::new(load.protocol, load.body_bytes),
            poller: Poller::new()?,
            connections: Slab::new(),
            max_connections: load.connections.div_ceil(load.threads),
            last_connection: 0,
            random: Rng::with_seed(load.seed * SEEDS_PER_ROUND + index as u64),
            measured,
            stats: RequestStats::new(),
            last_attempt: (index as u64 + 1) << ATTEMPT_ID_THREAD_SHIFT,
        })
    }

    /// Sends requests until the measurement ends.
    pub(super) fn run(mut self) -> io::Result<RequestStats> {
        if self.protocol == Protocol::FastCgi {
            for _ in 0..self.max_connections {
                self.connect()?;
            }
        }
        let mut due = Instant::now();
        if let ThreadArrivals::ClosedLoop { callers } = self.arrivals {
            for _ in 0..callers {
                self.send_request(due)?;
            }
        }
        let mut events = Events::new();
        loop {
            let now = Instant::now();
            if now >= self.measured.end {
                return Ok(self.stats);
            }
            let mut wait = self.measured.end - now;
            if let ThreadArrivals::OpenLoop { mean_interval } = self.arrivals {
                while due <= now {
                    self.send_request(due)?;
                    due += mean_interval.mul_f64(self.exponential_factor());
                }
                wait = wait.min(due - now);
            }
            events.clear();
            self.poller.wait(&mut events, Some(wait))?;
            self.handle(&events)?;
        }
    }

    fn handle(&mut self, events: &Events) -> io::Result<()> {
        for event in events.iter() {
            if event.writable {
                self.write(event.key)?;
            }
            if event.readable {
                self.read(event.key)?;
            }
        }
        Ok(())
    }

    /// Draws from the exponential distribution with mean 1.
    fn exponential_factor(&mut self) -> f64 {
        -(1.0 - self.random.f64()).ln()
    }

    fn connect(&mut self) -> io::Result<usize> {
        let socket = Socket::new(Domain::for_address(self.address), Type::STREAM, None)?;
        socket.set_tcp_nodelay(true)?;
        // A blocking connect returns at once on loopback unless the backlog of the listener is full.
        socket.connect(&self.address.into())?;
        socket.set_nonblocking(true)?;
        let stream = TcpStream::from(socket);
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        // SAFETY: the socket is removed from the poller before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&stream, Event::readable(key), PollMode::Level)?
        };
        entry.insert(Connection::new(stream));
        Ok(key)
    }

    fn send_request(&mut self, due: Instant) -> io::Result<()> {
        let key = match self.protocol {
            Protocol::Uwsgi => self.connect()?,
            Protocol::FastCgi => {
                self.last_connection = (self.last_connection + 1) % self.max_connections;
                self.last_connection
            }
        };
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let template = &self.template;
        self.connections[key].queue_request(due, |out, id| {
            template.append(out, id, attempt, unix_ms());
        });
        self.write(key)
    }

    fn write(&mut self, key: usize) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        connection.flush()?;
        if connection.update_write_interest() {
            let interest = Event::new(key, true, connection.is_write_pending());
            self.poller
                .modify_with_mode(&connection.stream, interest, PollMode::Level)?;
        }
        Ok(())
    }

    fn read(&mut self, key: usize) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Ok(());
        };
        let finished = match self.protocol {
            Protocol::Uwsgi => {
                if !connection.read_until_close()? {
                    return Ok(());
                }
                let connection = self.connections.remove(key);
                self.poller.delete(&connection.stream)?;
                connection.into_finished()
            }
            Protocol::FastCgi => connection.read_records()?,
        };
        self.record(finished)
    }

    fn record(&mut self, finished: Vec<FinishedRequest>) -> io::Result<()> {
        let now = Instant::now();
        for request in finished {
            if self.measured.contains(&now) {
                self.stats.record(now - request.due, request.succeeded);
            }
            if let ThreadArrivals::ClosedLoop { .. } = self.arrivals {
                self.send_request(now)?;
            }
        }
        Ok(())
    }
}
