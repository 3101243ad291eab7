//! The compiled rule table.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::compile::CompiledRule;
use crate::index::Index;
use crate::rule::Environment;

/// Maximum number of rules in a table.
pub const MAX_RULES: usize = 100_000;

/// Compiled rules in order, with an index over their conditions. A table is immutable and is replaced as a whole.
#[derive(Debug)]
pub struct Table {
    pub(crate) rules: Vec<Arc<CompiledRule>>,
    pub(crate) index: Index,
    /// Tenant indices by name.
    pub(crate) tenants: Arc<FxHashMap<Box<str>, u16>>,
    pub(crate) environment: Environment,
}

impl Table {
    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Returns true if the table has no rules.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the number of rules outside the index, whose conditions are evaluated for every request.
    pub fn unindexed(&self) -> usize {
        self.index.unindexed()
    }
}
