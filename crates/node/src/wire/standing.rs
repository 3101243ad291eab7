//! What the log tells of one application server.

use doortrack_admission::Tenths;
use doortrack_upstream::Standing;
use slog::{Logger, info, warn};

const MS: Tenths = 10;

/// Tells what is thought of the server at this address from now on; `in_use` counts servers of its pool.
pub fn log_standing(log: &Logger, address: &str, in_use: usize, standing: Standing, now: Tenths) {
    let left_ms = |till: Tenths| till.saturating_sub(now) / MS;
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
