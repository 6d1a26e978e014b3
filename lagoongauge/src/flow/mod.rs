//! Flows: the 5-tuple, its keyed hash and the lifecycle signals of packets.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Protocol {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

impl Protocol {
    /// Returns the protocol number used in IP headers.
    pub const fn number(self) -> u8 {
        match self {
            Self::Tcp => 6,
            Self::Udp => 17,
        }
    }
}

/// The 5-tuple of a flow as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tuple {
    /// Transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddr,
    /// The service's address and port.
    pub service: SocketAddr,
}

/// Key of the flow hash, shared by all entry hosts and unknown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HashKey(pub [u8; 16]);

/// Keyed hash of a [`Tuple`], which identifies the flow everywhere after parsing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FlowHash(pub u64);

impl FlowHash {
    /// Hashes a flow's tuple; the result is the same on all entry hosts with the same `key`.
    pub fn new(key: &HashKey, tuple: &Tuple) -> Self {
        let mut hasher = SipHasher13::new_with_key(&key.0);
        write_address(&mut hasher, tuple.caller);
        write_address(&mut hasher, tuple.service);
        hasher.write_u8(tuple.protocol.number());
        Self(hasher.finish())
    }

    /// Returns the flow's bucket in a table of `2^bits` buckets, taken from the high bits.
    pub const fn bucket(self, bits: u8) -> u32 {
        (self.0 >> (64 - bits as u32)) as u32
    }
}

/// Lifecycle signal that a packet carries for its flow; see "Lifecycle" in docs/DESIGN.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signal {
    /// A TCP SYN without data.
    Open,
    /// A TCP SYN that carries data.
    OpenData,
    /// A TCP segment without SYN, FIN or RST, a TCP SYN-ACK, or an ICMP error about the flow.
    Middle,
    /// A TCP FIN.
    Finish,
    /// A TCP RST.
    Reset,
    /// A UDP datagram, which carries no lifecycle information.
    Datagram,
}

fn write_address(hasher: &mut SipHasher13, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => hasher.write(&ip.octets()),
        IpAddr::V6(ip) => hasher.write(&ip.octets()),
    }
    hasher.write_u16(address.port());
}
