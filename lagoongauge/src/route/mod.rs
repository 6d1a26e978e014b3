//! Routing: chooses the target of each flow, the same one on whichever entry host a packet arrives.

mod admit;
mod codec;
mod compact;
mod decide;
mod deltas;
mod flow_table;
mod follower;
mod handover;
mod home;
mod isolated;
mod message;
mod peer;
mod plan;
mod planner;
mod record;
mod role;
mod router;
mod sparse;
mod state;
mod steps;
mod table;

use serde::{Deserialize, Serialize};

use crate::error::Kind;
use crate::flow::{FlowHash, Signal};
use crate::id::{HostId, ServiceId, TargetId};
use crate::time::Instant;

pub use admit::{Admit, Unlimited};
pub use codec::MAX_MESSAGE_BYTES;
pub use message::{
    Action, Event, Heartbeat, HoldReport, Message, PlanChunk, Replication, Steps, Transfer,
    Transfers,
};
pub use plan::{Layout, Plan, Stamp, Step, View};
pub use record::{FlowKey, Record};
pub use router::{Candidate, CandidateState, Election, Router, Status, Summary};
pub use table::Table;

/// Direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// From the caller to a target.
    Inward,
    /// From a target to the caller.
    Outward,
}

/// Properties of a packet that routing depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketFacts {
    /// The service that the packet belongs to.
    pub service: ServiceId,
    /// Hash of the flow's addresses and ports as the caller sees them, the same in both directions.
    pub flow: FlowHash,
    /// Effect of the packet on the state of the flow.
    pub signal: Signal,
    /// Direction of the packet.
    pub direction: Direction,
    /// Target that sent the packet, if it is outward.
    pub source: Option<TargetId>,
    /// Number of entry hosts that have relayed the packet so far.
    pub hops: u8,
}

/// Decision on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send the packet to this target.
    Forward(TargetId),
    /// Send an outward packet to its caller.
    ToCaller,
    /// Relay the packet to this entry host, which decides on it.
    Relay(HostId),
    /// Reject the flow with a TCP reset or an ICMP error; none of its packets was forwarded.
    Refuse(Kind),
    /// Drop the packet silently; the caller's stack retransmits it.
    Drop(Kind),
}

/// Routing interface of the data path; the baselines of the measurements implement it too.
pub trait Route {
    /// Decides on one packet at the given instant.
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict;
}
