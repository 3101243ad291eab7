//! How a node reports its fleet to operators.

use std::net::SocketAddr;

use doortrack_time::{MILLISECOND, TenthMillis};
use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, Stage};
use crate::table::MemberRecord;
use crate::{Incarnation, MemberState, Name};

/// The state of a member as operators read it. The order of the variants is part of the wire
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportedState {
    /// Not in the view yet: it looks for the fleet, or is held back for coming back too often.
    Joining,
    /// In the view.
    Alive,
    /// In the view; a probe of it failed.
    Suspected,
    /// It announced that it left.
    Left,
    /// Out of the view, as it did not answer. Of the node itself: it was superseded.
    Dead,
}

/// One member as one node sees it. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member.
    pub name: Name,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Where it is reached (UDP).
    pub address: SocketAddr,
    /// Its state.
    pub state: ReportedState,
    /// Its capacity, in a unit that all members share.
    pub weight: u32,
    /// How long it has been in this state, in ms.
    pub for_ms: u64,
    /// It answers, but late.
    pub slow: bool,
}

impl MemberReport {
    fn of_member(record: &MemberRecord, now: TenthMillis) -> MemberReport {
        let update = &record.update;
        let state = match update.state {
            state if state.is_present() && record.held_until.is_some() => ReportedState::Joining,
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
            for_ms: now.saturating_sub(record.since) / MILLISECOND,
            slow: record.slow,
        }
    }
}

impl Fleet {
    /// Up to `max` members behind a name, the node itself among them, in the order of names; and
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

    /// Datagrams refused since the start: replayed, meant for another incarnation, or out of
    /// bounds.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
