//! Whom an entry host tells of its load, within a budget of bytes.
//!
//! Load pattern: a burst changes the load at targets within a few service times, so counts are worth
//! most while they are fresh. With few entry hosts each hears every change; with many the same bytes
//! reach each of them less often.

use crate::id::HostId;
use crate::time::{Instant, Span};

/// Bytes a second for hosts of the same data centre, whose callers use the same targets.
const LOCAL_BYTES_PER_SECOND: u64 = 2400;

/// Bytes a second for hosts of other data centres.
const REMOTE_BYTES_PER_SECOND: u64 = 600;

/// Headers of a datagram in bytes.
const HEADER_BYTES: u64 = 28;

/// Longest time for which an unused budget is kept.
const MAX_UNUSED: Span = Span::millis(100);

/// Chooses the receivers of each report.
#[derive(Debug, Clone)]
pub struct ReportScheduler {
    local: ReceiverGroup,
    remote: ReceiverGroup,
}

/// A budget and whose turn it is.
#[derive(Debug, Clone)]
struct ReceiverGroup {
    /// Bytes a second.
    byte_rate: u64,
    /// Thousandths of bytes that may be sent.
    credit: u64,
    refilled: Instant,
    next_host: usize,
}

impl ReportScheduler {
    /// Starts with an empty budget.
    pub fn new(now: Instant) -> Self {
        Self {
            local: ReceiverGroup::new(LOCAL_BYTES_PER_SECOND, now),
            remote: ReceiverGroup::new(REMOTE_BYTES_PER_SECOND, now),
        }
    }

    /// Adds the hosts that a report of so many bytes goes to now, in turn, to `receivers`.
    pub fn take_receivers(
        &mut self,
        now: Instant,
        size: usize,
        (local, remote): (&[HostId], &[HostId]),
        receivers: &mut Vec<HostId>,
    ) {
        let bytes = size as u64 + HEADER_BYTES;
        self.local.take_receivers(now, bytes, local, receivers);
        self.remote.take_receivers(now, bytes, remote, receivers);
    }
}

impl ReceiverGroup {
    fn new(byte_rate: u64, now: Instant) -> Self {
        Self { byte_rate, credit: 0, refilled: now, next_host: 0 }
    }

    fn take_receivers(
        &mut self,
        now: Instant,
        bytes: u64,
        hosts: &[HostId],
        receivers: &mut Vec<HostId>,
    ) {
        let cost = bytes * 1000;
        let max_credit = (self.byte_rate * MAX_UNUSED.0).max(cost);
        self.credit = max_credit.min(self.credit + self.byte_rate * now.since(self.refilled).0);
        self.refilled = now;
        for _ in hosts {
            let Some(left) = self.credit.checked_sub(cost) else { return };
            self.credit = left;
            self.next_host = (self.next_host + 1) % hosts.len();
            receivers.push(hosts[self.next_host]);
        }
    }
}
