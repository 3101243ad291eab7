//! What the log tells of one application server.

use doortrack_time::{MILLISECOND, TenthMillis};
use doortrack_upstream::Standing;
use slog::{Logger, info, warn};

/// Tells what is thought of the server at this address from now on; `in_use` counts servers of its pool.
pub fn log_standing(
    log: &Logger,
    address: &str,
    in_use: usize,
    standing: Standing,
    now: TenthMillis,
) {
    let left_ms = |till: TenthMillis| till.saturating_sub(now) / MILLISECOND;
    match standing {
        Standing::PutAside { till } => {
            warn!(log, "server put aside"; "address" => address, "for_ms" => left_ms(till),
                "in_use" => in_use);
        }
        Standing::Returning => {
            info!(log, "server probed"; "address" => address, "in_use" => in_use)
        }
        Standing::Fit => info!(log, "server fit again"; "address" => address, "in_use" => in_use),
        Standing::Down { till } => {
            warn!(log, "server down"; "address" => address, "probed_after_ms" => left_ms(till),
                "in_use" => in_use);
        }
        Standing::Ramping { till } => {
            info!(log, "server ramps up"; "address" => address, "for_ms" => left_ms(till));
        }
        Standing::Warm => info!(log, "server warm"; "address" => address),
    }
}
