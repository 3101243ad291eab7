//! Generates requests, releases expired concurrency units, and runs periodic checks.

use doortrack_budgets::Kind;
use doortrack_simulation::MachineId;

use super::{
    LEADER_SAMPLE_TICKS, MANY_BUDGETS, MAX_IN_USE_CHECK_TICKS, MAX_IN_USE_CHECK_TICKS_MANY_BUDGETS,
    MS, TICK, TICK_MARK, World,
};

/// Number of groups of nodes; one group gets its requests in each tick.
const GROUPS: u64 = 10;

impl World<'_> {
    pub(super) fn tick(&mut self) {
        let now = self.now();
        self.network.set_timer(now + TICK, TICK_MARK);
        self.release_expired_holds();
        let group = self.tick % GROUPS;
        let nodes = self.scenario.topology.nodes;
        for node in (group as usize..nodes).step_by(GROUPS as usize) {
            self.generate_requests(node);
        }
        let many = self.scenario.list.len() > MANY_BUDGETS;
        if self.tick.is_multiple_of(if many {
            MAX_IN_USE_CHECK_TICKS_MANY_BUDGETS
        } else {
            MAX_IN_USE_CHECK_TICKS
        }) {
            self.check_max_in_use_sum();
        }
        if self.tick.is_multiple_of(LEADER_SAMPLE_TICKS) {
            let leader = self.leader();
            self.results.leaders.push(leader);
        }
        self.tick += 1;
    }

    /// Generates the requests of a node since its last turn.
    fn generate_requests(&mut self, node: MachineId) {
        let (now, machine_time) = (self.now(), self.machine_time(node));
        let region = self.scenario.topology.region(node);
        let Some(process) = self.machines[node]
            .as_mut()
            .filter(|process| !process.leaves)
        else {
            return;
        };
        let demand = self.scenario.demand;
        for (budget, accumulated_demand) in self.accumulated_demand[node].iter_mut().enumerate() {
            let uses_per_second = if budget == 0 {
                demand.first
            } else {
                demand.others
            };
            *accumulated_demand += uses_per_second * (GROUPS * TICK) as f64 / 1e6;
            while *accumulated_demand >= 1.0 {
                *accumulated_demand -= 1.0;
                if process.budgets.acquire(budget, machine_time).is_err() {
                    continue;
                }
                match self.scenario.list[budget].kind {
                    Kind::Rate { .. } => self.results.usage.record_use(now, budget, region),
                    Kind::Concurrency { .. } => {
                        let until = now + demand.held_ms * MS;
                        self.results.usage.record_hold(
                            now,
                            budget,
                            (until, node, self.starts[node]),
                        );
                    }
                }
            }
        }
    }

    fn release_expired_holds(&mut self) {
        let now = self.now();
        for budget in 0..self.scenario.list.len() {
            while let Some((_, node, start)) = self.results.usage.pop_expired(now, budget) {
                if let Some(process) = self.machines[node]
                    .as_mut()
                    .filter(|_| self.starts[node] == start)
                {
                    process.budgets.release(budget);
                }
            }
        }
    }

    /// Checks the sum that all live machines may use now, each by its own clock.
    fn check_max_in_use_sum(&mut self) {
        let now = self.now();
        for budget in 0..self.scenario.list.len() {
            let machine_max = |machine: MachineId| {
                let process = self.machines[machine].as_ref();
                process.map_or(0, |process| {
                    process
                        .budgets
                        .max_in_use(budget, self.machine_time(machine))
                })
            };
            let sum = (0..self.machines.len()).map(machine_max).sum();
            self.results.usage.check_max_in_use(now, budget, sum);
        }
    }
}
