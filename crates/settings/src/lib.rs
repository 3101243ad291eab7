//! Reads the settings of a deployment into the contract that the decisions are handed. Both the simulator's
//! adapter and the real node take theirs from here; faults name the key.

use std::collections::HashSet;

use doortrack_admission::{AdmissionConfig, Backpressure, Cancellation, Effect, EndpointGroup};
use doortrack_time::TenthMillis;
use serde_json::Value;

/// What is wrong with a text that was handed over, and where.
pub type SettingsError = String;

/// Microseconds in a tenth of a millisecond.
pub const TENTH: u64 = 100;

pub fn up(us: u64) -> TenthMillis {
    us.div_ceil(TENTH)
}

pub fn down(us: u64) -> TenthMillis {
    us / TENTH
}

/// Which of the node's gauges stands at which place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GaugePlaces {
    pub busy_cores: Option<usize>,
    pub on_cores: Option<usize>,
    pub memory: Option<usize>,
    pub connections: Option<usize>,
}

/// The settings as far as a node reads them.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    pub admission: AdmissionConfig,
    pub gauges: GaugePlaces,
    /// Names of the endpoint groups and tenants, in the order of the contract.
    pub group_names: Vec<String>,
    pub tenant_names: Vec<String>,
    /// The callers' list follows the health that a node reports.
    pub list_follows_health: bool,
    /// Health checks ask for real work.
    pub deep_checks: bool,
    /// Requests tell how long their caller waits.
    pub passes_deadline: bool,
    /// Something lies below that requests may call.
    pub has_downstream: bool,
}

/// A part of a text that was handed over, with the path that led to it, for plain messages.
pub struct Part<'a> {
    pub value: &'a Value,
    pub path: String,
}

impl<'a> Part<'a> {
    pub fn find(&self, key: &str) -> Option<Part<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(Part {
            value,
            path: format!("{}.{key}", self.path),
        })
    }

    pub fn part(&self, key: &str) -> Result<Part<'a>, SettingsError> {
        self.find(key)
            .ok_or_else(|| format!("{}: needed key '{key}' is missing", self.path))
    }

    pub fn wrong<T>(&self, want: &str) -> Result<T, SettingsError> {
        Err(format!(
            "{}: {want} is wanted, found {}",
            self.path, self.value
        ))
    }

    pub fn number(&self) -> Result<f64, SettingsError> {
        match self.value.as_f64() {
            Some(n) if n >= 0.0 && n.is_finite() => Ok(n),
            _ => self.wrong("a number of 0 or more"),
        }
    }

    /// A part of a whole.
    fn fraction(&self) -> Result<f32, SettingsError> {
        match self.value.as_f64() {
            Some(n) if (0.0..=1.0).contains(&n) => Ok(n as f32),
            _ => self.wrong("a share from 0 to 1"),
        }
    }

    fn share(&self, key: &str) -> Result<f32, SettingsError> {
        self.part(key)?.fraction()
    }

    pub fn num(&self, key: &str) -> Result<f32, SettingsError> {
        Ok(self.part(key)?.number()? as f32)
    }

    fn us(&self, key: &str) -> Result<u64, SettingsError> {
        Ok(self.part(key)?.number()? as u64)
    }

    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        let part = self.part(key)?;
        part.value
            .as_bool()
            .map_or_else(|| part.wrong("true or false"), Ok)
    }

    /// A flag that stands for no where it is absent.
    fn switch(&self, key: &str) -> Result<bool, SettingsError> {
        if self.find(key).is_some() {
            self.flag(key)
        } else {
            Ok(false)
        }
    }

    pub fn word(&self, key: &str) -> Result<(&'a str, Part<'a>), SettingsError> {
        let part = self.part(key)?;
        match part.value.as_str() {
            Some(word) => Ok((word, part)),
            None => part.wrong("a word"),
        }
    }

    fn list(&self, key: &str) -> Result<Vec<Part<'a>>, SettingsError> {
        let part = self.part(key)?;
        let Some(list) = part.value.as_array() else {
            return part.wrong("a list");
        };
        let item = |(i, value)| Part {
            value,
            path: format!("{}[{i}]", part.path),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }

    /// A list with one item for each endpoint group.
    fn list_by_group(&self, key: &str, groups: usize) -> Result<Vec<Part<'a>>, SettingsError> {
        let list = self.list(key)?;
        if list.len() != groups {
            return self.part(key)?.wrong(&format!(
                "one item for each of the {groups} groups in 'lanes'"
            ));
        }
        Ok(list)
    }
}

/// Reads the settings; keys that are not known are disregarded.
pub fn read(top: &Part) -> Result<DeploymentSettings, SettingsError> {
    let info = top.part("family_info")?;
    let safety = top.part("safety")?;
    let bounds = top.part("bounds")?;
    let lanes = top.list("lanes")?;
    let skip = info.list_by_group("class_skip_worth", lanes.len())?;
    let calls = info.list_by_group("calls_by_class", lanes.len())?;
    let mut groups = Vec::new();
    for ((lane, skip), calls) in lanes.iter().zip(&skip).zip(&calls) {
        let calls = calls
            .value
            .as_bool()
            .map_or_else(|| calls.wrong("true or false"), Ok)?;
        groups.push(group(lane, skip.fraction()?, calls)?);
    }
    let group_names = names(&lanes)?;
    let parties = if top.find("parties").is_some() {
        top.list("parties")?
    } else {
        Vec::new()
    };
    let tenants = parties
        .iter()
        .map(|p| p.num("allowance_per_s"))
        .collect::<Result<_, _>>()?;
    for party in parties.iter().filter(|party| party.find("share").is_some()) {
        party.share("share")?;
    }
    let tenant_names = names(&parties)?;
    let (below, below_part) = info.word("below")?;
    let calls_share = match below {
        "common" => Some(info.num("calls_out")?),
        "next_hop" | "silent" => None,
        _ => return below_part.wrong("common, next_hop or silent"),
    };
    let passes_on = bounds.flag("retry_after")?;
    let contract = AdmissionConfig {
        cores: info.num("cores")? as u32,
        memory_kb: info.num("memory_kb")?,
        run_memory_factor: info.num("run_factor")?,
        record_kb: info.num("key_kb")?,
        groups,
        tenant_quotas: tenants,
        over_quota_weight: top.share("over_share_worth")?,
        weight_per_work: top.word("worth_by")?.0 == "work",
        nodes: top.num("servers")? as u32,
        cancellation: stop_kind(&info)?,
        backpressure: level_kind(&info)?,
        backpressure_ttl: down(info.us("said_for")?),
        max_staleness: down(info.us("fresh")?),
        downstream_concurrency: calls_share,
        downstream_window: down(info.us("dep_window")?),
        abandoned_call_time: up(info.us("linger")?),
        cold: info.flag("fresh_start")?,
        initial_speed: safety.share("start_capacity")?,
        warm_up_time: up(safety.us("ramp_time")?),
        overload_multiple: safety.num("tip_multiple")?,
        overload_window: down(safety.us("overload_for")?),
        drain_grace: down(safety.us("drain_grace")?),
        idle_timeout: down(info.us("keepalive_max")?),
        max_retry_after: if passes_on {
            down(bounds.us("max_retry_after")?)
        } else {
            0
        },
        tick: up(top.us("tick")?),
    };
    Ok(DeploymentSettings {
        has_downstream: below != "silent",
        admission: contract,
        gauges: gauge_places(&info)?,
        group_names,
        tenant_names,
        list_follows_health: info.switch("readiness")?,
        deep_checks: info.switch("deep_checks")?,
        passes_deadline: info.switch("passes_deadline")?,
    })
}

/// The names of a list's items. Two alike would leave it open which one a request means.
fn names(list: &[Part]) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::with_capacity(list.len());
    let mut seen = HashSet::with_capacity(list.len());
    for item in list {
        let (name, part) = item.word("name")?;
        if !seen.insert(name) {
            return part.wrong("a name that none before it has");
        }
        names.push(name.to_string());
    }
    Ok(names)
}

fn group(lane: &Part, skip_share: f32, calls: bool) -> Result<EndpointGroup, SettingsError> {
    let (effect, part) = lane.word("idempotency")?;
    let effect = match effect {
        "safe" => Effect::Idempotent,
        "keyed" => Effect::Deduplicated,
        "unsafe" => Effect::Mutating,
        _ => return part.wrong("safe, keyed or unsafe"),
    };
    let time = |key: &str| -> Result<TenthMillis, SettingsError> { Ok(down(lane.us(key)?)) };
    Ok(EndpointGroup {
        effect,
        latency_objective: time("target")?,
        objective_per_work: lane.find("aim_stretch").map_or(Ok(0.0), |p| p.number())? as f32,
        deadline: time("deadline")?,
        dedup_window: up(lane.us("window")?),
        priority_weight: lane.num("worth")?,
        late_weight: lane.share("late_worth")?,
        degraded_weight: skip_share,
        calls_downstream: calls,
    })
}

fn stop_kind(info: &Part) -> Result<Cancellation, SettingsError> {
    let (word, part) = info.word("halt")?;
    Ok(match word {
        "silent" => Cancellation::Unsupported,
        "drop" => Cancellation::Drop,
        "pause" => Cancellation::Pause,
        _ => return part.wrong("silent, drop or pause"),
    })
}

fn level_kind(info: &Part) -> Result<Backpressure, SettingsError> {
    let (word, part) = info.word("say")?;
    Ok(match word {
        "silent" => Backpressure::None,
        "min_rank" => Backpressure::MinRank,
        "tokens" => Backpressure::Credits,
        "bias" => Backpressure::Weight,
        _ => return part.wrong("min_rank, tokens, bias or silent"),
    })
}

fn gauge_places(info: &Part) -> Result<GaugePlaces, SettingsError> {
    let names = info.list("gauges")?;
    let place = |name: &str| {
        names
            .iter()
            .position(|part| part.value.as_str() == Some(name))
    };
    Ok(GaugePlaces {
        busy_cores: place("core_use"),
        on_cores: place("on_cores"),
        memory: place("heap_share"),
        connections: place("links"),
    })
}
