//! The packets of PROTOCOL.md.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Flag of a packet that opens a flow.
pub const SYN: u8 = 2;
/// Flag of a packet that resets a flow.
pub const RST: u8 = 16;
/// Flag of a packet that acknowledges.
pub const ACK: u8 = 32;
/// Flag of a packet that ends one direction of a flow.
pub const FIN: u8 = 128;

/// Length of the header.
const HEADER_BYTES: usize = 31;

/// A packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// Address and port of the sender's end.
    pub src: SocketAddrV4,
    /// Address and port of the receiver's end.
    pub dst: SocketAddrV4,
    /// Flags.
    pub flags: u8,
    /// The last echo received on the flow.
    pub echo: u32,
    /// Sequence number of the first byte of data.
    pub seq: u32,
    /// Next sequence number that the sender expects; on a SYN the number of earlier copies.
    pub ack: u32,
    /// Data.
    pub data: Vec<u8>,
    /// Whether the sum is 0, as in resets of the system.
    pub unsigned: bool,
}

impl Packet {
    /// Parses a packet.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let (head, data) = bytes.split_at_checked(HEADER_BYTES)?;
        let u32_at =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let u16_at = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        if data.len() != usize::from(u16_at(4)) {
            return None;
        }
        Some(Self {
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(19)), u16_at(29)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(23)), u16_at(27)),
            flags: head[14],
            echo: u32_at(15),
            seq: u32_at(6),
            ack: u32_at(10),
            data: data.to_vec(),
            unsigned: u32_at(0) == 0,
        })
    }

    /// Encodes the packet with a sum that is not 0. Both ends are stand-ins, so the key does not matter.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = vec![0xa1, 0xb2, 0xc3, 0xd5];
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.push(self.flags);
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.src.ip().octets());
        bytes.extend(self.dst.ip().octets());
        bytes.extend(self.dst.port().to_be_bytes());
        bytes.extend(self.src.port().to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }
}
