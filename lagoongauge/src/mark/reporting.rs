//! Whom an entry host tells of its load, within a budget of bytes.
//!
//! Load pattern: a burst changes the load at targets within a few service times, so counts are worth
//! most while they are fresh. With few entry hosts each hears every change; with many the same bytes
//! reach each of them less often.

use crate::id::HostId;
use crate::time::{Instant, Span};

/// Bytes a second for hosts of the same data centre, whose callers use the same targets.
const NEAR_BYTES: u64 = 2400;

/// Bytes a second for hosts of other data centres.
const FAR_BYTES: u64 = 600;

/// Headers of a datagram in bytes.
const HEADERS: u64 = 28;

/// Longest time for which an unused budget is kept.
const SAVED: Span = Span::millis(100);

/// Chooses the receivers of each report.
#[derive(Debug, Clone)]
pub struct ReportScheduler {
    near: Turn,
    far: Turn,
}

/// A budget and whose turn it is.
#[derive(Debug, Clone)]
struct Turn {
    /// Bytes a second.
    rate: u64,
    /// Thousandths of bytes that may be sent.
    credit: u64,
    filled: Instant,
    next: usize,
}

impl ReportScheduler {
    /// Starts with an empty budget.
    pub fn new(now: Instant) -> Self {
        Self { near: Turn::new(NEAR_BYTES, now), far: Turn::new(FAR_BYTES, now) }
    }

    /// Adds the hosts that a report of so many bytes goes to now, in turn, to `receivers`.
    pub fn take_receivers(
        &mut self,
        now: Instant,
        size: usize,
        (near, far): (&[HostId], &[HostId]),
        receivers: &mut Vec<HostId>,
    ) {
        let bytes = size as u64 + HEADERS;
        self.near.take(now, bytes, near, receivers);
        self.far.take(now, bytes, far, receivers);
    }
}

impl Turn {
    fn new(rate: u64, now: Instant) -> Self {
        Self { rate, credit: 0, filled: now, next: 0 }
    }

    fn take(&mut self, now: Instant, bytes: u64, hosts: &[HostId], receivers: &mut Vec<HostId>) {
        let cost = bytes * 1000;
        let most = (self.rate * SAVED.0).max(cost);
        self.credit = most.min(self.credit + self.rate * now.since(self.filled).0);
        self.filled = now;
        for _ in hosts {
            let Some(left) = self.credit.checked_sub(cost) else { return };
            self.credit = left;
            self.next = (self.next + 1) % hosts.len();
            receivers.push(hosts[self.next]);
        }
    }
}
