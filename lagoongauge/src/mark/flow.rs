//! What an entry host remembers of the flows whose packets it saw.

use super::target::TargetKey;
use crate::time::Instant;

/// Half of the sequence numbers; a smaller distance means "later".
const HALF_SEQUENCE_SPACE: u32 = 1 << 31;

/// A flow as this host saw it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Where its packets go.
    pub(super) target: TargetKey,
    /// Whether the caller acknowledged the target's answer, after which the target stays.
    pub(super) established: bool,
    /// Whether the caller has finished.
    pub(super) finished: bool,
    /// Sequence number of its SYN, or of the first packet seen.
    pub(super) initial_sequence: u32,
    /// Sequence number after the caller's last data.
    pub(super) next_sequence: u32,
    /// Highest acknowledgement of the caller.
    pub(super) acknowledged: u32,
    /// When it was opened, or first seen here.
    pub(super) opened_at: Instant,
    /// When its last packet was seen.
    pub(super) last_seen: Instant,
    /// Since when a request waits for its answer.
    pub(super) waiting_since: Option<Instant>,
}

impl Flow {
    pub(super) fn new(target: TargetKey, sequence: u32, now: Instant) -> Self {
        Self {
            target,
            established: false,
            finished: false,
            initial_sequence: sequence,
            next_sequence: sequence,
            acknowledged: 0,
            opened_at: now,
            last_seen: now,
            waiting_since: None,
        }
    }

    /// Tells whether the packet brings data that was not seen before, and notes it.
    pub(super) fn record_data(&mut self, sequence: u32, length: u16) -> bool {
        let end = sequence.wrapping_add(u32::from(length));
        let later = length > 0 && is_later(end, self.next_sequence);
        if later {
            self.next_sequence = end;
        }
        later
    }

    /// Tells whether the packet acknowledges more than was acknowledged before, and notes it.
    pub(super) fn record_acknowledgement(&mut self, acknowledged: u32) -> bool {
        let later = !self.established || is_later(acknowledged, self.acknowledged);
        if later {
            self.acknowledged = acknowledged;
        }
        later
    }
}

/// Tells whether a sequence number lies behind another one.
fn is_later(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < HALF_SEQUENCE_SPACE
}
