//! What the log tells of one application server.

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::ServerState;
use slog::{Logger, info, warn};

/// Tells what is thought of the server at this address from now on; `in_use` counts servers of its pool.
pub fn log_server_state(
    log: &Logger,
    address: &str,
    in_use: usize,
    state: ServerState,
    now: TenthMillis,
) {
    let left_ms = |until: TenthMillis| until.saturating_sub(now) / MILLISECOND;
    match state {
        ServerState::Ejected { until } => {
            warn!(log, "server put aside"; "address" => address, "for_ms" => left_ms(until),
                "in_use" => in_use);
        }
        ServerState::HealthCheck => {
            info!(log, "server probed"; "address" => address, "in_use" => in_use)
        }
        ServerState::Recovered => {
            info!(log, "server fit again"; "address" => address, "in_use" => in_use)
        }
        ServerState::Down { until } => {
            warn!(log, "server down"; "address" => address, "probed_after_ms" => left_ms(until),
                "in_use" => in_use);
        }
        ServerState::SlowStart { until } => {
            info!(log, "server ramps up"; "address" => address, "for_ms" => left_ms(until));
        }
        ServerState::WarmedUp => info!(log, "server warm"; "address" => address),
    }
}
