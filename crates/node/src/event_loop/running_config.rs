//! The configuration that is in force.

use std::sync::Arc;

use doortrack_admission::{Effect, EndpointGroup};
use doortrack_config::reload::{KeyMeanings, ReloadablePlatform};
use doortrack_config::{Installation, ListenerConfig, NodeConfig};
use doortrack_time::TenthMillis;
use serde_json::Value;

/// The configuration in force, with values derived from it.
pub(super) struct RunningConfig {
    /// The platform's configuration at the start of the node.
    pub(super) node: Arc<NodeConfig>,
    /// The part of it that a reload may change.
    pub(super) platform: ReloadablePlatform,
    /// The operators' installation file.
    pub(super) installation: Arc<Installation>,
    /// How the installation's rules derive idempotency keys.
    pub(super) key_meanings: KeyMeanings,
    /// The installation's listeners that could be opened.
    pub(super) listening: Vec<ListenerConfig>,
    /// The installation's listeners that could not be opened for a moment.
    pub(super) unopened: Vec<ListenerConfig>,
    /// Names of the endpoint groups as JSON strings, by index.
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
            unopened: Vec::new(),
            group_names_json: group_names.iter().map(as_json).collect(),
            installation: Arc::new(installation),
            node,
        }
    }

    fn group(&self, group: u8) -> &EndpointGroup {
        &self.node.settings.admission.groups[usize::from(group)]
    }

    /// True if a request of this group may run more than once.
    pub(super) fn is_idempotent(&self, group: u8) -> bool {
        self.group(group).effect == Effect::Idempotent
    }

    /// The longest time that a caller of this group waits.
    pub(super) fn deadline(&self, group: u8) -> TenthMillis {
        self.group(group).deadline
    }
}

/// The longest deadline of any endpoint group.
pub(super) fn longest_deadline(node: &NodeConfig) -> TenthMillis {
    let groups = &node.settings.admission.groups;
    groups.iter().map(|group| group.deadline).max().unwrap_or(0)
}
