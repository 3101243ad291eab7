//! What is known of the idempotency key of a request of which only a part has arrived.

use doortrack_protocols::Protocol;

use super::{DeploymentNames, Fields, IdempotencyKey};

/// What is known of the idempotency key of an incomplete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteKey {
    /// The complete request has no key: its endpoint group has none, or the request is invalid.
    None,
    /// The key has arrived.
    Known {
        /// The index of the endpoint group.
        group: u8,
        /// The key.
        key: IdempotencyKey,
    },
    /// The complete request may have any key.
    Unknown,
}

impl IncompleteKey {
    /// Reads the key from the variables that have arrived of a request with the platform's variables.
    pub fn read(protocol: Protocol, variables: &[u8], names: &DeploymentNames) -> IncompleteKey {
        if !names.has_idempotency_keys() {
            return IncompleteKey::None;
        }
        let pairs = protocol.read_leading_variables(variables);
        let fields = Fields(&pairs);
        let path = match fields.find("SCRIPT_NAME") {
            Ok(Some(path)) => path,
            Ok(None) => return IncompleteKey::Unknown,
            Err(_) => return IncompleteKey::None,
        };
        match names.group(path) {
            Ok(group) if names.idempotency_keyed[group] => {
                IncompleteKey::of_group(group as u8, &fields)
            }
            _ => IncompleteKey::None,
        }
    }

    /// Reads the key of a request to an endpoint group whose requests carry one.
    fn of_group(group: u8, fields: &Fields) -> IncompleteKey {
        match fields.find_idempotency_key() {
            Ok(Some(key)) => IncompleteKey::Known { group, key },
            Ok(None) => IncompleteKey::Unknown,
            Err(_) => IncompleteKey::None,
        }
    }
}
