//! Log lines on the state of application servers.

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::ServerState;
use slog::{Logger, info, warn};

/// Logs a change of the state of the server at `address`; `in_use` is how many servers of its pool get requests.
pub fn log_server_state(
    log: &Logger,
    address: &str,
    in_use: usize,
    state: ServerState,
    now: TenthMillis,
) {
    let remaining_ms = |until: TenthMillis| until.saturating_sub(now) / MILLISECOND;
    match state {
        ServerState::Ejected { until } => {
            warn!(log, "server ejected"; "address" => address, "for_ms" => remaining_ms(until),
                "in_use" => in_use);
        }
        ServerState::HealthCheck => {
            info!(log, "server health check"; "address" => address, "in_use" => in_use);
        }
        ServerState::Recovered => {
            info!(log, "server recovered"; "address" => address, "in_use" => in_use);
        }
        ServerState::Down { until } => {
            warn!(log, "server down"; "address" => address, "health_check_after_ms" => remaining_ms(until),
                "in_use" => in_use);
        }
        ServerState::SlowStart { until } => {
            info!(log, "server slow start"; "address" => address, "for_ms" => remaining_ms(until));
        }
        ServerState::WarmedUp => info!(log, "server warmed up"; "address" => address),
    }
}
