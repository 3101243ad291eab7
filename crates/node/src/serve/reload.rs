//! A configuration replaced while the node serves. What changes is decided beforehand, in
//! `doortrack_config::reload`, and built beside the loop; here it comes into force, as a whole,
//! between two turns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use doortrack_config::reload::{KeyMeanings, ListenerChanges, PlatformRead, RestartRequired};
use doortrack_config::{ConfigError, ConfigErrors, Installation, ListenerConfig};
use doortrack_time::MILLISECOND;
use slog::{debug, info, warn};

use super::Node;
use super::build::{Candidate, Running};
use super::builds::Retired;
use super::start::log_rules;
use crate::network::backend::{Backend, BackendEvent};
use crate::network::classified::{RuleTable, Rules};
use crate::network::listeners::ListenerEvent;
use crate::system::signals::RELOAD_KEY;

impl Node {
    /// SIGHUP came: both files are to be read again.
    pub(super) fn reload(&mut self) {
        self.signals.acknowledge(RELOAD_KEY);
        if self.reloader.notice() {
            self.begin_build();
        }
    }

    fn begin_build(&mut self) {
        debug!(self.log, "configuration being read");
        let table = self
            .listeners
            .rules
            .as_ref()
            .map(|rules| Arc::clone(rules.table()));
        self.reloader.begin(Running {
            installation: Arc::clone(&self.installation),
            table,
        });
    }

    /// Brings into force what was built meanwhile, if anything was. A configuration that can't be served
    /// changes nothing: the node goes on as it was, since ending for it would lose all that is in hand.
    pub(super) fn take_up_built(
        &mut self,
        listener_events: &mut Vec<ListenerEvent>,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        while let Some((built, begin_next)) = self.reloader.poll() {
            let retired = match built {
                Ok(candidate) => self.take_up(candidate, listener_events, backend_events),
                Err(rejected) => {
                    self.log_needs_start(&rejected.needs_start);
                    warn!(self.log, "configuration left out"; "fault" => %rejected.faults);
                    Box::new(rejected)
                }
            };
            self.reloader.retire(retired);
            if self.build_names_stop {
                self.keep_to_the_nearer_stop();
                self.build_names_stop = begin_next;
            }
            if begin_next {
                self.begin_build();
            }
        }
    }

    /// Brings a configuration into force, unless keys would change their meaning. Returns what is not in
    /// force any more, or not at all.
    fn take_up(
        &mut self,
        candidate: Candidate,
        listener_events: &mut Vec<ListenerEvent>,
        backend_events: &mut Vec<BackendEvent>,
    ) -> Retired {
        self.log_needs_start(&candidate.plan.restart_required);
        if let Err(faults) = self.check_keys(&candidate.plan.keys) {
            warn!(self.log, "configuration left out"; "fault" => %faults);
            return Box::new(candidate);
        }
        self.bring_into_force(candidate, listener_events, backend_events)
    }

    fn log_needs_start(&self, parts: &[RestartRequired]) {
        for part in parts {
            warn!(self.log, "{}", part.subject(); "why" => %part);
        }
    }

    /// What an idempotency key means may not change while keys of before are within their window: the same
    /// request could come again under another one, and run twice.
    fn check_keys(&self, new: &KeyMeanings) -> Result<(), ConfigErrors> {
        let mut faults = Vec::new();
        for place in self.keys.changed(new) {
            let Some(last) = self.results.last_of(place as u8) else {
                continue;
            };
            let wait = last.map_or_else(
                || "one of them is in hand".to_string(),
                |till| {
                    format!(
                        "in {} ms none is",
                        till.saturating_sub(self.now).div_ceil(MILLISECOND)
                    )
                },
            );
            let name = &self.orders.settings.group_names[place];
            let what = format!(
                "keys of '{name}' would mean something else while some are within their window; {wait}"
            );
            faults.push(ConfigError::new("installation.rules", what));
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ConfigErrors(faults))
        }
    }

    /// Takes up all that changes, in one go, and returns what is no longer in force. What is in hand keeps
    /// what it began under.
    fn bring_into_force(
        &mut self,
        candidate: Candidate,
        listener_events: &mut Vec<ListenerEvent>,
        backend_events: &mut Vec<BackendEvent>,
    ) -> Retired {
        let begun = Instant::now();
        let Candidate { plan, rules, took } = candidate;
        self.change_platform(
            plan.platform,
            plan.installation.listeners.len(),
            backend_events,
        );
        self.change_servers(&plan.installation);
        let mut fleet = plan.fleet;
        self.parts
            .iter_mut()
            .for_each(|part| part.take_up(&mut fleet));
        let old_rules = self.change_rules(rules);
        let old_keys = std::mem::replace(&mut self.keys, plan.keys);
        self.change_fronts(&plan.installation, listener_events);
        let old_installation = std::mem::replace(&mut self.installation, plan.installation);
        info!(self.log, "configuration in force"; "built_ms" => took.as_millis() as u64,
            "held_us" => begun.elapsed().as_micros() as u64);
        Box::new((old_rules, old_keys, old_installation, fleet))
    }

    /// Where engine and registry are, and the time to stop. What runs goes on, as the engine keeps runs and
    /// numbers.
    fn change_platform(
        &mut self,
        read: PlatformRead,
        listeners: usize,
        backend_events: &mut Vec<BackendEvent>,
    ) {
        let (engine, registry) = (read.platform.engine, read.platform.registry);
        info!(self.log, "configuration read again"; "engine" => %engine, "registry" => %registry,
            "fronts" => listeners, "rest_needs_a_start" => read.requires_restart);
        self.platform = read.platform;
        self.work.move_to(engine, self.now, backend_events);
        if let Err(e) = self.registry.move_to(registry) {
            warn!(self.log, "registry cannot be reached"; "why" => %e);
        }
    }

    /// Servers come and go, and the pools' terms change.
    fn change_servers(&mut self, installation: &Installation) {
        let groups = &self.orders.settings.admission.groups;
        let longest = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        if let Backend::Servers(pools) = &mut self.work {
            for ((_, pool), (_, servers)) in pools.iter_mut().zip(installation.named_pools()) {
                pool.reload(servers, longest, self.now);
            }
        }
    }

    /// Another table, as a whole, for what is read from here on. Returns the one of before.
    fn change_rules(&mut self, new: Option<RuleTable>) -> Retired {
        if let Some(table) = &new {
            log_rules(&self.log, table);
        }
        match (&mut self.listeners.rules, new) {
            (Some(rules), Some(new)) => Box::new(rules.replace(new)),
            (rules, new) => Box::new(std::mem::replace(rules, new.map(Rules::new))),
        }
    }

    /// Opens the fronts that are new and drains those that are gone. While the node leaves, no front is
    /// opened.
    fn change_fronts(
        &mut self,
        installation: &Installation,
        listener_events: &mut Vec<ListenerEvent>,
    ) {
        let changes = ListenerChanges::between(&self.listening, &installation.listeners);
        for front in &changes.closed {
            info!(self.log, "front withdrawn"; "address" => %front.listen);
            self.listeners
                .drain_listener(front.listen, self.now, listener_events);
        }
        for front in &changes.retained {
            self.listeners
                .set_max_connections(front.listen, front.connections.map(|most| most as usize));
        }
        self.listening = changes.retained;
        let opened = if self.stop_at.is_none() {
            changes.opened
        } else {
            Vec::new()
        };
        for front in opened {
            match self.open_front(&front) {
                Ok(()) => self.listening.push(front),
                // The others go on; a SIGHUP tries it again.
                Err(e) => {
                    warn!(self.log, "front cannot be opened"; "address" => %front.listen, "why" => %e);
                }
            }
        }
    }

    pub(super) fn open_front(&mut self, front: &ListenerConfig) -> std::io::Result<()> {
        let at: SocketAddr = front.listen;
        self.listeners.listen(
            at,
            front.protocol.into(),
            front.connections.map(|most| most as usize),
        )?;
        info!(self.log, "front opened"; "address" => %at, "protocol" => front.protocol.name());
        Ok(())
    }
}
