//! Data path of an entry host: parses a packet, routes it and rewrites it in place.
//!
//! Router and addresses are parameters, so the daemon, the tests and the measurements run the same
//! code. Packets that can't be forwarded are dropped with a [`DropReason`]; see "Data path" in
//! docs/DESIGN.md.

mod directory;
mod hash;

use std::net::SocketAddr;

pub use self::directory::Directory;
pub use self::hash::{AddressHasher, BuildAddressHasher};
use crate::flow::{FlowHash, HashKey, Protocol, Signal};
use crate::id::{HostId, ServiceId, TargetId};
use crate::node::{Node, Observation};
use crate::packet::{DropReason, Packet, Side, refuse, rewrite};
use crate::route::{Admit, Direction, PacketFacts, Route, Router, Verdict};
use crate::time::Instant;

/// Relays after which a packet is dropped, so that hosts that disagree can't create a loop.
pub const MAX_RELAYS: u8 = 3;

/// The target that sent an outward packet, and its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The target.
    pub target: TargetId,
    /// The service that the target serves.
    pub service: ServiceId,
    /// The service's address, under which callers reach the target.
    pub address: SocketAddr,
}

/// Address lookups of the data path.
pub trait AddressLookup {
    /// Returns the service at this address.
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId>;

    /// Returns the target that sends from this address, even for some time after it has left.
    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin>;

    /// Returns the target's address, or none once the target has left.
    fn address(&self, target: TargetId) -> Option<SocketAddr>;
}

/// Receives observations of targets, which are ignored by default.
pub trait Observe {
    /// Records an observation of a target.
    fn observe(&self, _target: TargetId, _observation: Observation) {}
}

impl<A: Admit> Observe for Router<A> {}

impl Observe for Node {
    fn observe(&self, target: TargetId, observation: Observation) {
        Self::observe(self, target, observation);
    }
}

/// What to do with a processed packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketAction {
    /// Send the rewritten packet, the first `len` bytes, to the fabric.
    Send {
        /// Length of the packet.
        len: usize,
    },
    /// Relay the unchanged packet, the first `len` bytes, to this entry host.
    Relay {
        /// The entry host.
        host: HostId,
        /// Length of the packet.
        len: usize,
    },
    /// Send the reply buffer to the fabric: the flow was refused.
    Refuse(crate::error::Kind),
    /// Drop the packet.
    Drop(DropReason),
}

/// Processes the packet in `bytes`, which `hops` entry hosts have relayed so far.
///
/// The packet is rewritten in place; a refusal is written to `reply`.
pub fn forward<R: Route + Observe, A: AddressLookup>(
    now: Instant,
    key: &HashKey,
    (router, addresses): (&R, &A),
    bytes: &mut [u8],
    hops: u8,
    reply: &mut Vec<u8>,
) -> PacketAction {
    let packet = match Packet::parse(bytes) {
        Ok(packet) => packet,
        Err(reason) => return PacketAction::Drop(reason),
    };
    let Some((facts, service_address)) = packet_facts(key, addresses, &packet, hops) else {
        return PacketAction::Drop(DropReason::Stray);
    };
    let (side, replacement, target) = match router.route(now, &facts) {
        Verdict::Forward(target) => match addresses.address(target) {
            Some(replacement) => (Side::Destination, replacement, Some(target)),
            None => return PacketAction::Drop(DropReason::Stray),
        },
        Verdict::ToCaller => (Side::Source, service_address, facts.source),
        Verdict::Relay(_) if hops >= MAX_RELAYS => return PacketAction::Drop(DropReason::Relays),
        Verdict::Relay(host) => return PacketAction::Relay { host, len: packet.len },
        Verdict::Refuse(kind) if refuse(bytes, &packet, reply) => {
            return PacketAction::Refuse(kind);
        }
        Verdict::Refuse(kind) | Verdict::Drop(kind) => {
            return PacketAction::Drop(DropReason::Verdict(kind));
        }
    };
    let mismatched = (side == Side::Source) != (facts.direction == Direction::Outward);
    if mismatched {
        return PacketAction::Drop(DropReason::Verdict(crate::error::Kind::Internal));
    }
    if let Err(reason) = rewrite(bytes, &packet, side, replacement) {
        return PacketAction::Drop(reason);
    }
    if let Some((target, observation)) = observation(&packet, &facts, target) {
        router.observe(target, observation);
    }
    PacketAction::Send { len: packet.len }
}

/// Returns the observation of a target that a forwarded packet provides, if any.
fn observation(
    packet: &Packet,
    facts: &PacketFacts,
    target: Option<TargetId>,
) -> Option<(TargetId, Observation)> {
    let observed = match (facts.direction, packet.signal) {
        (Direction::Inward, Signal::Open | Signal::OpenData) => Observation::Opened,
        (Direction::Outward, _) if packet.is_syn_ack => Observation::Answered,
        (Direction::Outward, Signal::Reset) => Observation::Reset,
        (Direction::Outward, _) if packet.is_error() => Observation::Unreachable,
        _ => return None,
    };
    Some((target?, observed))
}

/// Returns the facts that the router needs, and the service's address; `None` if the packet belongs
/// to no service or target.
fn packet_facts<A: AddressLookup>(
    key: &HashKey,
    addresses: &A,
    packet: &Packet,
    hops: u8,
) -> Option<(PacketFacts, SocketAddr)> {
    let inward = addresses.service(packet.protocol, packet.destination);
    let (direction, service, source, address) = match inward {
        Some(service) => (Direction::Inward, service, None, packet.destination),
        None => {
            let origin = addresses.origin(packet.protocol, packet.source)?;
            (Direction::Outward, origin.service, Some(origin.target), origin.address)
        }
    };
    let flow = FlowHash::new(key, &packet.tuple(direction, address));
    let signal = packet.signal;
    Some((PacketFacts { service, flow, signal, direction, source, hops }, address))
}
