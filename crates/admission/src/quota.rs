//! Token buckets that bound what each tenant sends to this node.

use doortrack_time::{SECOND, TenthMillis};

use crate::AdmissionConfig;

/// A tenant may send this multiple of its even share at one node, as callers don't spread evenly.
const UNEVEN_SPREAD_FACTOR: f32 = 1.3;
/// A bucket holds what flows in over this time.
const BURST_TIME: f32 = 2.0 * SECOND as f32;
/// A bucket holds at least so many requests: a tenant whose share at a node is below one in the
/// burst time would otherwise be over its quota whatever it sends.
const MIN_BURST: f32 = 3.0;

/// The token buckets of all tenants, by index.
#[derive(Debug)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

/// Tokens of one tenant; each admitted request takes one.
#[derive(Debug)]
struct TokenBucket {
    tokens: f32,
    max_tokens: f32,
    /// Tokens that flow in per unit of time.
    rate: f32,
    refilled_at: TenthMillis,
}

impl TenantQuotas {
    /// Divides the quotas of the fleet among its nodes. Buckets start empty at time 0.
    pub(crate) fn new(config: &AdmissionConfig) -> Self {
        let nodes = config.nodes.max(1) as f32;
        let bucket = |quota: &f32| {
            let rate = UNEVEN_SPREAD_FACTOR * quota / nodes / SECOND as f32;
            TokenBucket {
                tokens: 0.0,
                max_tokens: (rate * BURST_TIME).max(MIN_BURST),
                rate,
                refilled_at: 0,
            }
        };
        Self {
            buckets: config.tenant_quotas.iter().map(bucket).collect(),
        }
    }

    /// Whether a request of this tenant is beyond its quota now. Unknown tenants have none.
    pub(crate) fn is_over(&mut self, tenant: usize, now: TenthMillis) -> bool {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return false;
        };
        bucket.refill(now);
        bucket.tokens < 1.0
    }

    /// Takes a token for an admitted request. A rejected one takes none, as it may come again.
    pub(crate) fn take(&mut self, tenant: usize) {
        if let Some(bucket) = self.buckets.get_mut(tenant) {
            bucket.tokens -= 1.0;
        }
    }
}

impl TokenBucket {
    fn refill(&mut self, now: TenthMillis) {
        let elapsed = (now - self.refilled_at) as f32;
        self.tokens = (self.tokens + self.rate * elapsed).min(self.max_tokens);
        self.refilled_at = now;
    }
}
