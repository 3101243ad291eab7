//! Comparing views: fetches the table of a member whose view differs, page by page.

use crate::fleet::{Fetch, Fleet};
use crate::table::MemberIndex;
use crate::{Action, DatagramHeader, Message};
use doortrack_time::TenthMillis;

/// Gossip rounds without a change of the view after which updates on their way no longer explain a
/// difference.
const STABLE_ROUNDS: u64 = 4;
/// Gossip rounds within which each page of a fetch is expected, and between the starts of two
/// fetches.
const FETCH_ROUNDS: u64 = 20;

impl Fleet {
    /// Fetches the table of a member whose view differs while this node's has not changed for a
    /// while.
    pub(crate) fn compare_views(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        head: &DatagramHeader,
        actions: &mut Vec<Action>,
    ) {
        let stable_at = self.view_since + STABLE_ROUNDS * self.parameters.gossip_interval;
        if head.digest == self.view.digest || now < stable_at {
            return;
        }
        let fetch_time = FETCH_ROUNDS * self.parameters.gossip_interval;
        let fetching = self.fetch.as_ref().is_some_and(|fetch| fetch.until > now);
        if fetching || now < self.fetched_at + fetch_time {
            return;
        }
        self.fetch = Some(Fetch {
            from: head.sender.name.clone(),
            until: now + fetch_time,
        });
        self.fetched_at = now;
        self.send(index, Message::PageRequest { after: None }, actions);
    }

    /// Requests the next page, if this one is of the table that is being fetched.
    pub(crate) fn on_page(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        next: Option<crate::Name>,
        actions: &mut Vec<Action>,
    ) {
        let Some(name) = self
            .table
            .get(index)
            .map(|record| record.update.name.clone())
        else {
            return;
        };
        match (&self.fetch, next) {
            (Some(fetch), _) if fetch.from != name && fetch.until > now => {}
            (_, Some(next)) => {
                self.fetch = Some(Fetch {
                    from: name,
                    until: now + FETCH_ROUNDS * self.parameters.gossip_interval,
                });
                self.send(index, Message::PageRequest { after: Some(next) }, actions);
            }
            (_, None) => self.fetch = None,
        }
    }
}
