//! The settings of a deployment and their reader.

use std::collections::HashSet;

use doortrack_admission::{AdmissionConfig, EndpointGroup};
use doortrack_time::{TenthMillis, from_micros_ceil, from_micros_floor};

use crate::vocabulary::{
    self, BACKPRESSURES, CANCELLATIONS, DOWNSTREAMS, Downstream, EFFECTS, WeightUnit,
    endpoint_group, gauge, node, safety, site, tenant, top,
};
use crate::{JsonValue, SettingsError};

/// The position of each gauge in a reading of all of the node's gauges; none where the node lacks it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GaugeIndices {
    /// The fraction of the cores that is busy.
    pub busy_cores: Option<usize>,
    /// The number of tasks that run or wait for a core.
    pub runnable_tasks: Option<usize>,
    /// The fraction of the memory that is used.
    pub memory: Option<usize>,
    /// The number of open connections.
    pub connections: Option<usize>,
}

/// The settings of a deployment, as far as a node reads them.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// What the admission controller is configured with.
    pub admission: AdmissionConfig,
    /// Where each gauge is found in a reading.
    pub gauges: GaugeIndices,
    /// Names of the endpoint groups, in the order of [`AdmissionConfig::groups`].
    pub group_names: Vec<String>,
    /// Names of the tenants, in the order of [`AdmissionConfig::tenant_quotas`].
    pub tenant_names: Vec<String>,
    /// The callers' list of endpoints follows the health that a node reports.
    pub drains_when_unhealthy: bool,
    /// Health checks ask for real work.
    pub deep_checks: bool,
    /// Requests carry how long their caller waits.
    pub passes_deadline: bool,
    /// There is something downstream that requests may call.
    pub has_downstream: bool,
}

/// Reads the settings; unknown keys are ignored.
///
/// # Errors
/// The first key that is missing or holds a value out of range.
pub fn read(root: &JsonValue) -> Result<DeploymentSettings, SettingsError> {
    let sections = Sections::find(root)?;
    let group_entries = root.required(top::ENDPOINT_GROUPS)?.list()?;
    let groups = sections.endpoint_groups(&group_entries)?;
    let group_names = unique_names(&group_entries, endpoint_group::NAME)?;
    let tenants = read_tenants(root)?;
    let (downstream, downstream_concurrency) = sections.downstream()?;
    Ok(DeploymentSettings {
        has_downstream: downstream != Downstream::None,
        admission: sections.admission(groups, tenants.quotas, downstream_concurrency)?,
        gauges: sections.gauges()?,
        group_names,
        tenant_names: tenants.names,
        drains_when_unhealthy: optional_boolean(&sections.node, node::DRAINS_WHEN_UNHEALTHY)?,
        deep_checks: optional_boolean(&sections.node, node::DEEP_CHECKS)?,
        passes_deadline: optional_boolean(&sections.node, node::PASSES_DEADLINE)?,
    })
}

/// The objects that hold most keys.
struct Sections<'a> {
    root: &'a JsonValue<'a>,
    node: JsonValue<'a>,
    safety: JsonValue<'a>,
    site: JsonValue<'a>,
}

impl<'a> Sections<'a> {
    fn find(root: &'a JsonValue<'a>) -> Result<Sections<'a>, SettingsError> {
        Ok(Sections {
            root,
            node: root.required(top::NODE)?,
            safety: root.required(top::SAFETY)?,
            site: root.required(top::SITE)?,
        })
    }

    fn endpoint_groups(&self, entries: &[JsonValue]) -> Result<Vec<EndpointGroup>, SettingsError> {
        let degraded_weights = self.list_by_group(node::DEGRADED_WEIGHTS, entries.len())?;
        let calls_downstream = self.list_by_group(node::CALLS_DOWNSTREAM, entries.len())?;
        let mut groups = Vec::with_capacity(entries.len());
        for (index, entry) in entries.iter().enumerate() {
            let calls_downstream = calls_downstream[index].boolean()?;
            let degraded_weight = degraded_weights[index].fraction()?;
            groups.push(read_endpoint_group(
                entry,
                degraded_weight,
                calls_downstream,
            )?);
        }
        Ok(groups)
    }

    /// A list of the node's section with one item for each endpoint group.
    fn list_by_group(&self, key: &str, groups: usize) -> Result<Vec<JsonValue<'a>>, SettingsError> {
        let list = self.node.required(key)?;
        let items = list.list()?;
        if items.len() == groups {
            return Ok(items);
        }
        let key = top::ENDPOINT_GROUPS;
        Err(list.unexpected(format!(
            "one item for each of the {groups} groups in '{key}'"
        )))
    }

    /// What is downstream, and this node's share of the calls that a shared dependency takes at once.
    fn downstream(&self) -> Result<(Downstream, Option<f32>), SettingsError> {
        let downstream = self.node.required(node::DOWNSTREAM)?.one_of(&DOWNSTREAMS)?;
        let concurrency = match downstream {
            Downstream::Shared => Some(f32_at(&self.node, node::DOWNSTREAM_CONCURRENCY)?),
            Downstream::NextTier | Downstream::None => None,
        };
        Ok((downstream, concurrency))
    }

    /// Times at which others act are rounded down, times that this node has to wait are rounded up.
    fn admission(
        &self,
        groups: Vec<EndpointGroup>,
        tenant_quotas: Vec<f32>,
        downstream_concurrency: Option<f32>,
    ) -> Result<AdmissionConfig, SettingsError> {
        let Sections {
            root,
            node,
            safety,
            site,
        } = self;
        let passes_retry_after = site.required(site::PASSES_RETRY_AFTER)?.boolean()?;
        Ok(AdmissionConfig {
            cores: f32_at(node, node::CORES)?,
            memory_kb: f32_at(node, node::MEMORY_KB)?,
            run_memory_factor: f32_at(node, node::RUN_MEMORY_FACTOR)?,
            record_kb: f32_at(node, node::RECORD_KB)?,
            groups,
            tenant_quotas,
            over_quota_weight: root.required(top::OVER_QUOTA_WEIGHT)?.fraction()?,
            weight_per_work: self.weight_unit()? == WeightUnit::Work,
            nodes: f32_at(root, top::NODES)?,
            cancellation: node.required(node::CANCELLATION)?.one_of(&CANCELLATIONS)?,
            backpressure: node.required(node::BACKPRESSURE)?.one_of(&BACKPRESSURES)?,
            backpressure_ttl: time_floor(node, node::BACKPRESSURE_TTL)?,
            max_staleness: time_floor(node, node::MAX_STALENESS)?,
            downstream_concurrency,
            downstream_window: time_floor(node, node::DOWNSTREAM_WINDOW)?,
            abandoned_call_time: time_ceil(node, node::ABANDONED_CALL_TIME)?,
            cold: node.required(node::COLD)?.boolean()?,
            initial_speed: safety.required(safety::INITIAL_SPEED)?.fraction()?,
            warm_up_time: time_ceil(safety, safety::WARM_UP_TIME)?,
            overload_multiple: f32_at(safety, safety::OVERLOAD_MULTIPLE)?,
            overload_window: time_floor(safety, safety::OVERLOAD_WINDOW)?,
            drain_grace: time_floor(safety, safety::DRAIN_GRACE)?,
            idle_timeout: time_floor(node, node::IDLE_TIMEOUT)?,
            max_retry_after: if passes_retry_after {
                time_floor(site, site::MAX_RETRY_AFTER)?
            } else {
                0
            },
            tick: time_ceil(root, top::TICK)?,
        })
    }

    fn weight_unit(&self) -> Result<WeightUnit, SettingsError> {
        let word = self.root.required(top::WEIGHT_UNIT)?.string()?;
        Ok(vocabulary::weight_unit(word))
    }

    fn gauges(&self) -> Result<GaugeIndices, SettingsError> {
        let gauges = self.node.required(node::GAUGES)?.list()?;
        let index_of = |name: &str| gauges.iter().position(|gauge| gauge.as_str() == Some(name));
        Ok(GaugeIndices {
            busy_cores: index_of(gauge::BUSY_CORES),
            runnable_tasks: index_of(gauge::RUNNABLE_TASKS),
            memory: index_of(gauge::MEMORY),
            connections: index_of(gauge::CONNECTIONS),
        })
    }
}

fn read_endpoint_group(
    entry: &JsonValue,
    degraded_weight: f32,
    calls_downstream: bool,
) -> Result<EndpointGroup, SettingsError> {
    let effect = entry.required(endpoint_group::EFFECT)?.one_of(&EFFECTS)?;
    let latency_objective = time_floor(entry, endpoint_group::LATENCY_OBJECTIVE)?;
    let objective_per_work = match entry.get(endpoint_group::OBJECTIVE_PER_WORK) {
        Some(multiple) => multiple.number()? as f32,
        None => 0.0,
    };
    Ok(EndpointGroup {
        effect,
        latency_objective,
        objective_per_work,
        deadline: time_floor(entry, endpoint_group::DEADLINE)?,
        dedup_window: time_ceil(entry, endpoint_group::DEDUP_WINDOW)?,
        priority_weight: f32_at(entry, endpoint_group::PRIORITY_WEIGHT)?,
        late_weight: entry.required(endpoint_group::LATE_WEIGHT)?.fraction()?,
        degraded_weight,
        calls_downstream,
    })
}

/// The tenants, in the order of the file.
struct Tenants {
    /// In requests per second.
    quotas: Vec<f32>,
    names: Vec<String>,
}

/// There may be no list of tenants at all.
fn read_tenants(root: &JsonValue) -> Result<Tenants, SettingsError> {
    let entries = match root.get(top::TENANTS) {
        Some(entries) => entries.list()?,
        None => Vec::new(),
    };
    let quotas = entries
        .iter()
        .map(|entry| f32_at(entry, tenant::QUOTA))
        .collect::<Result<_, _>>()?;
    for share in entries
        .iter()
        .filter_map(|entry| entry.get(tenant::TRAFFIC_SHARE))
    {
        // Not used, but refused where it is out of range.
        share.fraction()?;
    }
    let names = unique_names(&entries, tenant::NAME)?;
    Ok(Tenants { quotas, names })
}

/// The names of a list's items; two alike would leave open which one a request means.
fn unique_names(list: &[JsonValue], key: &str) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::with_capacity(list.len());
    let mut seen = HashSet::with_capacity(list.len());
    for item in list {
        let value = item.required(key)?;
        let name = value.string()?;
        if !seen.insert(name) {
            return Err(value.unexpected("a name that none before it has"));
        }
        names.push(name.to_string());
    }
    Ok(names)
}

fn f32_at(section: &JsonValue, key: &str) -> Result<f32, SettingsError> {
    Ok(section.required(key)?.number()? as f32)
}

fn time_floor(section: &JsonValue, key: &str) -> Result<TenthMillis, SettingsError> {
    Ok(from_micros_floor(section.required(key)?.micros()?))
}

fn time_ceil(section: &JsonValue, key: &str) -> Result<TenthMillis, SettingsError> {
    Ok(from_micros_ceil(section.required(key)?.micros()?))
}

/// False where the key is absent.
fn optional_boolean(section: &JsonValue, key: &str) -> Result<bool, SettingsError> {
    section.get(key).map_or(Ok(false), |flag| flag.boolean())
}
