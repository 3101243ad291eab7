//! The link as a subsystem of the event loop.

use doortrack_config::FleetConfig;
use doortrack_config::reload::FleetChange;
use doortrack_membership::Event;
use doortrack_time::TenthMillis;
use doortrack_upstream::TokenResponse;
use slog::{Logger, info, warn};

use super::PeerLink;
use crate::network::backend::{RetryGate, SlowStartTokens};
use crate::subsystem::{AdmissionRequest, Permit, PermitOutcome, Subsystem};

/// Maximum number of datagrams read in one turn of the loop, so that a flood does not starve other work.
const MAX_READS_PER_TURN: usize = 64;
/// Maximum number of turns for which due timers wait for unread datagrams, so that a flood does not stop the timers.
const MAX_DEFERRED_TURNS: u32 = 4;

impl Subsystem for PeerLink {
    fn key(&self) -> usize {
        self.socket.key
    }

    fn on_readable(&mut self) {
        self.may_have_unread = (0..MAX_READS_PER_TURN).all(|_| self.read_one());
    }

    fn poll(&mut self) {
        let now = self.now();
        self.tick_membership(now);
        self.tick_budgets(now);
    }

    fn time_to_next_poll(&self) -> TenthMillis {
        let budgets = self.budgets.as_ref().map_or(TenthMillis::MAX, |budgets| {
            budgets.borrow().budgets.next_due()
        });
        match self.fleet.next_due().min(budgets) {
            TenthMillis::MAX => TenthMillis::MAX,
            due => due.saturating_sub(self.now()),
        }
    }

    fn drain(&mut self) {
        self.handle_budget_event(doortrack_budgets::Event::Leave);
        self.fleet
            .handle(self.now(), Event::Leave, &mut self.actions);
        self.execute_actions();
    }

    fn reload(&mut self, change: &mut FleetChange) {
        let Some(fleet_config) = change.fleet_config.take() else {
            warn!(self.log, "fleet needs a start"; "why" => "a running node can't leave its fleet");
            return;
        };
        if restart_only_settings(&fleet_config) != restart_only_settings(&self.config) {
            warn!(self.log, "fleet needs a start"; "why" => "its name, addresses, key or weight changed");
        }
        // Settings that need a restart keep their old values.
        self.config = FleetConfig {
            seeds: fleet_config.seeds.clone(),
            voters: fleet_config.voters.clone(),
            times: fleet_config.times,
            ..self.config.clone()
        };
        self.reload_budgets(&fleet_config, change);
        let parameters = Box::new(self.config.fleet_parameters());
        self.fleet.handle(
            self.now(),
            Event::ParametersChanged { parameters },
            &mut self.actions,
        );
        self.execute_actions();
    }

    fn admit(&mut self, request: AdmissionRequest) -> Result<Permit, TenthMillis> {
        let clock = self.clock();
        match &self.budgets {
            Some(budgets) => budgets.borrow_mut().admit(request, || clock.now()),
            None => Ok(Permit::default()),
        }
    }

    fn retry_gate(&self, pool: u16) -> Option<RetryGate> {
        let clock = self.clock();
        let budgets = self.budgets.clone()?;
        // The budget is looked up each time, as a reload may add or remove it.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            let index = budgets.retry_budget(pool);
            index.is_none_or(|index| budgets.acquire_one(index, clock.now()))
        }))
    }

    fn slow_start_tokens(&self, pool: u16) -> Option<SlowStartTokens> {
        let clock = self.clock();
        let budgets = self.budgets.clone()?;
        // The budget is looked up each time, as for retries.
        Some(Box::new(move || {
            let mut budgets = budgets.borrow_mut();
            match budgets.slow_start_budget(pool) {
                None => TokenResponse::Unshared,
                Some(index) if budgets.acquire_one(index, clock.now()) => TokenResponse::Granted,
                Some(_) => TokenResponse::Refused,
            }
        }))
    }

    fn release(&mut self, permit: Permit, outcome: PermitOutcome) {
        let now = self.now();
        if let Some(budgets) = &self.budgets {
            budgets.borrow_mut().release(permit, outcome, now);
        }
    }

    fn log_state(&self, log: &Logger) {
        let counts = &self.socket.counts;
        let view = self.fleet.view();
        info!(log, "fleet summary"; "view" => view.number,
            "members" => view.members.len(), "isolated" => self.fleet.is_isolated(),
            "received" => counts.received, "received_bytes" => counts.received_bytes,
            "sent" => counts.sent, "sent_bytes" => counts.sent_bytes,
            "unsent" => counts.unsent, "refused" => slog::Serde(counts.refused.clone()),
            "out_of_place" => self.fleet.refused());
        if let Some(budgets) = &self.budgets {
            budgets.borrow().log_state(log);
        }
    }
}

/// The fleet settings that only a restart can change.
fn restart_only_settings(fleet_config: &FleetConfig) -> impl PartialEq + use<'_> {
    (
        &fleet_config.name,
        fleet_config.listen,
        fleet_config.advertise,
        &fleet_config.key_file,
        fleet_config.weight,
    )
}

impl PeerLink {
    /// Fires the due timers of the membership protocol. Unread datagrams go first: they arrived before the timers
    /// expired, and may hold the acknowledgement that a timer waits for.
    fn tick_membership(&mut self, now: TenthMillis) {
        let may_have_unread = std::mem::take(&mut self.may_have_unread);
        if now < self.fleet.next_due() {
            return;
        }
        if may_have_unread && self.deferred_turns < MAX_DEFERRED_TURNS {
            self.deferred_turns += 1;
            return;
        }
        self.deferred_turns = 0;
        self.fleet.handle(now, Event::Tick, &mut self.actions);
        self.execute_actions();
    }

    fn tick_budgets(&mut self, now: TenthMillis) {
        let Some(budgets) = &self.budgets else { return };
        budgets.borrow_mut().release_abandoned(now);
        let is_due = now >= budgets.borrow().budgets.next_due();
        if is_due {
            self.handle_budget_event(doortrack_budgets::Event::Tick);
        }
    }

    /// Applies changed budgets, unless the change needs a restart.
    fn reload_budgets(&mut self, fleet_config: &FleetConfig, change: &mut FleetChange) {
        let now = self.now();
        let restart_cause = match &self.budgets {
            None if change.budgets.is_empty() => None,
            None => Some("the node started without budgets".to_string()),
            Some(budgets) => {
                let mut budgets = budgets.borrow_mut();
                let restart_cause = budgets.restart_reason(fleet_config, &change.budgets);
                let restart_cause = restart_cause.map(str::to_string);
                if restart_cause.is_none() {
                    budgets.apply_change(now, change);
                }
                restart_cause
            }
        };
        match restart_cause {
            Some(why) => warn!(self.log, "budgets need a start"; "why" => why),
            None => self.execute_budget_actions(),
        }
    }
}
