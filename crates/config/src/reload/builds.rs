//! When configurations are built: one at a time, and one more after it for all notices that came meanwhile.

/// Keeps account of builds under way and waiting. At most one of each, however many notices come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Builds {
    under_way: bool,
    /// Notices came since the build under way was begun: it may have read the files before they changed.
    waiting: bool,
}

impl Builds {
    /// A notice that the files changed came; whether a build is to be begun now.
    pub fn notice(&mut self) -> bool {
        let begin = !self.under_way;
        self.waiting = self.under_way;
        self.under_way = true;
        begin
    }

    pub fn is_under_way(&self) -> bool {
        self.under_way
    }

    /// The build under way has come to its end, with or without a result. Whether the next one is to be
    /// begun; it counts as under way from here on.
    pub fn finished(&mut self) -> bool {
        self.under_way = std::mem::take(&mut self.waiting);
        self.under_way
    }
}
