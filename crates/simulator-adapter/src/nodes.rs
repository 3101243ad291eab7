//! The simulated nodes, each with its own admission controller.

use std::collections::BTreeMap;

use doortrack_admission::{Action, AdmissionController, Event};
use doortrack_settings::{DeploymentSettings, GaugeIndices, JsonValue};
use doortrack_time::TenthMillis;

use crate::batch::Batch;
use crate::decode::{Record, RecordReader};
use crate::encode::Reply;
use crate::error::AdapterError;

struct Node {
    controller: AdmissionController,
    gauges: GaugeIndices,
    /// Events in the current batch.
    events: Vec<Event>,
}

/// All running nodes, by number.
#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<u32, Node>,
    /// Nodes with events in the current batch, in the order of their first events. A node that was killed and
    /// started again may be listed twice.
    nodes_with_events: Vec<u32>,
    actions: Vec<Action>,
}

impl Nodes {
    /// Decodes all records of a batch. Nodes are started and killed at once; events are stored for
    /// [`Nodes::decide`].
    ///
    /// # Errors
    /// A record can't be decoded, the settings of a node are invalid, or an event refers to a node that is not
    /// running.
    pub fn receive(&mut self, batch: &Batch) -> Result<(), AdapterError> {
        let mut records = RecordReader::new(batch);
        loop {
            let gauges_of = |node: u32| self.nodes.get(&node).map(|node| &node.gauges);
            let Some(record) = records.next_record(gauges_of)? else {
                return Ok(());
            };
            self.apply(record, batch.offset)?;
        }
    }

    /// Passes the stored events to the controllers of their nodes, and appends the resulting actions to `reply`.
    pub fn decide(&mut self, now: TenthMillis, reply: &mut Reply) {
        for id in self.nodes_with_events.drain(..) {
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            if node.events.is_empty() {
                continue;
            }
            node.controller.handle(now, &node.events, &mut self.actions);
            node.events.clear();
            for action in self.actions.drain(..) {
                reply.push(id, &action);
            }
        }
    }

    /// Applies one record. `offset` is the offset of the batch's records, for errors.
    fn apply(&mut self, record: Record, offset: u64) -> Result<(), AdapterError> {
        match record {
            Record::Started {
                node,
                seed,
                settings,
            } => self.start(node, seed, settings, offset),
            Record::Killed { node } => {
                self.nodes.remove(&node);
                Ok(())
            }
            Record::Event { node: id, event } => {
                let node = self
                    .nodes
                    .get_mut(&id)
                    .ok_or(AdapterError::UnknownNode { offset, node: id })?;
                if node.events.is_empty() {
                    self.nodes_with_events.push(id);
                }
                node.events.push(event);
                Ok(())
            }
        }
    }

    fn start(
        &mut self,
        id: u32,
        seed: u64,
        settings: &[u8],
        offset: u64,
    ) -> Result<(), AdapterError> {
        let settings = read_settings(id, settings, offset)?;
        let node = Node {
            controller: AdmissionController::new(settings.admission, seed),
            gauges: settings.gauges,
            events: vec![Event::Started],
        };
        self.nodes.insert(id, node);
        self.nodes_with_events.push(id);
        Ok(())
    }
}

fn read_settings(
    node: u32,
    settings: &[u8],
    offset: u64,
) -> Result<DeploymentSettings, AdapterError> {
    let value =
        serde_json::from_slice(settings).map_err(|source| AdapterError::SettingsNotJson {
            offset,
            node,
            source,
        })?;
    doortrack_settings::read(&JsonValue::root("env", &value)).map_err(|source| {
        AdapterError::Settings {
            offset,
            node,
            source,
        }
    })
}
