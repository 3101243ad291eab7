//! Reports on the fleet for operators.

use std::net::SocketAddr;

use doortrack_time::{MILLISECOND, TenthMillis};
use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, Stage};
use crate::table::MemberRecord;
use crate::{Incarnation, MemberState, Name};

/// The state of a member as shown to operators. The order of the variants is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportedState {
    /// Not in the view yet: it is joining, or held back because it returned too often.
    Joining,
    /// In the view.
    Alive,
    /// In the view, but a probe of it failed.
    Suspected,
    /// Out of the view: it announced that it leaves.
    Left,
    /// Out of the view: it did not answer. For the reporting node itself: it was superseded.
    Dead,
}

/// One member as one node sees it. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's name.
    pub name: Name,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The member's address (UDP).
    pub address: SocketAddr,
    /// The member's state.
    pub state: ReportedState,
    /// The member's capacity, in a unit that all members share.
    pub weight: u32,
    /// How long the member has been in this state, in ms.
    pub for_ms: u64,
    /// Whether the member answers slowly.
    pub slow: bool,
}

impl MemberReport {
    fn of_member(record: &MemberRecord, now: TenthMillis) -> MemberReport {
        let update = &record.update;
        let state = match update.state {
            state if state.is_present() && record.held_back_until.is_some() => {
                ReportedState::Joining
            }
            MemberState::Alive => ReportedState::Alive,
            MemberState::Suspected { .. } => ReportedState::Suspected,
            MemberState::Dead => ReportedState::Dead,
            MemberState::Left => ReportedState::Left,
        };
        MemberReport {
            name: update.name.clone(),
            incarnation: update.incarnation,
            address: update.address,
            state,
            weight: update.weight,
            for_ms: now.saturating_sub(record.state_since) / MILLISECOND,
            slow: record.slow,
        }
    }
}

impl Fleet {
    /// Reports up to `max` members after a name, including this node, ordered by name. Also returns
    /// whether there are more.
    pub fn report(
        &self,
        after: Option<&Name>,
        max: usize,
        now: TenthMillis,
    ) -> (Vec<MemberReport>, bool) {
        let mut own =
            Some(self.own_report()).filter(|own| after.is_none_or(|after| own.name > *after));
        let mut reports = Vec::new();
        let mut others = self.table.after(after).peekable();
        while reports.len() < max {
            let own_is_next = |name: &Name| own.as_ref().is_some_and(|own| own.name < *name);
            match others.next_if(|record| !own_is_next(&record.update.name)) {
                Some(record) => reports.push(MemberReport::of_member(record, now)),
                None => match own.take() {
                    Some(own) => reports.push(own),
                    None => break,
                },
            }
        }
        (reports, own.is_some() || others.peek().is_some())
    }

    fn own_report(&self) -> MemberReport {
        MemberReport {
            name: self.me.name.clone(),
            incarnation: self.me.incarnation,
            address: self.me.address,
            state: match self.stage {
                Stage::Joining => ReportedState::Joining,
                Stage::Member => ReportedState::Alive,
                Stage::Leaving => ReportedState::Left,
                Stage::Superseded => ReportedState::Dead,
            },
            weight: self.me.weight,
            for_ms: 0,
            slow: false,
        }
    }

    /// Number of datagrams and updates refused since the start: replayed, addressed to another
    /// incarnation, or invalid.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
