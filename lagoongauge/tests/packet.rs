//! Rewritten packets have correct checksums, only the first packet of a flow is refused, and no
//! input causes a panic.

use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, NetSlice, PacketBuilder, PacketBuilderStep, SlicedPacket,
    TransportSlice, icmpv4, icmpv6,
};
use lagoongauge::error::Kind;
use lagoongauge::flow::{FlowHash, HashKey, Protocol, Signal, Tuple};
use lagoongauge::forward::{Directory, MAX_RELAYS, Observe, Origin, PacketAction, forward};
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::packet::{DropReason, Packet, Side, rewrite};
use lagoongauge::route::{Direction, PacketFacts, Route, Verdict};
use lagoongauge::time::Instant;
use proptest::prelude::*;

const KEY: HashKey = HashKey([3; 16]);
const HOP_LIMIT: u8 = 20;

/// Addresses of a flow over one IP version.
#[derive(Debug, Clone, Copy)]
struct FlowAddresses {
    caller: SocketAddr,
    service: SocketAddr,
    target: SocketAddr,
}

fn flow_addresses(v6: bool) -> FlowAddresses {
    let [caller, service, target] = if v6 {
        ["[2001:db8::7]:40000", "[fd00:99::1]:443", "[fd00:2::5]:8443"]
    } else {
        ["192.0.2.7:40000", "10.99.0.1:443", "10.1.0.5:8443"]
    };
    let parse = |text: &str| text.parse().expect("the address is well-formed");
    FlowAddresses { caller: parse(caller), service: parse(service), target: parse(target) }
}

fn ip(from: IpAddr, to: IpAddr, hop_limit: u8) -> PacketBuilderStep<IpHeaders> {
    match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), hop_limit)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            PacketBuilder::ipv6(from.octets(), to.octets(), hop_limit)
        }
        _ => panic!("the addresses differ in IP version"),
    }
}

fn udp(from: SocketAddr, to: SocketAddr, hop_limit: u8, data: &[u8]) -> Vec<u8> {
    let mut packet = Vec::new();
    let builder = ip(from.ip(), to.ip(), hop_limit).udp(from.port(), to.port());
    builder.write(&mut packet, data).expect("a vector takes every byte");
    packet
}

/// Builds a TCP segment; `flags` consists of the letters `SAFR`.
fn tcp(from: SocketAddr, to: SocketAddr, hop_limit: u8, flags: &str, data: &[u8]) -> Vec<u8> {
    let mut packet = Vec::new();
    let mut builder = ip(from.ip(), to.ip(), hop_limit).tcp(from.port(), to.port(), 1000, 512);
    for flag in flags.chars() {
        builder = match flag {
            'S' => builder.syn(),
            'A' => builder.ack(77),
            'F' => builder.fin(),
            _ => builder.rst(),
        };
    }
    builder.write(&mut packet, data).expect("a vector takes every byte");
    packet
}

fn unreachable(from: SocketAddr, to: SocketAddr, hop_limit: u8, quoted: &[u8]) -> Vec<u8> {
    let mut packet = Vec::new();
    let builder = ip(from.ip(), to.ip(), hop_limit);
    let written = if from.is_ipv4() {
        let kind = Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
        builder.icmpv4(kind).write(&mut packet, quoted)
    } else {
        let kind = Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port);
        builder.icmpv6(kind).write(&mut packet, quoted)
    };
    written.expect("a vector takes every byte");
    packet
}

/// Returns the same verdict for every packet.
struct FixedVerdict(Verdict);

impl Route for FixedVerdict {
    fn route(&self, _: Instant, _: &PacketFacts) -> Verdict {
        self.0
    }
}

/// Forwards inward packets to one target and outward packets to their callers.
struct SingleTarget;

impl Route for SingleTarget {
    fn route(&self, _: Instant, facts: &PacketFacts) -> Verdict {
        match facts.direction {
            Direction::Inward => Verdict::Forward(TargetId(5)),
            Direction::Outward => Verdict::ToCaller,
        }
    }
}

impl Observe for FixedVerdict {}

impl Observe for SingleTarget {}

fn directory(protocol: Protocol) -> Directory {
    let mut directory = Directory::default();
    for (v6, target) in [(false, TargetId(5)), (true, TargetId(6))] {
        let addresses = flow_addresses(v6);
        directory.add_service(protocol, addresses.service, ServiceId(1));
        let origin = Origin { target, service: ServiceId(1), address: addresses.service };
        directory.add_target(protocol, addresses.target, origin);
    }
    directory
}

fn process<R: Route + Observe>(route: &R, bytes: &mut [u8], hops: u8) -> (PacketAction, Vec<u8>) {
    let protocol = Packet::parse(bytes).map_or(Protocol::Tcp, |packet| packet.protocol);
    let mut reply = Vec::new();
    let directory = directory(protocol);
    let action = forward(Instant(1), &KEY, (route, &directory), bytes, hops, &mut reply);
    (action, reply)
}

fn signal(flags: &str, data: &[u8]) -> Result<Signal, DropReason> {
    let addresses = flow_addresses(false);
    Packet::parse(&tcp(addresses.caller, addresses.service, HOP_LIMIT, flags, data))
        .map(|p| p.signal)
}

#[test]
fn tcp_flags_map_to_lifecycle_signals() {
    assert_eq!(signal("S", b""), Ok(Signal::Open));
    assert_eq!(signal("S", b"hold"), Ok(Signal::OpenData));
    assert_eq!(signal("SA", b""), Ok(Signal::Middle));
    assert_eq!(signal("A", b"hold"), Ok(Signal::Middle));
    assert_eq!(signal("AF", b"hold"), Ok(Signal::Finish));
    assert_eq!(signal("AR", b""), Ok(Signal::Reset));
    assert_eq!(signal("AFR", b""), Ok(Signal::Reset));
    assert_eq!(signal("SF", b""), Err(DropReason::Flags));
    assert_eq!(signal("SR", b""), Err(DropReason::Flags));
}

#[test]
fn both_directions_have_the_same_flow_hash() {
    let addresses = flow_addresses(true);
    let inward = Packet::parse(&tcp(addresses.caller, addresses.service, 9, "A", b"")).unwrap();
    let outward = Packet::parse(&tcp(addresses.target, addresses.caller, 9, "A", b"")).unwrap();
    let hash = |tuple: Tuple| FlowHash::new(&KEY, &tuple);
    assert_eq!(
        hash(inward.tuple(Direction::Inward, addresses.service)),
        hash(outward.tuple(Direction::Outward, addresses.service)),
    );
}

#[test]
fn the_packet_quoted_by_an_icmp_error_is_rewritten() {
    for v6 in [false, true] {
        let FlowAddresses { caller, service, target } = flow_addresses(v6);
        for length in [0, 3, 40] {
            let data = vec![9; length];
            // The caller's host rejects the service's reply: the error must quote the target's.
            let quoted = udp(service, caller, 5, &data);
            let mut bytes = unreachable(caller, service, HOP_LIMIT, &quoted);
            let (action, _) = process(&SingleTarget, &mut bytes, 0);
            if v6 {
                // The router chose the IPv4 target.
                assert_eq!(action, PacketAction::Drop(DropReason::Family));
                let packet = Packet::parse(&bytes).unwrap();
                rewrite(&mut bytes, &packet, Side::Destination, target).unwrap();
            } else {
                assert_eq!(action, PacketAction::Send { len: bytes.len() });
            }
            let quoted = udp(target, caller, 5, &data);
            assert_eq!(bytes, unreachable(caller, target, HOP_LIMIT - 1, &quoted));

            // The target's host rejects the caller's packet: the error must quote the service's.
            let quoted = udp(caller, target, 5, &data);
            let mut bytes = unreachable(target, caller, HOP_LIMIT, &quoted);
            let (action, _) = process(&SingleTarget, &mut bytes, 0);
            assert_eq!(action, PacketAction::Send { len: bytes.len() });
            let quoted = udp(caller, service, 5, &data);
            assert_eq!(bytes, unreachable(service, caller, HOP_LIMIT - 1, &quoted));
        }
    }
}

#[test]
fn an_icmp_error_from_a_router_keeps_its_source_address() {
    let FlowAddresses { caller, service, target } = flow_addresses(false);
    let router = SocketAddr::new("10.1.0.254".parse().unwrap(), 0);
    let mut bytes = unreachable(router, caller, HOP_LIMIT, &udp(caller, target, 5, b"x"));
    let (action, _) = process(&SingleTarget, &mut bytes, 0);
    assert_eq!(action, PacketAction::Send { len: bytes.len() });
    assert_eq!(bytes, unreachable(router, caller, HOP_LIMIT - 1, &udp(caller, service, 5, b"x")));
}

#[test]
fn an_icmp_error_that_quotes_a_foreign_or_damaged_packet_is_dropped() {
    let FlowAddresses { caller, service, target } = flow_addresses(false);
    let mut foreign = unreachable(caller, service, HOP_LIMIT, &udp(target, caller, 5, b"x"));
    assert_eq!(process(&SingleTarget, &mut foreign, 0).0, PacketAction::Drop(DropReason::Quoted));
    let mut damaged = unreachable(caller, service, HOP_LIMIT, &udp(service, caller, 5, b"x"));
    *damaged.last_mut().unwrap() ^= 1;
    assert_eq!(process(&SingleTarget, &mut damaged, 0).0, PacketAction::Drop(DropReason::Checksum));
}

#[test]
fn unforwardable_packets_are_dropped_with_their_reason() {
    let FlowAddresses { caller, service, target } = flow_addresses(false);
    let good = tcp(caller, service, HOP_LIMIT, "A", b"booking");
    let changed = |at: usize, value: u8| {
        let mut bytes = good.clone();
        bytes[at] = value;
        bytes
    };
    let stray = tcp(caller, SocketAddr::new(target.ip(), 9), HOP_LIMIT, "A", b"");
    let cases = [
        (Vec::new(), DropReason::Version),
        (changed(0, 0x55), DropReason::Version),
        (changed(0, 0x41), DropReason::Network),
        (good[..30].to_vec(), DropReason::Network),
        (changed(6, 0x20), DropReason::Fragment),
        (changed(7, 0x01), DropReason::Fragment),
        (changed(9, 132), DropReason::Protocol),
        (changed(32, 0x10), DropReason::Transport),
        (changed(16, 224), DropReason::Address),
        (tcp(caller, service, 1, "A", b""), DropReason::HopLimit),
        (stray, DropReason::Stray),
    ];
    for (mut bytes, reason) in cases {
        let before = bytes.clone();
        assert_eq!(process(&SingleTarget, &mut bytes, 0).0, PacketAction::Drop(reason));
        assert_eq!(bytes, before, "a dropped packet was changed");
    }
    let echo = {
        let mut packet = Vec::new();
        let kind = Icmpv4Type::EchoRequest(etherparse::IcmpEchoHeader { id: 1, seq: 1 });
        let builder = ip(caller.ip(), service.ip(), HOP_LIMIT).icmpv4(kind);
        builder.write(&mut packet, b"ping").unwrap();
        packet
    };
    assert_eq!(Packet::parse(&echo), Err(DropReason::Protocol));
}

#[test]
fn a_udp_datagram_without_checksum_stays_without() {
    let FlowAddresses { caller, service, target } = flow_addresses(false);
    let mut bytes = udp(caller, service, HOP_LIMIT, b"feed");
    bytes[26..28].fill(0);
    let packet = Packet::parse(&bytes).unwrap();
    rewrite(&mut bytes, &packet, Side::Destination, target).unwrap();
    assert_eq!(bytes[26..28], [0, 0]);
}

#[test]
fn a_wrong_checksum_stays_wrong() {
    let FlowAddresses { caller, service, target } = flow_addresses(false);
    let mut bytes = tcp(caller, service, HOP_LIMIT, "A", b"booking");
    *bytes.last_mut().unwrap() ^= 1;
    let packet = Packet::parse(&bytes).unwrap();
    rewrite(&mut bytes, &packet, Side::Destination, target).unwrap();
    let whole = tcp(caller, target, HOP_LIMIT - 1, "A", b"booking");
    assert_eq!(bytes[..bytes.len() - 1], whole[..whole.len() - 1]);
    assert_ne!(bytes, whole);
}

#[test]
fn only_the_first_packet_of_a_flow_is_refused() {
    let refuse = FixedVerdict(Verdict::Refuse(Kind::FlowLimit));
    for v6 in [false, true] {
        let FlowAddresses { caller, service, .. } = flow_addresses(v6);
        for (flags, data, refused) in [
            ("S", &b""[..], true),
            ("S", b"hold", true),
            ("A", b"hold", false),
            ("AF", b"", false),
            ("AR", b"", false),
            ("SA", b"", false),
        ] {
            let mut bytes = tcp(caller, service, HOP_LIMIT, flags, data);
            let (action, reply) = process(&refuse, &mut bytes, 0);
            if refused {
                assert_eq!(action, PacketAction::Refuse(Kind::FlowLimit));
                check_reset(&reply, service, caller, 1001 + data.len() as u32);
            } else {
                assert_eq!(
                    action,
                    PacketAction::Drop(DropReason::Verdict(Kind::FlowLimit)),
                    "{flags}"
                );
                assert!(reply.is_empty());
            }
        }
        let mut bytes = unreachable(caller, service, 9, &tcp(service, caller, 5, "A", b""));
        let (action, reply) = process(&refuse, &mut bytes, 0);
        assert_eq!(action, PacketAction::Drop(DropReason::Verdict(Kind::FlowLimit)));
        assert!(reply.is_empty());
    }
}

fn check_reset(reply: &[u8], service: SocketAddr, caller: SocketAddr, expected: u32) {
    let packet = Packet::parse(reply).unwrap();
    assert_eq!((packet.source, packet.destination), (service, caller));
    assert_eq!(packet.signal, Signal::Reset);
    verify_checksums(reply);
    let sliced = SlicedPacket::from_ip(reply).unwrap();
    let Some(TransportSlice::Tcp(header)) = sliced.transport else {
        panic!("the refusal is not TCP");
    };
    assert_eq!((header.acknowledgment_number(), header.ack()), (expected, true));
}

#[test]
fn a_refused_datagram_is_quoted_to_its_caller() {
    let refuse = FixedVerdict(Verdict::Refuse(Kind::RateLimit));
    for v6 in [false, true] {
        let FlowAddresses { caller, service, .. } = flow_addresses(v6);
        let mut bytes = udp(caller, service, HOP_LIMIT, &[1; 1200]);
        let (action, reply) = process(&refuse, &mut bytes, 0);
        assert_eq!(action, PacketAction::Refuse(Kind::RateLimit));
        let packet = Packet::parse(&reply).unwrap();
        assert!(packet.is_error());
        assert_eq!((packet.source, packet.destination), (service, caller));
        assert!(reply.len() <= 576);
    }
}

#[test]
fn a_packet_is_relayed_only_a_limited_number_of_times() {
    let relay = FixedVerdict(Verdict::Relay(HostId(2)));
    let FlowAddresses { caller, service, .. } = flow_addresses(false);
    let mut bytes = tcp(caller, service, HOP_LIMIT, "S", b"");
    let (first, _) = process(&relay, &mut bytes, 0);
    assert_eq!(first, PacketAction::Relay { host: HostId(2), len: bytes.len() });
    let (last, _) = process(&relay, &mut bytes, MAX_RELAYS);
    assert_eq!(last, PacketAction::Drop(DropReason::Relays));
}

/// Verifies all checksums of a TCP or UDP packet by recomputing them.
fn verify_checksums(bytes: &[u8]) {
    let sliced = SlicedPacket::from_ip(bytes).unwrap();
    let (expected, found) = match (sliced.net.unwrap(), sliced.transport.unwrap()) {
        (NetSlice::Ipv4(net), TransportSlice::Tcp(tcp)) => {
            let header = net.header().to_header();
            assert_eq!(header.calc_header_checksum(), header.header_checksum);
            let expected = tcp.to_header().calc_checksum_ipv4(&header, tcp.payload());
            (expected.unwrap(), tcp.checksum())
        }
        (NetSlice::Ipv6(net), TransportSlice::Tcp(tcp)) => {
            let header = net.header().to_header();
            let expected = tcp.to_header().calc_checksum_ipv6(&header, tcp.payload());
            (expected.unwrap(), tcp.checksum())
        }
        (NetSlice::Ipv4(net), TransportSlice::Udp(udp)) => {
            let header = net.header().to_header();
            assert_eq!(header.calc_header_checksum(), header.header_checksum);
            let expected = udp.to_header().calc_checksum_ipv4(&header, udp.payload());
            (expected.unwrap(), udp.checksum())
        }
        (NetSlice::Ipv6(net), TransportSlice::Udp(udp)) => {
            let header = net.header().to_header();
            let expected = udp.to_header().calc_checksum_ipv6(&header, udp.payload());
            (expected.unwrap(), udp.checksum())
        }
        (net, transport) => panic!("unexpected packet {net:?} {transport:?}"),
    };
    assert_eq!(found, expected);
}

fn address(v6: bool) -> impl Strategy<Value = SocketAddr> {
    let ip = if v6 {
        any::<[u16; 7]>()
            .prop_map(|rest| {
                let [b, c, d, e, f, g, h] = rest;
                IpAddr::from([0x2001, b, c, d, e, f, g, h])
            })
            .boxed()
    } else {
        any::<[u8; 3]>().prop_map(|[b, c, d]| IpAddr::from([10, b, c, d])).boxed()
    };
    (ip, 1..=u16::MAX).prop_map(|(ip, port)| SocketAddr::new(ip, port))
}

fn packet_parts() -> impl Strategy<Value = (bool, [SocketAddr; 3], bool, Vec<u8>)> {
    any::<bool>().prop_flat_map(|v6| {
        let addresses = [address(v6), address(v6), address(v6)];
        (Just(v6), addresses, any::<bool>(), prop::collection::vec(any::<u8>(), 0..1300))
    })
}

proptest! {
    #[test]
    fn a_rewritten_packet_equals_one_built_for_the_new_address(
        (_, [from, to, new], is_tcp, data) in packet_parts(),
        source in any::<bool>(),
    ) {
        let build = |from, to, hop_limit| if is_tcp {
            tcp(from, to, hop_limit, "A", &data)
        } else {
            udp(from, to, hop_limit, &data)
        };
        let mut bytes = build(from, to, HOP_LIMIT);
        let packet = Packet::parse(&bytes).unwrap();
        prop_assert_eq!((packet.source, packet.destination), (from, to));
        let side = if source { Side::Source } else { Side::Destination };
        rewrite(&mut bytes, &packet, side, new).unwrap();
        verify_checksums(&bytes);
        let built = if source { build(new, to, HOP_LIMIT - 1) } else { build(from, new, HOP_LIMIT - 1) };
        prop_assert_eq!(bytes, built);
    }

    #[test]
    fn arbitrary_bytes_are_dropped_or_forwarded(
        mut bytes in prop::collection::vec(any::<u8>(), 0..1600),
        version in 0u8..16,
    ) {
        if let Some(first) = bytes.first_mut() {
            *first = *first & 0x0f | version << 4;
        }
        let before = bytes.len();
        if let (PacketAction::Send { len } | PacketAction::Relay { len, .. }, _) =
            process(&SingleTarget, &mut bytes, 0)
        {
            prop_assert!(len <= before);
        }
    }

    #[test]
    fn mutated_packets_are_dropped_or_forwarded(
        v6 in any::<bool>(),
        shape in 0..4,
        length in 0usize..200,
        cut in 0usize..400,
        changes in prop::collection::vec((0usize..120, any::<u8>()), 0..6),
        refuse in any::<bool>(),
    ) {
        let FlowAddresses { caller, service, target } = flow_addresses(v6);
        let data = vec![7; length];
        let mut bytes = match shape {
            0 => tcp(caller, service, HOP_LIMIT, "S", &data),
            1 => udp(target, caller, HOP_LIMIT, &data),
            2 => unreachable(caller, service, HOP_LIMIT, &udp(service, caller, 9, &data)),
            _ => unreachable(target, caller, HOP_LIMIT, &tcp(caller, target, 9, "A", &data)),
        };
        for (at, value) in changes {
            let at = at % bytes.len();
            bytes[at] = value;
        }
        bytes.truncate(cut.max(1));
        let verdict = if refuse { Verdict::Refuse(Kind::FlowLimit) } else { Verdict::ToCaller };
        let before = bytes.clone();
        let (action, reply) = process(&FixedVerdict(verdict), &mut bytes, 0);
        if matches!(action, PacketAction::Refuse(_)) {
            Packet::parse(&reply).unwrap();
        } else if !matches!(action, PacketAction::Send { .. }) {
            prop_assert_eq!(&before, &bytes);
        }
        let _ = process(&SingleTarget, &mut bytes, 0);
    }
}
