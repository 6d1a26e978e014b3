//! Routing by marks: a flow's packets carry a mark that names its target.
//!
//! If both ends of a flow echo a few bytes that entry hosts may write, any entry host can forward
//! any later packet without state, across restarts and changes of the fabric's hash. What remains
//! is to choose the target of a new flow ([`placement`]), and to handle packets whose mark is
//! unknown, foreign or contradicts the tracked flow ([`Router`]). See "Routing by marks" in
//! docs/PLATFORM.md.

pub mod admission;
pub mod evidence;
mod features;
pub mod flow;
mod frontend;
mod key;
mod link;
pub mod load;
pub mod loss;
pub mod placement;
mod router;
pub mod switches;
mod target;
mod verdict;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::TargetId;
use crate::time::Instant;

pub use self::evidence::ejection::Change as EjectionKind;
pub use self::features::{Features, WarmupLimit};
pub use self::link::meter::LinkUse;
pub use self::load::{LoadCount, LoadReport, ServicePressure};
pub use self::router::{EjectionChange, EvidenceCounts, Router, RouterConfig};
pub use self::verdict::{Cause, LostTarget, Verdict};

/// Identifies a target in four bytes of a packet; 0 stands for no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark(u32);

impl Mark {
    /// Returns the mark of a target, the same on every host.
    pub fn of(target: TargetId) -> Self {
        Self(crc32fast::hash(&target.0.to_be_bytes()).max(1))
    }

    /// Returns the mark with these bits, or `None` for 0.
    pub const fn from_bits(bits: u32) -> Option<Self> {
        if bits == 0 { None } else { Some(Self(bits)) }
    }

    /// Returns the bits of the mark as written in a packet.
    pub const fn bits(self) -> u32 {
        self.0
    }
}

/// Kind of a packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SegmentKind {
    /// A SYN.
    Syn,
    /// Data or a bare acknowledgement.
    Data,
    /// A FIN.
    Fin,
    /// An RST.
    Rst,
}

/// Identifies a flow by its two endpoints as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// Frontend address and port to which the caller opened the flow.
    pub frontend: SocketAddrV4,
}

/// A decoded packet from a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// Flow of the packet.
    pub flow_key: FlowKey,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// Mark of the packet, if it carries one.
    pub mark: Option<Mark>,
    /// Sequence number of its first byte.
    pub sequence: u32,
    /// Next sequence number that the caller expects; on a SYN, the number of copies of it that the
    /// caller sent before, if the wire format tells.
    pub acknowledged: u32,
    /// Length of its data in bytes.
    pub length: u16,
}

/// Times of a packet, which differ if it was held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketTimes {
    /// When the decision on it is made.
    pub now: Instant,
    /// When it arrived at this host.
    pub arrived: Instant,
}

/// Decodes and encodes the packets of one wire format.
pub trait Codec {
    /// Bytes that [`Codec::encapsulate`] writes in front of a packet to a target.
    const HEADROOM: usize;

    /// Decodes a packet from a caller; returns `None` for invalid bytes.
    fn decode(&self, bytes: &[u8]) -> Option<Segment>;

    /// Prepares a packet for its target and writes the mark into it: `bytes` hold
    /// [`Codec::HEADROOM`] free bytes and a packet that [`Codec::decode`] accepted.
    fn encapsulate(&self, bytes: &mut [u8], target: TargetId, mark: Mark);

    /// Builds the reset for a caller whose flow has ended or was not opened.
    fn build_reset(&self, segment: &Segment, reply: &mut Vec<u8>);
}
