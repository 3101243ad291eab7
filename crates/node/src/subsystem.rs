//! Interface of optional parts of the event loop, besides listeners, backend and registry. The loop uses them only
//! through [`Subsystem`].
//!
//! A subsystem has its own clock and says when it is to be polled next. It may own one of the poller keys in
//! [`SUBSYSTEM_KEYS`]. A subsystem that the installation does not configure does not exist: it has no socket and logs
//! nothing.

use std::ops::Range;

use doortrack_config::reload::FleetChange;
use doortrack_time::TenthMillis;
use slog::Logger;

use crate::network::backend::{RetryGate, SlowStartTokens};

/// Poller keys for subsystems, one for each.
pub const SUBSYSTEM_KEYS: Range<usize> = 4..8;

/// A request to be admitted, as a subsystem sees it. Duplicates are not passed to subsystems.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Index of the endpoint group.
    pub group: u8,
    /// Index of the tenant.
    pub tenant: u16,
    /// Index of the server pool; 0 is the unnamed pool.
    pub pool: u16,
}

/// Indices of the budgets of which a request holds one unit each until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit(pub [Option<u16>; 3]);

/// Why a request's permit is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request never ran.
    Unused,
    /// The run has ended.
    RunEnded,
    /// The request has ended, but its run may still go on.
    MayStillRun,
}

/// A subsystem of the event loop. No call blocks.
pub trait Subsystem {
    /// The poller key of the subsystem's socket.
    fn key(&self) -> usize;

    /// Reads the socket when it is readable, up to a limit for each turn of the loop.
    fn on_readable(&mut self);

    /// Performs work that is due. Called once per turn of the loop, after all ready sockets have been read.
    fn poll(&mut self);

    /// Time until the next call of [`Subsystem::poll`] is due; [`TenthMillis::MAX`] if nothing is scheduled.
    fn time_to_next_poll(&self) -> TenthMillis;

    /// Called when the node begins a graceful shutdown.
    fn drain(&mut self);

    /// Applies a new configuration. Parts that are no longer used may be left in `change`, which is dropped outside the
    /// loop's thread.
    fn reload(&mut self, change: &mut FleetChange);

    /// Reserves this subsystem's resources for a request. The admission controller still decides whether the request
    /// is admitted.
    ///
    /// # Errors
    /// No resources are left. The value is the time after which the caller may retry.
    fn admit(&mut self, _: AdmissionRequest) -> Result<Permit, TenthMillis> {
        Ok(Permit::default())
    }

    /// The gate that each retry to the pool at this index must pass, if this subsystem limits retries.
    fn retry_gate(&self, _pool: u16) -> Option<RetryGate> {
        None
    }

    /// The source of slow-start tokens for the pool at this index, if this subsystem shares them.
    fn slow_start_tokens(&self, _pool: u16) -> Option<SlowStartTokens> {
        None
    }

    /// Releases the permit of a request that has ended.
    fn release(&mut self, _: Permit, _: PermitOutcome) {}

    /// Logs a line with the subsystem's state. Called periodically.
    fn log_state(&self, log: &Logger);
}
