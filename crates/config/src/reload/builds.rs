//! Schedules builds of configurations: one at a time, and one more for all change notices during a build.

/// Tracks the running build and the pending one. There is at most one of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BuildScheduler {
    running: bool,
    /// Whether a notice arrived since the running build began, which may have read the files before they changed.
    pending: bool,
}

impl BuildScheduler {
    /// Records a notice that the files changed. Returns true if a build has to begin now.
    pub fn notice(&mut self) -> bool {
        let begin = !self.running;
        self.pending = self.running;
        self.running = true;
        begin
    }

    /// Returns true if a build is running.
    pub fn is_under_way(&self) -> bool {
        self.running
    }

    /// Records that the running build ended, with or without a result. Returns true if the pending build has to
    /// begin; it then counts as running.
    pub fn finished(&mut self) -> bool {
        self.running = std::mem::take(&mut self.pending);
        self.running
    }
}
