//! The addresses of services and targets at one moment, as an immutable snapshot.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::{Addresses, Origin};
use crate::flow::Protocol;
use crate::id::{ServiceId, TargetId};

/// Addresses of services and targets, built anew at each change and shared by the data threads.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    services: IndexMap<(Protocol, SocketAddr), ServiceId>,
    origins: IndexMap<(Protocol, SocketAddr), Origin>,
    targets: IndexMap<TargetId, SocketAddr>,
}

impl Directory {
    /// Adds a service.
    pub fn add_service(&mut self, protocol: Protocol, address: SocketAddr, service: ServiceId) {
        self.services.insert((protocol, address), service);
    }

    /// Adds a target that packets go to and come from.
    pub fn add_target(&mut self, protocol: Protocol, address: SocketAddr, origin: Origin) {
        self.targets.insert(origin.target, address);
        self.add_former(protocol, address, origin);
    }

    /// Adds a target that has left, so that its late answers still reach their callers.
    pub fn add_former(&mut self, protocol: Protocol, address: SocketAddr, origin: Origin) {
        self.origins.insert((protocol, address), origin);
    }
}

impl Addresses for Directory {
    fn service(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceId> {
        self.services.get(&(protocol, address)).copied()
    }

    fn origin(&self, protocol: Protocol, address: SocketAddr) -> Option<Origin> {
        self.origins.get(&(protocol, address)).copied()
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        self.targets.get(&target).copied()
    }
}
