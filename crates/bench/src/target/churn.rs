//! Peers of the node under load, one of which is killed and restarted at a fixed interval.

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

/// Peers that are restarted in turn until this value is dropped.
pub(super) struct ChurningPeers {
    should_stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ChurningPeers {
    /// Starts `count` peers that join the fleet at `seed`.
    pub(super) fn start(program: &Path, count: usize, seed: SocketAddr) -> ChurningPeers {
        let should_stop: Arc<AtomicBool> = Arc::default();
        let (stop, program) = (should_stop.clone(), program.to_path_buf());
        let thread = thread::spawn(move || {
            let mut peers: Vec<NodeFixture> =
                (0..count).map(|_| start_peer(&program, seed)).collect();
            let mut index = 0;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(RESTART_INTERVAL);
                index = (index + 1) % count;
                // The replaced peer is killed on drop.
                peers[index] = start_peer(&program, seed);
            }
        });
        ChurningPeers {
            should_stop,
            thread: Some(thread),
        }
    }
}

impl Drop for ChurningPeers {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::Relaxed);
        _ = self.thread.take().map(JoinHandle::join);
    }
}

fn start_peer(program: &Path, seed: SocketAddr) -> NodeFixture {
    let mut setup = NodeSetup::new(program);
    setup.installation = Some(json!({"fleet": fleet_settings(setup.port(FLEET_PORT), seed)}));
    setup.start()
}

/// The `fleet` section of an installation file.
pub(super) fn fleet_settings(listen: SocketAddr, seed: SocketAddr) -> Value {
    json!({"name": "bench", "listen": listen.to_string(), "seeds": [seed.to_string()]})
}
