//! Log lines on changes of members, and on datagrams that were refused.

use std::net::SocketAddr;

use doortrack_membership::Change;
use doortrack_time::TenthMillis;
use slog::{info, warn};

use super::PeerLink;
use crate::peers::datagram_codec::DatagramError;

/// Interval between two log lines of one kind about unknown peers, in tenths of a ms.
const REFUSAL_LOG_INTERVAL: TenthMillis = 600_000;

impl PeerLink {
    /// Counts a datagram that was refused, and logs the first of its kind in each interval: a flood must not
    /// fill the log.
    pub(super) fn refuse(&mut self, refused: DatagramError, from: SocketAddr) {
        let name = refused.name();
        *self.socket.counts.refused.entry(name).or_default() += 1;
        let now = self.now();
        let due = self
            .refusal_logged_at
            .get(name)
            .is_none_or(|at| now >= at + REFUSAL_LOG_INTERVAL);
        if due {
            self.refusal_logged_at.insert(name, now);
            warn!(self.log, "unknown peer on the fleet's link"; "from" => %from, "why" => %refused);
        }
    }

    /// Logs a change of a member or of this node's own state.
    pub(super) fn log(&self, change: &Change) {
        let view = self.fleet.view();
        let digest = format!("{:016x}", view.digest);
        let name = change.name();
        match change.member() {
            Some((member, incarnation)) => {
                info!(self.log, "member"; "change" => name, "member" => &**member, "incarnation" => %incarnation,
                    "view" => view.number, "members" => view.members.len(), "digest" => digest);
            }
            None if needs_attention(change) => {
                warn!(self.log, "member"; "change" => name, "why" => ?change, "view" => view.number);
            }
            None => {
                info!(self.log, "member"; "change" => name, "why" => ?change, "view" => view.number)
            }
        }
    }
}

/// Whether a change of this node's own state calls for an operator.
fn needs_attention(change: &Change) -> bool {
    matches!(
        change,
        Change::Superseded { .. } | Change::DuplicateName { .. } | Change::Isolated(true)
    )
}
