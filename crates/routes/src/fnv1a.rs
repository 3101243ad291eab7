//! FNV-1a with 64 bits, which can be continued byte by byte.

/// The hash of nothing.
pub(crate) const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;

/// Continues a hash by one byte.
pub(crate) fn add(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
}

/// The hash of these bytes.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(EMPTY, |hash, byte| add(hash, *byte))
}
