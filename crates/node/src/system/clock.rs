//! The Unix clock, in tenths of a ms.

use doortrack_time::TenthMillis;
use std::time::{SystemTime, UNIX_EPOCH};

const MICROS: u128 = 100;

/// Never goes back: where the system's clock does, time stands still until it has caught up.
#[derive(Clone, Copy, Default)]
pub struct Clock {
    last: TenthMillis,
    /// How far it is set off, in ms: for tests alone.
    off: i64,
}

impl Clock {
    /// A clock that is so many ms off.
    pub fn set_off(off: i64) -> Clock {
        Clock { last: 0, off }
    }

    pub fn now(&mut self) -> TenthMillis {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let shown = (since.as_micros() / MICROS) as TenthMillis;
        self.last = self.last.max(shown.saturating_add_signed(self.off * 10));
        self.last
    }
}
