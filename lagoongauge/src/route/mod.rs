//! Routing: which target a flow's packet goes to, the same on whichever entry host it lands.

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
mod plan;
mod planner;
mod record;
mod role;
mod router;
mod runs;
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

/// Which way a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// From the caller to a target.
    Inward,
    /// From a target to the caller.
    Outward,
}

/// What the routing needs to know of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketFacts {
    /// The service that the packet belongs to.
    pub service: ServiceId,
    /// The flow, hashed from the caller's view of it in both directions.
    pub flow: FlowHash,
    /// What the packet says of the flow's life.
    pub signal: Signal,
    /// Which way the packet goes.
    pub direction: Direction,
    /// The target that sent an outward packet.
    pub source: Option<TargetId>,
    /// How many entry hosts have relayed the packet so far.
    pub hops: u8,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send the packet to this target.
    Forward(TargetId),
    /// Send an outward packet to its caller.
    ToCaller,
    /// Hand the packet to this entry host, which decides.
    Relay(HostId),
    /// Answer the caller that nothing of the flow ran (TCP reset or ICMP).
    Refuse(Kind),
    /// Drop the packet without an answer; the caller's stack tries again.
    Drop(Kind),
}

/// Routing as the data path sees it; baselines implement it as well.
pub trait Route {
    /// Decides on one packet at the given instant.
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict;
}
