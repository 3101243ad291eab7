//! What this node may use of the fleet's budgets: which of them an exchange falls under, and what is told of
//! them. How they are divided is decided by `doortrack-budgets`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use doortrack::Tenths;
use doortrack_budgets::{Action, Budget, Budgets, Event, Kind, News, Terms, Units, Who};
use doortrack_installation::reload::FleetChange;
use doortrack_installation::{Falls, FleetFile, Installation, Orders};
use slog::{Logger, info, warn};

use super::spoken::{BUDGET_PAGE, BudgetPage, BudgetStatus};
use crate::parts::{Asked, Ticket, Use};

const MS: Tenths = 10;
/// Some hundred ns lie between a look at the clock and the use that follows. A process that stood still for
/// longer there is counted.
const LATE: Tenths = 5 * MS;

/// The budgets with what leads to them.
pub struct Shares {
    pub budgets: Budgets,
    falls: Falls,
    pub actions: Vec<Action>,
    /// By place: exchanges that passed and were not given back, and the share that the log told last.
    used: Vec<u64>,
    told: Vec<Units>,
    /// Uses before which the process stood still after it had looked at its lease.
    late: u64,
    /// Places of runs that were given up, till when they may go on.
    lingering: BinaryHeap<Reverse<(Tenths, u16)>>,
}

impl Shares {
    /// None where the installation has no budgets.
    pub fn open(file: &FleetFile, installation: &Installation, orders: &Orders, me: Who) -> Option<Shares> {
        if installation.budgets.is_empty() {
            return None;
        }
        let list = installation.budget_list(orders);
        let weight = file.weight.unwrap_or(orders.handed.contract.cores).max(1);
        let budgets = Budgets::new(me, weight, file.lease_terms(), &list, fastrand::u64(..), 0);
        let (falls, used, told) = (installation.falls(orders), vec![0; list.len()], vec![0; list.len()]);
        Some(Shares {
            budgets,
            falls,
            actions: Vec::new(),
            used,
            told,
            late: 0,
            lingering: BinaryHeap::new(),
        })
    }

    pub fn handle(&mut self, now: Tenths, what: Event) {
        self.budgets.handle(now, what, &mut self.actions);
    }

    /// Other budgets under way.
    pub fn change(&mut self, now: Tenths, change: &mut FleetChange) {
        let list = std::mem::take(&mut change.budgets);
        let names: Vec<_> = self.budgets.list().map(|budget| budget.name.clone()).collect();
        let used = |name: &std::sync::Arc<str>| names.iter().position(|of| of == name);
        self.used = list.iter().map(|of| used(&of.name).map_or(0, |place| self.used[place])).collect();
        std::mem::swap(&mut self.falls, &mut change.falls);
        self.handle(now, Event::Changed { list });
    }

    /// Why budgets of this file can't be taken up under way, if they can't: what exchanges in hand hold is
    /// known by its place, and votes under two lists of voters, or of two lengths, would not meet.
    pub fn needs_a_start(&self, file: &FleetFile, list: &[Budget]) -> Option<&str> {
        let (old, new) = (self.budgets.terms(), file.lease_terms());
        let times = |of: &Terms| (of.round, of.vote_lasts, of.lease, of.drift);
        if old.voters != new.voters {
            Some("the voters changed")
        } else if times(old) != times(&new) {
            Some("fleet.leases changed")
        } else if !self.budgets.list().map(Budget::id).eq(list.iter().map(Budget::id)) {
            Some("some come, go, change places, or are of another kind")
        } else {
            None
        }
    }

    /// Takes one of each budget under which the exchange falls, or none. `now` looks at the clock.
    pub fn admit(&mut self, asked: Asked, now: impl Fn() -> Tenths) -> Result<Ticket, Tenths> {
        let falls = &self.falls;
        let under = |list: &[Option<u16>], place: usize| list.get(place).copied().flatten();
        let places = [
            under(&falls.groups, usize::from(asked.group)),
            under(&falls.customers, usize::from(asked.customer)),
            under(&falls.pools, usize::from(asked.pool)),
        ];
        if places == [None; 3] {
            return Ok(Ticket::default());
        }
        let looked = now();
        for (nth, place) in places.iter().enumerate() {
            let Some(place) = place.map(usize::from) else { continue };
            if let Err(wait) = self.budgets.take(place, looked) {
                let taken = places[..nth].iter().flatten();
                taken.for_each(|place| self.put_back(usize::from(*place), false));
                return Err(wait);
            }
            self.used[place] += 1;
        }
        self.late += u64::from(now() > looked + LATE);
        Ok(Ticket(places))
    }

    /// The budget of retries to the pool at this place.
    pub fn retries(&self, pool: u16) -> Option<u16> {
        self.falls.retries.get(usize::from(pool)).copied().flatten()
    }

    /// Whether one more retry may be made.
    pub fn retry(&mut self, place: u16, now: Tenths) -> bool {
        let taken = self.budgets.take(usize::from(place), now).is_ok();
        self.used[usize::from(place)] += u64::from(taken);
        taken
    }

    fn put_back(&mut self, place: usize, ran: bool) {
        if ran {
            self.budgets.done(place);
        } else {
            self.budgets.unused(place);
            self.used[place] = self.used[place].saturating_sub(1);
        }
    }

    pub fn give_back(&mut self, ticket: Ticket, came: Use, now: Tenths) {
        for place in ticket.0.into_iter().flatten() {
            let held = self.budgets.list().nth(usize::from(place)).map_or(0, Budget::held_most);
            if came == Use::MayGoOn && held > 0 {
                self.lingering.push(Reverse((now + held, place)));
            } else {
                self.put_back(usize::from(place), came != Use::None);
            }
        }
    }

    /// Places of runs that are over by now, whoever ran them.
    pub fn free(&mut self, now: Tenths) {
        while let Some(Reverse((_, place))) =
            self.lingering.peek().copied().filter(|Reverse((till, _))| *till <= now)
        {
            self.lingering.pop();
            self.put_back(usize::from(place), true);
        }
    }

    pub fn page(&mut self, nonce: u64, from: u16, now: Tenths) -> BudgetPage {
        let count = self.used.len();
        let places = usize::from(from).min(count)..(usize::from(from) + BUDGET_PAGE).min(count);
        let more = places.end < count;
        let kinds: Vec<_> = self.budgets.list().map(|of| (of.name.clone(), of.kind, of.whole)).collect();
        let budgets = places.map(|place| {
            let (stands, (name, kind, whole)) = (self.budgets.standing(place, now), &kinds[place]);
            BudgetStatus {
                name: name.to_string(),
                rate: matches!(kind, Kind::Rate { .. }),
                whole: *whole,
                share: stands.share,
                used: self.used[place],
                rejected: stands.rejected,
                need: stands.need,
                in_use: stands.in_use,
                until_ms: stands.lasts.map(|lasts| lasts / MS),
                lent: stands.lent,
            }
        });
        let budgets = budgets.collect();
        BudgetPage { nonce, keeper: self.budgets.keeper().map(|who| who.name.clone()), budgets, more }
    }

    /// A share is told where it has changed by over an eighth: it follows the load, and the log is bounded.
    pub fn log(&mut self, log: &Logger, news: &News) {
        if let News::Share { place, share, .. } = news {
            let told = &mut self.told[*place];
            if share.abs_diff(*told) <= (*told).max(*share) / 8 {
                return;
            }
            *told = *share;
        }
        let word = news.word();
        let name = |place: usize| self.budgets.list().nth(place).map_or("", |budget| &budget.name);
        match news {
            News::Elected { lends_after } => {
                info!(log, "budget"; "what" => word, "lends_after_ms" => lends_after / MS);
            }
            News::SteppedDown => info!(log, "budget"; "what" => word),
            News::Keeper(who) => info!(log, "budget"; "what" => word, "of" => &*who.name),
            News::KeeperSilent(who) => warn!(log, "budget"; "what" => word, "of" => &*who.name),
            News::Share { place, was, share, lasts } => {
                info!(log, "budget"; "what" => word, "budget" => name(*place), "was" => was, "share" => share,
                    "lasts_ms" => lasts / MS);
            }
            News::RanOut { place, share } => {
                warn!(log, "budget"; "what" => word, "budget" => name(*place), "was" => share);
            }
        }
    }

    pub fn summary(&self, log: &Logger) {
        let keeper = self.budgets.keeper().map_or("", |who| &who.name);
        info!(log, "so far of budgets"; "keeper" => keeper, "passed" => self.used.iter().sum::<u64>(),
            "late_looks" => self.late);
    }
}
