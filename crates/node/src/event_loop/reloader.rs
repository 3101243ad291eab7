//! Builds configurations on a separate thread, which is started with the first build and then kept. A node without
//! an installation file, as the platform starts it, builds on the loop's thread.

use std::any::Any;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender, TryRecvError};
use std::thread;

use doortrack_config::ConfigErrors;
use doortrack_config::reload::BuildScheduler;
use polling::Poller;

use super::config_build::{BuildBase, BuildResult, Builder, Rejected, Sources};
use crate::system::test_panics::{PanicPlace, panic_if_requested};

/// A configuration, or parts of one, that is no longer in force. Dropping a large one takes long.
pub(super) type Retired = Box<dyn Any + Send>;

enum Job {
    Build(BuildBase),
    Drop(Retired),
}

/// Where configurations are built.
enum Executor {
    Inline(Box<Builder>),
    /// On a separate thread, which is started with the first build and then owns the builder.
    Thread {
        sources: Sources,
        worker: Option<Worker>,
    },
}

/// Wakes the loop when the thread ends, also after a panic. Otherwise an idle node might not wake to find out that
/// the build under way was lost.
struct WakeOnDrop(Arc<Poller>);

impl Drop for WakeOnDrop {
    fn drop(&mut self) {
        _ = self.0.notify();
    }
}

struct Worker {
    jobs: Sender<Job>,
    results: Receiver<BuildResult>,
}

/// Builds configurations, one at a time, and drops retired ones.
pub(super) struct Reloader {
    builds: BuildScheduler,
    executor: Executor,
    /// The result of an inline build, or the reason why no build could begin.
    result: Option<BuildResult>,
    poller: Arc<Poller>,
}

impl Reloader {
    pub(super) fn new(sources: Sources, poller: Arc<Poller>) -> Reloader {
        let executor = if sources.installation_path.is_some() {
            Executor::Thread {
                sources,
                worker: None,
            }
        } else {
            Executor::Inline(Box::new(Builder::new(sources)))
        };
        Reloader {
            builds: BuildScheduler::default(),
            executor,
            result: None,
            poller,
        }
    }

    /// Notes that the files may have changed. Returns true if [`Reloader::begin`] is to be called.
    pub(super) fn request(&mut self) -> bool {
        self.builds.notice()
    }

    /// True if a build has begun and not finished.
    pub(super) fn is_under_way(&self) -> bool {
        self.builds.is_under_way()
    }

    /// Begins a build.
    pub(super) fn begin(&mut self, base: BuildBase) {
        match &mut self.executor {
            Executor::Inline(builder) => self.result = Some(builder.build(&base)),
            Executor::Thread { sources, worker } => {
                let begun = Worker::begin(worker, sources, &self.poller, base);
                self.result = begun.err().map(|e| Err(thread_error(&e.to_string())));
            }
        }
    }

    /// The result of the build under way, once it is available. The flag is true if another reload was requested
    /// meanwhile, so that [`Reloader::begin`] is to be called.
    pub(super) fn poll(&mut self) -> Option<(BuildResult, bool)> {
        if !self.builds.is_under_way() {
            return None;
        }
        let result = self.result.take().or_else(|| self.receive())?;
        Some((result, self.builds.finished()))
    }

    fn receive(&mut self) -> Option<BuildResult> {
        let Executor::Thread { worker, .. } = &mut self.executor else {
            return None;
        };
        match worker.as_ref()?.results.try_recv() {
            Ok(result) => Some(result),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => {
                // The next request starts another thread.
                *worker = None;
                Some(Err(thread_error("ended before the build was complete")))
            }
        }
    }

    /// Drops a retired configuration on the thread, if there is one.
    pub(super) fn retire(&self, retired: Retired) {
        if let Executor::Thread {
            worker: Some(worker),
            ..
        } = &self.executor
        {
            // If the thread has ended, the value is dropped here.
            _ = worker.jobs.send(Job::Drop(retired));
        }
    }
}

fn thread_error(why: &str) -> Rejected {
    ConfigErrors::one("configuration build thread", why.to_string()).into()
}

impl Worker {
    /// Sends a build to the thread, which is started if there is none or it has ended.
    fn begin(
        worker: &mut Option<Worker>,
        sources: &Sources,
        poller: &Arc<Poller>,
        base: BuildBase,
    ) -> io::Result<()> {
        let mut job = Job::Build(base);
        if let Some(running) = worker {
            match running.jobs.send(job) {
                Ok(()) => return Ok(()),
                Err(unsent) => job = unsent.0,
            }
        }
        let builder = Builder::new(sources.clone());
        let started = worker.insert(Worker::start(builder, Arc::clone(poller))?);
        // If the thread ends before it takes the job, `receive` detects that.
        _ = started.jobs.send(job);
        Ok(())
    }

    fn start(mut builder: Builder, poller: Arc<Poller>) -> io::Result<Worker> {
        let (jobs, job_queue) = mpsc::channel();
        let (result_sender, results) = mpsc::channel();
        let work = move || {
            let wake = WakeOnDrop(poller);
            let result_sender = result_sender; // Dropped before `wake`, so that the loop finds the channel closed.
            for job in job_queue {
                panic_if_requested(PanicPlace::BuildThread);
                match job {
                    Job::Build(base) => {
                        let result = builder.build(&base);
                        // Dropped before the result is sent, so that the loop does not drop the last reference.
                        drop(base);
                        if result_sender.send(result).is_err() || wake.0.notify().is_err() {
                            return;
                        }
                    }
                    Job::Drop(retired) => drop(retired),
                }
            }
        };
        thread::Builder::new().name("reload".into()).spawn(work)?;
        Ok(Worker { jobs, results })
    }
}
