//! A configuration replaced while the node serves.

use slog::{info, warn};

use super::orders::{self, Orders};
use super::signals::RELOAD_KEY;
use crate::serve::Node;
use crate::wire::engine::Told;

impl Node {
    /// Reads the file again and takes up what can change under way: where engine and registry are, and the
    /// time to stop. What runs goes on, as the engine keeps runs and numbers. A file that can't be served
    /// changes nothing: the node goes on as it was, since ending for it would lose all that is in hand.
    pub(crate) fn reload(&mut self, told: &mut Vec<Told>) {
        self.signals.heard(RELOAD_KEY);
        let new = match orders::read() {
            Ok(new) => new,
            Err(fault) => return warn!(self.log, "configuration left out"; "fault" => fault),
        };
        let (engine, registry, stop_after) = (new.engine, new.registry, new.stop_after);
        let next = Orders { engine, registry, stop_after, seed: new.seed, ..self.orders.clone() };
        info!(self.log, "configuration read again"; "engine" => %engine, "registry" => %registry,
            "rest_needs_a_start" => next != new);
        self.orders = next;
        self.link.move_to(engine, self.now, told);
        if let Err(e) = self.registry.move_to(registry) {
            warn!(self.log, "registry cannot be reached"; "why" => %e);
        }
    }
}
