//! The Unix clock, in tenths of a ms.

use std::time::{SystemTime, UNIX_EPOCH};

use doortrack::Tenths;

const MICROS: u128 = 100;

/// Never goes back: where the system's clock does, time stands still until it has caught up.
#[derive(Default)]
pub struct Clock {
    last: Tenths,
}

impl Clock {
    pub fn now(&mut self) -> Tenths {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.last = self.last.max((since.as_micros() / MICROS) as Tenths);
        self.last
    }
}
