//! The envelope of each datagram between nodes: version, keyed hash, fleet name. The codec is postcard, the
//! hash BLAKE3, both from libraries.
//!
//! `version (1) | hash (16) | body`. The hash is over version and body, under the fleet's key, or under a
//! public one where there is none: then it only detects corruption.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::peer_message::PeerMessage;

/// The version of this build. Fields are only ever added at the end of a message within one version.
pub const VERSION: u8 = 1;
/// Bytes of the hash.
const HASH_LEN: usize = 16;
/// Maximum bytes of a datagram, sent or received: an Ethernet frame without IP and UDP headers.
pub const MAX_DATAGRAM_LEN: usize = 1_472;

/// Seals and opens the datagrams of one fleet.
#[derive(Clone)]
pub struct DatagramCodec {
    key: [u8; 32],
    fleet: String,
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DatagramError {
    /// Of another version of the program, which is given.
    Version(u8),
    /// Corrupted, or sealed with another key.
    Hash,
    /// Of another fleet.
    Fleet,
    /// Intact, but no message.
    Unreadable,
}

impl DatagramError {
    /// Its name in counters.
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
            DatagramError::Hash => f.write_str("garbled, or sealed with another key"),
            DatagramError::Fleet => f.write_str("of another fleet"),
            DatagramError::Unreadable => f.write_str("no message"),
        }
    }
}

impl std::error::Error for DatagramError {}

#[derive(Serialize, Deserialize)]
struct Body<'a, T> {
    /// Empty in a status query.
    fleet: &'a str,
    message: T,
}

impl DatagramCodec {
    /// The seal of the fleet `name`; an empty name for status queries.
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
        let mut first = [0; HASH_LEN];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_LEN]);
        first
    }

    /// Encodes and seals a message; `None` if the datagram would be longer than [`MAX_DATAGRAM_LEN`].
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

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    /// Why it is refused. The version is checked first, as other versions may have another layout.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerMessage, DatagramError> {
        let (version, rest) = datagram.split_first().ok_or(DatagramError::Unreadable)?;
        if *version != VERSION {
            return Err(DatagramError::Version(*version));
        }
        let (hash, body) = rest
            .split_at_checked(HASH_LEN)
            .ok_or(DatagramError::Unreadable)?;
        // Compared in constant time.
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
