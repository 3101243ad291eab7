//! Executes the actions of a machine's membership and budgets, as the node's peer link does.

use doortrack_budgets::{Action as BudgetAction, Event as BudgetEvent};
use doortrack_membership::{Action, Change, Event};
use doortrack_simulation::MachineId;

use super::{STARTUP_PERIOD, World};
use crate::history::HistoryEvent;
use crate::scale::simulated::machine::{Machine, Packet, Payload, machine_at};

impl World<'_> {
    pub(super) fn membership(&mut self, machine: MachineId, process: &mut Machine, event: Event) {
        let now = self.machine_time(machine);
        let mut actions = std::mem::take(&mut self.fleet_actions);
        process.fleet.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { to, datagram } => {
                    self.send(machine, machine_at(to), Payload::Membership(datagram));
                }
                Action::Report(change) => {
                    self.record_change(machine, &change, process);
                    match change {
                        Change::Superseded { .. } => {
                            self.budgets(machine, process, BudgetEvent::Superseded)
                        }
                        _ => self.update_budget_view(machine, process),
                    }
                }
            }
        }
        self.fleet_actions = actions;
    }

    /// Passes the current view to the budgets.
    pub(super) fn update_budget_view(&mut self, machine: MachineId, process: &mut Machine) {
        let view = process.fleet.view().clone();
        self.budgets(machine, process, BudgetEvent::ViewChanged(view));
    }

    pub(super) fn budgets(
        &mut self,
        machine: MachineId,
        process: &mut Machine,
        event: BudgetEvent,
    ) {
        let now = self.machine_time(machine);
        let mut actions = std::mem::take(&mut self.budget_actions);
        process.budgets.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            if let BudgetAction::Send(envelope) = action
                && let Some(to) = process.reaches(&envelope.to)
            {
                self.send(
                    machine,
                    machine_at(to),
                    Payload::Budgets(Box::new(envelope)),
                );
            }
        }
        self.budget_actions = actions;
    }

    fn send(&mut self, from: MachineId, to: Option<MachineId>, payload: Payload) {
        let packet = Packet::new(payload);
        let now = self.network.now();
        self.results
            .traffic
            .sent(now, from, u64::from(packet.bytes));
        if let Some(to) = to.filter(|to| *to < self.machines.len()) {
            self.network.send(from, to, packet);
        }
    }

    /// Records member changes for the checkers. Suspicions are only counted, as every machine reports each one.
    fn record_change(&mut self, machine: MachineId, change: &Change, process: &Machine) {
        if self.network.now() < STARTUP_PERIOD {
            return;
        }
        if matches!(change, Change::Suspected { .. }) {
            self.results.suspicions += 1;
        }
        if matches!(
            change,
            Change::Suspected { .. } | Change::Cleared { .. } | Change::Slow { .. }
        ) {
            return;
        }
        let (about, view) = (change.member(), process.fleet.view());
        let what = HistoryEvent::MemberChange {
            node: machine,
            change: change.name().to_string(),
            member: about.map(|(name, _)| name.to_string()),
            incarnation: about.map(|(_, incarnation)| incarnation.to_string()),
            view: view.number,
            members: view.members.len(),
        };
        let at_ms = self.now_ms();
        self.results.history.record(at_ms, what);
    }
}
