//! Converts timestamps of the wall clock, which callers share, to the node's time.
//!
//! The wall clock may be stepped at any moment. A request that was stamped before a step is read after it, so both
//! relations to the node's time count until no caller waits for such a request any more.

use doortrack_time::{MILLISECOND, TenthMillis};

/// Minimum change of the relation of both clocks that is a step. Smaller ones are adjustments of the clock's rate.
const MIN_STEP: TenthMillis = 100 * MILLISECOND;
/// How far in the future a timestamp may be: the clocks are read once a turn, and callers stamp requests meanwhile.
const MAX_LEAD: TenthMillis = 50 * MILLISECOND;

/// The relation to the wall clock before its last step.
#[derive(Clone, Copy, Debug)]
struct BeforeStep {
    ahead_by: i64,
    valid_until: TenthMillis,
}

/// The relation of the wall clock to the node's time.
#[derive(Clone, Copy, Debug, Default)]
pub struct WallClock {
    /// How far the wall clock is ahead of the node's time; negative if it is behind.
    ahead_by: i64,
    before_step: Option<BeforeStep>,
}

impl WallClock {
    /// Records a reading of both clocks. Timestamps from before a step count for `longest_deadline` after it.
    pub fn update(
        &mut self,
        now: TenthMillis,
        wall_time: TenthMillis,
        longest_deadline: TenthMillis,
    ) {
        let ahead_by = wall_time as i64 - now as i64;
        let previous = std::mem::replace(&mut self.ahead_by, ahead_by);
        if previous.abs_diff(ahead_by) >= MIN_STEP {
            self.before_step = Some(BeforeStep {
                ahead_by: previous,
                valid_until: now.saturating_add(longest_deadline),
            });
        }
        self.before_step = self.before_step.filter(|step| now <= step.valid_until);
    }

    /// Returns the wall clock's time.
    pub fn wall_time(&self, now: TenthMillis) -> TenthMillis {
        now.saturating_add_signed(self.ahead_by)
    }

    /// Returns the node's time at which the wall clock had this time. Right after a step two times are possible, of which
    /// the later one that is not in the future is returned.
    pub fn node_time(&self, timestamp: TenthMillis, now: TenthMillis) -> TenthMillis {
        let current = to_node_time(timestamp, self.ahead_by);
        let Some(step) = self.before_step else {
            return current;
        };
        let earlier = to_node_time(timestamp, step.ahead_by);
        let is_past = |time: TenthMillis| time <= now + MAX_LEAD;
        match (is_past(current), is_past(earlier)) {
            (true, true) => current.max(earlier),
            (false, true) => earlier,
            _ => current,
        }
    }
}

fn to_node_time(timestamp: TenthMillis, ahead_by: i64) -> TenthMillis {
    timestamp.saturating_add_signed(ahead_by.saturating_neg())
}
