//! Events of the fleet's budgets, and the actions that follow from them. Nothing is done where the fleet has
//! no budgets.

use doortrack_budgets::{Action, Envelope, Event, NodeId};

use super::PeerLink;
use crate::peers::peer_message::PeerMessage;

impl PeerLink {
    /// Hands an event to the decisions on budgets and executes the actions that follow.
    pub(super) fn handle_budget_event(&mut self, event: Event) {
        let now = self.now();
        if let Some(budgets) = &self.budgets {
            budgets.borrow_mut().handle(now, event);
            self.execute_budget_actions();
        }
    }

    /// Hands the present members to the decisions on budgets.
    pub(super) fn announce_members(&mut self) {
        if self.budgets.is_some() {
            self.handle_budget_event(Event::ViewChanged(self.fleet.view().clone()));
        }
    }

    /// Whether this incarnation of a node is a member in this node's view.
    pub(super) fn is_member(&self, id: &NodeId) -> bool {
        self.fleet
            .view()
            .members
            .get(&id.name)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    /// Executes the actions that the decisions on budgets left.
    pub(super) fn execute_budget_actions(&mut self) {
        let Some(budgets) = self.budgets.clone() else {
            return;
        };
        let actions = std::mem::take(&mut budgets.borrow_mut().actions);
        for action in actions {
            match action {
                Action::Send(envelope) => self.send_envelope(envelope),
                Action::Report(change) => budgets.borrow_mut().log(&self.log, &change),
            }
        }
    }

    /// Sends to the incarnation that is addressed, if it is a member.
    fn send_envelope(&mut self, envelope: Envelope) {
        let member = self.fleet.view().members.get(&envelope.to.name).copied();
        let member = member.filter(|member| member.incarnation == envelope.to.incarnation);
        if let Some(member) = member {
            self.send(member.address, &PeerMessage::Budgets(envelope));
        }
    }
}
