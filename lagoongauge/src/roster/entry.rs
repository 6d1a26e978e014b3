//! What a target says of itself.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::TargetId;
use crate::time::Span;

/// How far a target is in its life; later phases are final for an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Takes new flows.
    Serving,
    /// Takes no new flows and serves the ones that it has.
    Draining,
    /// Has ended.
    Gone,
}

/// A target as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target's own name.
    pub target: TargetId,
    /// When the target started, in milliseconds of the calendar; it orders incarnations.
    pub incarnation: u64,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// How far the target is in its life.
    pub phase: Phase,
    /// Name of the service that it serves.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Name of its data centre.
    pub centre: String,
    /// Requests that it works on at once.
    pub slots: u16,
    /// How much longer it is slow after its start.
    pub warmup: Span,
}

impl Entry {
    /// Returns what orders two announcements of a target.
    pub(super) fn order_key(&self) -> (u64, Phase, u64) {
        (self.incarnation, self.phase, self.sequence)
    }

    /// Returns this entry after an earlier one of the same incarnation, whose phase is final.
    pub(super) fn merged_after(mut self, earlier: &Self) -> Self {
        self.phase = self.phase.max(earlier.phase);
        self.sequence = self.sequence.max(earlier.sequence);
        self
    }

    /// Tells whether other hosts would do the same for both entries.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        let Self { incarnation: born, phase, service, address, centre, slots, .. } = self;
        let (warming, other_warming) = (self.warmup > Span(0), other.warmup > Span(0));
        *born == other.incarnation
            && *phase == other.phase
            && *service == other.service
            && *address == other.address
            && *centre == other.centre
            && *slots == other.slots
            && warming == other_warming
    }
}
