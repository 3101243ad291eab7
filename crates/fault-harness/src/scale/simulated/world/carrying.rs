//! Carries out what a machine's decisions ask for, as the node's link does.

use doortrack_budgets::{Action as BudgetAction, Event as BudgetEvent};
use doortrack_membership::{Action, Change, Event};
use doortrack_simulation::MachineId;

use super::{QUIET, World};
use crate::history::HistoryEvent;
use crate::scale::simulated::machine::{Content, Machine, Parcel, machine_at};

impl World<'_> {
    pub(super) fn membership(&mut self, machine: MachineId, own: &mut Machine, event: Event) {
        let now = self.shown(machine);
        let mut actions = std::mem::take(&mut self.fleet_actions);
        own.fleet.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { to, datagram } => {
                    self.send(machine, machine_at(to), Content::Membership(datagram));
                }
                Action::Report(change) => {
                    self.note(machine, &change, own);
                    match change {
                        Change::Superseded { .. } => {
                            self.budgets(machine, own, BudgetEvent::Superseded)
                        }
                        _ => self.tell_members(machine, own),
                    }
                }
            }
        }
        self.fleet_actions = actions;
    }

    /// Budgets rest on who is there.
    pub(super) fn tell_members(&mut self, machine: MachineId, own: &mut Machine) {
        let view = own.fleet.view().clone();
        self.budgets(machine, own, BudgetEvent::ViewChanged(view));
    }

    pub(super) fn budgets(&mut self, machine: MachineId, own: &mut Machine, event: BudgetEvent) {
        let now = self.shown(machine);
        let mut actions = std::mem::take(&mut self.budget_actions);
        own.budgets.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            if let BudgetAction::Send(envelope) = action
                && let Some(to) = own.reaches(&envelope.to)
            {
                self.send(
                    machine,
                    machine_at(to),
                    Content::Budgets(Box::new(envelope)),
                );
            }
        }
        self.budget_actions = actions;
    }

    fn send(&mut self, from: MachineId, to: Option<MachineId>, content: Content) {
        let parcel = Parcel::new(content);
        let now = self.network.now();
        self.played.traffic.sent(now, from, u64::from(parcel.bytes));
        if let Some(to) = to.filter(|to| *to < self.machines.len()) {
            self.network.send(from, to, parcel);
        }
    }

    /// Keeps what the checkers read. Doubts are only counted: one is told by every machine.
    fn note(&mut self, machine: MachineId, change: &Change, own: &Machine) {
        if self.network.now() < QUIET {
            return;
        }
        if matches!(change, Change::Suspected { .. }) {
            self.played.doubts += 1;
        }
        if matches!(
            change,
            Change::Suspected { .. } | Change::Cleared { .. } | Change::Slow { .. }
        ) {
            return;
        }
        let (about, view) = (change.member(), own.fleet.view());
        let what = HistoryEvent::MemberChange {
            node: machine,
            change: change.name().to_string(),
            member: about.map(|(name, _)| name.to_string()),
            incarnation: about.map(|(_, incarnation)| incarnation.to_string()),
            view: view.number,
            members: view.members.len(),
        };
        let at_ms = self.now_ms();
        self.played.history.record(at_ms, what);
    }
}
