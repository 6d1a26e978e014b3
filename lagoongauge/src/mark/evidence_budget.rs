//! Byte budget for statements about targets, which are sent at once.
//!
//! Load pattern: many targets fail at one moment and every entry host has something to say. The
//! budget holds for any second, so that an incident adds no more than it to the control traffic.

use std::collections::VecDeque;

use super::evidence::encoded_size;
use crate::id::HostId;
use crate::time::{Instant, Span};

/// Maximum number of bytes sent in any [`PERIOD`], with headers.
const MAX_BYTES: usize = 1080;

/// Period to which the budget refers.
const PERIOD: Span = Span::seconds(1);

/// Size of a datagram's headers.
const HEADER_BYTES: usize = 28;

/// Chooses the receivers of each datagram with statements.
#[derive(Debug, Clone, Default)]
pub struct EvidenceBudget {
    /// Bytes sent within the last period, with the time of sending.
    spent: VecDeque<(Instant, usize)>,
    /// Index of the host that received the latest datagram.
    last_index: usize,
}

impl EvidenceBudget {
    /// Returns whether statements can be sent now: to all hosts, or with the whole budget.
    pub fn is_ready(&mut self, now: Instant, hosts: usize) -> bool {
        let needed = hosts * (encoded_size(1) + HEADER_BYTES);
        hosts > 0 && self.available(now) >= needed.min(MAX_BYTES)
    }

    /// Adds the hosts that receive a datagram of `size` bytes now to `receivers`, in round-robin
    /// order; returns the number of bytes that this takes.
    pub fn take_receivers(
        &mut self,
        now: Instant,
        size: usize,
        hosts: &[HostId],
        receivers: &mut Vec<HostId>,
    ) -> usize {
        let bytes = size + HEADER_BYTES;
        let count = hosts.len().min(self.available(now) / bytes);
        for _ in 0..count {
            self.last_index = (self.last_index + 1) % hosts.len();
            receivers.push(hosts[self.last_index]);
        }
        if count > 0 {
            self.spent.push_back((now, count * bytes));
        }
        count * bytes
    }

    fn available(&mut self, now: Instant) -> usize {
        while self.spent.front().is_some_and(|(sent_at, _)| now.since(*sent_at) >= PERIOD) {
            self.spent.pop_front();
        }
        let spent: usize = self.spent.iter().map(|(_, bytes)| bytes).sum();
        MAX_BYTES.saturating_sub(spent)
    }
}
