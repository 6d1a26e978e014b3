//! Messages between control hosts, and from control hosts to entry hosts.

use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::id::{HostId, TargetId};
use lagoongauge::roster::{Entry, Heartbeat};
use serde::{Deserialize, Serialize};

use super::compressed::CompressedDocument;

/// First message on every connection: who opened it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hello {
    /// A control host.
    Control {
        /// Who it is.
        host: HostId,
    },
    /// An entry host, which wants to be fed.
    Entry {
        /// Who it is.
        host: HostId,
        /// Name of its data centre.
        centre: String,
        /// Version of the catalog that it holds.
        version: u64,
        /// Whether another control host feeds it too, which sends catalogs first.
        secondary: bool,
    },
}

/// What control hosts tell each other; each is answered by a count of those that arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Control hosts that the sender knows, and entry hosts that it feeds.
    Hosts {
        /// Control hosts.
        controls: Vec<HostId>,
        /// Entry hosts with their data centres.
        entry_hosts: Vec<(HostId, String)>,
    },
    /// A message of the replicated log.
    Log(Vec<u8>),
    /// Targets that changed.
    Targets(Vec<Entry>),
    /// A target that said that it ends; its last announcement may be unknown to the sender.
    TargetLeft(TargetId),
    /// Targets that repeated themselves.
    Heartbeats(Vec<Heartbeat>),
}

impl PeerMessage {
    /// Tells whether the message means something else, or nothing, once time has passed.
    pub(super) fn is_transient(&self) -> bool {
        matches!(self, Self::Log(_) | Self::TargetLeft(_))
    }
}

/// What a control host tells an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedMessage {
    /// A later catalog.
    Catalog(CompressedDocument),
    /// Targets that changed, each with whether it fell silent.
    Targets(Vec<(Entry, bool)>),
    /// All that the control host knows has been sent.
    Status {
        /// Whether the control host is in touch with a quorum.
        current: bool,
        /// Control hosts that it knows.
        controls: Vec<HostId>,
        /// Other entry hosts.
        neighbours: Vec<Neighbour>,
    },
}

/// Another entry host, as one is told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Neighbour {
    /// Who it is.
    pub host: HostId,
    /// Whether it stands in the same data centre.
    pub local: bool,
}

impl Neighbour {
    /// Entry hosts that one is told of, to share its load counts with.
    pub const MAX_COUNT: usize = 32;

    /// Chooses the neighbours of an entry host: those of its data centre first, and of each kind
    /// the next ones by address, so that every host is the neighbour of about as many others.
    pub fn choose(entry_hosts: Vec<(HostId, String)>, of: HostId, centre: &str) -> Vec<Self> {
        let others = entry_hosts.into_iter().filter(|(host, _)| *host != of);
        let mut others: Vec<Self> = others
            .map(|(host, other_centre)| Self { host, local: other_centre == centre })
            .collect();
        others.sort_by_key(|other| (!other.local, other.host.0.wrapping_sub(of.0)));
        others.truncate(Self::MAX_COUNT);
        others
    }
}

/// What an entry host answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAck {
    /// Version of the catalog in force there.
    pub version: u64,
}

/// Names a host by its address, as nobody hands out other keys.
pub fn host_id(address: Ipv4Addr) -> HostId {
    HostId(u32::from(address))
}

/// Returns where a host takes connections; all hosts use one port.
pub fn host_address(host: HostId, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(host.0), port)
}
