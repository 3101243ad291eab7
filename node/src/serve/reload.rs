//! A configuration replaced while the node serves.

use std::net::SocketAddr;

use doortrack_installation::{Fault, Faults, Front, Installation, Orders, file, orders};
use slog::{info, warn};

use super::start::{pools, rules};
use super::{MS, Node};
use crate::life::signals::RELOAD_KEY;
use crate::wire::engine::WorkEvent;
use crate::wire::fronts::FrontEvent;
use crate::wire::ruled::Rules;
use crate::wire::work::Work;

impl Node {
    /// Reads both files again and takes up what can change under way: where engine and registry are, the
    /// time to stop, and the fronts. What runs goes on, as the engine keeps runs and numbers. A file that
    /// can't be served changes nothing, in the other one either: the node goes on as it was, since ending
    /// for it would lose all that is in hand.
    pub(super) fn reload(&mut self, front_events: &mut Vec<FrontEvent>, work_events: &mut Vec<WorkEvent>) {
        self.signals.acknowledge(RELOAD_KEY);
        let (new, mut installation) = match self.read_again() {
            Ok(read) => read,
            Err(faults) => return warn!(self.log, "configuration left out"; "fault" => %faults),
        };
        self.keep_pools(&mut installation);
        let ruled = match self.read_rules(&installation) {
            Ok(ruled) => ruled,
            Err(faults) => return warn!(self.log, "configuration left out"; "fault" => %faults),
        };
        let (engine, registry, stop_after) = (new.engine, new.registry, new.stop_after);
        let next = Orders { engine, registry, stop_after, seed: new.seed, ..self.orders.clone() };
        info!(self.log, "configuration read again"; "engine" => %engine, "registry" => %registry,
            "fronts" => installation.fronts.len(), "rest_needs_a_start" => next != new);
        self.orders = next;
        self.work.move_to(engine, self.now, work_events);
        if let Err(e) = self.registry.move_to(registry) {
            warn!(self.log, "registry cannot be reached"; "why" => %e);
        }
        self.change_servers(&installation);
        self.parts.iter_mut().for_each(|part| part.take_up(&installation, &self.orders));
        if self.parts.is_empty() && installation.fleet.is_some() {
            warn!(self.log, "fleet needs a start"; "why" => "it can't be joined under way");
        }
        // As a whole, and for what is read from here on: what is in hand stays what it was.
        match (&mut self.fronts.rules, ruled) {
            (Some(rules), Some(new)) => rules.replace(new),
            (rules, new) => *rules = new,
        }
        self.change_fronts(installation, front_events);
    }

    /// The rules that are to be taken up. What an idempotency key means may not change while keys of
    /// before are within their window: the same exchange could come again under another one, and run twice.
    fn read_rules(&self, installation: &Installation) -> Result<Option<Rules>, Faults> {
        let ruled = rules(installation, &self.orders, &self.log)?;
        let mut faults = Vec::new();
        for (place, name) in self.orders.handed.group_names.iter().enumerate() {
            if installation.meaning_of_keys(name) == self.installation.meaning_of_keys(name) {
                continue;
            }
            if let Some(last) = self.results.last_of(place as u8) {
                let wait = last.map_or_else(
                    || "one of them is in hand".to_string(),
                    |till| format!("in {} ms none is", till.saturating_sub(self.now).div_ceil(MS)),
                );
                let what = format!(
                    "keys of '{name}' would mean something else while some are within their window; {wait}"
                );
                faults.push(Fault::new("installation.rules", what));
            }
        }
        if faults.is_empty() { Ok(ruled) } else { Err(Faults(faults)) }
    }

    fn read_again(&self) -> Result<(Orders, Installation), Faults> {
        let new = orders::read()?;
        let installation = match &self.file {
            Some(path) => file::read(path)?,
            None => Installation::default(),
        };
        // What can't change under way is as it was at the start.
        installation.beside(&self.orders)?;
        Ok((new, installation))
    }

    /// Which pools there are, and what they speak, needs a start: until then they are as they were, and
    /// rules are read with those.
    fn keep_pools(&self, installation: &mut Installation) {
        let kinds =
            |of: &Installation| pools(of).map(|(name, asked)| (name, asked.protocol)).collect::<Vec<_>>();
        if kinds(&self.installation) != kinds(installation) {
            warn!(self.log, "servers need a start"; "why" => "pools come or go, or speak something else");
            installation.servers.clone_from(&self.installation.servers);
            installation.pools.clone_from(&self.installation.pools);
        }
    }

    /// Servers come and go, and the pools' terms change.
    fn change_servers(&mut self, installation: &Installation) {
        let groups = &self.orders.handed.contract.groups;
        let longest = groups.iter().map(|group| group.deadline).max().unwrap_or(0);
        if let Work::Servers(of) = &mut self.work {
            for ((_, servers), (_, asked)) in of.iter_mut().zip(pools(installation)) {
                servers.take_up(asked, longest, self.now);
            }
        }
    }

    /// Opens the fronts that are new and drains those that are gone. While the node leaves, no front is
    /// opened.
    fn change_fronts(&mut self, installation: Installation, front_events: &mut Vec<FrontEvent>) {
        let old = std::mem::replace(&mut self.installation, installation);
        let new = self.installation.fronts.clone();
        let place = |front: &Front| (front.listen, front.protocol);
        for front in old.fronts.iter().filter(|front| !new.iter().any(|other| place(other) == place(front))) {
            info!(self.log, "front withdrawn"; "address" => %front.listen);
            self.fronts.withdraw(front.listen, self.now, front_events);
        }
        for front in &new {
            if old.fronts.iter().any(|other| place(other) == place(front)) {
                self.fronts.bound(front.listen, front.connections.map(|most| most as usize));
            } else if self.stop_at.is_none()
                && let Err(e) = self.open_front(front)
            {
                // The others go on; a SIGHUP tries it again.
                warn!(self.log, "front cannot be opened"; "address" => %front.listen, "why" => %e);
                self.installation.fronts.retain(|other| place(other) != place(front));
            }
        }
    }

    pub(super) fn open_front(&mut self, front: &Front) -> std::io::Result<()> {
        let at: SocketAddr = front.listen;
        self.fronts.listen(at, front.protocol.into(), front.connections.map(|most| most as usize))?;
        info!(self.log, "front opened"; "address" => %at, "protocol" => front.protocol.name());
        Ok(())
    }
}
