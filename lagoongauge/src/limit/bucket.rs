//! Token bucket over given time.

use crate::time::Instant;

/// Span whose tokens a bucket holds at most, in milliseconds.
const BURST: u64 = 1000;
/// Parts that a token is counted in for each host that shares the rate.
const PARTS: u64 = 1000;

/// A token bucket for one host's share of a rate.
#[derive(Debug, Default)]
pub struct Bucket {
    rate: u64,
    cost: u64,
    level: u64,
    filled: Instant,
}

impl Bucket {
    /// Sets the rate of all hosts together in tokens a second, and how many hosts share it.
    pub fn limit(&mut self, rate: u32, hosts: u32) {
        let fresh = self.cost == 0;
        let cost = PARTS * u64::from(hosts.max(1));
        if !fresh && cost != self.cost {
            self.level = self.level * cost / self.cost;
        }
        self.rate = u64::from(rate);
        self.cost = cost;
        self.level = if fresh { self.full() } else { self.level.min(self.full()) };
    }

    /// Fills the bucket up to now and tells whether it holds a token.
    pub fn has_token(&mut self, now: Instant) -> bool {
        let passed = now.since(self.filled).0;
        self.filled = self.filled.max(now);
        self.level = self.level.saturating_add(passed.saturating_mul(self.rate)).min(self.full());
        self.level >= self.cost
    }

    /// Takes a token that the bucket holds.
    pub fn take(&mut self) {
        self.level = self.level.saturating_sub(self.cost);
    }

    fn full(&self) -> u64 {
        if self.rate == 0 { 0 } else { (self.rate * BURST).max(self.cost) }
    }
}
