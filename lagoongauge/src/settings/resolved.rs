//! Settings of the entry hosts, resolved from the tree; see docs/DESIGN.md.

use std::net::SocketAddr;

use indexmap::IndexMap;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::flow::Protocol;
use crate::id::{CentreId, HostId, MemberId, ServiceId};
use crate::time::Span;

/// A member with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name in the tree.
    pub name: String,
    /// Networks in which the member's targets may announce addresses; those of different members do
    /// not overlap.
    pub networks: Vec<IpNet>,
    /// Salted SHA-256 hashes of the tokens that the member's targets announce with, as
    /// `salt:hash` in hexadecimal.
    pub tokens: Vec<String>,
    /// Open flows that the member may hold in its group of entry hosts.
    pub max_flows: u32,
    /// New flows a second that the member may open in its group of entry hosts.
    pub max_rate: u32,
    /// Targets that the member may announce.
    pub max_targets: u32,
}

/// A service with its effective settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The member that owns the service.
    pub member: MemberId,
    /// Name in the tree, below its member.
    pub name: String,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port that callers use.
    pub address: SocketAddr,
    /// Logarithm to base 2 of the number of buckets.
    pub bucket_bits: u8,
    /// Open flows that the service may hold in its group of entry hosts.
    pub max_flows: u32,
    /// New flows a second that the service may open in its group of entry hosts.
    pub max_rate: u32,
    /// Idle time after which a flow is considered ended.
    pub idle_limit: Span,
    /// How long flows of a draining target may continue if its announcement has no deadline.
    pub drain_limit: Span,
    /// Duration of the slow start, after which a new target gets its full share of new flows.
    pub slow_start: Span,
    /// Share of flows that must be established, in parts per million.
    pub established_goal: u32,
    /// Share of flows that must not break, in parts per million.
    pub unbroken_goal: u32,
    /// Maximum time to the target's first response under the answer objective.
    pub answer_goal: Span,
    /// Maximum ratio of the flows of the most loaded target to the mean, in thousandths.
    pub imbalance_goal: u32,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// The data centre of the host.
    pub centre: CentreId,
    /// The group of entry hosts that share the buckets of their services.
    pub group: u16,
    /// UDP address for messages and relayed packets between entry hosts.
    pub peer: SocketAddr,
}

/// The active settings, as distributed to the entry hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Resolved {
    /// Version of the tree that this was resolved from; it never decreases.
    pub version: u64,
    /// Members by id.
    pub members: IndexMap<MemberId, Member>,
    /// Services by id.
    pub services: IndexMap<ServiceId, Service>,
    /// The group of entry hosts that serves each service.
    pub groups: IndexMap<ServiceId, u16>,
    /// Entry hosts by id.
    pub hosts: IndexMap<HostId, Host>,
}
