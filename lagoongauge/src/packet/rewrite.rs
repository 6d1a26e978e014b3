//! Replaces the source or destination of a packet in place and updates its checksums.
//!
//! A checksum that was wrong before stays wrong.

use std::net::{IpAddr, SocketAddr};

use etherparse::checksum::Sum16BitWords;

use super::parse::{Quoted, pseudo_header_sum};
use super::{DropReason, Packet};
use crate::flow::Protocol;

/// Endpoint of a packet to replace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Source address and port.
    Source,
    /// Destination address and port.
    Destination,
}

/// Replaces the packet's `side` by `new` and decrements the hop limit.
///
/// `bytes` must be those that `packet` was parsed from. In an ICMP error the quoted packet is
/// rewritten as well, so that the receiver recognizes its own flow. If an error is returned, the
/// bytes are unchanged.
pub fn rewrite(
    bytes: &mut [u8],
    packet: &Packet,
    side: Side,
    new: SocketAddr,
) -> Result<(), DropReason> {
    if packet.source.is_ipv4() != new.is_ipv4() {
        return Err(DropReason::Family);
    }
    decrement_hop_limit(bytes)?;
    match packet.quoted {
        None => rewrite_plain(bytes, packet, side, new),
        Some(quoted) => rewrite_error(bytes, packet, quoted, side, new),
    }
    Ok(())
}

fn rewrite_plain(bytes: &mut [u8], packet: &Packet, side: Side, new: SocketAddr) {
    let address_delta = replace_address(bytes, 0, side, new.ip());
    let port_delta = replace_port(bytes, packet.transport, side, new.port());
    let delta = address_delta.combine(port_delta);
    update_transport_checksum(bytes, packet.transport, packet.protocol, packet.len, delta);
}

/// Rewrites an ICMP error, whose direction is opposite to that of the quoted packet.
fn rewrite_error(bytes: &mut [u8], packet: &Packet, quoted: Quoted, side: Side, new: SocketAddr) {
    let (quoted_side, old) = match side {
        Side::Source => (Side::Destination, packet.source),
        Side::Destination => (Side::Source, packet.destination),
    };
    // A router on the path may have sent the error; its own address is kept.
    if has_address(bytes, 0, side, old.ip()) {
        replace_address(bytes, 0, side, new.ip());
    }
    let address_delta = replace_address(bytes, quoted.network, quoted_side, new.ip());
    let port_delta = replace_port(bytes, quoted.transport, quoted_side, new.port());
    let delta = address_delta.combine(port_delta);
    update_transport_checksum(bytes, quoted.transport, packet.protocol, packet.len, delta);

    let field = packet.transport + 2;
    bytes[field..field + 2].fill(0);
    let sum = match new.ip() {
        IpAddr::V4(_) => Sum16BitWords::new(),
        IpAddr::V6(_) => pseudo_header_sum(bytes, packet.len - packet.transport),
    };
    let sum = sum.add_slice(&bytes[packet.transport..packet.len]).ones_complement();
    // The library returns the sum in native byte order.
    bytes[field..field + 2].copy_from_slice(&sum.to_ne_bytes());
}

/// Change of a one's complement sum caused by a replacement (RFC 1624).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChecksumDelta(u64);

impl ChecksumDelta {
    fn new(old: &[u8], new: &[u8]) -> Self {
        let words = old.as_chunks::<2>().0.iter().zip(new.as_chunks::<2>().0);
        let sum = words.map(|(old, new)| {
            u64::from(!u16::from_be_bytes(*old)) + u64::from(u16::from_be_bytes(*new))
        });
        Self(sum.sum())
    }

    fn combine(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }

    /// Applies the change to the checksum at offset `field`.
    fn apply(self, bytes: &mut [u8], field: usize) {
        let old = u16::from_be_bytes([bytes[field], bytes[field + 1]]);
        let mut sum = u64::from(!old) + self.0;
        sum = (sum & 0xffff) + (sum >> 16);
        sum = (sum & 0xffff) + (sum >> 16);
        let new = !(sum as u16);
        bytes[field..field + 2].copy_from_slice(&new.to_be_bytes());
    }
}

fn decrement_hop_limit(bytes: &mut [u8]) -> Result<(), DropReason> {
    let version = bytes[0] >> 4;
    let offset = if version == 4 { 8 } else { 7 };
    if bytes[offset] <= 1 {
        return Err(DropReason::HopLimit);
    }
    let old = [bytes[offset], 0];
    bytes[offset] -= 1;
    if version == 4 {
        ChecksumDelta::new(&old, &[bytes[offset], 0]).apply(bytes, 10);
    }
    Ok(())
}

fn address_range(network: usize, side: Side, is_v4: bool) -> std::ops::Range<usize> {
    let (first, len) = if is_v4 { (12, 4) } else { (8, 16) };
    let skip = if side == Side::Destination { len } else { 0 };
    let start = network + first + skip;
    start..start + len
}

fn has_address(bytes: &[u8], network: usize, side: Side, ip: IpAddr) -> bool {
    let range = address_range(network, side, ip.is_ipv4());
    match ip {
        IpAddr::V4(ip) => bytes[range] == ip.octets(),
        IpAddr::V6(ip) => bytes[range] == ip.octets(),
    }
}

/// Replaces an address and updates the checksum of an IPv4 header.
fn replace_address(bytes: &mut [u8], network: usize, side: Side, ip: IpAddr) -> ChecksumDelta {
    let range = address_range(network, side, ip.is_ipv4());
    match ip {
        IpAddr::V4(ip) => {
            let delta = ChecksumDelta::new(&bytes[range.clone()], &ip.octets());
            bytes[range].copy_from_slice(&ip.octets());
            delta.apply(bytes, network + 10);
            delta
        }
        IpAddr::V6(ip) => {
            let delta = ChecksumDelta::new(&bytes[range.clone()], &ip.octets());
            bytes[range].copy_from_slice(&ip.octets());
            delta
        }
    }
}

fn replace_port(bytes: &mut [u8], transport: usize, side: Side, port: u16) -> ChecksumDelta {
    let start = if side == Side::Source { transport } else { transport + 2 };
    let field = &mut bytes[start..start + 2];
    let delta = ChecksumDelta::new(field, &port.to_be_bytes());
    field.copy_from_slice(&port.to_be_bytes());
    delta
}

/// Updates the transport checksum, unless it is absent or beyond the end of a truncated packet.
fn update_transport_checksum(
    bytes: &mut [u8],
    transport: usize,
    protocol: Protocol,
    len: usize,
    delta: ChecksumDelta,
) {
    let field = match protocol {
        Protocol::Tcp => transport + 16,
        Protocol::Udp => transport + 6,
    };
    if field + 2 > len {
        return;
    }
    let no_checksum = protocol == Protocol::Udp && bytes[field..field + 2] == [0, 0];
    if no_checksum {
        return;
    }
    delta.apply(bytes, field);
    if protocol == Protocol::Udp && bytes[field..field + 2] == [0, 0] {
        bytes[field..field + 2].fill(0xff);
    }
}
