//! Schedules load reports to other entry hosts within a byte budget.
//!
//! Load pattern: a burst changes the load of targets within a few service times, so load counts
//! are most useful while they are fresh. With few entry hosts each receives every change; with many
//! the same budget reaches each of them less often.

use crate::id::HostId;
use crate::time::{Instant, Span};

/// Byte budget for hosts of the same data centre, whose callers use the same targets.
const LOCAL_BYTES_PER_SECOND: u64 = 2400;

/// Byte budget for hosts of other data centres.
const REMOTE_BYTES_PER_SECOND: u64 = 600;

/// Size of a datagram's headers.
const HEADER_BYTES: u64 = 28;

/// Period for which unused budget accumulates.
const MAX_ACCUMULATION: Span = Span::millis(100);

/// Chooses the receivers of each report.
#[derive(Debug, Clone)]
pub struct ReportScheduler {
    local: ReceiverGroup,
    remote: ReceiverGroup,
}

/// Hosts that share a byte budget and receive reports in round-robin order.
#[derive(Debug, Clone)]
struct ReceiverGroup {
    /// Bytes per second.
    byte_rate: u64,
    /// Available budget in thousandths of a byte.
    credit: u64,
    /// Budget that other messages used in advance, in thousandths of a byte.
    debt: u64,
    refilled: Instant,
    /// Index of the host that received the latest report.
    last_index: usize,
}

impl ReportScheduler {
    /// Creates a scheduler with an empty budget.
    pub fn new(now: Instant) -> Self {
        Self {
            local: ReceiverGroup::new(LOCAL_BYTES_PER_SECOND, now),
            remote: ReceiverGroup::new(REMOTE_BYTES_PER_SECOND, now),
        }
    }

    /// Takes `bytes` that other messages to hosts of the same data centre used from their budget.
    pub fn charge(&mut self, bytes: usize) {
        self.local.debt += bytes as u64 * 1000;
    }

    /// Adds the hosts that receive a report of `size` bytes now to `receivers`, in round-robin
    /// order.
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
        Self { byte_rate, credit: 0, debt: 0, refilled: now, last_index: 0 }
    }

    fn take_receivers(
        &mut self,
        now: Instant,
        bytes: u64,
        hosts: &[HostId],
        receivers: &mut Vec<HostId>,
    ) {
        let cost = bytes * 1000;
        let max_credit = (self.byte_rate * MAX_ACCUMULATION.0).max(cost);
        let earned = self.byte_rate * now.since(self.refilled).0;
        let repaid = earned.min(self.debt);
        self.debt -= repaid;
        self.credit = max_credit.min(self.credit + earned - repaid);
        self.refilled = now;
        for _ in hosts {
            let Some(left) = self.credit.checked_sub(cost) else { return };
            self.credit = left;
            self.last_index = (self.last_index + 1) % hosts.len();
            receivers.push(hosts[self.last_index]);
        }
    }
}
