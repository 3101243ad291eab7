//! What a leader has granted, to whom and till when.

use std::collections::{BTreeMap, VecDeque};

use doortrack::Tenths;

use crate::{Asks, Budget, Grant, Id, Item, NodeId, Parameters, Units, divide};

/// Allocations sent and not yet confirmed, kept one by one; of more the two oldest are taken for the greater.
const MAX_SENT: usize = 6;
/// Rounds after which single steps that can't be divided go to the next.
const ROTATE_AFTER: u64 = 5;

/// One holder's part of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    /// The newest report on it. Of one round's reports on different budgets any may come first.
    last_seq: u64,
    need: Units,
    /// What it said it may have in use.
    holding: Units,
    /// What it was sent since: any of these may be in force, or come to be.
    sent: VecDeque<(u64, Units)>,
    /// What it is to have, by the last division.
    target: Units,
    /// From here on it has nothing in use of what is counted here.
    till: Tenths,
    limit: Units,
    reserved: Units,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    weight: u32,
    lines: BTreeMap<usize, Line>,
}

/// One budget as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Book {
    budget: Budget,
    granted: Units,
    /// What can be granted as all see it: by the lowest limit and the greatest reservation that anybody was
    /// told of.
    grantable: Units,
}

/// The books of one term; they begin empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Accounts {
    books: Vec<Book>,
    indices: BTreeMap<Id, usize>,
    holders: BTreeMap<NodeId, Holder>,
    rotation: u64,
}

impl Line {
    fn outstanding(&self, parameters: &Parameters) -> Units {
        if !parameters.safeguards.confirm {
            return self.sent.back().map_or(self.holding, |(_, allocation)| *allocation);
        }
        self.sent.iter().map(|(_, allocation)| *allocation).fold(self.holding, Units::max)
    }

    fn send(&mut self, seq: u64, allocation: Units) {
        self.sent.push_back((seq, allocation));
        if self.sent.len() > MAX_SENT
            && let Some((_, oldest)) = self.sent.pop_front()
            && let Some((_, next)) = self.sent.front_mut()
        {
            *next = oldest.max(*next);
        }
    }
}

impl Accounts {
    pub fn new(list: &[Budget]) -> Accounts {
        let book = |budget: &Budget| Book {
            granted: 0,
            grantable: budget.grantable(budget.limit(), budget.reserved()),
            budget: budget.clone(),
        };
        let indices = list.iter().enumerate().map(|(index, budget)| (budget.id(), index)).collect();
        Accounts { books: list.iter().map(book).collect(), indices, ..Accounts::default() }
    }

    /// Other budgets: what stays granted of those that remain is kept.
    pub fn change(&mut self, list: &[Budget]) {
        let old = std::mem::replace(self, Accounts::new(list));
        for (who, holder) in old.holders {
            let kept = holder.lines.into_iter().filter_map(|(index, line)| {
                let index = *self.indices.get(&old.books[index].budget.id())?;
                Some((index, line))
            });
            let lines: BTreeMap<usize, Line> = kept.collect();
            self.holders.insert(who, Holder { lines, ..holder });
        }
        for book in &mut self.books {
            let before = old.indices.get(&book.budget.id()).map(|index| &old.books[*index]);
            book.granted = before.map_or(0, |before| before.granted);
        }
        self.rotation = old.rotation;
    }

    /// Takes a report in, and says what the holder may use; nothing for one that came late. `settled` tells
    /// of each budget whether all that an earlier leader granted is over.
    pub fn report(
        &mut self,
        now: Tenths,
        who: &NodeId,
        (seq, weight): (u64, u32),
        items: &[Item],
        settled: impl Fn(&Budget) -> bool,
        parameters: &Parameters,
    ) -> Option<Vec<Grant>> {
        let holder = self.holders.entry(who.clone()).or_default();
        holder.weight = weight;
        let mut grants = Vec::with_capacity(items.len());
        for item in items {
            let Some(index) = self.indices.get(&item.id).copied() else { continue };
            let book = &mut self.books[index];
            let grantable = book.budget.grantable(item.limit.min(book.budget.limit()), item.reserved);
            book.grantable = book.grantable.min(grantable);
            let line = holder.lines.entry(index).or_insert_with(|| Line {
                last_seq: 0,
                need: 0,
                holding: 0,
                sent: VecDeque::new(),
                target: 0,
                till: 0,
                limit: item.limit,
                reserved: item.reserved,
            });
            if seq <= line.last_seq && parameters.safeguards.in_order {
                continue;
            }
            line.last_seq = seq;
            let before = line.outstanding(parameters);
            line.sent.retain(|(seq, _)| *seq > item.accepted);
            line.holding = item.holding.min(book.budget.limit());
            (line.need, line.limit, line.reserved) = (item.need, item.limit, item.reserved);
            line.till =
                now + parameters.lease + if parameters.safeguards.held { book.budget.max_hold() } else { 0 };
            // What others may have is theirs, whatever this one needs.
            let others = book.granted.saturating_sub(before);
            let free = book.grantable.saturating_sub(others);
            let prolongs = !settled(&book.budget);
            let wanted = if prolongs { line.holding } else { line.target };
            let allocation = wanted.min(free);
            line.send(seq, allocation);
            book.granted = others + line.outstanding(parameters);
            grants.push(Grant { id: item.id, allocation, prolongs });
        }
        (!grants.is_empty()).then_some(grants)
    }

    /// Strikes out leases that are over, and divides anew what each is to have.
    pub fn divide(&mut self, now: Tenths, parameters: &Parameters) {
        self.rotation += 1;
        for holder in self.holders.values_mut() {
            holder.lines.retain(|index, line| {
                let over = line.till <= now;
                if over {
                    let book = &mut self.books[*index];
                    book.granted = book.granted.saturating_sub(line.outstanding(parameters));
                }
                !over
            });
        }
        self.holders.retain(|_, holder| !holder.lines.is_empty());
        let mut asks: Vec<Vec<Asks>> = vec![Vec::new(); self.books.len()];
        let mut seen: Vec<(Units, Units)> =
            self.books.iter().map(|book| (book.budget.limit(), book.budget.reserved())).collect();
        for (who, holder) in &self.holders {
            for (index, line) in &holder.lines {
                let max = self.books[*index].budget.max_grant(&who.name);
                asks[*index].push(Asks { need: line.need, weight: holder.weight, max });
                let (limit, reserved) = &mut seen[*index];
                (*limit, *reserved) = (line.limit.min(*limit), line.reserved.max(*reserved));
            }
        }
        let mut allocations: Vec<std::vec::IntoIter<Units>> = Vec::with_capacity(self.books.len());
        for ((book, asks), (limit, reserved)) in self.books.iter_mut().zip(&asks).zip(seen) {
            book.grantable = book.budget.grantable(limit, reserved);
            allocations.push(
                divide(book.grantable, book.budget.step(), asks, self.rotation / ROTATE_AFTER).into_iter(),
            );
        }
        for holder in self.holders.values_mut() {
            for (index, line) in &mut holder.lines {
                line.target = allocations[*index].next().unwrap_or(0);
            }
        }
    }

    /// What is granted of a budget, by its index.
    pub fn granted(&self, index: usize) -> Units {
        self.books.get(index).map_or(0, |book| book.granted)
    }
}
