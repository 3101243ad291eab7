//! Peers of the node under load, one of which is killed and started anew at a fixed interval.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use doortrack_fakes::fixture::{NodeFixture, NodeSetup};
use serde_json::{Value, json};

use super::FLEET_PORT;

const RESTART_INTERVAL: Duration = Duration::from_millis(1_500);

/// Peers that are restarted in turn until this is dropped.
pub(super) struct ChurningPeers {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ChurningPeers {
    /// Starts `count` peers that join the fleet at `seed`.
    pub(super) fn start(program: &Path, count: usize, seed: SocketAddr) -> ChurningPeers {
        let is_over: Arc<AtomicBool> = Arc::default();
        let (until, program) = (is_over.clone(), program.to_path_buf());
        let thread = thread::spawn(move || {
            let mut peers: Vec<NodeFixture> =
                (0..count).map(|_| start_peer(&program, seed)).collect();
            let mut index = 0;
            while !until.load(Ordering::Relaxed) {
                thread::sleep(RESTART_INTERVAL);
                index = (index + 1) % count;
                // The peer that this replaces is killed as it is dropped.
                peers[index] = start_peer(&program, seed);
            }
        });
        ChurningPeers {
            is_over,
            thread: Some(thread),
        }
    }
}

impl Drop for ChurningPeers {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        _ = self.thread.take().map(JoinHandle::join);
    }
}

fn start_peer(program: &Path, seed: SocketAddr) -> NodeFixture {
    let mut plan = NodeSetup::new(program);
    plan.installation = Some(json!({"fleet": fleet_settings(plan.port(FLEET_PORT), seed)}));
    plan.start()
}

/// The `fleet` section of an installation file.
pub(super) fn fleet_settings(listen: SocketAddr, seed: SocketAddr) -> Value {
    json!({"name": "bench", "listen": listen.to_string(), "seeds": [seed.to_string()]})
}
