//! Messages to another control host, and which of them it is known to have received.
//!
//! The receiver counts messages per connection. What was under way when a connection was lost may or
//! may not have arrived, so it counts as received only once the full state that begins the next
//! connection was.

use std::collections::VecDeque;

use super::message::PeerMessage;

/// Maximum number of queued messages. Beyond it the oldest are dropped; the replicas resend their
/// log messages.
const MAX_QUEUED: usize = 512;

/// Maximum number of lost messages that are remembered; nobody waits for an acknowledgement for as
/// long as it takes to lose more.
const MAX_LOST: usize = 512;

/// Stands for the number of the state if that was dropped; no message has it.
const NO_STATE: u64 = u64::MAX;

/// Queue of messages to another control host.
#[derive(Debug, Default)]
pub struct Outgoing {
    queue: VecDeque<Numbered>,
    /// Messages sent on this connection whose receipt is not acknowledged.
    in_flight: VecDeque<Sent>,
    /// Number of messages pushed so far; a message's number is the count that includes it.
    pushed_count: u64,
    /// Number up to which all messages but the lost ones were received.
    acked_count: u64,
    /// Number of the message that completes the state at the start of this connection.
    state_number: u64,
    /// Messages acknowledged on this connection.
    connection_count: u64,
    /// Numbers of messages that no later one replaces.
    lost: VecDeque<u64>,
}

#[derive(Debug)]
struct Numbered {
    number: u64,
    message: PeerMessage,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    number: u64,
    transient: bool,
}

impl Outgoing {
    /// Returns whether the other host has received a message.
    pub fn is_acknowledged(&self, number: u64) -> bool {
        number <= self.acked_count && !self.lost.contains(&number)
    }

    /// Returns whether there are messages whose receipt is not acknowledged.
    pub fn has_unacknowledged(&self) -> bool {
        !self.queue.is_empty() || !self.in_flight.is_empty()
    }

    /// Queues a message and returns its number.
    pub fn push(&mut self, message: PeerMessage) -> u64 {
        if self.queue.len() == MAX_QUEUED
            && let Some(dropped) = self.queue.pop_front()
        {
            self.record_lost(dropped.number);
            if dropped.number == self.state_number {
                self.state_number = NO_STATE;
            }
        }
        self.pushed_count += 1;
        let number = self.pushed_count;
        self.queue.push_back(Numbered { number, message });
        number
    }

    /// Takes the next message to send.
    pub fn pop(&mut self) -> Option<PeerMessage> {
        let Numbered { number, message } = self.queue.pop_front()?;
        self.in_flight.push_back(Sent { number, transient: message.is_transient() });
        Some(message)
    }

    /// Begins a connection with messages that together hold the full state of this host.
    pub fn begin_connection(&mut self, state: impl IntoIterator<Item = PeerMessage>) {
        for message in state {
            self.state_number = self.push(message);
        }
        self.connection_count = 0;
    }

    /// Ends a connection: messages whose meaning changes with time are not sent later.
    pub fn end_connection(&mut self) {
        while let Some(sent) = self.in_flight.pop_front() {
            if sent.transient {
                self.record_lost(sent.number);
            }
        }
        for queued in std::mem::take(&mut self.queue) {
            if queued.message.is_transient() {
                self.record_lost(queued.number);
            } else {
                self.queue.push_back(queued);
            }
        }
    }

    /// Records that the other host has received this many messages on the connection.
    pub fn handle_ack(&mut self, count: u64) {
        while self.connection_count < count {
            let Some(received) = self.in_flight.pop_front() else { return };
            self.connection_count += 1;
            if received.number >= self.state_number {
                self.acked_count = received.number;
            }
        }
    }

    fn record_lost(&mut self, number: u64) {
        if self.lost.len() == MAX_LOST {
            self.lost.pop_front();
        }
        self.lost.push_back(number);
    }
}
