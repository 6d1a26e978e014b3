//! Loopback addresses and ports of a run.

use std::net::{Ipv4Addr, SocketAddrV4};

/// Port of the HTTP API on control hosts.
pub const API_PORT: u16 = 8080;

/// Port of the readiness check on entry hosts.
pub const READINESS_PORT: u16 = 8167;

/// Port of packets on entry hosts and callers.
pub const PACKET_PORT: u16 = 8172;

/// Port at which hosts connect to each other; the fault proxy listens on it.
pub const PROXY_PORT: u16 = 7720;

/// Port on which hosts listen behind the fault proxy.
pub const LISTEN_PORT: u16 = 7721;

/// Port of all targets.
pub const TARGET_PORT: u16 = 9000;

/// Frontend address of all routes.
pub const FRONTEND_IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// The range of loopback addresses that belongs to one run, given by its second octet.
#[derive(Debug, Clone, Copy)]
pub struct LoopbackNet(pub u8);

impl LoopbackNet {
    /// Returns the address of an entry host.
    pub fn entry(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 1, number)
    }

    /// Returns the address of a control host; a replacement host gets a new number.
    pub fn control(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 2, number)
    }

    /// Returns the address at which a target receives packets.
    pub fn target(self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.0, 3, number), TARGET_PORT)
    }

    /// Returns the address of a caller.
    pub fn caller(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, 4, number)
    }
}
