//! Validation of the installation file beyond what its types enforce, both of the file alone and together with the
//! platform's configuration.

use std::net::SocketAddr;

use super::{Installation, ROOT};
use crate::{ConfigErrorKind, ConfigErrors, ErrorCollector, NodeConfig};

/// Maximum number of listeners besides that of the platform's configuration.
const MAX_LISTENERS: usize = 8;
/// Maximum number of server pools besides the default pool.
pub const MAX_POOLS: usize = 64;

impl Installation {
    /// Adds all errors that the file alone shows.
    pub(super) fn validate(&self, errors: &mut ErrorCollector) {
        self.validate_listeners(errors);
        self.validate_pools(errors);
        self.expressions.validate(errors);
        if let Some(fleet) = &self.fleet {
            fleet.validate(errors);
        }
        self.validate_budgets(errors);
        if self.fallback_group.is_some() && self.rules.is_empty() {
            let message = "without rules there is nothing else";
            errors.push(format!("{ROOT}.otherwise"), message);
        }
    }

    fn validate_listeners(&self, errors: &mut ErrorCollector) {
        let (max, found) = (MAX_LISTENERS, self.listeners.len());
        if found > max {
            let kind = ConfigErrorKind::TooMany { max, found };
            errors.push(format!("{ROOT}.fronts"), kind);
        }
        for (index, listener) in self.listeners.iter().enumerate() {
            let path = format!("{ROOT}.fronts[{index}]");
            let address = listener.listen;
            if address.port() == 0 {
                let kind = ConfigErrorKind::unexpected("a port from 1 to 65535", 0);
                errors.push(format!("{path}.listen"), kind);
            }
            if listener.connections == Some(0) {
                let kind = ConfigErrorKind::unexpected("at least 1", 0);
                errors.push(format!("{path}.connections"), kind);
            }
            let earlier = self.listeners[..index]
                .iter()
                .position(|other| conflict(other.listen, address));
            if let Some(other) = earlier {
                let owner = format!("{ROOT}.fronts[{other}]");
                let kind = ConfigErrorKind::AddressInUse { address, owner };
                errors.push(format!("{path}.listen"), kind);
            }
        }
    }

    fn validate_pools(&self, errors: &mut ErrorCollector) {
        for (path, pool) in self.pools_with_paths() {
            pool.validate(&path, errors);
        }
        if self.default_pool.is_none() && !self.pools.is_empty() {
            let message =
                "needed key 'servers' is missing: what no rule sends to a pool goes there";
            errors.push(ROOT, message);
        }
        let (max, found) = (MAX_POOLS, self.pools.len());
        if found > max {
            let kind = ConfigErrorKind::TooMany { max, found };
            errors.push(format!("{ROOT}.pools"), kind);
        }
    }

    /// Checks the file together with the platform's configuration.
    ///
    /// # Errors
    /// All inconsistencies between the two.
    pub fn validate_with(&self, config: &NodeConfig) -> Result<(), ConfigErrors> {
        let mut errors = ErrorCollector::default();
        for (index, listener) in self.listeners.iter().enumerate() {
            if conflict(listener.listen, config.listen) {
                let (address, owner) = (config.listen, "config.listen".to_string());
                let kind = ConfigErrorKind::AddressInUse { address, owner };
                errors.push(format!("{ROOT}.fronts[{index}].listen"), kind);
            }
        }
        self.validate_connections_with(config, &mut errors);
        if let Some(fleet) = &self.fleet {
            fleet.validate_with(config, &mut errors);
        }
        self.validate_budgets_with(config, &mut errors);
        errors.finish(())
    }

    /// Checks that at least half of the connections are left to callers.
    fn validate_connections_with(&self, config: &NodeConfig, errors: &mut ErrorCollector) {
        let (found, max) = (self.max_server_connections(), config.limits.connections);
        if found > max / 2 {
            let message = format!(
                "all pools together may have {found} connections, more than half of the {max} that the \
                 node may have; raise config.limits.sockets or lower it"
            );
            errors.push(format!("{ROOT}.servers.at_once"), message);
        }
    }
}

/// Returns true if two listeners can't both be opened: they have the same port, and the same address or one of them
/// listens on all addresses.
fn conflict(one: SocketAddr, other: SocketAddr) -> bool {
    let all_addresses = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (all_addresses || one.ip() == other.ip())
}
