//! One packet's way through an entry host: parsed, decided on and rewritten in place.
//!
//! The routing and the addresses are handed in, so the daemon, the tests and the measurements run
//! the same code. What can't be carried is dropped with a [`DropReason`]; see "Data path" in
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

/// Relays after which a packet is dropped, so that hosts that disagree never pass it in a circle.
pub const MAX_RELAYS: u8 = 3;

/// A target as the source of an outward packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// The target.
    pub target: TargetId,
    /// The service that the target serves.
    pub service: ServiceId,
    /// The service's address, which callers know the target by.
    pub address: SocketAddr,
}

/// AddressLookup as the data path looks them up.
pub trait AddressLookup {
    /// Returns the service that callers reach at this address.
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId>;

    /// Returns the target that sends from this address, also for some time after it left.
    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin>;

    /// Returns where packets to the target go; none once the target has left.
    fn address(&self, target: TargetId) -> Option<SocketAddr>;
}

/// Takes note of what targets do; by default of nothing.
pub trait Observe {
    /// Notes what a target did.
    fn observe(&self, _target: TargetId, _observation: Observation) {}
}

impl<A: Admit> Observe for Router<A> {}

impl Observe for Node {
    fn observe(&self, target: TargetId, observation: Observation) {
        Self::observe(self, target, observation);
    }
}

/// What to do with a packet once it was decided on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PacketAction {
    /// Hand the rewritten packet, the first `len` bytes, to the fabric.
    Send {
        /// Length of the packet.
        len: usize,
    },
    /// Hand the packet unchanged, the first `len` bytes, to this entry host.
    Relay {
        /// The entry host.
        host: HostId,
        /// Length of the packet.
        len: usize,
    },
    /// Hand the reply buffer to the fabric: the flow was refused.
    Refuse(crate::error::Kind),
    /// Drop the packet.
    Drop(DropReason),
}

/// Decides on the packet in `bytes`, which `hops` entry hosts have relayed so far.
///
/// The packet is rewritten in place; a refusal is built in `reply`.
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

/// Returns what a packet that is sent on tells of its target.
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

/// Finds what the routing needs to know, and the service's address.
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
