//! Messages between control hosts, and from control hosts to entry hosts.

use std::io::Result;
use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::catalog::EvacuatedCentres;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::roster::{Entry, Heartbeat};
use serde::{Deserialize, Serialize};

use super::compressed::{CompressedDocument, CompressedTargets};
use super::version::{Extensible, VersionRange};
use crate::frame;

/// First frame on every connection: who opened it, and which versions that host speaks.
///
/// Hosts of the first version send the hello alone and ignore what follows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Greeting {
    /// The host that opened the connection.
    pub hello: Hello,
    /// Versions that it speaks.
    pub versions: VersionRange,
}

/// First message on every connection, which identifies the host that opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// A control host.
    Control {
        /// Its id.
        host: HostId,
    },
    /// An entry host that subscribes to a feed.
    Entry {
        /// Its id.
        host: HostId,
        /// Name of its data centre.
        centre: String,
        /// Version of its catalog.
        version: u64,
        /// Whether another control host sends catalogs first, on the entry host's primary feed.
        secondary: bool,
    },
}

/// Message between control hosts, acknowledged with the number of messages received so far on the
/// connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Known hosts.
    Hosts {
        /// Control hosts that the sender knows.
        controls: Vec<HostId>,
        /// Entry hosts that any control host feeds, with their data centres.
        entry_hosts: Vec<(HostId, String)>,
    },
    /// Message of the replicated log.
    Log(Vec<u8>),
    /// Changed targets.
    Targets(Vec<Entry>),
    /// Target that announced its end; the sender may not know the target's last announcement.
    TargetLeft(TargetId),
    /// Heartbeats of targets whose announcements did not change.
    Heartbeats(Vec<Heartbeat>),
}

impl Greeting {
    /// Greets as a host of this version.
    pub fn new(hello: Hello) -> Self {
        Self { hello, versions: VersionRange::OWN }
    }

    /// Decodes the content of a frame; fails with `InvalidData`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (hello, trailer) = frame::decode_prefix(bytes)?;
        Ok(Self { hello, versions: VersionRange::from_trailer(trailer)? })
    }
}

impl PeerMessage {
    /// Returns whether the message must not be delivered late, as its meaning changes with time.
    pub(super) fn is_transient(&self) -> bool {
        matches!(self, Self::Log(_) | Self::TargetLeft(_))
    }
}

/// Message from a control host to an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// New catalog.
    Catalog(CompressedDocument),
    /// Changed targets, each with whether it is silent.
    Targets(Vec<(Entry, bool)>),
    /// Status of the control host, sent after its changed targets.
    Status {
        /// Whether the control host is in contact with a quorum.
        current: bool,
        /// Control hosts that it knows.
        controls: Vec<HostId>,
        /// Entry hosts to share load counts with.
        neighbours: Vec<Neighbour>,
    },
    /// Many changed targets. Entry hosts of earlier versions can't read it, see "Upgrades" in
    /// docs/OPERATIONS.md.
    CompressedTargets(CompressedTargets),
    /// Evacuated data centres. They are sent only once there was an order, as entry hosts of earlier
    /// versions can't read them.
    Evacuated(EvacuatedCentres),
    /// Versions that the control host speaks; sent first, and only to an entry host that said its own.
    Versions(VersionRange),
}

impl Extensible for PeerMessage {
    const VARIANTS: u32 = 5;
}

impl Extensible for FeedMessage {
    const VARIANTS: u32 = 6;
}

/// Another entry host with which an entry host shares its load counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// Its id.
    pub host: HostId,
    /// Whether it is in the same data centre.
    pub local: bool,
}

impl Neighbour {
    /// Maximum number of neighbours of an entry host.
    pub const MAX_COUNT: usize = 32;

    /// Chooses the neighbours of an entry host. Hosts of its own data centre come first, and within
    /// each group those with the next higher addresses, so that every host is the neighbour of
    /// about as many others.
    pub fn choose<'a>(
        entry_hosts: impl Iterator<Item = (HostId, &'a str)>,
        of: HostId,
        centre: &str,
    ) -> Vec<Self> {
        let others = entry_hosts.filter(|(host, _)| *host != of);
        let mut others: Vec<Self> = others
            .map(|(host, other_centre)| Self { host, local: other_centre == centre })
            .collect();
        others.sort_unstable_by_key(|other| (!other.local, other.host.0.wrapping_sub(of.0)));
        others.truncate(Self::MAX_COUNT);
        others
    }
}

/// Acknowledgement of an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAck {
    /// Version of its active catalog.
    pub version: u64,
}

/// Derives a host's id from its address, as no other unique ids are assigned.
pub fn host_id(address: Ipv4Addr) -> HostId {
    HostId(u32::from(address))
}

/// Returns the address at which a host accepts connections; all hosts use the same port.
pub fn host_address(host: HostId, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(host.0), port)
}
