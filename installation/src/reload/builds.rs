//! When configurations are built: one at a time, and one more after it for all notices that came meanwhile.

/// What becomes of a build that has come to its end, and of those who wait for the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Whether what was built may come into force. If not, the node was told to leave meanwhile, and what
    /// matters to one that leaves is taken up alone.
    pub take_up: bool,
    /// Whether the files changed since they were read, so that another build is to be begun.
    pub begin_next: bool,
}

/// Keeps account of builds under way and waiting. At most one of each, however many notices come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Builds {
    under_way: Option<UnderWay>,
    /// Notices came since the build under way was begun: it may have read the files before they changed.
    waiting: Option<UnderWay>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnderWay {
    /// The node was told to leave since it was begun.
    dropped: bool,
}

impl Builds {
    /// A notice that the files changed came; whether a build is to be begun now.
    pub fn notice(&mut self) -> bool {
        if self.under_way.is_some() {
            self.waiting = Some(UnderWay { dropped: false });
            return false;
        }
        self.under_way = Some(UnderWay { dropped: false });
        true
    }

    /// The node was told to leave: what is being built, or waits to be, does not come into force as a whole.
    pub fn leave(&mut self) {
        for build in self.under_way.iter_mut().chain(&mut self.waiting) {
            build.dropped = true;
        }
    }

    pub fn is_under_way(&self) -> bool {
        self.under_way.is_some()
    }

    /// The build under way has come to its end, with or without a result. Where `begin_next` is told, the
    /// next one counts as under way.
    pub fn finished(&mut self) -> Finished {
        let build = self.under_way.take();
        self.under_way = self.waiting.take();
        let begin_next = self.under_way.is_some();
        Finished { take_up: build.is_some_and(|build| !build.dropped), begin_next }
    }
}
