//! Sends datagrams, with pending updates.

use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::gossip::DatagramFill;
use crate::table::MemberIndex;
use crate::{
    Action, Datagram, DatagramHeader, Incarnation, MemberState, MemberUpdate, Message,
    UPDATE_BYTES_THRESHOLD,
};

impl Fleet {
    fn head(&mut self, to: Incarnation) -> DatagramHeader {
        self.sequence += 1;
        DatagramHeader {
            sender: self.me.clone(),
            to,
            sequence: self.sequence,
            digest: self.view.digest,
            view: self.view.number,
        }
    }

    /// Sends to a member, with pending updates; if it is not known as alive, that comes first, so
    /// that it can refute it.
    pub(crate) fn send(&mut self, index: MemberIndex, message: Message, actions: &mut Vec<Action>) {
        let Some(record) = self.table.get(index) else {
            return;
        };
        let (to, incarnation) = (record.update.address, record.update.incarnation);
        let mut updates = Vec::new();
        if record.update.state != MemberState::Alive {
            updates.push(record.update.clone());
        }
        self.add_pending_updates(&mut updates);
        self.send_to(to, incarnation, message, updates, actions);
    }

    /// Adds pending updates to those of a datagram, as far as there is space.
    fn add_pending_updates(&mut self, updates: &mut Vec<MemberUpdate>) {
        let used: usize = updates.iter().map(MemberUpdate::max_bytes).sum();
        let fill = DatagramFill {
            free_bytes: UPDATE_BYTES_THRESHOLD.saturating_sub(used),
            updates: updates.len(),
        };
        let (table, members) = (&self.table, self.view.members.len());
        let size = |index: MemberIndex, revision: u32| {
            let record = table
                .get(index)
                .filter(|record| record.revision == revision)?;
            Some(record.update.max_bytes())
        };
        let indices = self.gossip.next_updates(fill, members, size);
        let records = indices.iter().filter_map(|index| table.get(*index));
        updates.extend(records.map(|record| record.update.clone()));
    }

    /// Sends to a node that is not in the table, or in it under another incarnation.
    pub(crate) fn send_to(
        &mut self,
        to: SocketAddr,
        incarnation: Incarnation,
        message: Message,
        updates: Vec<MemberUpdate>,
        actions: &mut Vec<Action>,
    ) {
        let datagram = Box::new(Datagram {
            head: self.head(incarnation),
            message,
            updates,
        });
        actions.push(Action::Send { to, datagram });
    }
}
