//! Puts one instance of the decisions for each node on the bench's wire.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use doortrack_admission::AdmissionController;
use doortrack_admission::{Action, Event};
use doortrack_settings::{DeploymentSettings, GaugeIndices, JsonNode};
use doortrack_time::from_micros_floor;
use wire::{Reader, Record};

struct Node {
    door: AdmissionController,
    gauges: GaugeIndices,
    batch: Vec<Event>,
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("doortrack-drill: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut nodes: BTreeMap<u32, Node> = BTreeMap::new();
    let mut order: Vec<u32> = Vec::new();
    let (mut body, mut reply, mut actions) = (Vec::new(), Vec::new(), Vec::new());
    let mut place = 0u64;
    loop {
        let mut head = [0u8; 12];
        match fill(&mut input, &mut head).map_err(|e| format!("byte {place}: {e}"))? {
            0 => return Ok(()),
            12 => {}
            got => {
                return Err(format!(
                    "byte {place}: a header needs 12 bytes, the input ends after {got}"
                ));
            }
        }
        place += 12;
        let [a, b, c, d, clock @ ..] = head;
        let len = u32::from_le_bytes([a, b, c, d]) as usize;
        let now = from_micros_floor(u64::from_le_bytes(clock));
        body.clear();
        let got = (&mut input).take(len as u64).read_to_end(&mut body);
        let got = got.map_err(|e| format!("byte {place}: {e}"))?;
        if got < len {
            return Err(format!(
                "byte {place}: the frame says {len} bytes, the input ends after {got}"
            ));
        }
        let mut reader = Reader::new(&body, place);
        while !reader.at_end() {
            let record = reader.record(|node| nodes.get(&node).map(|n| &n.gauges))?;
            accept(record, &mut nodes, &mut order).map_err(|e| format!("byte {place}: {e}"))?;
        }
        place += len as u64;
        reply.clear();
        reply.extend([0; 4]);
        for id in order.drain(..) {
            let Some(node) = nodes.get_mut(&id).filter(|n| !n.batch.is_empty()) else {
                continue;
            };
            node.door.handle(now, &node.batch, &mut actions);
            node.batch.clear();
            actions
                .drain(..)
                .for_each(|what: Action| wire::write(&mut reply, id, &what));
        }
        let size = u32::try_from(reply.len() - 4)
            .map_err(|_| format!("byte {place}: the reply is too long"))?;
        reply[..4].copy_from_slice(&size.to_le_bytes());
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
}

fn accept(
    record: Record,
    nodes: &mut BTreeMap<u32, Node>,
    order: &mut Vec<u32>,
) -> Result<(), String> {
    match record {
        Record::Provision { node, seed, text } => {
            let DeploymentSettings {
                admission: contract,
                gauges,
                ..
            } = read(text).map_err(|e| format!("node {node}: {e}"))?;
            let batch = vec![Event::Started];
            nodes.insert(
                node,
                Node {
                    door: AdmissionController::new(contract, seed),
                    gauges,
                    batch,
                },
            );
            order.push(node);
        }
        Record::Killed { node } => drop(nodes.remove(&node)),
        Record::Event { node, what } => {
            let known = nodes
                .get_mut(&node)
                .ok_or_else(|| format!("node {node} was never started"))?;
            if known.batch.is_empty() {
                order.push(node);
            }
            known.batch.push(what);
        }
    }
    Ok(())
}

fn read(text: &[u8]) -> Result<DeploymentSettings, String> {
    let value = serde_json::from_slice(text).map_err(|e| format!("env is not JSON: {e}"))?;
    doortrack_settings::read(&JsonNode::root("env", &value)).map_err(|e| e.to_string())
}

/// Reads until `buf` is full or the input ends; the number of bytes read.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}
