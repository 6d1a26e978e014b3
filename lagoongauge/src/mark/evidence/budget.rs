//! Byte budget for statements about targets, which are sent at once.
//!
//! Load pattern: many targets fail at one moment and every entry host has something to say. The
//! budget holds for any second, so that an incident adds no more than it to the control traffic.

use std::collections::VecDeque;

use crate::id::HostId;
use crate::mark::evidence::statement::{MAX_STATEMENTS, encoded_size};
use crate::time::{Instant, Span};

/// Maximum number of bytes sent in any [`PERIOD`], with headers: two statements to a data centre's
/// hosts, as each host has something to say of two targets if a quarter of them fail at once.
const MAX_BYTES: usize = 2240;

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
    /// Returns the number of statements that can be sent to all hosts now.
    pub fn statement_limit(&mut self, now: Instant, hosts: usize) -> usize {
        let share = self.available(now).checked_div(hosts).unwrap_or(0);
        (1..=MAX_STATEMENTS)
            .take_while(|count| encoded_size(*count) + HEADER_BYTES <= share)
            .count()
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
