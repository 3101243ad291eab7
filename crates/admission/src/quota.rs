//! Token buckets that limit how many requests each tenant sends to this node.

use doortrack_time::{SECOND, TenthMillis};

use crate::AdmissionConfig;

/// Multiple of its even share that a tenant may send to one node, because callers do not spread
/// their requests evenly.
const UNEVEN_SPREAD_FACTOR: f32 = 1.3;
/// Time whose tokens a bucket holds at most, in the unit of [`doortrack_time`].
const BURST_TIME: f32 = 2.0 * SECOND as f32;
/// Minimum capacity of a bucket, in tokens. Without it, a tenant whose share at a node is less than
/// one request per burst time would always exceed its quota.
const MIN_BURST_TOKENS: f32 = 3.0;

/// The token buckets of all tenants, by index.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

/// The tokens of one tenant. Each admitted request takes one.
#[derive(Debug)]
struct TokenBucket {
    tokens: f32,
    max_tokens: f32,
    /// Tokens added per unit of time.
    rate: f32,
    refilled_at: TenthMillis,
}

impl TenantQuotas {
    /// Creates the buckets, each with the node's share of a tenant's fleet-wide quota. The buckets
    /// are empty at time 0.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let nodes = config.nodes.max(1.0);
        let bucket = |quota: &f32| {
            let rate = UNEVEN_SPREAD_FACTOR * quota / nodes / SECOND as f32;
            TokenBucket {
                tokens: 0.0,
                max_tokens: (rate * BURST_TIME).max(MIN_BURST_TOKENS),
                rate,
                refilled_at: 0,
            }
        };
        Self {
            buckets: config.tenant_quotas.iter().map(bucket).collect(),
        }
    }

    /// Returns `true` if a request of this tenant exceeds its quota now. An unknown tenant has no
    /// quota.
    pub(crate) fn is_over(&mut self, tenant: usize, now: TenthMillis) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens < 1.0
    }

    /// Takes a token for an admitted request. A rejected request takes none, because it may be
    /// retried.
    pub(crate) fn take(&mut self, tenant: usize) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.tokens -= 1.0;
        }
    }
}

impl TokenBucket {
    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: TenthMillis) {
        let elapsed = (now - self.refilled_at) as f32;
        self.tokens = (self.tokens + self.rate * elapsed).min(self.max_tokens);
        self.refilled_at = now;
    }
}
