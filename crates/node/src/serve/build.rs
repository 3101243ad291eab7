//! A configuration, read from its files and made ready to come into force. Nothing here touches the state of
//! the loop, so that it may run beside it.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doortrack_config::node_config::{self, Digest};
use doortrack_config::reload::{Plan, PlatformRead, RestartRequired, Started, plan};
use doortrack_config::{ConfigErrors, Installation, installation};
use doortrack_routes::Table;

use crate::network::classified::RuleTable;

/// What is in force when a build is begun.
pub(super) struct Running {
    pub installation: Arc<Installation>,
    pub table: Option<Arc<Table>>,
}

/// A configuration that can come into force.
pub(super) struct Candidate {
    pub plan: Plan,
    /// None where the installation has no rules.
    pub rules: Option<RuleTable>,
    /// How long it took to read and build.
    pub took: Duration,
}

/// Why a configuration can't come into force.
pub(super) struct Rejected {
    pub faults: ConfigErrors,
    /// What could not be taken up in any case: a fault may be due to it.
    pub needs_start: Vec<RestartRequired>,
}

impl From<ConfigErrors> for Rejected {
    fn from(faults: ConfigErrors) -> Rejected {
        Rejected {
            faults,
            needs_start: Vec::new(),
        }
    }
}

pub(super) type Built = Result<Candidate, Rejected>;

/// Where configurations are read, and what they are read against.
#[derive(Clone)]
pub(super) struct Sources {
    pub started: Started,
    /// The operators' own file, if there is one.
    pub file: Option<PathBuf>,
}

/// Reads and builds configurations, one after the other.
pub(super) struct Builder {
    sources: Sources,
    /// The platform's configuration that was read last, with the digest of its text.
    last_read: (Digest, PlatformRead),
}

impl Builder {
    pub(super) fn new(sources: Sources) -> Builder {
        let orders = &sources.started.config;
        let last_read = (orders.source, PlatformRead::new(orders, orders));
        Builder { sources, last_read }
    }

    /// Reads both files and builds what they say. Rules that are in force already are shared.
    ///
    /// # Errors
    /// Every fault, each with the path of its key.
    pub(super) fn build(&mut self, running: &Running) -> Built {
        let begun = Instant::now();
        let platform = self.platform()?;
        let read = match &self.sources.file {
            Some(path) => installation::read(path)?,
            None => Installation::default(),
        };
        let plan = plan(&self.sources.started, &running.installation, platform, read)?;
        let handed = &self.sources.started.config.settings;
        let built = match plan
            .installation
            .table_from(running.table.as_deref(), handed)
        {
            Ok(built) => built,
            Err(faults) => {
                return Err(Rejected {
                    faults,
                    needs_start: plan.restart_required,
                });
            }
        };
        let rules = built.map(|built| RuleTable::new(built, &plan.installation, handed));
        Ok(Candidate {
            plan,
            rules,
            took: begun.elapsed(),
        })
    }

    /// The platform's configuration; the same bytes as before are not parsed again.
    fn platform(&mut self) -> Result<PlatformRead, ConfigErrors> {
        let path = node_config::path()?;
        let bytes = node_config::read_bytes(&path)?;
        let source = node_config::digest(&bytes);
        if source != self.last_read.0 {
            let read = node_config::parse_file(&path, &bytes)?;
            self.last_read = (
                source,
                PlatformRead::new(&self.sources.started.config, &read),
            );
        }
        Ok(self.last_read.1)
    }
}
