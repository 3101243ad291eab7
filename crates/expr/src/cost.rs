//! What evaluating an expression costs: the unit in which the checker bounds it and the evaluator counts it.

/// What one evaluation costs at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Steps: one for a constant, more for what scans bytes.
    pub steps: u64,
    /// Bytes of strings that have to be built.
    pub bytes: u64,
}

/// Steps of looking a variable up.
pub(crate) const LOOKUP_STEPS: u64 = 16;

/// Bytes that are scanned in one step.
const BYTES_PER_STEP: u64 = 16;

/// Steps of scanning so many bytes.
pub(crate) fn scan_steps(bytes: u64) -> u64 {
    1 + bytes / BYTES_PER_STEP
}
