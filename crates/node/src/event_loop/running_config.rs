//! The configuration that is in force.

use std::sync::Arc;

use doortrack_admission::{Effect, EndpointGroup};
use doortrack_config::reload::{KeyMeanings, ReloadablePlatform};
use doortrack_config::{Installation, ListenerConfig, NodeConfig};
use doortrack_time::TenthMillis;
use serde_json::Value;

/// What the node serves by.
pub(super) struct RunningConfig {
    /// The platform's configuration as of the start.
    pub(super) node: Arc<NodeConfig>,
    /// The part of it that a reload may change.
    pub(super) platform: ReloadablePlatform,
    /// The operators' own file.
    pub(super) installation: Arc<Installation>,
    /// What idempotency keys mean by the installation's rules.
    pub(super) key_meanings: KeyMeanings,
    /// The installation's listeners that could be opened.
    pub(super) listening: Vec<ListenerConfig>,
    /// Names of the endpoint groups, by index, as JSON strings.
    pub(super) group_names_json: Vec<String>,
}

impl RunningConfig {
    /// The configuration of a node that starts.
    pub(super) fn new(node: Arc<NodeConfig>, installation: Installation) -> RunningConfig {
        let group_names = &node.settings.group_names;
        let as_json = |name: &String| Value::from(name.as_str()).to_string();
        RunningConfig {
            platform: ReloadablePlatform::new(&node),
            key_meanings: KeyMeanings::new(&installation, group_names),
            listening: installation.listeners.clone(),
            group_names_json: group_names.iter().map(as_json).collect(),
            installation: Arc::new(installation),
            node,
        }
    }

    fn group(&self, group: u8) -> &EndpointGroup {
        &self.node.settings.admission.groups[usize::from(group)]
    }

    /// Whether a request of this group may run more than once.
    pub(super) fn is_idempotent(&self, group: u8) -> bool {
        self.group(group).effect == Effect::Idempotent
    }

    /// How long a caller of this group waits at the most.
    pub(super) fn deadline(&self, group: u8) -> TenthMillis {
        self.group(group).deadline
    }
}

/// The longest deadline of any endpoint group.
pub(super) fn longest_deadline(node: &NodeConfig) -> TenthMillis {
    let groups = &node.settings.admission.groups;
    groups.iter().map(|group| group.deadline).max().unwrap_or(0)
}
