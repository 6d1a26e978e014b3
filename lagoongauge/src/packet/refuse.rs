//! Builds the reply that refuses a flow: it tells the caller that none of the flow was processed.

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, PacketBuilder, PacketBuilderStep, TcpHeaderSlice, icmpv4,
    icmpv6,
};

use super::Packet;
use crate::flow::{Protocol, Signal};

/// Hop limit of packets that the system itself originates.
const HOP_LIMIT: u8 = 64;

/// Longest quoted packet in an ICMP error; the whole error stays under 576 bytes.
const MAX_QUOTED_LEN: usize = 520;

/// Writes the refusal of a flow's first packet to `reply` and returns whether there is one.
///
/// Only a packet that opens a flow is refused: any other may belong to a flow that was processed
/// in part, and its caller must not be told that it wasn't.
pub fn refuse(bytes: &[u8], packet: &Packet, reply: &mut Vec<u8>) -> bool {
    reply.clear();
    if packet.is_error() {
        return false;
    }
    let built = match packet.signal {
        Signal::Open | Signal::OpenData => build_reset(bytes, packet, reply),
        Signal::Datagram => build_port_unreachable(bytes, packet, reply),
        Signal::Middle | Signal::Finish | Signal::Reset => false,
    };
    if !built {
        reply.clear();
    }
    built
}

/// Builds a RST that acknowledges a SYN and its data (RFC 9293, 3.10.7.1).
fn build_reset(bytes: &[u8], packet: &Packet, reply: &mut Vec<u8>) -> bool {
    let body = &bytes[packet.transport..packet.len];
    let Ok(header) = TcpHeaderSlice::from_slice(body) else {
        return false;
    };
    let data_len = (body.len() - header.slice().len()) as u32;
    let acknowledgment = header.sequence_number().wrapping_add(data_len).wrapping_add(1);
    reply_builder(packet)
        .tcp(packet.destination.port(), packet.source.port(), 0, 0)
        .rst()
        .ack(acknowledgment)
        .write(reply, &[])
        .is_ok()
}

fn build_port_unreachable(bytes: &[u8], packet: &Packet, reply: &mut Vec<u8>) -> bool {
    debug_assert_eq!(packet.protocol, Protocol::Udp);
    let quoted = &bytes[..packet.len.min(MAX_QUOTED_LEN)];
    let builder = reply_builder(packet);
    let written = if packet.source.is_ipv4() {
        builder
            .icmpv4(Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port))
            .write(reply, quoted)
    } else {
        builder
            .icmpv6(Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port))
            .write(reply, quoted)
    };
    written.is_ok()
}

fn reply_builder(packet: &Packet) -> PacketBuilderStep<IpHeaders> {
    match (packet.destination.ip(), packet.source.ip()) {
        (std::net::IpAddr::V4(from), std::net::IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (from, to) => PacketBuilder::ipv6(ipv6_octets(from), ipv6_octets(to), HOP_LIMIT),
    }
}

fn ipv6_octets(ip: std::net::IpAddr) -> [u8; 16] {
    match ip {
        std::net::IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        std::net::IpAddr::V6(ip) => ip.octets(),
    }
}
