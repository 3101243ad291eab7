//! Computes the resource usage of each role from two samples of a fleet.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::child::Usage;
use super::fleet::{FleetSample, ProcessSample};
use super::plan::FleetPlan;
use super::protocol::NodeSample;
use super::series::{Quantity, Role};
use super::serving::LinkCounts;

/// Bytes of the IP and UDP headers per datagram, which the counters do not include.
pub const HEADER_BYTES: u64 = 28;
const THOUSANDTHS: f64 = 1_000.0;

/// One quantity, averaged over the nodes of a role.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub role: Role,
    pub quantity: Quantity,
    pub value: f64,
}

/// Datagrams and bytes per second on a peer link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkRates {
    pub datagrams_in: f64,
    pub datagrams_out: f64,
    /// With IP and UDP headers, like `bytes_out`.
    pub bytes_in: f64,
    pub bytes_out: f64,
}

impl LinkRates {
    /// Computes rates from two counter readings that are `span` apart. A counter that decreased because the
    /// node restarted yields 0.
    pub fn between(before: LinkCounts, after: LinkCounts, span: Duration) -> LinkRates {
        let rate = |before: u64, after: u64| {
            after.saturating_sub(before) as f64 / span.as_secs_f64().max(1e-9)
        };
        let headers = HEADER_BYTES as f64;
        let datagrams_in = rate(before.datagrams_in, after.datagrams_in);
        let datagrams_out = rate(before.datagrams_out, after.datagrams_out);
        LinkRates {
            datagrams_in,
            datagrams_out,
            bytes_in: rate(before.bytes_in, after.bytes_in) + headers * datagrams_in,
            bytes_out: rate(before.bytes_out, after.bytes_out) + headers * datagrams_out,
        }
    }

    /// Returns the mean of several links, or None if there are none.
    pub fn mean(links: &[LinkRates]) -> Option<LinkRates> {
        let count = links.len() as f64;
        let mean = |of: fn(&LinkRates) -> f64| links.iter().map(of).sum::<f64>() / count;
        (!links.is_empty()).then(|| LinkRates {
            datagrams_in: mean(|link| link.datagrams_in),
            datagrams_out: mean(|link| link.datagrams_out),
            bytes_in: mean(|link| link.bytes_in),
            bytes_out: mean(|link| link.bytes_out),
        })
    }

    /// Converts the rates to figures of a role.
    pub fn figures(&self, role: Role) -> Vec<Figure> {
        let all = [
            (Quantity::DatagramsInPerSecond, self.datagrams_in),
            (Quantity::DatagramsOutPerSecond, self.datagrams_out),
            (Quantity::BytesInPerSecond, self.bytes_in),
            (Quantity::BytesOutPerSecond, self.bytes_out),
        ];
        all.into_iter()
            .map(|(quantity, value)| Figure {
                role,
                quantity,
                value,
            })
            .collect()
    }
}

fn counts(sample: &NodeSample) -> LinkCounts {
    LinkCounts {
        datagrams_in: sample.datagrams_in,
        datagrams_out: sample.datagrams_out,
        bytes_in: sample.bytes_in,
        bytes_out: sample.bytes_out,
    }
}

/// Returns the processor time between two readings, in thousandths of one core.
pub fn core_thousandths(before: Usage, after: Usage) -> f64 {
    let span = after
        .at
        .saturating_duration_since(before.at)
        .as_secs_f64()
        .max(1e-9);
    after
        .processor
        .saturating_sub(before.processor)
        .as_secs_f64()
        / span
        * THOUSANDTHS
}

/// Returns the role of a voter or hollow node, given the leader between the samples.
pub fn role(plan: &FleetPlan, node: usize, leader: Option<usize>) -> Role {
    match node {
        _ if leader == Some(node) => Role::Leader,
        _ if plan.is_voter(node) => Role::Voter,
        _ => Role::Node,
    }
}

/// Computes the figures of voters, leader and hollow nodes.
pub fn figures(
    plan: &FleetPlan,
    before: &FleetSample,
    after: &FleetSample,
    leader: Option<usize>,
) -> Vec<Figure> {
    let roles = [Role::Node, Role::Voter, Role::Leader];
    let of_role = |role| {
        let mut figures = link_figures(plan, before, after, leader, role);
        figures.extend(process_figures(plan, before, after, leader, role));
        figures
    };
    roles.into_iter().flat_map(of_role).collect()
}

fn link_figures(
    plan: &FleetPlan,
    before: &FleetSample,
    after: &FleetSample,
    leader: Option<usize>,
    wanted: Role,
) -> Vec<Figure> {
    let span = after.at.saturating_duration_since(before.at);
    let links = after
        .nodes
        .iter()
        .filter(|sample| role(plan, sample.node, leader) == wanted);
    let rates = links.filter_map(|sample| {
        let earlier = before
            .nodes
            .iter()
            .find(|earlier| earlier.node == sample.node)?;
        Some(LinkRates::between(counts(earlier), counts(sample), span))
    });
    let rates: Vec<LinkRates> = rates.collect();
    LinkRates::mean(&rates).map_or(Vec::new(), |mean| mean.figures(wanted))
}

/// Computes processor time and memory per node, from the processes whose first node has this role.
fn process_figures(
    plan: &FleetPlan,
    before: &FleetSample,
    after: &FleetSample,
    leader: Option<usize>,
    wanted: Role,
) -> Vec<Figure> {
    let of_role = |process: &&ProcessSample| role(plan, process.nodes.start, leader) == wanted;
    let (mut nodes, mut thousandths, mut kilobytes) = (0, 0.0, 0.0);
    for process in after.processes.iter().filter(of_role) {
        let earlier = before
            .processes
            .iter()
            .find(|earlier| earlier.nodes == process.nodes);
        let Some(earlier) = earlier else { continue };
        nodes += process.nodes.len();
        thousandths += core_thousandths(earlier.usage, process.usage);
        kilobytes += process.usage.resident_kilobytes as f64;
    }
    if nodes == 0 {
        return Vec::new();
    }
    let figure = |quantity, sum: f64| Figure {
        role: wanted,
        quantity,
        value: sum / nodes as f64,
    };
    vec![
        figure(Quantity::CoreThousandths, thousandths),
        figure(Quantity::ResidentKilobytes, kilobytes),
    ]
}

/// Computes the figures of the real nodes.
pub fn serving_figures(usages: &[(Usage, Usage)], links: &[LinkRates]) -> Vec<Figure> {
    let role = Role::ServingNode;
    let mut figures = LinkRates::mean(links).map_or(Vec::new(), |mean| mean.figures(role));
    let count = usages.len() as f64;
    if !usages.is_empty() {
        let thousandths: f64 = usages
            .iter()
            .map(|(before, after)| core_thousandths(*before, *after))
            .sum();
        let kilobytes: u64 = usages
            .iter()
            .map(|(_, after)| after.resident_kilobytes)
            .sum();
        let figure = |quantity, value| Figure {
            role,
            quantity,
            value,
        };
        figures.push(figure(Quantity::CoreThousandths, thousandths / count));
        figures.push(figure(
            Quantity::ResidentKilobytes,
            kilobytes as f64 / count,
        ));
    }
    figures
}
