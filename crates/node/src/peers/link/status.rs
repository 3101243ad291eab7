//! Answers to queries of a node's status, as `doortrack fleet status` sends them.

use std::net::SocketAddr;

use super::PeerLink;
use crate::peers::peer_message::{BudgetPage, MEMBERS_PER_PAGE, PeerMessage, Status, StatusQuery};

impl PeerLink {
    /// Answers with the node's own state and one page of its members.
    pub(super) fn answer_status(&mut self, query: StatusQuery, to: SocketAddr) {
        let (members, more) = self
            .fleet
            .report(query.after.as_ref(), MEMBERS_PER_PAGE, self.now());
        let view = self.fleet.view();
        let status = Status {
            nonce: query.nonce,
            fleet: self.config.name.clone(),
            name: self.fleet.me().name.clone(),
            incarnation: self.fleet.me().incarnation,
            view: view.number,
            digest: view.digest,
            in_view: view.members.len() as u32,
            isolated: self.fleet.is_isolated(),
            superseded: self.fleet.is_superseded(),
            members,
            more,
        };
        self.send(to, &PeerMessage::Status(Box::new(status)));
    }

    /// Answers with one page of budgets from an index on; an empty one where the fleet has no budgets.
    pub(super) fn answer_budget_status(&mut self, nonce: u64, from_index: u16, to: SocketAddr) {
        let now = self.now();
        let page = match &self.budgets {
            Some(budgets) => budgets.borrow_mut().page(nonce, from_index, now),
            None => BudgetPage {
                nonce,
                leader: None,
                budgets: Vec::new(),
                more: false,
            },
        };
        self.send(to, &PeerMessage::BudgetStatus(Box::new(page)));
    }
}
