//! Reload: replaces the configuration while the node serves. The changes are planned by `doortrack_config::reload`
//! and built by `reloader`; this module applies them all at once, within one turn of the loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use doortrack_config::reload::{
    KeyMeanings, ListenerChanges, Plan, PlatformReload, RestartRequired,
};
use doortrack_config::transient::may_open_later;
use doortrack_config::{ConfigError, ConfigErrors, Installation, ListenerConfig};
use doortrack_time::{MILLISECOND, TenthMillis};
use slog::{debug, info, warn};

use super::Node;
use super::config_build::{BuildBase, BuildResult, Candidate, Rejected};
use super::reloader::Retired;
use super::running_config::longest_deadline;
use super::start::log_rules;
use crate::network::backend::Backend;
use crate::network::classifier::{RequestClassifier, RuleTable};
use crate::network::termination::Termination;
use crate::system::signals::RELOAD_KEY;
use crate::system::test_panics::{PanicPlace, panic_if_requested};

impl Node {
    /// Handles SIGHUP: both files are read again.
    pub(super) fn request_reload(&mut self) {
        self.signals.acknowledge(RELOAD_KEY);
        panic_if_requested(PanicPlace::EventLoop);
        if self.reloader.request() {
            self.begin_build();
        }
    }

    fn begin_build(&mut self) {
        debug!(self.log, "configuration being read");
        let rules = self.listeners.rules.as_ref();
        let base = BuildBase {
            installation: Arc::clone(&self.config.installation),
            rule_table: rules.map(|rules| Arc::clone(rules.table())),
        };
        self.reloader.begin(base);
    }

    /// Applies the configurations that have been built, if any. Requests that were read before are decided on first: the
    /// checks of a configuration see only requests with an entry in the node's tables.
    pub(super) fn apply_built_configs(&mut self) {
        while let Some((result, next_begins)) = self.reloader.poll() {
            self.handle_listener_events();
            self.decide();
            let retired = self.apply(result);
            self.reloader.retire(retired);
            if self.shutdown.take_reload(next_begins) {
                self.keep_earlier_stop();
            }
            if next_begins {
                self.begin_build();
            }
        }
    }

    /// Applies a configuration, unless it is invalid or would change the meaning of idempotency keys in use. In that
    /// case the node continues with the old one, since exiting would lose the requests in flight. Returns what is not
    /// in force: the old configuration, or the rejected one.
    fn apply(&mut self, result: BuildResult) -> Retired {
        let candidate = match result {
            Ok(candidate) => candidate,
            Err(rejected) => {
                self.log_rejected(&rejected);
                return Box::new(rejected);
            }
        };
        self.log_restart_required(&candidate.plan.restart_required);
        if let Err(errors) = self.check_key_meanings(&candidate.plan.keys) {
            warn!(self.log, "configuration rejected"; "error" => %errors);
            return Box::new(candidate);
        }
        let Candidate {
            plan,
            rules,
            build_time,
        } = candidate;
        self.apply_plan(plan, rules, build_time)
    }

    fn log_rejected(&self, rejected: &Rejected) {
        self.log_restart_required(&rejected.restart_required);
        warn!(self.log, "configuration rejected"; "error" => %rejected.errors);
    }

    fn log_restart_required(&self, changes: &[RestartRequired]) {
        for change in changes {
            warn!(self.log, "{}", change.subject(); "why" => %change);
        }
    }

    /// Checks that the meaning of idempotency keys does not change while old keys are within their dedup window: the
    /// same request could come again under another key, and run twice.
    ///
    /// # Errors
    /// One for each endpoint group whose keys can't change their meaning yet.
    fn check_key_meanings(&self, new: &KeyMeanings) -> Result<(), ConfigErrors> {
        let errors: Vec<ConfigError> = self
            .config
            .key_meanings
            .changed(new)
            .into_iter()
            .filter_map(|group| self.key_conflict(group))
            .collect();
        if errors.is_empty() {
            Ok(())
        } else {
            Err(ConfigErrors(errors))
        }
    }

    /// Why the keys of this endpoint group can't change their meaning now; `None` if they can.
    fn key_conflict(&self, group: usize) -> Option<ConfigError> {
        let wait = match self.results.last_expiry(group as u8)? {
            Some(expires_at) => {
                let wait = expires_at.saturating_sub(self.now);
                format!("the last one expires in {} ms", wait.div_ceil(MILLISECOND))
            }
            None => "a request with one of them is in flight".to_string(),
        };
        let name = &self.config.node.settings.group_names[group];
        let conflict = format!(
            "keys of '{name}' would mean something else while some are within their window; {wait}"
        );
        Some(ConfigError::new("installation.rules", conflict))
    }

    /// Applies all changes at once and returns what is no longer in force. Requests in flight keep the settings they
    /// began with.
    fn apply_plan(
        &mut self,
        plan: Plan,
        rules: Option<RuleTable>,
        build_time: Duration,
    ) -> Retired {
        let started_at = Instant::now();
        self.change_platform(plan.platform, plan.installation.listeners.len());
        self.change_servers(&plan.installation);
        let mut fleet = plan.fleet;
        for subsystem in &mut self.subsystems {
            subsystem.reload(&mut fleet);
        }
        let old_rules = self.change_rules(rules);
        let old_keys = std::mem::replace(&mut self.config.key_meanings, plan.keys);
        self.change_listeners(&plan.installation);
        let old_installation = std::mem::replace(&mut self.config.installation, plan.installation);
        info!(self.log, "configuration in force"; "built_ms" => build_time.as_millis() as u64,
            "held_us" => started_at.elapsed().as_micros() as u64);
        Box::new((old_rules, old_keys, old_installation, fleet))
    }

    /// Changes the addresses of engine and registry, and the stop timeout of a drain. Runs go on, as the engine keeps
    /// them and their ids.
    fn change_platform(&mut self, read: PlatformReload, listeners: usize) {
        let (engine, registry) = (read.platform.engine, read.platform.registry);
        info!(self.log, "configuration read again"; "engine" => %engine, "registry" => %registry,
            "listeners" => listeners, "rest_requires_restart" => read.requires_restart);
        self.config.platform = read.platform;
        self.backend
            .set_address(engine, self.now, &mut self.backend_events);
        if let Err(e) = self.registry.set_address(registry) {
            warn!(self.log, "registry unreachable"; "why" => %e);
        }
    }

    /// Changes the servers and the settings of each pool.
    fn change_servers(&mut self, installation: &Installation) {
        let longest: TenthMillis = longest_deadline(&self.config.node);
        if let Backend::Servers(pools) = &mut self.backend {
            for ((_, pool), (_, servers)) in pools.iter_mut().zip(installation.named_pools()) {
                pool.reload(servers, longest, self.now);
            }
        }
    }

    /// Replaces the rules for requests read from now on, and returns the old rules.
    fn change_rules(&mut self, new: Option<RuleTable>) -> Retired {
        if let Some(table) = &new {
            log_rules(&self.log, table);
        }
        match (&mut self.listeners.rules, new) {
            (Some(rules), Some(new)) => Box::new(rules.replace(new)),
            (rules, new) => Box::new(std::mem::replace(rules, new.map(RequestClassifier::new))),
        }
    }

    /// Opens new listeners and drains those that were removed. A draining node opens none.
    fn change_listeners(&mut self, installation: &Installation) {
        let changes = ListenerChanges::between(&self.config.listening, &installation.listeners);
        for closed in &changes.closed {
            info!(self.log, "listener closed"; "address" => %closed.listen);
            self.drain_listener(closed.listen);
        }
        for kept in &changes.retained {
            self.listeners
                .set_max_connections(kept.listen, connection_limit(kept));
        }
        self.config.listening = changes.retained;
        self.config.unopened = changes.opened;
        for (address, error) in self.open_listeners() {
            warn!(self.log, "listener not opened"; "address" => %address, "why" => %error);
        }
    }

    fn drain_listener(&mut self, address: SocketAddr) {
        let slots = self
            .listeners
            .drain_listener(address, self.now, &mut self.listener_events);
        for slot in slots {
            self.drain_connection(slot, Termination::ListenerClosed);
        }
        self.listeners.remove_drained();
    }

    /// Opens the listeners that are not open yet, unless the node drains. Those that can't be opened for a moment are
    /// tried again at the next call; others only after the next SIGHUP. Returns the errors, with the address of each.
    pub(super) fn open_listeners(&mut self) -> Vec<(SocketAddr, std::io::Error)> {
        let unopened = std::mem::take(&mut self.config.unopened);
        let mut errors = Vec::new();
        if self.shutdown.is_draining() {
            return errors;
        }
        for listener in unopened {
            let address = listener.listen;
            match self.open_listener(&listener) {
                Ok(()) => self.config.listening.push(listener),
                Err(error) => {
                    if may_open_later(&error) {
                        self.config.unopened.push(listener);
                    }
                    errors.push((address, error));
                }
            }
        }
        errors
    }

    /// Opens a listener of the installation.
    pub(super) fn open_listener(&mut self, listener: &ListenerConfig) -> std::io::Result<()> {
        let address: SocketAddr = listener.listen;
        let limit = connection_limit(listener);
        self.listeners
            .listen(address, listener.protocol.into(), limit)?;
        info!(self.log, "listener opened"; "address" => %address, "protocol" => listener.protocol.name());
        Ok(())
    }
}

/// Maximum number of concurrent connections of a listener, if it has a limit.
fn connection_limit(listener: &ListenerConfig) -> Option<usize> {
    listener.connections.map(|limit| limit as usize)
}
