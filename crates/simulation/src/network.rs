//! Machines that send to one another over links that lose, delay, double and cut, each with a clock of its
//! own. The machines themselves are the caller's; here is only what lies between them.

use std::collections::{HashMap, VecDeque};

use rand::RngExt;

use crate::{Law, Micros, Queue, Stream, stream};

/// Place of a machine in the net.
pub type MachineId = usize;

/// What links do to what is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    pub latency: Law,
    /// Added between machines of different zones, in microseconds.
    pub between_zones: Micros,
    /// Zones of one region, numbered one after the other; 0 where all zones lie in one region.
    pub zones_of_region: u32,
    /// Drawn and added between machines of different regions.
    pub between_regions: Law,
    /// Share of all that is lost on the way, and that comes twice.
    pub loss: f64,
    pub doubled: f64,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            latency: Law::LogNormal {
                mean: 300.0,
                sigma: 0.5,
            },
            between_zones: 0,
            zones_of_region: 0,
            between_regions: Law::Fixed(0.0),
            loss: 0.0,
            doubled: 0.0,
        }
    }
}

impl Links {
    /// The region in which a zone lies.
    pub fn region(&self, zone: u32) -> u32 {
        zone.checked_div(self.zones_of_region).unwrap_or(0)
    }

    /// Draws how long a datagram takes from one zone to another.
    fn draw(&self, from: u32, to: u32, chance: &mut Stream) -> Micros {
        let mut took = self.latency.draw(chance);
        if from != to {
            took += self.between_zones;
        }
        if self.region(from) != self.region(to) {
            took += self.between_regions.draw(chance);
        }
        took
    }
}

/// A machine's clock: how far it is off, and how fast it goes against true time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clock {
    pub offset: i64,
    /// Millionths by which it gains; 20,000 are 2%.
    pub drift_ppm: i64,
}

impl Clock {
    /// What it shows, in microseconds. Never below 0.
    pub fn at(self, now: Micros) -> Micros {
        let gained = now as i128 * i128::from(self.drift_ppm) / 1_000_000;
        (now as i128 + i128::from(self.offset) + gained).max(0) as Micros
    }

    /// The true time at which it shows so much, rounded up.
    pub fn when(self, shown: Micros) -> Micros {
        let since = shown as i128 - i128::from(self.offset);
        let rate = 1_000_000 + i128::from(self.drift_ppm);
        (since * 1_000_000).div_euclid(rate).max(0) as Micros + 1
    }
}

/// How a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Running {
    Up,
    /// Stands still; what comes lies unread.
    Stopped,
    Down,
}

struct Machine<M> {
    clock: Clock,
    zone: u32,
    running: Running,
    /// Grows with each start: what was set for an earlier one is void.
    start: u32,
    unread: Vec<(MachineId, M)>,
    /// What last came to it, for a replay.
    kept: VecDeque<(MachineId, M)>,
}

/// Bound on what lies unread at a machine that stands still; more is lost, as by a socket's buffer.
const MOST_UNREAD: usize = 400;
/// What is kept of what came, for a replay.
const MOST_KEPT: usize = 100;

enum Event<M> {
    Comes {
        from: MachineId,
        to: MachineId,
        start: u32,
        what: M,
    },
    Wakes {
        of: MachineId,
        start: u32,
        nth: u64,
    },
    Marked(u64),
}

/// What happens next in the net.
#[derive(Debug)]
pub enum Next<M> {
    Hears {
        of: MachineId,
        from: MachineId,
        what: M,
    },
    /// The time it asked to be woken at has come.
    Wakes { of: MachineId },
    /// A time that the caller marked, by its number.
    Mark(u64),
}

/// The net. Events come in a settled order, so the same calls with the same seed give the same play.
pub struct Net<M> {
    queue: Queue<Event<M>>,
    machines: Vec<Machine<M>>,
    wakes: Vec<u64>,
    links: Links,
    /// Cuts between groups of machines, one way each: by (from, to), counted, as cuts may lie over another.
    /// Only looked up, never walked, so that its order makes no difference to a play.
    cuts: HashMap<(MachineId, MachineId), u32>,
    chance: Stream,
    /// Whether what comes is kept, for [`Net::replay`].
    pub keeps: bool,
    pub sent: u64,
    pub lost: u64,
}

impl<M: Clone> Net<M> {
    pub fn new(links: Links, seed: u64) -> Net<M> {
        Net {
            queue: Queue::default(),
            machines: Vec::new(),
            wakes: Vec::new(),
            links,
            cuts: HashMap::new(),
            chance: stream(seed, 1),
            keeps: false,
            sent: 0,
            lost: 0,
        }
    }

    pub fn add(&mut self, clock: Clock, zone: u32) -> MachineId {
        self.machines.push(Machine {
            clock,
            zone,
            running: Running::Down,
            start: 0,
            unread: Vec::new(),
            kept: VecDeque::new(),
        });
        self.wakes.push(0);
        self.machines.len() - 1
    }

    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// What the machine's clock shows.
    pub fn shown(&self, of: MachineId) -> Micros {
        self.machines[of].clock.at(self.queue.now())
    }

    pub fn links(&mut self) -> &mut Links {
        &mut self.links
    }

    pub fn set_clock(&mut self, of: MachineId, clock: Clock) {
        self.machines[of].clock = clock;
    }

    pub fn is_up(&self, of: MachineId) -> bool {
        self.machines[of].running == Running::Up
    }

    pub fn is_down(&self, of: MachineId) -> bool {
        self.machines[of].running == Running::Down
    }

    /// A process starts: nothing of an earlier one reaches it.
    pub fn start(&mut self, of: MachineId) {
        let machine = &mut self.machines[of];
        machine.start += 1;
        machine.running = Running::Up;
        machine.unread.clear();
    }

    pub fn kill(&mut self, of: MachineId) {
        self.machines[of].running = Running::Down;
        self.machines[of].unread.clear();
    }

    pub fn stop(&mut self, of: MachineId) {
        if self.machines[of].running == Running::Up {
            self.machines[of].running = Running::Stopped;
        }
    }

    /// It goes on, with all that lies unread and the time it meant to be woken at past.
    pub fn go_on(&mut self, of: MachineId) {
        if self.machines[of].running != Running::Stopped {
            return;
        }
        self.machines[of].running = Running::Up;
        let (now, start) = (self.queue.now(), self.machines[of].start);
        for (from, what) in std::mem::take(&mut self.machines[of].unread) {
            self.queue.put(
                now,
                Event::Comes {
                    from,
                    to: of,
                    start,
                    what,
                },
            );
        }
        self.wakes[of] += 1;
        self.queue.put(
            now,
            Event::Wakes {
                of,
                start,
                nth: self.wakes[of],
            },
        );
    }

    /// What last came to this machine, in whatever start, comes again.
    pub fn replay(&mut self, of: MachineId) {
        let (now, start) = (self.queue.now(), self.machines[of].start);
        for (from, what) in self.machines[of].kept.clone() {
            self.queue.put(
                now,
                Event::Comes {
                    from,
                    to: of,
                    start,
                    what,
                },
            );
        }
    }

    /// Cuts what `from` sends to `to`, or mends that cut.
    pub fn cut(&mut self, from: MachineId, to: MachineId, cut: bool) {
        let count = self.cuts.entry((from, to)).or_default();
        *count = if cut {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.cuts.remove(&(from, to));
        }
    }

    pub fn send(&mut self, from: MachineId, to: MachineId, what: M) {
        self.sent += 1;
        let (chance, loss) = (self.chance.random::<f64>(), self.links.loss);
        let down = self.machines[to].running == Running::Down;
        if chance < loss || down || self.cuts.contains_key(&(from, to)) {
            self.lost += 1;
            return;
        }
        if self.chance.random::<f64>() < self.links.doubled {
            self.put(from, to, what.clone());
        }
        self.put(from, to, what);
    }

    fn put(&mut self, from: MachineId, to: MachineId, what: M) {
        let (from_zone, to_zone) = (self.machines[from].zone, self.machines[to].zone);
        let took = self.links.draw(from_zone, to_zone, &mut self.chance);
        let start = self.machines[to].start;
        self.queue.put(
            self.queue.now() + took,
            Event::Comes {
                from,
                to,
                start,
                what,
            },
        );
    }

    /// The machine wants to be woken when its clock shows so much. Only its last wish counts.
    pub fn wake(&mut self, of: MachineId, shown: Micros) {
        self.wakes[of] += 1;
        let (at, start) = (self.machines[of].clock.when(shown), self.machines[of].start);
        self.queue.put(
            at,
            Event::Wakes {
                of,
                start,
                nth: self.wakes[of],
            },
        );
    }

    /// [`Next::Mark`] comes at this true time.
    pub fn mark(&mut self, at: Micros, number: u64) {
        self.queue.put(at, Event::Marked(number));
    }

    /// Lets time pass to the next thing that happens, if it does by `till`.
    pub fn next(&mut self, till: Micros) -> Option<Next<M>> {
        while self.queue.next_at().is_some_and(|at| at <= till) {
            let (_, event) = self.queue.take()?;
            match event {
                Event::Marked(number) => return Some(Next::Mark(number)),
                Event::Wakes { of, start, nth } => {
                    let machine = &self.machines[of];
                    if machine.start == start
                        && self.wakes[of] == nth
                        && machine.running == Running::Up
                    {
                        return Some(Next::Wakes { of });
                    }
                }
                Event::Comes {
                    from,
                    to,
                    start,
                    what,
                } => {
                    let machine = &mut self.machines[to];
                    match machine.running {
                        Running::Up if machine.start == start => {
                            if self.keeps {
                                if machine.kept.len() >= MOST_KEPT {
                                    machine.kept.pop_front();
                                }
                                machine.kept.push_back((from, what.clone()));
                            }
                            return Some(Next::Hears { of: to, from, what });
                        }
                        Running::Stopped
                            if machine.start == start && machine.unread.len() < MOST_UNREAD =>
                        {
                            machine.unread.push((from, what));
                        }
                        _ => self.lost += 1,
                    }
                }
            }
        }
        None
    }
}
