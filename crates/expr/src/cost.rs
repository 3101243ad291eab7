//! The cost model of evaluation, shared by the checker, which bounds the cost, and the evaluator, which counts
//! it.

/// Upper bound on the cost of one evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cost {
    /// Evaluation steps: one for a constant, more for operations that scan bytes.
    pub steps: u64,
    /// Bytes of strings built in the scratch buffer.
    pub bytes: u64,
}

/// Steps counted for looking up a variable.
pub(crate) const LOOKUP_STEPS: u64 = 16;

/// Number of bytes scanned in one step.
const BYTES_PER_STEP: u64 = 16;

/// Steps counted for scanning `bytes` bytes.
pub(crate) fn scan_steps(bytes: u64) -> u64 {
    1 + bytes / BYTES_PER_STEP
}
