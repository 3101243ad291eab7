//! Builds of configurations beside the loop, on a thread of their own that is there from the first one on.
//! Without an operators' file, as the platform starts a node, they are done in place and there is no thread.

use std::any::Any;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender, TryRecvError};
use std::thread;

use doortrack_config::ConfigErrors;
use doortrack_config::reload::Builds;
use polling::Poller;

use super::build::{Builder, Built, Rejected, Running, Sources};

/// Something that is no longer in force. Dropping it takes long where it is large.
pub(super) type Retired = Box<dyn Any + Send>;

enum Job {
    Build(Running),
    Drop(Retired),
}

/// Where builds are done.
enum Place {
    InPlace(Box<Builder>),
    /// On a thread, which is started with the first build and has the builder from then on.
    Beside {
        sources: Sources,
        worker: Option<Worker>,
    },
}

struct Worker {
    jobs: Sender<Job>,
    built: Receiver<Built>,
}

pub(super) struct Reloader {
    builds: Builds,
    place: Place,
    /// What was built in place, or why nothing could be.
    ready: Option<Built>,
    poller: Arc<Poller>,
}

impl Reloader {
    pub(super) fn new(sources: Sources, poller: Arc<Poller>) -> Reloader {
        let place = match sources.file {
            Some(_) => Place::Beside {
                sources,
                worker: None,
            },
            None => Place::InPlace(Box::new(Builder::new(sources))),
        };
        Reloader {
            builds: Builds::default(),
            place,
            ready: None,
            poller,
        }
    }

    /// A notice that the files changed came; whether [`Reloader::begin`] is to be called.
    pub(super) fn notice(&mut self) -> bool {
        self.builds.notice()
    }

    /// Whether a build was begun and has not come to its end.
    pub(super) fn is_under_way(&self) -> bool {
        self.builds.is_under_way()
    }

    /// Begins a build.
    pub(super) fn begin(&mut self, running: Running) {
        match &mut self.place {
            Place::InPlace(builder) => self.ready = Some(builder.build(&running)),
            Place::Beside { sources, worker } => {
                let begun = Worker::begin(worker, sources, &self.poller, running);
                self.ready = begun.err().map(|e| Err(no_thread(&e.to_string())));
            }
        }
    }

    /// What was built, once it is there, and whether the files changed since they were read, so that
    /// [`Reloader::begin`] is to be called.
    pub(super) fn poll(&mut self) -> Option<(Built, bool)> {
        if !self.builds.is_under_way() {
            return None;
        }
        let built = self.ready.take().or_else(|| self.received())?;
        Some((built, self.builds.finished()))
    }

    fn received(&mut self) -> Option<Built> {
        let Place::Beside { worker, .. } = &mut self.place else {
            return None;
        };
        match worker.as_ref()?.built.try_recv() {
            Ok(built) => Some(built),
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => {
                // The next notice starts another.
                *worker = None;
                Some(Err(no_thread("it ended before the build did")))
            }
        }
    }

    /// Has something dropped beside the loop.
    pub(super) fn retire(&self, retired: Retired) {
        if let Place::Beside {
            worker: Some(worker),
            ..
        } = &self.place
        {
            // Where the thread has ended it is dropped here.
            _ = worker.jobs.send(Job::Drop(retired));
        }
    }
}

fn no_thread(why: &str) -> Rejected {
    ConfigErrors::one("thread that builds configurations", why.to_string()).into()
}

impl Worker {
    /// Hands a build to the thread, which is started if there is none.
    fn begin(
        worker: &mut Option<Worker>,
        sources: &Sources,
        poller: &Arc<Poller>,
        running: Running,
    ) -> io::Result<()> {
        let thread = match worker {
            Some(thread) => thread,
            None => worker.insert(Worker::start(
                Builder::new(sources.clone()),
                Arc::clone(poller),
            )?),
        };
        // One that has ended meanwhile is told of where its result is waited for.
        _ = thread.jobs.send(Job::Build(running));
        Ok(())
    }

    fn start(mut builder: Builder, poller: Arc<Poller>) -> io::Result<Worker> {
        let (jobs, to_do) = mpsc::channel();
        let (done, built) = mpsc::channel();
        let work = move || {
            for job in to_do {
                match job {
                    Job::Build(running) => {
                        let outcome = builder.build(&running);
                        // The loop is to hold the last reference to none of it.
                        drop(running);
                        if done.send(outcome).is_err() || poller.notify().is_err() {
                            return;
                        }
                    }
                    Job::Drop(retired) => drop(retired),
                }
            }
        };
        thread::Builder::new().name("reload".into()).spawn(work)?;
        Ok(Worker { jobs, built })
    }
}
