//! Interface of doortrack: what happened, what is to be done, and what is read at start.
//!
//! All decisions are in [`logic`]. Times are whole tenths of a millisecond; points in time are counted
//! from any fixed zero. Whoever puts a node before the module rounds a due time and an age down, a
//! window and a wait up.

use doortrack_time::TenthMillis;

pub mod logic;

/// The name an exchange goes by at the door. Never used twice by one node within one life.
pub type ExId = u32;

/// One thing that happened at this node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node is up; the first event of each life.
    Started,
    /// An exchange was read and is queued; one final answer is owed from here on.
    Arrived(Exchange),
    /// A run, or a wait begun with [`Action::Attach`], came to its end.
    RunEnded {
        id: ExId,
        outcome: RunOutcome,
    },
    /// A running exchange cannot go on without a call to what lies below.
    NeedsCall {
        id: ExId,
    },
    CallEnded {
        id: ExId,
        outcome: CallOutcome,
        took: TenthMillis,
    },
    CallerGone {
        id: ExId,
    },
    /// Notice to leave, which came this long ago: the process is stopped at `stop_at`.
    Drain {
        age: TenthMillis,
        stop_at: TenthMillis,
    },
    Alarm {
        token: u64,
        gauges: Gauges,
    },
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Exchange {
    pub id: ExId,
    /// Place of its endpoint group in [`ServiceContract::groups`].
    pub group: u8,
    /// Place of its customer in [`ServiceContract::customers`].
    pub customer: u16,
    /// What it is about; 0 if not told.
    pub subject: u64,
    /// When its caller gives up, if that is passed on.
    pub due: Option<TenthMillis>,
    /// Expected work on a standard core.
    pub work_hint: Option<TenthMillis>,
    /// Memory while queued, in kB.
    pub kb: f32,
    /// 0 to under 1, rising with benefit.
    pub rank: f32,
    /// Marked as a further try or second copy.
    pub retry: bool,
    /// Which caller sent it; numbers are used up as callers come and go, so no width is too much.
    pub caller: u64,
    /// Time since it reached the machine.
    pub age: TenthMillis,
    /// The recorded exchange that this one repeats.
    pub repeats: Option<ExId>,
    /// A budget of the whole fleet has nothing left for it; when it may have.
    pub held_back: Option<TenthMillis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    Completed,
    Failed,
    Stopped,
    /// Nothing was begun: the exchange had ended before.
    Moot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Completed,
    Failed,
    /// Turned away below, unseen.
    Bounced,
    /// Given up after its limit; may have taken effect.
    TimedOut,
    Unreachable,
    /// Broken off midway; may have taken effect.
    Dropped,
    Stopped,
    Moot,
}

impl CallOutcome {
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Bounced | Self::Unreachable | Self::Moot)
    }
}

/// The node's own gauges; absent where the node has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy over the last half second.
    pub busy_cores: Option<f32>,
    /// All work that wants a core now: runs, reading, checks, new connections.
    pub on_cores: Option<f32>,
    /// Share of the memory in use.
    pub memory: Option<f32>,
    pub connections: Option<f32>,
}

/// One thing to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin a queued exchange or take up a paused one.
    Run {
        id: ExId,
    },
    /// Final answer: rejected, with the word that it never ran.
    Reject {
        id: ExId,
        not_elsewhere: bool,
        retry_after: TenthMillis,
    },
    /// Final answer: failed, with no word on what was done.
    Fail {
        id: ExId,
    },
    /// Stop running work; no answer by itself.
    Stop {
        id: ExId,
    },
    /// Make the call that the exchange waits for, abandoned after `limit`.
    Call {
        id: ExId,
        limit: TenthMillis,
    },
    /// Go on without the call.
    SkipCall {
        id: ExId,
    },
    /// Enter a deduplicated exchange in the node's table for this long.
    Record {
        id: ExId,
        lasting: TenthMillis,
    },
    /// Take its entry out of the table.
    Forget {
        id: ExId,
    },
    /// Answer it with the result of the exchange it repeats.
    Attach {
        id: ExId,
    },
    /// What health checks are told from here on, from the store or by real work.
    Health {
        from_store: bool,
        good: bool,
    },
    /// The free value that goes out with each answer.
    Level {
        level: f32,
    },
    /// Close connections idle for this long.
    IdleLimit {
        after: TenthMillis,
    },
    Alarm {
        at: TenthMillis,
        token: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Deduplicated,
    Mutating,
}

/// What stopping running work does here, if it can be stopped at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopKind {
    Never,
    Drop,
    Pause,
}

/// What callers make of the free value, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    None,
    /// They send nothing here whose rank is below it.
    LowestRank,
    /// Each keeps at most so many exchanges in hand here.
    InHand,
    /// The odds that a caller does not pass this node by.
    Odds,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointGroup {
    pub effect: Effect,
    pub slo_time: TenthMillis,
    /// The SLO time grows by this multiple of the exchange's own work.
    pub slo_stretch: f32,
    pub deadline: TenthMillis,
    /// How long after its arrival a deduplicated exchange may come again.
    pub window: TenthMillis,
    pub benefit: f32,
    /// Share of the benefit that an answer after the SLO time earns.
    pub late_share: f32,
    /// Share of the benefit kept when a call is left out.
    pub skip_share: f32,
    pub calls: bool,
}

/// What a node is handed at start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceContract {
    pub cores: u32,
    pub memory_kb: f32,
    /// Memory of a running exchange over that of a queued one.
    pub run_factor: f32,
    pub record_kb: f32,
    pub groups: Vec<EndpointGroup>,
    /// Exchanges a second that each customer has a share for, over the whole fleet.
    pub customers: Vec<f32>,
    /// Share of the benefit left for what a customer sends beyond its share.
    pub over_share: f32,
    /// Benefit is counted for each unit of work.
    pub by_work: bool,
    /// Nodes listed beside this one, itself included.
    pub nodes: u32,
    pub stop: StopKind,
    pub level: LevelKind,
    pub level_lasts: TenthMillis,
    /// How long the answer to a read may serve others.
    pub fresh: TenthMillis,
    /// This node's share of the calls that what lies below survives, as a mean over `calls_window`.
    /// Absent where nothing below is shared by all.
    pub calls_share: Option<f32>,
    pub calls_window: TenthMillis,
    /// How long an abandoned call may stay in hand below.
    pub linger: TenthMillis,
    pub cold: bool,
    /// Least share of its speed at which a cold node starts.
    pub start_speed: f32,
    /// A cold node is warm after this at the latest.
    pub warm_after: TenthMillis,
    /// Running exchanges a core that a warm node survives, as a mean over `crowd_window`.
    pub tip_multiple: f32,
    pub crowd_window: TenthMillis,
    pub drain_grace: TenthMillis,
    /// Callers close idle connections after this.
    pub idle_limit: TenthMillis,
    /// Longest advice to stay away that is heeded; 0 where none is passed on.
    pub longest_retry_after: TenthMillis,
    pub tick: TenthMillis,
}
