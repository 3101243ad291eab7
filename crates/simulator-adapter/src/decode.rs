//! Decodes the records of a batch, which consist of little-endian fields without padding.
//!
//! Error messages use the field names of `WIRE-doortrack.md`.

use doortrack_admission::{CallOutcome, Event, Gauges, Request, RunOutcome};
use doortrack_settings::GaugeIndices;
use doortrack_time::{from_micros_ceil, from_micros_floor};

use crate::batch::Batch;
use crate::codes::{event, reason, request_bit};
use crate::error::AdapterError;

/// One record of a batch.
pub enum Record<'a> {
    /// A node has started.
    Started {
        /// The node's number.
        node: u32,
        /// Seed of the node's random number generator.
        seed: u64,
        /// The settings of the node, as JSON.
        settings: &'a [u8],
    },
    /// A node was killed.
    Killed {
        /// The node's number.
        node: u32,
    },
    /// An event for the admission controller of a node.
    Event {
        /// The node's number.
        node: u32,
        /// The event.
        event: Event,
    },
}

/// Reads the records of one batch in order.
pub struct RecordReader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Offset of the records in the input, in bytes.
    offset: u64,
}

impl<'a> RecordReader<'a> {
    /// Creates a reader at the first record of `batch`.
    pub fn new(batch: &Batch<'a>) -> RecordReader<'a> {
        RecordReader {
            bytes: batch.records,
            position: 0,
            offset: batch.offset,
        }
    }

    /// Reads the next record; `None` at the end of the batch. `gauges_of` returns the gauge indices of a node.
    ///
    /// # Errors
    /// The record is truncated, or contains an unknown code.
    pub fn next_record<'g>(
        &mut self,
        gauges_of: impl Fn(u32) -> Option<&'g GaugeIndices>,
    ) -> Result<Option<Record<'a>>, AdapterError> {
        if self.position == self.bytes.len() {
            return Ok(None);
        }
        let offset = self.input_offset();
        let code = self.u8("a record's code")?;
        if !(event::PROVISION..=event::LAME_DUCK).contains(&code) {
            return Err(AdapterError::UnknownEvent { offset, code });
        }
        let node = self.u32("node_id")?;
        let event = match code {
            event::PROVISION => return self.started(node).map(Some),
            event::KILLED => return Ok(Some(Record::Killed { node })),
            event::WANTS_CALL => Event::CallRequired {
                id: self.u32("req")?,
            },
            event::TIMED_OUT_CLIENT => Event::CallerGone {
                id: self.u32("req")?,
            },
            event::ALARM => self.timer(gauges_of(node))?,
            event::REQUEST => Event::Arrived(self.request()?),
            event::CALL_ENDED => self.call_ended()?,
            event::FINISHED => self.run_ended()?,
            _ => Event::Drain {
                age: 0,
                stop_at: from_micros_floor(self.u64("valid_until")?),
            },
        };
        Ok(Some(Record::Event { node, event }))
    }

    fn started(&mut self, node: u32) -> Result<Record<'a>, AdapterError> {
        let seed = self.u64("init_seed")?;
        let length = self.u32("the length of env")? as usize;
        let settings = self.take(length, "env")?;
        Ok(Record::Started {
            node,
            seed,
            settings,
        })
    }

    fn timer(&mut self, indices: Option<&GaugeIndices>) -> Result<Event, AdapterError> {
        let token = self.u64("key_back")?;
        let count = usize::from(self.u8("the number of gauges")?);
        let mut values = [0_f32; u8::MAX as usize];
        for value in &mut values[..count] {
            *value = self.f32("a gauge")?;
        }
        let read = |index: Option<usize>| values[..count].get(index?).copied();
        let gauges = indices.map_or_else(Gauges::default, |indices| Gauges {
            busy_cores: read(indices.busy_cores),
            runnable_tasks: read(indices.runnable_tasks),
            memory: read(indices.memory),
            connections: read(indices.connections),
        });
        Ok(Event::Timer { token, gauges })
    }

    fn request(&mut self) -> Result<Request, AdapterError> {
        let id = self.u32("req")?;
        let group = self.u8("band")?;
        let tenant = self.u16("billing")?;
        let session_key = self.u64("resource")?;
        let deadline = self.u64("valid_until")?;
        let work_hint = self.u32("hint")?;
        let memory_kb = self.f32("kb")?;
        let rank = self.f32("place")?;
        let state_bits = self.u8("state_bits")?;
        let caller = self.u16("who")?;
        let age = self.u32("lay")?;
        let duplicate_of = self.u32("prior")?;
        let has_hint = state_bits & request_bit::HINT != 0;
        Ok(Request {
            id,
            group,
            tenant,
            session_key,
            deadline: (deadline > 0).then(|| from_micros_floor(deadline)),
            work_hint: has_hint.then(|| from_micros_ceil(work_hint.into())),
            memory_kb,
            rank,
            retry: state_bits & request_bit::RETRY != 0,
            caller: caller.into(),
            age: from_micros_floor(age.into()),
            duplicate_of: (duplicate_of > 0).then_some(duplicate_of),
            budget_retry_after: None,
        })
    }

    fn call_ended(&mut self) -> Result<Event, AdapterError> {
        let id = self.u32("req")?;
        let outcome = self.call_outcome()?;
        let duration = from_micros_ceil(self.u32("time_taken")?.into());
        Ok(Event::CallEnded {
            id,
            outcome,
            duration,
        })
    }

    fn run_ended(&mut self) -> Result<Event, AdapterError> {
        let id = self.u32("req")?;
        let outcome = self.run_outcome()?;
        self.u32("time_taken")?;
        Ok(Event::RunEnded { id, outcome })
    }

    fn call_outcome(&mut self) -> Result<CallOutcome, AdapterError> {
        let offset = self.input_offset();
        Ok(match self.u16("reason")? {
            reason::OK => CallOutcome::Completed,
            reason::ERROR => CallOutcome::Failed,
            reason::FULL => CallOutcome::Rejected,
            reason::TIMEOUT => CallOutcome::TimedOut,
            reason::CONNECT_FAILED => CallOutcome::Unreachable,
            reason::RESET => CallOutcome::ConnectionLost,
            reason::CANCELLED => CallOutcome::Cancelled,
            reason::MOOT => CallOutcome::NotStarted,
            reason => return Err(AdapterError::UnknownCallOutcome { offset, reason }),
        })
    }

    fn run_outcome(&mut self) -> Result<RunOutcome, AdapterError> {
        let offset = self.input_offset();
        Ok(match self.u16("reason")? {
            reason::OK => RunOutcome::Completed,
            reason::ERROR => RunOutcome::Failed,
            reason::CANCELLED => RunOutcome::Cancelled,
            reason::MOOT => RunOutcome::NotStarted,
            reason => return Err(AdapterError::UnknownRunOutcome { offset, reason }),
        })
    }

    /// Offset of the next field in the input, in bytes.
    fn input_offset(&self) -> u64 {
        self.offset + self.position as u64
    }

    fn take(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], AdapterError> {
        let rest = &self.bytes[self.position..];
        let Some(bytes) = rest.get(..length) else {
            return Err(AdapterError::TruncatedField {
                offset: self.input_offset(),
                field,
                needed: length,
                left: rest.len(),
            });
        };
        self.position += length;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], AdapterError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N, field)?);
        Ok(array)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, AdapterError> {
        self.array(field).map(u8::from_le_bytes)
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, AdapterError> {
        self.array(field).map(u16::from_le_bytes)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, AdapterError> {
        self.array(field).map(u32::from_le_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, AdapterError> {
        self.array(field).map(u64::from_le_bytes)
    }

    fn f32(&mut self, field: &'static str) -> Result<f32, AdapterError> {
        self.array(field).map(f32::from_le_bytes)
    }
}
