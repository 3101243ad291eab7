//! The bench's frames: little-endian records without padding, one reply for each batch.

use doortrack_admission::{Action, CallOutcome, Event, Gauges, Request, RunOutcome};
use doortrack_settings::GaugeIndices;
use doortrack_time::{TenthMillis, from_micros_ceil, from_micros_floor, to_micros};

pub enum Record<'a> {
    Provision {
        node: u32,
        seed: u64,
        text: &'a [u8],
    },
    Killed {
        node: u32,
    },
    Event {
        node: u32,
        what: Event,
    },
}

pub struct Reader<'a> {
    bytes: &'a [u8],
    pos: usize,
    /// Where the body starts in the whole input, so that faults name a place that can be looked up.
    base: u64,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], base: u64) -> Self {
        Reader {
            bytes,
            pos: 0,
            base,
        }
    }

    pub fn at_end(&self) -> bool {
        self.pos == self.bytes.len()
    }

    fn place(&self) -> u64 {
        self.base + self.pos as u64
    }

    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], String> {
        let rest = &self.bytes[self.pos..];
        if rest.len() < n {
            let left = rest.len();
            return Err(format!(
                "byte {}: {what} needs {n} bytes, the frame has {left} left",
                self.place()
            ));
        }
        self.pos += n;
        Ok(&rest[..n])
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], String> {
        let mut raw = [0; N];
        raw.copy_from_slice(self.take(N, what)?);
        Ok(raw)
    }

    fn u8(&mut self, what: &str) -> Result<u8, String> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array(what)?))
    }

    fn u32(&mut self, what: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array(what)?))
    }

    fn u64(&mut self, what: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array(what)?))
    }

    fn f32(&mut self, what: &str) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array(what)?))
    }

    /// The next record. `places` tells where a node's gauges stand.
    pub fn record<'p>(
        &mut self,
        places: impl Fn(u32) -> Option<&'p GaugeIndices>,
    ) -> Result<Record<'a>, String> {
        let start = self.place();
        let code = self.u8("a record's code")?;
        if !(1..=9).contains(&code) {
            return Err(format!("byte {start}: unknown event code {code}"));
        }
        let node = self.u32("node_id")?;
        let what = match code {
            1 => {
                let seed = self.u64("init_seed")?;
                let len = self.u32("the length of env")? as usize;
                return Ok(Record::Provision {
                    node,
                    seed,
                    text: self.take(len, "env")?,
                });
            }
            2 => Event::CallRequired {
                id: self.u32("req")?,
            },
            3 => Event::CallerGone {
                id: self.u32("req")?,
            },
            4 => return Ok(Record::Killed { node }),
            5 => {
                let token = self.u64("key_back")?;
                let count = self.u8("the number of gauges")? as usize;
                let mut values = [0f32; 256];
                for value in &mut values[..count] {
                    *value = self.f32("a gauge")?;
                }
                let read = |place: Option<usize>| place.filter(|p| *p < count).map(|p| values[p]);
                let gauges = match places(node) {
                    Some(p) => Gauges {
                        busy_cores: read(p.busy_cores),
                        runnable_tasks: read(p.runnable_tasks),
                        memory: read(p.memory),
                        connections: read(p.connections),
                    },
                    None => Gauges::default(),
                };
                Event::Timer { token, gauges }
            }
            6 => Event::Arrived(self.exchange()?),
            7 => {
                let id = self.u32("req")?;
                let outcome = self.call_outcome()?;
                Event::CallEnded {
                    id,
                    outcome,
                    duration: from_micros_ceil(self.u32("time_taken")?.into()),
                }
            }
            8 => {
                let id = self.u32("req")?;
                let outcome = self.run_outcome()?;
                self.u32("time_taken")?;
                Event::RunEnded { id, outcome }
            }
            _ => Event::Drain {
                age: 0,
                stop_at: from_micros_floor(self.u64("valid_until")?),
            },
        };
        Ok(Record::Event { node, what })
    }

    fn exchange(&mut self) -> Result<Request, String> {
        let id = self.u32("req")?;
        let group = self.u8("band")?;
        let tenant = self.u16("billing")?;
        let subject = self.u64("resource")?;
        let due = self.u64("valid_until")?;
        let hint = self.u32("hint")?;
        let kb = self.f32("kb")?;
        let rank = self.f32("place")?;
        let bits = self.u8("state_bits")?;
        let caller = self.u16("who")?.into();
        let age = self.u32("lay")?;
        let repeats = self.u32("prior")?;
        Ok(Request {
            id,
            group,
            tenant,
            session_key: subject,
            deadline: (due > 0).then(|| from_micros_floor(due)),
            work_hint: (bits & 1 != 0).then(|| from_micros_ceil(hint.into())),
            memory_kb: kb,
            rank,
            retry: bits & 2 != 0,
            caller,
            age: from_micros_floor(age.into()),
            duplicate_of: (repeats > 0).then_some(repeats),
            budget_retry_after: None,
        })
    }

    fn call_outcome(&mut self) -> Result<CallOutcome, String> {
        let start = self.place();
        Ok(match self.u16("reason")? {
            0 => CallOutcome::Completed,
            13 => CallOutcome::Failed,
            8 => CallOutcome::Rejected,
            4 => CallOutcome::TimedOut,
            14 => CallOutcome::Unreachable,
            10 => CallOutcome::ConnectionLost,
            1 => CallOutcome::Cancelled,
            9 => CallOutcome::NotStarted,
            other => return Err(format!("byte {start}: unknown outcome of a call: {other}")),
        })
    }

    fn run_outcome(&mut self) -> Result<RunOutcome, String> {
        let start = self.place();
        Ok(match self.u16("reason")? {
            0 => RunOutcome::Completed,
            13 => RunOutcome::Failed,
            1 => RunOutcome::Cancelled,
            9 => RunOutcome::NotStarted,
            other => return Err(format!("byte {start}: unknown outcome of a run: {other}")),
        })
    }
}

fn us32(time: TenthMillis) -> [u8; 4] {
    u32::try_from(to_micros(time))
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}

/// Adds one action to a reply.
pub fn write(out: &mut Vec<u8>, node: u32, action: &Action) {
    let mut head = |code: u8, id: Option<u32>| {
        out.push(code);
        out.extend(node.to_le_bytes());
        if let Some(id) = id {
            out.extend(id.to_le_bytes());
        }
    };
    match *action {
        Action::Run { id } => head(65, Some(id)),
        Action::Reject {
            id,
            no_retry_elsewhere: not_elsewhere,
            retry_after,
        } => {
            head(66, Some(id));
            out.push(not_elsewhere.into());
            out.extend(us32(retry_after));
        }
        Action::Fail { id } => head(67, Some(id)),
        Action::Cancel { id } => head(68, Some(id)),
        Action::Call { id, timeout: limit } => {
            head(69, Some(id));
            out.extend(us32(limit));
        }
        Action::SkipCall { id } => head(70, Some(id)),
        Action::Record { id, ttl: lasting } => {
            head(71, Some(id));
            out.extend(us32(lasting));
        }
        Action::Forget { id } => head(72, Some(id)),
        Action::Attach { id } => head(73, Some(id)),
        Action::Health {
            cached: from_store,
            healthy: good,
        } => {
            head(74, None);
            out.extend([u8::from(from_store), u8::from(good)]);
        }
        Action::Backpressure { value: level } => {
            head(75, None);
            out.extend(level.to_le_bytes());
        }
        Action::IdleTimeout { timeout: after } => {
            head(76, None);
            out.extend(us32(after));
        }
        Action::SetTimer { at, token } => {
            head(77, None);
            out.extend(to_micros(at).to_le_bytes());
            out.extend(token.to_le_bytes());
        }
    }
}
