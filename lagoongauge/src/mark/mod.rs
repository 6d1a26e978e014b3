//! Routing by marks: a flow's packets carry a mark that names its target.
//!
//! Where both ends of a flow return a few bytes that entry hosts may write, any entry host can send
//! any later packet on without state, through restarts and changes of the fabric's hash. What is
//! left to decide is where a flow begins ([`placement`]), and what to do with packets whose mark is
//! unknown, foreign or contradicts what this host saw before ([`Router`]). See "Routing by marks"
//! in docs/PLATFORM.md.

mod centre;
mod flow;
mod frontend;
mod load;
pub mod placement;
pub mod reporting;
mod router;
mod target;
mod verdict;

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::id::TargetId;

pub use self::load::{LoadCount, LoadReport};
pub use self::router::{Router, RouterConfig};
pub use self::verdict::{Cause, Verdict};

/// Names a target in four bytes of a packet; 0 names none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark(u32);

impl Mark {
    /// Returns the mark of a target, the same on every host.
    pub fn of(target: TargetId) -> Self {
        Self(crc32fast::hash(&target.0.to_be_bytes()).max(1))
    }

    /// Reads a mark from a packet; none is written as 0.
    pub const fn from_bits(bits: u32) -> Option<Self> {
        if bits == 0 { None } else { Some(Self(bits)) }
    }

    /// Returns the mark as it stands in a packet.
    pub const fn bits(self) -> u32 {
        self.0
    }
}

/// What a packet from a caller says of its flow's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentKind {
    /// A SYN.
    Syn,
    /// Data or an acknowledgement.
    Data,
    /// A FIN.
    Fin,
    /// An RST.
    Rst,
}

/// The two ends of a flow as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The front address and port that the caller opened the flow to.
    pub frontend: SocketAddrV4,
}

/// A packet from a caller, as a codec read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Segment {
    /// The flow.
    pub flow_key: FlowKey,
    /// What it says of the flow's life.
    pub kind: SegmentKind,
    /// The mark that it carries.
    pub mark: Option<Mark>,
    /// Sequence number of its first byte.
    pub sequence: u32,
    /// Sequence number that the caller wants next.
    pub acknowledged: u32,
    /// Bytes of data.
    pub length: u16,
}

/// Reads and writes the packets of one wire format.
pub trait Codec {
    /// Bytes that [`Codec::encapsulate`] puts in front of a packet to a target.
    const HEADROOM: usize;

    /// Reads a packet from a caller; none for bytes that are no such packet.
    fn decode(&self, bytes: &[u8]) -> Option<Segment>;

    /// Readies a packet for its target: `bytes` are [`Codec::HEADROOM`] free bytes and a packet that
    /// [`Codec::decode`] took, which is given the mark.
    fn encapsulate(&self, bytes: &mut [u8], target: TargetId, mark: Mark);

    /// Builds the reset that tells the caller that its flow has ended, or did not begin.
    fn build_reset(&self, segment: &Segment, reply: &mut Vec<u8>);
}
