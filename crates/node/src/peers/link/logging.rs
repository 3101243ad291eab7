//! Log lines about membership changes and rejected datagrams.

use std::net::SocketAddr;

use doortrack_membership::Change;
use doortrack_time::TenthMillis;
use slog::{info, warn};

use super::PeerLink;
use crate::peers::datagram_codec::DatagramError;

/// Minimum interval between two log lines about rejected datagrams with the same reason.
const REJECTION_LOG_INTERVAL: TenthMillis = 600_000;

impl PeerLink {
    /// Counts a rejected datagram, and logs the first one with each reason per interval, so that a flood does not fill
    /// the log.
    pub(super) fn count_rejected(&mut self, error: DatagramError, from: SocketAddr) {
        let name = error.name();
        *self.socket.counts.refused.entry(name).or_default() += 1;
        let now = self.now();
        let due = self
            .rejection_logged_at
            .get(name)
            .is_none_or(|at| now >= at + REJECTION_LOG_INTERVAL);
        if due {
            self.rejection_logged_at.insert(name, now);
            warn!(self.log, "unknown peer on the fleet's link"; "from" => %from, "why" => %error);
        }
    }

    /// Logs a change of a member or of this node's state.
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

/// True if a change of this node's state needs an operator's attention.
fn needs_attention(change: &Change) -> bool {
    matches!(
        change,
        Change::Superseded { .. } | Change::DuplicateName { .. } | Change::Isolated(true)
    )
}
