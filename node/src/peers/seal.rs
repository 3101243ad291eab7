//! What lies round each datagram between nodes: version, keyed hash, fleet name. The codec is postcard, the
//! hash BLAKE3; neither is ours.
//!
//! `version (1) | hash (16) | body`. The hash is over version and body, under the fleet's key, or under one
//! that everybody can make where there is none: then it only tells what was garbled on the way.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::spoken::Spoken;

/// What this build speaks. Fields are only ever added at the end of a message within one version.
pub const VERSION: u8 = 1;
const HASH: usize = 16;
/// Bytes of a whole datagram; none of ours is longer, and none longer is read.
pub const LONGEST: usize = 1_472;

/// The key of a fleet, made ready.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
    fleet: String,
}

/// Why a datagram was not listened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Of another version of the program; what it speaks.
    Version(u8),
    /// Garbled on the way, or from one that does not have the key.
    Hash,
    /// Of another fleet.
    Fleet,
    /// Whole, but no message.
    Unreadable,
}

impl Refused {
    /// Its name in counts.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Version(_) => "version",
            Refused::Hash => "hash",
            Refused::Fleet => "fleet",
            Refused::Unreadable => "unreadable",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Version(of) => write!(f, "speaks version {of}, this build {VERSION}"),
            Refused::Hash => f.write_str("garbled, or sealed with another key"),
            Refused::Fleet => f.write_str("of another fleet"),
            Refused::Unreadable => f.write_str("no message"),
        }
    }
}

impl std::error::Error for Refused {}

#[derive(Serialize, Deserialize)]
struct Body<'a, T> {
    /// Empty from those that only ask how things are.
    fleet: &'a str,
    what: T,
}

impl Seal {
    /// That of the fleet `name`; an empty one for who only asks.
    pub fn new(key: Option<[u8; 32]>, name: &str) -> Seal {
        let key = blake3::derive_key("doortrack 2026-12 fleet datagrams", &key.unwrap_or_default());
        Seal { key, fleet: name.to_string() }
    }

    fn hash(&self, version: u8, body: &[u8]) -> [u8; HASH] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[version]).update(body);
        let mut first = [0; HASH];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..HASH]);
        first
    }

    /// The whole datagram; none if it would be too long.
    pub fn close(&self, what: &Spoken) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(&Body { fleet: &self.fleet, what }).ok()?;
        let mut whole = Vec::with_capacity(1 + HASH + body.len());
        whole.push(VERSION);
        whole.extend(self.hash(VERSION, &body));
        whole.extend(body);
        (whole.len() <= LONGEST).then_some(whole)
    }

    /// What a datagram says.
    ///
    /// # Errors
    /// Why it is not listened to; the version is looked at first, as others may lay out the rest otherwise.
    pub fn open(&self, whole: &[u8]) -> Result<Spoken, Refused> {
        let (version, rest) = whole.split_first().ok_or(Refused::Unreadable)?;
        if *version != VERSION {
            return Err(Refused::Version(*version));
        }
        let (hash, body) = rest.split_at_checked(HASH).ok_or(Refused::Unreadable)?;
        // Compared in a time that does not tell how much of it was right.
        let wrong = hash.iter().zip(self.hash(*version, body)).fold(0, |wrong, (a, b)| wrong | (a ^ b));
        if wrong != 0 {
            return Err(Refused::Hash);
        }
        // What a later build of this version adds at the end is passed over.
        let (body, _) = postcard::take_from_bytes::<Body<Spoken>>(body).map_err(|_| Refused::Unreadable)?;
        let asks = body.fleet.is_empty() && matches!(body.what, Spoken::Ask(_) | Spoken::AskBudgets { .. });
        let told = self.fleet.is_empty();
        if body.fleet == self.fleet || asks || told { Ok(body.what) } else { Err(Refused::Fleet) }
    }
}
