//! What the settings tree resolves to for the entry hosts; see docs/DESIGN.md.

use std::net::SocketAddr;

use indexmap::IndexMap;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::flow::Protocol;
use crate::id::{CentreId, HostId, MemberId, ServiceId};
use crate::time::Span;

/// A member with what bounds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name in the tree.
    pub name: String,
    /// Networks that the member's targets may announce addresses of; no two members share any.
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

/// A service with every value resolved through the levels of the tree.
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
    /// How long a flow may stay silent before it counts as ended.
    pub idle_limit: Span,
    /// How long a draining target's flows may go on when its announcement names no deadline.
    pub drain_limit: Span,
    /// How long a new target takes to reach its full share of new flows.
    pub slow_start: Span,
    /// Share of flows that must be established, in parts per million.
    pub established_goal: u32,
    /// Share of flows that must not break, in parts per million.
    pub unbroken_goal: u32,
    /// Time to the target's first answer that the objective allows.
    pub answer_goal: Span,
    /// Highest allowed ratio of the fullest target's flows to the mean, in thousandths.
    pub imbalance_goal: u32,
}

/// An entry host as its peers and the control hosts know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// The data centre that the host stands in.
    pub centre: CentreId,
    /// The group of entry hosts that share their services' buckets.
    pub group: u16,
    /// Address for messages and relayed packets between entry hosts, over UDP.
    pub peer: SocketAddr,
}

/// The settings in force, as handed to the entry hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Resolved {
    /// Version of the tree that this was resolved from; it never goes back.
    pub version: u64,
    /// Members by key.
    pub members: IndexMap<MemberId, Member>,
    /// Services by key.
    pub services: IndexMap<ServiceId, Service>,
    /// The group of entry hosts that serves each service.
    pub groups: IndexMap<ServiceId, u16>,
    /// Entry hosts by key.
    pub hosts: IndexMap<HostId, Host>,
}
