//! 64-bit FNV-1a hash that can be computed incrementally.

/// Hash of the empty string.
pub(crate) const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;

/// Adds one byte to a hash.
pub(crate) fn add(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

/// Returns the hash of `bytes`.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(EMPTY, |hash, byte| add(hash, *byte))
}
