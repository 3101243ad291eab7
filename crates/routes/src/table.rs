//! The table of rules that is in force.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::compile::Compiled;
use crate::index::Index;
use crate::rule::Environment;

/// Rules that one table may have.
pub const MAX_RULES: usize = 100_000;

/// Rules in their order, with an index over their conditions. It is immutable: a new one replaces it as a whole.
#[derive(Debug)]
pub struct Table {
    pub(crate) rules: Vec<Arc<Compiled>>,
    pub(crate) index: Index,
    /// Indices of tenants by their names.
    pub(crate) tenants: Arc<FxHashMap<Box<str>, u16>>,
    pub(crate) environment: Environment,
}

impl Table {
    /// The number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether it has no rules.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Rules outside the index, whose conditions are evaluated for every request.
    pub fn unindexed(&self) -> usize {
        self.index.unindexed()
    }
}
