//! When configurations are built: one at a time, and one more for all notices that came meanwhile.

/// Tracks the build under way and the one waiting: at most one of each, however many notices come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BuildScheduler {
    under_way: bool,
    /// Notices came since the build under way began: it may have read the files before they changed.
    waiting: bool,
}

impl BuildScheduler {
    /// Records a notice that the files changed; whether a build has to begin now.
    pub fn notice(&mut self) -> bool {
        let begin = !self.under_way;
        self.waiting = self.under_way;
        self.under_way = true;
        begin
    }

    /// Whether a build is under way.
    pub fn is_under_way(&self) -> bool {
        self.under_way
    }

    /// Records that the build under way ended, with or without a result; whether the next one has to begin,
    /// which is under way from here on.
    pub fn finished(&mut self) -> bool {
        self.under_way = std::mem::take(&mut self.waiting);
        self.under_way
    }
}
