//! Packets of flows, as "Packets" in PROTOCOL.md describes them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 2;
pub const RST: u8 = 16;
pub const ACK: u8 = 32;
pub const FIN: u8 = 128;

/// Length of the header in bytes.
const HEADER_BYTES: usize = 31;

/// Length of the backend's id in front of a packet.
const ID_BYTES: usize = 8;

/// Value of the sum in packets of clients and backends; resets of the system carry 0.
const SUM: u32 = 0xa1b2_c3d5;

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub sum: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub echo: u32,
    /// Address and port of the sender's end.
    pub source: SocketAddrV4,
    /// Address and port of the receiver's end.
    pub destination: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    /// Creates a packet without data from `source` to `destination`.
    pub fn new(source: SocketAddrV4, destination: SocketAddrV4, flags: u8) -> Self {
        Self { sum: SUM, seq: 0, ack: 0, flags, echo: 0, source, destination, data: Vec::new() }
    }

    /// Decodes a packet; returns `None` for other bytes.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (head, data) = bytes.split_at_checked(HEADER_BYTES)?;
        let word =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let half = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let end = |address: usize, port: usize| {
            SocketAddrV4::new(Ipv4Addr::from(word(address)), half(port))
        };
        (usize::from(half(4)) == data.len()).then(|| Self {
            sum: word(0),
            seq: word(6),
            ack: word(10),
            flags: head[14],
            echo: word(15),
            source: end(19, 29),
            destination: end(23, 27),
            data: data.to_vec(),
        })
    }

    /// Decodes a datagram to a backend: the id of the intended backend and the packet.
    pub fn decode_delivered(bytes: &[u8]) -> Option<(u64, Self)> {
        let (id, packet) = bytes.split_at_checked(ID_BYTES)?;
        Some((u64::from_be_bytes(id.try_into().ok()?), Self::decode(packet)?))
    }

    /// Encodes the packet.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.sum.to_be_bytes().to_vec();
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.push(self.flags);
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.source.ip().octets());
        bytes.extend(self.destination.ip().octets());
        bytes.extend(self.destination.port().to_be_bytes());
        bytes.extend(self.source.port().to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Returns whether the packet is a reset of the system's own.
    pub fn is_system_reset(&self) -> bool {
        self.flags & RST != 0 && self.sum == 0
    }

    /// Returns the names of the flags.
    pub fn flag_names(&self) -> String {
        let names = [(SYN, "SYN"), (ACK, "ACK"), (FIN, "FIN"), (RST, "RST")];
        let set = names.iter().filter(|(flag, _)| self.flags & flag != 0);
        set.map(|(_, name)| *name).collect::<Vec<_>>().join("+")
    }
}
