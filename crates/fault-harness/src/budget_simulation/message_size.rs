//! The size of messages between nodes.

use doortrack_budgets::{Envelope, Message, NodeId};

/// Approximate bytes of an encoded envelope, close enough to compare runs.
pub(super) fn encoded_size(envelope: &Envelope) -> u64 {
    let varint = |value: u64| 1 + u64::from(value > 127) + u64::from(value > 16_383);
    let node_id = |id: &NodeId| 1 + id.name.len() as u64 + 9;
    let message = match &envelope.message {
        Message::VoteRequest { ballot }
        | Message::Vote { ballot }
        | Message::Refused { ballot } => varint(*ballot),
        Message::Release { ballot } => varint(*ballot),
        Message::Report { seq, items, .. } => {
            let item = |item: &doortrack_budgets::ReportItem| {
                let units = [
                    item.need,
                    item.holding,
                    item.accepted,
                    item.limit,
                    item.reserved,
                ];
                5 + units.into_iter().map(varint).sum::<u64>()
            };
            varint(*seq) + 2 + items.iter().map(item).sum::<u64>()
        }
        Message::Grant { seq, grants } => {
            varint(*seq)
                + 1
                + grants
                    .iter()
                    .map(|grant| 6 + varint(grant.allocation))
                    .sum::<u64>()
        }
        Message::NotLeader { seq, leader } => varint(*seq) + 1 + leader.as_ref().map_or(0, node_id),
    };
    node_id(&envelope.from) + node_id(&envelope.to) + 1 + message
}
