//! Reads the configuration files and builds a configuration that can come into force. This module does not touch
//! the event loop's state, so it may run on another thread. It blocks on reading the files.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doortrack_config::node_config::{self, Digest};
use doortrack_config::reload::{Plan, PlatformReload, RestartRequired, StartupConfig, plan};
use doortrack_config::{ConfigErrors, Installation, installation};
use doortrack_routes::Table;

use crate::network::classifier::RuleTable;
use crate::system::panics;
use crate::system::test_panics::{PanicPlace, panic_if_requested};

/// The installation and rules in force when a build begins.
pub(super) struct BuildBase {
    pub(super) installation: Arc<Installation>,
    /// `None` if the installation has no rules.
    pub(super) rule_table: Option<Arc<Table>>,
}

/// A configuration that can come into force.
pub(super) struct Candidate {
    pub(super) plan: Plan,
    /// `None` if the installation has no rules.
    pub(super) rules: Option<RuleTable>,
    /// Time taken to read the files and build the configuration.
    pub(super) build_time: Duration,
}

/// Why a configuration can't come into force.
pub(super) struct Rejected {
    pub(super) errors: ConfigErrors,
    /// Changes that need a restart, which may be the cause of an error.
    pub(super) restart_required: Vec<RestartRequired>,
}

impl From<ConfigErrors> for Rejected {
    fn from(errors: ConfigErrors) -> Rejected {
        Rejected {
            errors,
            restart_required: Vec::new(),
        }
    }
}

/// The result of a build.
pub(super) type BuildResult = Result<Candidate, Rejected>;

/// Where configurations are read from, and the started configuration that they are compared with.
#[derive(Clone)]
pub(super) struct Sources {
    pub(super) started: StartupConfig,
    /// Path of the installation file, if there is one.
    pub(super) installation_path: Option<PathBuf>,
}

/// Reads and builds configurations, one at a time.
pub(super) struct Builder {
    sources: Sources,
    /// The platform configuration that was read last, with the digest of its file.
    last_read: (Digest, PlatformReload),
}

impl Builder {
    pub(super) fn new(sources: Sources) -> Builder {
        let node_config = &sources.started.config;
        let last_read = (
            node_config.source,
            PlatformReload::new(node_config, node_config),
        );
        Builder { sources, last_read }
    }

    /// Reads both files and builds a configuration from them. Unchanged rules are shared with the table in force.
    ///
    /// # Errors
    /// Every error in the files, with the path of its key. A panic becomes an error with its location.
    pub(super) fn build(&mut self, base: &BuildBase) -> BuildResult {
        panics::catch(|| self.try_build(base)).unwrap_or_else(|panic| {
            Err(ConfigErrors::one("build of the configuration", panic.to_string()).into())
        })
    }

    fn try_build(&mut self, base: &BuildBase) -> BuildResult {
        let started_at = Instant::now();
        panic_if_requested(PanicPlace::Build);
        let platform = self.read_platform()?;
        let installation = match &self.sources.installation_path {
            Some(path) => installation::read(path)?,
            None => Installation::default(),
        };
        let plan = plan(
            &self.sources.started,
            &base.installation,
            platform,
            installation,
        )?;
        let settings = &self.sources.started.config.settings;
        let table = match plan
            .installation
            .table_from(base.rule_table.as_deref(), settings)
        {
            Ok(table) => table,
            Err(errors) => {
                return Err(Rejected {
                    errors,
                    restart_required: plan.restart_required,
                });
            }
        };
        let rules = table.map(|table| RuleTable::new(table, &plan.installation, settings));
        Ok(Candidate {
            plan,
            rules,
            build_time: started_at.elapsed(),
        })
    }

    /// Reads the platform's configuration. The file is parsed again only if its bytes have changed.
    fn read_platform(&mut self) -> Result<PlatformReload, ConfigErrors> {
        let path = node_config::path()?;
        let bytes = node_config::read_bytes(&path)?;
        let digest = node_config::digest(&bytes);
        if digest != self.last_read.0 {
            let read = node_config::parse_file(&path, &bytes)?;
            let platform = PlatformReload::new(&self.sources.started.config, &read);
            self.last_read = (digest, platform);
        }
        Ok(self.last_read.1)
    }
}
