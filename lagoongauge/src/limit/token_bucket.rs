//! Token bucket that is driven by instants of its caller.

use crate::time::Instant;

/// Capacity of a bucket, as the time that its rate takes to fill it.
const BURST_MS: u64 = 1000;
/// Cost of a token in parts, per host that shares the rate; each millisecond adds `rate` parts.
const TOKEN_PARTS: u64 = 1000;

/// A token bucket for one host's share of a rate.
#[derive(Debug, Default)]
pub struct TokenBucket {
    rate: u64,
    token_cost: u64,
    level: u64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Sets the total rate of all hosts in tokens per second and the number of these hosts.
    pub fn set_rate(&mut self, rate: u32, hosts: u32) {
        let is_new = self.token_cost == 0;
        let token_cost = TOKEN_PARTS * u64::from(hosts.max(1));
        if !is_new && token_cost != self.token_cost {
            self.level = self.level * token_cost / self.token_cost;
        }
        self.rate = u64::from(rate);
        self.token_cost = token_cost;
        self.level = if is_new { self.capacity() } else { self.level.min(self.capacity()) };
    }

    /// Refills the bucket and returns whether it holds a token.
    pub fn has_token(&mut self, now: Instant) -> bool {
        let elapsed_ms = now.since(self.refilled_at).0;
        self.refilled_at = self.refilled_at.max(now);
        self.level =
            self.level.saturating_add(elapsed_ms.saturating_mul(self.rate)).min(self.capacity());
        self.level >= self.token_cost
    }

    /// Removes a token.
    pub fn take(&mut self) {
        self.level = self.level.saturating_sub(self.token_cost);
    }

    fn capacity(&self) -> u64 {
        if self.rate == 0 { 0 } else { (self.rate * BURST_MS).max(self.token_cost) }
    }
}
