//! Roster entries, built from targets' announcements.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::TargetId;
use crate::time::Span;

/// Lifecycle phase of a target; within an incarnation it only advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts new flows.
    Serving,
    /// Accepts no new flows and serves its open ones.
    Draining,
    /// Has ended.
    Gone,
}

/// Latest announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target's id.
    pub target: TargetId,
    /// When the target started, in milliseconds since the Unix epoch, which orders incarnations; 0
    /// if the target does not announce it.
    pub incarnation: u64,
    /// Sequence number of the announcement within the incarnation.
    pub sequence: u64,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Name of the service that it serves.
    pub service: String,
    /// Address at which it receives packets.
    pub address: SocketAddrV4,
    /// Name of its data centre.
    pub centre: String,
    /// Number of requests that it processes concurrently.
    pub slots: u16,
    /// Remaining warm-up time after its start.
    pub warmup: Span,
}

impl Entry {
    /// Returns the key that orders announcements of a target.
    pub(super) fn order_key(&self) -> (u64, Phase, u64) {
        (self.incarnation, self.phase, self.sequence)
    }

    /// Merges this entry with an earlier one of the same incarnation; the phase never goes back.
    pub(super) fn merged_after(mut self, earlier: &Self) -> Self {
        self.phase = self.phase.max(earlier.phase);
        self.sequence = self.sequence.max(earlier.sequence);
        self
    }

    /// Returns whether both entries lead to the same behaviour on other hosts.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        let Self { incarnation, phase, service, address, centre, slots, .. } = self;
        let (warming, other_warming) = (self.warmup > Span(0), other.warmup > Span(0));
        *incarnation == other.incarnation
            && *phase == other.phase
            && *service == other.service
            && *address == other.address
            && *centre == other.centre
            && *slots == other.slots
            && warming == other_warming
    }
}
