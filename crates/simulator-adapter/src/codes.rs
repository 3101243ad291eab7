//! Codes in the simulator's protocol, under their names in `WIRE-doortrack.md`. The comment of each constant
//! gives the corresponding name in this code. Names of fields are in the modules `decode` and `encode`.

/// Codes of the records in a batch, with the [`Event`](doortrack_admission::Event) that each is decoded to.
pub mod event {
    /// `Started`. The record also holds the settings of the node.
    pub const PROVISION: u8 = 1;
    /// `CallRequired`.
    pub const WANTS_CALL: u8 = 2;
    /// `CallerGone`.
    pub const TIMED_OUT_CLIENT: u8 = 3;
    /// The node was killed. The only record that is not decoded to an event.
    pub const KILLED: u8 = 4;
    /// `Timer`.
    pub const ALARM: u8 = 5;
    /// `Arrived`.
    pub const REQUEST: u8 = 6;
    /// `CallEnded`.
    pub const CALL_ENDED: u8 = 7;
    /// `RunEnded`.
    pub const FINISHED: u8 = 8;
    /// `Drain`.
    pub const LAME_DUCK: u8 = 9;
}

/// Codes of the records in a reply, with the [`Action`](doortrack_admission::Action) that each encodes.
pub mod action {
    /// `Run`.
    pub const TAKE: u8 = 65;
    /// `Reject`.
    pub const OVERLOAD_REPLY: u8 = 66;
    /// `Fail`.
    pub const LOSE: u8 = 67;
    /// `Cancel`.
    pub const HALT: u8 = 68;
    /// `Call`.
    pub const INVOKE: u8 = 69;
    /// `SkipCall`.
    pub const GO_ON: u8 = 70;
    /// `Record`.
    pub const RECORD_KEY: u8 = 71;
    /// `Forget`.
    pub const RELEASE_KEY: u8 = 72;
    /// `Attach`.
    pub const ATTACH: u8 = 73;
    /// `Health`.
    pub const FITNESS: u8 = 74;
    /// `Backpressure`.
    pub const STAMP: u8 = 75;
    /// `IdleTimeout`.
    pub const KEEPALIVE: u8 = 76;
    /// `SetTimer`.
    pub const DEFER: u8 = 77;
}

/// Outcomes of runs and calls, in the field `reason`.
pub mod reason {
    /// `Completed`.
    pub const OK: u16 = 0;
    /// `Cancelled`.
    pub const CANCELLED: u16 = 1;
    /// `TimedOut`.
    pub const TIMEOUT: u16 = 4;
    /// `Rejected`.
    pub const FULL: u16 = 8;
    /// `NotStarted`.
    pub const MOOT: u16 = 9;
    /// `ConnectionLost`.
    pub const RESET: u16 = 10;
    /// `Failed`.
    pub const ERROR: u16 = 13;
    /// `Unreachable`.
    pub const CONNECT_FAILED: u16 = 14;
}

/// Bits of the field `state_bits` of a request.
pub mod request_bit {
    /// `work_hint` is present.
    pub const HINT: u8 = 1;
    /// `retry`.
    pub const RETRY: u8 = 2;
}
