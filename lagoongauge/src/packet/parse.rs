//! Parses the addresses, the lifecycle signal and the layout of a packet.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use etherparse::checksum::Sum16BitWords;
use etherparse::{
    IpNumber, Ipv4HeaderSlice, Ipv6ExtensionsSlice, Ipv6HeaderSlice, TcpHeaderSlice, UdpHeaderSlice,
};

use super::DropReason;
use crate::flow::{Protocol, Signal, Tuple};
use crate::route::Direction;

/// Shortest ICMP error: its header of 8 bytes, then an IPv4 header followed by 8 bytes.
const MIN_ICMP_ERROR_LEN: usize = 8 + 20 + 8;

/// Fewest bytes of the quoted transport header in an ICMP error.
const MIN_QUOTED_LEN: usize = 8;

/// A packet with validated headers; positions are byte offsets from its start.
///
/// For an ICMP error, source and destination are those of the flow that it concerns: its source is
/// the destination of the quoted packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// Transport protocol of the flow.
    pub protocol: Protocol,
    /// Address and port that the packet comes from.
    pub source: SocketAddr,
    /// Address and port that the packet goes to.
    pub destination: SocketAddr,
    /// Lifecycle signal of the packet.
    pub signal: Signal,
    /// Whether this is a TCP SYN-ACK, the first reply to a new flow.
    pub is_syn_ack: bool,
    /// Length of the packet without trailing bytes.
    pub len: usize,
    /// Offset of the transport header, or of the ICMP header of an error.
    pub(super) transport: usize,
    /// Offsets in the quoted packet if this is an ICMP error.
    pub(super) quoted: Option<Quoted>,
}

/// Offsets in the packet that an ICMP error quotes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Quoted {
    /// Start of the IP header.
    pub network: usize,
    /// Start of the transport header.
    pub transport: usize,
}

/// Fields of an IP header.
struct NetworkHeader {
    source: IpAddr,
    destination: IpAddr,
    protocol: IpNumber,
    transport: usize,
    len: usize,
}

impl Packet {
    /// Parses a packet that starts at the first byte; trailing bytes are ignored.
    pub fn parse(bytes: &[u8]) -> Result<Self, DropReason> {
        let network = NetworkHeader::parse(bytes, false)?;
        let body = &bytes[network.transport..network.len];
        match (network.protocol, network.source) {
            (IpNumber::TCP, _) => network.parse_tcp(body),
            (IpNumber::UDP, _) => network.parse_udp(body),
            (IpNumber::ICMP, IpAddr::V4(_)) => {
                network.parse_icmp(bytes, body, Sum16BitWords::new())
            }
            (IpNumber::IPV6_ICMP, IpAddr::V6(_)) => {
                let pseudo = pseudo_header_sum(bytes, body.len());
                network.parse_icmp(bytes, body, pseudo)
            }
            _ => Err(DropReason::Protocol),
        }
    }

    /// Returns the flow's tuple as the caller sees it; `service` is the service's address.
    pub fn tuple(&self, direction: Direction, service: SocketAddr) -> Tuple {
        let caller = match direction {
            Direction::Inward => self.source,
            Direction::Outward => self.destination,
        };
        Tuple { protocol: self.protocol, caller, service }
    }

    /// Returns whether this is an ICMP error about the flow.
    pub fn is_error(&self) -> bool {
        self.quoted.is_some()
    }

    fn validate(self) -> Result<Self, DropReason> {
        let has_ports = self.source.port() != 0 && self.destination.port() != 0;
        if !has_ports || !is_unicast(self.source.ip()) || !is_unicast(self.destination.ip()) {
            return Err(DropReason::Address);
        }
        Ok(self)
    }
}

impl NetworkHeader {
    /// Parses an IP header; the payload of a quoted packet may be truncated.
    fn parse(bytes: &[u8], quoted: bool) -> Result<Self, DropReason> {
        match bytes.first().map(|byte| byte >> 4) {
            Some(4) => Self::parse_v4(bytes, quoted),
            Some(6) => Self::parse_v6(bytes, quoted),
            _ => Err(DropReason::Version),
        }
    }

    fn parse_v4(bytes: &[u8], quoted: bool) -> Result<Self, DropReason> {
        let header = Ipv4HeaderSlice::from_slice(bytes).map_err(|_| DropReason::Network)?;
        let transport = header.slice().len();
        let total = usize::from(header.total_len());
        if total < transport || (!quoted && total > bytes.len()) {
            return Err(DropReason::Network);
        }
        if header.is_fragmenting_payload() {
            return Err(DropReason::Fragment);
        }
        Ok(Self {
            source: header.source_addr().into(),
            destination: header.destination_addr().into(),
            protocol: header.protocol(),
            transport,
            len: total.min(bytes.len()),
        })
    }

    fn parse_v6(bytes: &[u8], quoted: bool) -> Result<Self, DropReason> {
        let header = Ipv6HeaderSlice::from_slice(bytes).map_err(|_| DropReason::Network)?;
        let start = header.header_len();
        let total = start + usize::from(header.payload_length());
        if !quoted && total > bytes.len() {
            return Err(DropReason::Network);
        }
        let len = total.min(bytes.len());
        let next = header.next_header();
        let (protocol, transport) = match next {
            IpNumber::TCP | IpNumber::UDP | IpNumber::IPV6_ICMP => (next, start),
            _ => skip_extensions(next, &bytes[start..len], start)?,
        };
        Ok(Self {
            source: header.source_addr().into(),
            destination: header.destination_addr().into(),
            protocol,
            transport,
            len,
        })
    }

    fn parse_tcp(self, body: &[u8]) -> Result<Packet, DropReason> {
        let header = TcpHeaderSlice::from_slice(body).map_err(|_| DropReason::Transport)?;
        let has_data = body.len() > header.slice().len();
        let signal = signal(&header, has_data)?;
        let is_syn_ack = header.syn() && header.ack();
        let ports = (header.source_port(), header.destination_port());
        self.into_packet(Protocol::Tcp, ports, signal, is_syn_ack).validate()
    }

    fn parse_udp(self, body: &[u8]) -> Result<Packet, DropReason> {
        let header = UdpHeaderSlice::from_slice(body).map_err(|_| DropReason::Transport)?;
        if usize::from(header.length()) != body.len() {
            return Err(DropReason::Transport);
        }
        let ports = (header.source_port(), header.destination_port());
        self.into_packet(Protocol::Udp, ports, Signal::Datagram, false).validate()
    }

    fn parse_icmp(
        self,
        bytes: &[u8],
        body: &[u8],
        pseudo: Sum16BitWords,
    ) -> Result<Packet, DropReason> {
        let kind = *body.first().ok_or(DropReason::Transport)?;
        if !is_icmp_error(self.source, kind) {
            return Err(DropReason::Protocol);
        }
        if body.len() < MIN_ICMP_ERROR_LEN {
            return Err(DropReason::Transport);
        }
        if pseudo.add_slice(body).ones_complement() != 0 {
            return Err(DropReason::Checksum);
        }
        let start = self.transport + 8;
        let inner = Self::parse(&bytes[start..self.len], true).map_err(quoted_reason)?;
        if inner.source != self.destination || inner.len < inner.transport + MIN_QUOTED_LEN {
            return Err(DropReason::Quoted);
        }
        let protocol = match inner.protocol {
            IpNumber::TCP => Protocol::Tcp,
            IpNumber::UDP => Protocol::Udp,
            _ => return Err(DropReason::Quoted),
        };
        let transport = start + inner.transport;
        let ports =
            [0, 2].map(|at| u16::from_be_bytes([bytes[transport + at], bytes[transport + at + 1]]));
        let packet = Packet {
            protocol,
            source: SocketAddr::new(inner.destination, ports[1]),
            destination: SocketAddr::new(inner.source, ports[0]),
            signal: Signal::Middle,
            is_syn_ack: false,
            len: self.len,
            transport: self.transport,
            quoted: Some(Quoted { network: start, transport }),
        };
        packet.validate()
    }

    fn into_packet(
        self,
        protocol: Protocol,
        (from, to): (u16, u16),
        signal: Signal,
        is_syn_ack: bool,
    ) -> Packet {
        Packet {
            protocol,
            source: SocketAddr::new(self.source, from),
            destination: SocketAddr::new(self.destination, to),
            signal,
            is_syn_ack,
            len: self.len,
            transport: self.transport,
            quoted: None,
        }
    }
}

/// Sums the pseudo-header of an ICMPv6 message of `len` bytes in the packet `bytes`.
pub(super) fn pseudo_header_sum(bytes: &[u8], len: usize) -> Sum16BitWords {
    Sum16BitWords::new()
        .add_slice(&bytes[8..40])
        .add_4bytes((len as u32).to_be_bytes())
        .add_2bytes([0, IpNumber::IPV6_ICMP.0])
}

fn quoted_reason(reason: DropReason) -> DropReason {
    match reason {
        DropReason::Fragment => DropReason::Fragment,
        _ => DropReason::Quoted,
    }
}

fn skip_extensions(
    next: IpNumber,
    rest: &[u8],
    start: usize,
) -> Result<(IpNumber, usize), DropReason> {
    let (extensions, protocol, remaining) =
        Ipv6ExtensionsSlice::from_slice(next, rest).map_err(|_| DropReason::Network)?;
    if extensions.is_fragmenting_payload() {
        return Err(DropReason::Fragment);
    }
    // With a routing header, the checksum covers another destination than that of the IP header.
    let has_routing = extensions
        .clone()
        .into_iter()
        .any(|extension| matches!(extension, etherparse::Ipv6ExtensionSlice::Routing(_)));
    if has_routing {
        return Err(DropReason::Protocol);
    }
    Ok((protocol, start + rest.len() - remaining.len()))
}

fn signal(header: &TcpHeaderSlice<'_>, has_data: bool) -> Result<Signal, DropReason> {
    let (syn, fin, rst) = (header.syn(), header.fin(), header.rst());
    if syn && (fin || rst) {
        return Err(DropReason::Flags);
    }
    if rst {
        return Ok(Signal::Reset);
    }
    if fin {
        return Ok(Signal::Finish);
    }
    if !syn || header.ack() {
        return Ok(Signal::Middle);
    }
    Ok(if has_data { Signal::OpenData } else { Signal::Open })
}

/// Returns whether an ICMP type is an error that quotes a packet: destination unreachable, time
/// exceeded and parameter problem, for IPv6 also packet too big.
fn is_icmp_error(source: IpAddr, kind: u8) -> bool {
    match source {
        IpAddr::V4(_) => matches!(kind, 3 | 11 | 12),
        IpAddr::V6(_) => matches!(kind, 1..=4),
    }
}

fn is_unicast(ip: IpAddr) -> bool {
    match ip {
        IpAddr::V4(ip) => !ip.is_multicast() && !ip.is_unspecified() && ip != Ipv4Addr::BROADCAST,
        IpAddr::V6(ip) => !ip.is_multicast() && ip != Ipv6Addr::UNSPECIFIED,
    }
}
