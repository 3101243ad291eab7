//! What plugs into the event loop beside listeners, backend and registry: the loop does not know what it is.
//!
//! A subsystem has a clock of its own and says when it is to be polled next. It may own one of the poller's
//! keys in [`SUBSYSTEM_KEYS`]. Where an installation asks for none, there is none: no socket, no line in the
//! log.

use std::ops::Range;

use doortrack_config::reload::FleetChange;
use doortrack_time::TenthMillis;
use slog::Logger;

use crate::network::backend::{RetryGate, SlowStartTokens};

/// Keys of the poller for subsystems, one each.
pub const SUBSYSTEM_KEYS: Range<usize> = 4..8;

/// What a subsystem is told of a request that was read and duplicates no other.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Index of its endpoint group.
    pub group: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Index of its pool of servers; 0 is the one without a name.
    pub pool: u16,
}

/// Indices of the budgets of which a request holds a unit each, until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit(pub [Option<u16>; 3]);

/// How far a request had come when it released its permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// It was never run.
    Unused,
    /// Its run is over.
    RunEnded,
    /// Nobody waits for its run any more, which may still go on.
    MayStillRun,
}

/// A subsystem of the event loop. No call blocks.
pub trait Subsystem {
    /// The key of the poller under which its socket is watched.
    fn key(&self) -> usize;

    /// Its socket is readable: reads it, up to a bound for each turn of the loop.
    fn on_readable(&mut self);

    /// Does what is due. Called once each turn of the loop, after everything that was ready has been read.
    fn poll(&mut self);

    /// Time until it must be polled, in tenths of a ms; [`TenthMillis::MAX`] if nothing is scheduled.
    fn time_to_next_poll(&self) -> TenthMillis;

    /// The node begins a graceful shutdown.
    fn drain(&mut self);

    /// A new configuration comes into force. What is no longer used may be left in `change`, which is dropped
    /// beside the loop.
    fn reload(&mut self, change: &mut FleetChange);

    /// Whether a request may be admitted as far as this subsystem goes; the admission controller decides.
    ///
    /// # Errors
    /// Nothing is left for it: how long its caller is to wait before a retry, in tenths of a ms.
    fn admit(&mut self, _: AdmissionRequest) -> Result<Permit, TenthMillis> {
        Ok(Permit::default())
    }

    /// What each retry to the pool at this index has to pass, if this subsystem bounds retries.
    fn retry_gate(&self, _pool: u16) -> Option<RetryGate> {
        None
    }

    /// Where the pool at this index gets tokens for slow starts, if this subsystem shares them.
    fn slow_start_tokens(&self, _pool: u16) -> Option<SlowStartTokens> {
        None
    }

    /// An admitted request has ended.
    fn release(&mut self, _: Permit, _: PermitOutcome) {}

    /// Logs a line on its state; called at an interval.
    fn log_state(&self, log: &Logger);
}
