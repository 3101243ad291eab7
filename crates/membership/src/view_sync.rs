//! Compares views, and fetches the table of a member whose view differs, page by page.

use crate::fleet::{Fleet, TableFetch};
use crate::table::MemberIndex;
use crate::{Action, DatagramHeader, Message};
use doortrack_time::TenthMillis;

/// Number of gossip intervals without a change of the view after which updates in transit no longer
/// explain a difference.
const STABLE_ROUNDS: u64 = 4;
/// Timeout for each page of a fetch, and minimum time between the starts of two fetches, in gossip
/// intervals.
const FETCH_ROUNDS: u64 = 20;

impl Fleet {
    /// Fetches the table of a member whose view differs, if this node's view has not changed
    /// recently.
    pub(crate) fn compare_views(
        &mut self,
        now: TenthMillis,
        index: MemberIndex,
        head: &DatagramHeader,
        actions: &mut Vec<Action>,
    ) {
        let stable_at = self.view_changed_at + STABLE_ROUNDS * self.parameters.gossip_interval;
        if head.digest == self.view.digest || now < stable_at {
            return;
        }
        let fetch_time = FETCH_ROUNDS * self.parameters.gossip_interval;
        let fetching = self.fetch.as_ref().is_some_and(|fetch| fetch.until > now);
        if fetching || now < self.fetch_started_at + fetch_time {
            return;
        }
        self.fetch = Some(TableFetch {
            from: head.sender.name.clone(),
            until: now + fetch_time,
        });
        self.fetch_started_at = now;
        self.send(index, Message::PageRequest { after: None }, actions);
    }

    /// Requests the next page, unless a fetch of another member's table is in progress.
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
                self.fetch = Some(TableFetch {
                    from: name,
                    until: now + FETCH_ROUNDS * self.parameters.gossip_interval,
                });
                self.send(index, Message::PageRequest { after: Some(next) }, actions);
            }
            (_, None) => self.fetch = None,
        }
    }
}
