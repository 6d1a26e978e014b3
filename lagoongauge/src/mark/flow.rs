//! Connection tracking: state of the flows whose packets an entry host has seen.

use super::target::TargetKey;
use crate::time::Instant;

/// Half of the sequence number space; a smaller forward distance means "later".
const HALF_SEQUENCE_SPACE: u32 = 1 << 31;

/// State of a flow on this entry host.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    /// Target that receives its packets.
    pub(super) target: TargetKey,
    /// Whether the caller acknowledged the target's answer, after which the target is fixed.
    pub(super) established: bool,
    /// Whether the caller sent a FIN.
    pub(super) finished: bool,
    /// Sequence number of its SYN, or of the first packet seen on this host.
    pub(super) initial_sequence: u32,
    /// Sequence number after the caller's last byte of data.
    pub(super) next_sequence: u32,
    /// Highest acknowledgement number of the caller.
    pub(super) acknowledged: u32,
    /// When it was opened, or first seen on this host.
    pub(super) opened_at: Instant,
    /// When its last packet was seen.
    pub(super) last_seen: Instant,
    /// When the request that waits for an answer was seen.
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

    /// Records the packet's data; returns whether it was not seen before.
    pub(super) fn record_data(&mut self, sequence: u32, length: u16) -> bool {
        let end = sequence.wrapping_add(u32::from(length));
        let later = length > 0 && is_later(end, self.next_sequence);
        if later {
            self.next_sequence = end;
        }
        later
    }

    /// Records the packet's acknowledgement; returns whether it advances the previous one.
    pub(super) fn record_acknowledgement(&mut self, acknowledged: u32) -> bool {
        let later = !self.established || is_later(acknowledged, self.acknowledged);
        if later {
            self.acknowledged = acknowledged;
        }
        later
    }
}

/// Returns whether a sequence number is later than another one, with wrap-around.
fn is_later(number: u32, other: u32) -> bool {
    let distance = number.wrapping_sub(other);
    distance != 0 && distance < HALF_SEQUENCE_SPACE
}
