//! Those who ask the nodes, the ends of places, and the looks of the checkers.

use doortrack_budgets::Kind;
use doortrack_simulation::MachineId;

use super::{
    EXPOSED_EVERY, EXPOSED_SELDOM, LEADER_EVERY, MANY_BUDGETS, MS, TICK, TICK_MARK, World,
};

/// Every node is asked once in so many ticks.
const GROUPS: u64 = 10;

impl World<'_> {
    pub(super) fn tick(&mut self) {
        let now = self.now();
        self.network.set_timer(now + TICK, TICK_MARK);
        self.end_places();
        let group = self.tick % GROUPS;
        let nodes = self.scenario.topology.nodes;
        for node in (group as usize..nodes).step_by(GROUPS as usize) {
            self.asked(node);
        }
        let many = self.scenario.list.len() > MANY_BUDGETS;
        if self
            .tick
            .is_multiple_of(if many { EXPOSED_SELDOM } else { EXPOSED_EVERY })
        {
            self.sum_exposed();
        }
        if self.tick.is_multiple_of(LEADER_EVERY) {
            let leader = self.leader();
            self.played.leaders.push(leader);
        }
        self.tick += 1;
    }

    /// Those who came to a node since it was last looked at.
    fn asked(&mut self, node: MachineId) {
        let (now, shown) = (self.now(), self.shown(node));
        let region = self.scenario.topology.region(node);
        let Some(own) = self.machines[node].as_mut().filter(|own| !own.leaves) else {
            return;
        };
        let demand = self.scenario.demand;
        for (budget, owed) in self.owed[node].iter_mut().enumerate() {
            let a_second = if budget == 0 {
                demand.first
            } else {
                demand.others
            };
            *owed += a_second * (GROUPS * TICK) as f64 / 1e6;
            while *owed >= 1.0 {
                *owed -= 1.0;
                if own.budgets.acquire(budget, shown).is_err() {
                    continue;
                }
                match self.scenario.list[budget].kind {
                    Kind::Rate { .. } => self.played.usage.used(now, budget, region),
                    Kind::Concurrency { .. } => {
                        let till = now + demand.held_ms * MS;
                        self.played
                            .usage
                            .held(now, budget, (till, node, self.starts[node]));
                    }
                }
            }
        }
    }

    fn end_places(&mut self) {
        let now = self.now();
        for budget in 0..self.scenario.list.len() {
            while let Some((_, node, start)) = self.played.usage.over(now, budget) {
                if let Some(own) = self.machines[node]
                    .as_mut()
                    .filter(|_| self.starts[node] == start)
                {
                    own.budgets.release(budget);
                }
            }
        }
    }

    /// What all live machines may use at this instant, each by its own clock.
    fn sum_exposed(&mut self) {
        let now = self.now();
        for budget in 0..self.scenario.list.len() {
            let exposed = |machine: MachineId| {
                let own = self.machines[machine].as_ref();
                own.map_or(0, |own| own.budgets.max_in_use(budget, self.shown(machine)))
            };
            let sum = (0..self.machines.len()).map(exposed).sum();
            self.played.usage.exposed(now, budget, sum);
        }
    }
}
