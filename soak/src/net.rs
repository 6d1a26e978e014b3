//! Loopback addresses and ports of a soak.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Port at which control hosts take calls.
pub const CONTROL_PORT: u16 = 8080;

/// Port at which entry hosts tell whether they are ready.
pub const READINESS_PORT: u16 = 8167;

/// Port of packets on entry hosts and callers.
pub const PACKET_PORT: u16 = 8172;

/// Port that hosts call each other at; the forwarder stands there.
pub const PROXY_PORT: u16 = 7720;

/// Port at which hosts listen behind the forwarder.
pub const LISTEN_PORT: u16 = 7721;

/// Port of all targets.
pub const TARGET_PORT: u16 = 9000;

/// Front address of all routes.
pub const FRONTEND_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// The part of the loopback net that one soak has to itself.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackNet(pub u8);

impl LoopbackNet {
    /// Returns the address of an entry host.
    pub fn entry(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 1, number)
    }

    /// Returns the address of a control host; a host that replaces another one has a new number.
    pub fn control(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 2, number)
    }

    /// Returns where a target takes packets.
    pub fn target(self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.0, 3, number), TARGET_PORT)
    }

    /// Returns the address of a caller.
    pub fn caller(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 4, number)
    }
}
