//! A simulated network. Links delay, lose and duplicate messages and can be partitioned, and machines have
//! different clocks. The caller implements the behavior of the machines.

use std::collections::{HashMap, VecDeque};

use rand::RngExt;

use crate::{EventQueue, LinkModel, MachineClock, Micros, RandomStream, random_stream};

/// Identifies a machine: its index in the order of [`Network::add_machine`].
pub type MachineId = usize;

/// Maximum number of messages buffered for a suspended machine; further ones are lost, as in a full socket
/// buffer.
const MAX_BUFFERED_MESSAGES: usize = 400;
/// Maximum number of messages recorded per machine for [`Network::replay`].
const MAX_RECORDED_MESSAGES: usize = 100;
/// Number of the random stream that the links draw from.
const LINK_STREAM: u64 = 1;

/// The state of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    /// The process is paused; its messages are buffered.
    Suspended,
    Down,
}

struct Machine<M> {
    clock: MachineClock,
    zone: u32,
    state: ProcessState,
    /// Incremented at each start; events of earlier incarnations are ignored.
    incarnation: u32,
    /// Number of the last wakeup set; earlier wakeups are ignored.
    wakeup: u64,
    buffered: Vec<(MachineId, M)>,
    /// The last messages delivered, for [`Network::replay`].
    recorded: VecDeque<(MachineId, M)>,
}

enum Event<M> {
    Delivery(Delivery<M>),
    Wakeup {
        machine: MachineId,
        incarnation: u32,
        number: u64,
    },
    Timer(u64),
}

struct Delivery<M> {
    from: MachineId,
    to: MachineId,
    incarnation: u32,
    message: M,
}

/// An event that the caller has to handle.
#[derive(Debug)]
pub enum NetworkEvent<M> {
    /// A message arrives.
    Delivered {
        /// The receiver.
        machine: MachineId,
        /// The sender.
        from: MachineId,
        /// The message.
        message: M,
    },
    /// The time set by [`Network::wake_at`] has come.
    Woken {
        /// The machine whose wakeup it is.
        machine: MachineId,
    },
    /// A timer set by [`Network::set_timer`] has expired; holds its identifier.
    Timer(u64),
}

/// Machines and the links between them. Simultaneous events have a defined order, so the same calls with the
/// same seed give the same run.
pub struct Network<M> {
    queue: EventQueue<Event<M>>,
    machines: Vec<Machine<M>>,
    links: LinkModel,
    /// Overlapping partitions of each one-way link, by (sender, receiver). Never iterated, as its order
    /// differs between runs.
    partitions: HashMap<(MachineId, MachineId), u32>,
    random: RandomStream,
    /// Whether deliveries are recorded for [`Network::replay`].
    pub record_deliveries: bool,
    /// Messages sent.
    pub sent: u64,
    /// Messages lost on a link, or at a machine that was down, was restarted or had a full buffer.
    pub lost: u64,
}

impl<M: Clone> Network<M> {
    /// A network without machines at time 0.
    pub fn new(links: LinkModel, seed: u64) -> Network<M> {
        Network {
            queue: EventQueue::default(),
            machines: Vec::new(),
            links,
            partitions: HashMap::new(),
            random: random_stream(seed, LINK_STREAM),
            record_deliveries: false,
            sent: 0,
            lost: 0,
        }
    }

    /// Adds a machine that is down.
    pub fn add_machine(&mut self, clock: MachineClock, zone: u32) -> MachineId {
        self.machines.push(Machine {
            clock,
            zone,
            state: ProcessState::Down,
            incarnation: 0,
            wakeup: 0,
            buffered: Vec::new(),
            recorded: VecDeque::new(),
        });
        self.machines.len() - 1
    }

    /// The simulated time.
    pub fn now(&self) -> Micros {
        self.queue.now()
    }

    /// The reading of a machine's clock in microseconds.
    pub fn clock_reading(&self, machine: MachineId) -> Micros {
        self.machines[machine].clock.reading_at(self.queue.now())
    }

    /// The link model; changes apply to messages sent from now on.
    pub fn links_mut(&mut self) -> &mut LinkModel {
        &mut self.links
    }

    /// Sets a machine's clock. Wakeups that are set already keep their simulated time.
    pub fn set_clock(&mut self, machine: MachineId, clock: MachineClock) {
        self.machines[machine].clock = clock;
    }

    /// Returns true if a machine's process is running and not suspended.
    pub fn is_running(&self, machine: MachineId) -> bool {
        self.machines[machine].state == ProcessState::Running
    }

    /// Returns true if a machine has no process.
    pub fn is_down(&self, machine: MachineId) -> bool {
        self.machines[machine].state == ProcessState::Down
    }

    /// Starts a new process. Messages and wakeups of an earlier one do not reach it.
    pub fn start(&mut self, machine: MachineId) {
        let machine = &mut self.machines[machine];
        machine.incarnation += 1;
        machine.state = ProcessState::Running;
        machine.buffered.clear();
    }

    /// Ends a machine's process.
    pub fn kill(&mut self, machine: MachineId) {
        let machine = &mut self.machines[machine];
        machine.state = ProcessState::Down;
        machine.buffered.clear();
    }

    /// Suspends a running process. Its messages are buffered, up to a bound.
    pub fn suspend(&mut self, machine: MachineId) {
        let machine = &mut self.machines[machine];
        if machine.state == ProcessState::Running {
            machine.state = ProcessState::Suspended;
        }
    }

    /// Resumes a suspended process: its buffered messages arrive now, then it is woken.
    pub fn resume(&mut self, machine: MachineId) {
        if self.machines[machine].state != ProcessState::Suspended {
            return;
        }
        self.machines[machine].state = ProcessState::Running;
        let now = self.queue.now();
        for (from, message) in std::mem::take(&mut self.machines[machine].buffered) {
            self.schedule_delivery(now, from, machine, message);
        }
        self.schedule_wakeup(now, machine);
    }

    /// Delivers the recorded messages of a machine again, also those of its earlier processes.
    pub fn replay(&mut self, machine: MachineId) {
        let now = self.queue.now();
        for (from, message) in self.machines[machine].recorded.clone() {
            self.schedule_delivery(now, from, machine, message);
        }
    }

    /// Drops all messages from `from` to `to` until [`Network::heal`]. Each call needs a `heal` of its own.
    pub fn partition(&mut self, from: MachineId, to: MachineId) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    /// Undoes one call of [`Network::partition`], if there was one.
    pub fn heal(&mut self, from: MachineId, to: MachineId) {
        let Some(count) = self.partitions.get_mut(&(from, to)) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.partitions.remove(&(from, to));
        }
    }

    /// Sends a message, which may be lost or duplicated.
    pub fn send(&mut self, from: MachineId, to: MachineId, message: M) {
        self.sent += 1;
        let is_dropped = self.random.random::<f64>() < self.links.loss_rate;
        if is_dropped || self.is_down(to) || self.partitions.contains_key(&(from, to)) {
            self.lost += 1;
            return;
        }
        if self.random.random::<f64>() < self.links.duplication_rate {
            self.transmit(from, to, message.clone());
        }
        self.transmit(from, to, message);
    }

    /// Wakes a machine when its clock reads `reading`. Replaces an earlier wakeup of the machine.
    pub fn wake_at(&mut self, machine: MachineId, reading: Micros) {
        let at = self.machines[machine].clock.time_of(reading);
        self.schedule_wakeup(at, machine);
    }

    /// Sets a timer that expires at a simulated time as [`NetworkEvent::Timer`].
    pub fn set_timer(&mut self, at: Micros, id: u64) {
        self.queue.schedule(at, Event::Timer(id));
    }

    /// Advances to the next event if there is one up to and including `until`.
    pub fn next_event(&mut self, until: Micros) -> Option<NetworkEvent<M>> {
        while self.queue.next_time().is_some_and(|at| at <= until) {
            let (_, event) = self.queue.pop()?;
            match event {
                Event::Timer(id) => return Some(NetworkEvent::Timer(id)),
                Event::Wakeup {
                    machine,
                    incarnation,
                    number,
                } => {
                    if self.is_wakeup_due(machine, incarnation, number) {
                        return Some(NetworkEvent::Woken { machine });
                    }
                }
                Event::Delivery(delivery) => {
                    if let Some(delivered) = self.deliver(delivery) {
                        return Some(delivered);
                    }
                }
            }
        }
        None
    }

    fn transmit(&mut self, from: MachineId, to: MachineId, message: M) {
        let (from_zone, to_zone) = (self.machines[from].zone, self.machines[to].zone);
        let latency = self
            .links
            .sample_latency(from_zone, to_zone, &mut self.random);
        self.schedule_delivery(self.queue.now() + latency, from, to, message);
    }

    fn schedule_delivery(&mut self, at: Micros, from: MachineId, to: MachineId, message: M) {
        let delivery = Delivery {
            from,
            to,
            incarnation: self.machines[to].incarnation,
            message,
        };
        self.queue.schedule(at, Event::Delivery(delivery));
    }

    fn schedule_wakeup(&mut self, at: Micros, machine: MachineId) {
        let state = &mut self.machines[machine];
        state.wakeup += 1;
        let wakeup = Event::Wakeup {
            machine,
            incarnation: state.incarnation,
            number: state.wakeup,
        };
        self.queue.schedule(at, wakeup);
    }

    fn is_wakeup_due(&self, machine: MachineId, incarnation: u32, number: u64) -> bool {
        let machine = &self.machines[machine];
        machine.incarnation == incarnation
            && machine.wakeup == number
            && machine.state == ProcessState::Running
    }

    /// Delivers a message to a running machine, buffers it for a suspended one, and drops it otherwise.
    fn deliver(&mut self, delivery: Delivery<M>) -> Option<NetworkEvent<M>> {
        let Delivery {
            from,
            to,
            incarnation,
            message,
        } = delivery;
        let machine = &mut self.machines[to];
        if machine.incarnation != incarnation {
            self.lost += 1;
            return None;
        }
        match machine.state {
            ProcessState::Running => {
                if self.record_deliveries {
                    machine.record(from, message.clone());
                }
                return Some(NetworkEvent::Delivered {
                    machine: to,
                    from,
                    message,
                });
            }
            ProcessState::Suspended if machine.buffered.len() < MAX_BUFFERED_MESSAGES => {
                machine.buffered.push((from, message));
            }
            ProcessState::Suspended | ProcessState::Down => self.lost += 1,
        }
        None
    }
}

impl<M> Machine<M> {
    fn record(&mut self, from: MachineId, message: M) {
        if self.recorded.len() >= MAX_RECORDED_MESSAGES {
            self.recorded.pop_front();
        }
        self.recorded.push_back((from, message));
    }
}
