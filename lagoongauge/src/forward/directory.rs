//! Immutable snapshot of the addresses of services and targets.

use std::net::{IpAddr, SocketAddr};

use indexmap::IndexMap;

use super::hash::BuildAddressHasher;
use super::{AddressLookup, Origin};
use crate::flow::Protocol;
use crate::id::{ServiceId, TargetId};

/// Addresses of services and targets, rebuilt at each change and shared by the data threads.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    services: AddressMap<ServiceId>,
    origins: AddressMap<Origin>,
    targets: IndexMap<TargetId, SocketAddr, BuildAddressHasher>,
}

/// Map keyed by protocol, address and port, split by IP version to keep keys short.
#[derive(Debug, Clone)]
struct AddressMap<T> {
    v4: IndexMap<u64, T, BuildAddressHasher>,
    v6: IndexMap<(u128, u32), T, BuildAddressHasher>,
}

impl Directory {
    /// Adds a service.
    pub fn add_service(&mut self, protocol: Protocol, address: SocketAddr, service: ServiceId) {
        self.services.insert(protocol, address, service);
    }

    /// Adds a target as destination and source of packets.
    pub fn add_target(&mut self, protocol: Protocol, address: SocketAddr, origin: Origin) {
        self.targets.insert(origin.target, address);
        self.add_former_target(protocol, address, origin);
    }

    /// Adds a target that has left, so that its late replies still reach their callers.
    pub fn add_former_target(&mut self, protocol: Protocol, address: SocketAddr, origin: Origin) {
        self.origins.insert(protocol, address, origin);
    }
}

impl AddressLookup for Directory {
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId> {
        self.services.get(protocol, address).copied()
    }

    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin> {
        self.origins.get(protocol, address).copied()
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        self.targets.get(&target).copied()
    }
}

impl<T> Default for AddressMap<T> {
    fn default() -> Self {
        Self { v4: IndexMap::default(), v6: IndexMap::default() }
    }
}

impl<T> AddressMap<T> {
    fn get(&self, protocol: Protocol, address: SocketAddr) -> Option<&T> {
        let transport = pack_transport(protocol, address.port());
        match address.ip() {
            IpAddr::V4(ip) => self.v4.get(&(u64::from(ip.to_bits()) << 32 | u64::from(transport))),
            IpAddr::V6(ip) => self.v6.get(&(ip.to_bits(), transport)),
        }
    }

    fn insert(&mut self, protocol: Protocol, address: SocketAddr, value: T) {
        let transport = pack_transport(protocol, address.port());
        match address.ip() {
            IpAddr::V4(ip) => {
                self.v4.insert(u64::from(ip.to_bits()) << 32 | u64::from(transport), value);
            }
            IpAddr::V6(ip) => {
                self.v6.insert((ip.to_bits(), transport), value);
            }
        }
    }
}

/// Packs protocol and port into one word.
fn pack_transport(protocol: Protocol, port: u16) -> u32 {
    u32::from(protocol.number()) << 16 | u32::from(port)
}
