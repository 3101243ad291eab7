//! What plugs into the loop beside fronts, work and registry, each in a folder of its own: the loop does not
//! know what they are.
//!
//! A part has a clock of its own and says how long it can wait. It may own some of the poller's keys from
//! [`SUBSYSTEM_KEYS`]. Where an installation asks for none, there is none: no socket, no line in the log.

use std::ops::Range;

use doortrack_config::reload::FleetChange;
use doortrack_time::TenthMillis;
use doortrack_upstream::TokenResponse;
use slog::Logger;

/// Keys of the poller that parts have, one each.
pub const SUBSYSTEM_KEYS: Range<usize> = 4..8;

/// What a part is told of a request that was read and repeats no other.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    pub group: u8,
    pub tenant: u16,
    /// The place of its pool of servers; 0 is the one without a name.
    pub pool: u16,
}

/// What a request has taken of a part's budgets, by their places; it goes back when the request ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Permit(pub [Option<u16>; 3]);

/// What became of a request that holds a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// It was never run.
    None,
    Over,
    /// Whoever ran it may still be at it, though nobody waits for it here.
    MayGoOn,
}

/// A part of the node. All calls return at once.
pub trait Subsystem {
    /// The key of the poller under which it is told that something is ready.
    fn key(&self) -> usize;

    /// Reads what is ready, up to a bound for each turn of the loop.
    fn ready(&mut self);

    /// Does what is due. Called with each turn of the loop, after what is ready was read.
    fn turn(&mut self);

    /// How long it can wait, in tenths of a ms; [`TenthMillis::MAX`] for ever.
    fn wait(&self) -> TenthMillis;

    /// The node was told to leave.
    fn leave(&mut self);

    /// A new configuration comes into force. What is no longer used may be left in `change`, which is dropped
    /// beside the loop.
    fn take_up(&mut self, change: &mut FleetChange);

    /// Whether a request may be taken as far as this part goes; the decisions have the last word.
    ///
    /// # Errors
    /// Nothing is left for it; how long to wait before it comes back, in tenths of a ms.
    fn admit(&mut self, _: AdmissionRequest) -> Result<Permit, TenthMillis> {
        Ok(Permit::default())
    }

    /// What retries to the pool at this place are to pass, if this part bounds them.
    fn retry_gate(&self, _pool: u16) -> Option<Box<dyn FnMut() -> bool>> {
        None
    }

    /// Where tokens for ramps in the pool at this place are asked for, if this part shares them.
    fn ramp_gate(&self, _pool: u16) -> Option<Box<dyn FnMut() -> TokenResponse>> {
        None
    }

    /// A request that was let in has come to its end.
    fn release(&mut self, _: Permit, _: Use) {}

    /// A line for the log now and then.
    fn summary(&self, log: &Logger);
}
