//! Events of the fleet's budgets, and the actions that follow from them.

use doortrack_budgets::{Action, Envelope, Event, NodeId};

use super::Peers;
use crate::peers::peer_message::PeerMessage;

impl Peers {
    /// Hands an event to the budgets, or the present members if there is none, and carries out what follows.
    /// Does nothing where the fleet has no budgets.
    pub(super) fn tell_budgets(&mut self, event: Option<Event>) {
        let now = self.now();
        let Some(budgets) = &self.budgets else { return };
        let event = event.unwrap_or_else(|| Event::Members(self.fleet.view().clone()));
        budgets.borrow_mut().handle(now, event);
        self.carry_out_budget_actions();
    }

    /// Whether this incarnation of a node is a member in this node's view.
    pub(super) fn is_member(&self, id: &NodeId) -> bool {
        self.fleet
            .view()
            .members
            .get(&id.name)
            .is_some_and(|member| member.incarnation == id.incarnation)
    }

    pub(super) fn carry_out_budget_actions(&mut self) {
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
