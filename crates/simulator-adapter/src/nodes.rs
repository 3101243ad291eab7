//! The simulated nodes that this process decides for: an admission controller for each.

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
    /// Events of the batch at hand.
    events: Vec<Event>,
}

/// All nodes that run, by number.
#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<u32, Node>,
    /// Nodes with events in the batch at hand, in the order of their first ones. One that died and started
    /// again is there twice.
    with_events: Vec<u32>,
    actions: Vec<Action>,
}

impl Nodes {
    /// Takes in all records of a batch.
    ///
    /// # Errors
    /// A record can't be decoded, a node's settings are refused, or an event is for a node that does not run.
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

    /// Has the nodes with events decide, and adds their actions to `reply`.
    pub fn decide(&mut self, now: TenthMillis, reply: &mut Reply) {
        for id in self.with_events.drain(..) {
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

    /// `offset` is that of the batch's records.
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
                    self.with_events.push(id);
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
        self.with_events.push(id);
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
