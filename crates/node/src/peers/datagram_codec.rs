//! Encoding and authentication of the datagrams between nodes. The body is encoded with postcard; the hash is BLAKE3.
//!
//! The layout is `version (1 byte) | hash (16 bytes) | body`. The hash covers version and body and is keyed with the
//! fleet's key. A fleet without a key uses a public key, so that the hash only detects corruption.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::peer_message::PeerMessage;

/// The protocol version of this build. Within one version, fields are only added at the end of a message.
pub const VERSION: u8 = 1;
/// Length of the hash, in bytes.
const HASH_LEN: usize = 16;
/// Maximum length of a datagram, in bytes: the payload of an Ethernet frame less the IP and UDP headers.
pub const MAX_DATAGRAM_LEN: usize = 1_472;

/// Encodes, authenticates and decodes the datagrams of one fleet.
#[derive(Clone)]
pub struct DatagramCodec {
    key: [u8; 32],
    fleet: String,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// The datagram has another protocol version, which is given.
    Version(u8),
    /// The datagram is corrupted, or was sent with another key.
    Hash,
    /// The datagram belongs to another fleet.
    Fleet,
    /// The datagram is not a valid message.
    Unreadable,
}

impl DatagramError {
    /// The error's name in counters.
    pub fn name(self) -> &'static str {
        match self {
            DatagramError::Version(_) => "version",
            DatagramError::Hash => "hash",
            DatagramError::Fleet => "fleet",
            DatagramError::Unreadable => "unreadable",
        }
    }
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DatagramError::Version(version) => {
                write!(f, "speaks version {version}, this build {VERSION}")
            }
            DatagramError::Hash => f.write_str("corrupted, or sent with another key"),
            DatagramError::Fleet => f.write_str("belongs to another fleet"),
            DatagramError::Unreadable => f.write_str("not a valid message"),
        }
    }
}

impl std::error::Error for DatagramError {}

#[derive(Serialize, Deserialize)]
struct Body<'a, T> {
    /// The fleet's name; empty in a status query.
    fleet: &'a str,
    message: T,
}

impl DatagramCodec {
    /// Creates the codec of the fleet `name`. The name is empty for status queries.
    pub fn new(key: Option<[u8; 32]>, name: &str) -> DatagramCodec {
        let key = blake3::derive_key(
            "doortrack 2026-12 fleet datagrams",
            &key.unwrap_or_default(),
        );
        DatagramCodec {
            key,
            fleet: name.to_string(),
        }
    }

    fn hash(&self, version: u8, body: &[u8]) -> [u8; HASH_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[version]).update(body);
        let mut truncated = [0; HASH_LEN];
        truncated.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_LEN]);
        truncated
    }

    /// Encodes a message and adds its hash. Returns `None` if the datagram would exceed [`MAX_DATAGRAM_LEN`].
    pub fn encode(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(&Body {
            fleet: &self.fleet,
            message,
        })
        .ok()?;
        let mut datagram = Vec::with_capacity(1 + HASH_LEN + body.len());
        datagram.push(VERSION);
        datagram.extend(self.hash(VERSION, &body));
        datagram.extend(body);
        (datagram.len() <= MAX_DATAGRAM_LEN).then_some(datagram)
    }

    /// Verifies and decodes a datagram. The version is checked first, as other versions may have another layout.
    ///
    /// # Errors
    /// The reason why the datagram is rejected.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerMessage, DatagramError> {
        let (version, rest) = datagram.split_first().ok_or(DatagramError::Unreadable)?;
        if *version != VERSION {
            return Err(DatagramError::Version(*version));
        }
        let (hash, body) = rest
            .split_at_checked(HASH_LEN)
            .ok_or(DatagramError::Unreadable)?;
        // The hashes are compared in constant time.
        let difference = hash
            .iter()
            .zip(self.hash(*version, body))
            .fold(0, |difference, (a, b)| difference | (a ^ b));
        if difference != 0 {
            return Err(DatagramError::Hash);
        }
        // Fields that a later build of this version adds at the end are ignored.
        let (body, _) = postcard::take_from_bytes::<Body<PeerMessage>>(body)
            .map_err(|_| DatagramError::Unreadable)?;
        let is_query = body.fleet.is_empty()
            && matches!(
                body.message,
                PeerMessage::StatusQuery(_) | PeerMessage::BudgetQuery { .. }
            );
        let is_answer = self.fleet.is_empty();
        if body.fleet == self.fleet || is_query || is_answer {
            Ok(body.message)
        } else {
            Err(DatagramError::Fleet)
        }
    }
}
