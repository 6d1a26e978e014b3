//! Registry entries: an endpoint and the target that holds it.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher13;

use super::announce::{Announcement, MAX_LEASE, State};
use crate::flow::{HashKey, Protocol};
use crate::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// How long this host still forwards established flows to a target after its lease has expired.
pub const GRACE_PERIOD: Span = Span::seconds(30);

/// A transport address, held by at most one service at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    /// Address and port of the target.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
}

impl Endpoint {
    /// Returns the home, the host that decides on the endpoint: rendezvous hashing over live hosts.
    pub fn home(&self, key: &HashKey, live: &[HostId]) -> Option<HostId> {
        live.iter().copied().max_by_key(|host| {
            let mut hasher = self.hasher(key);
            hasher.write_u32(host.0);
            (hasher.finish(), *host)
        })
    }

    /// Derives the id of the target with this service and generation at the endpoint.
    pub fn target_id(&self, key: &HashKey, service: ServiceId, generation: u64) -> TargetId {
        let mut hasher = self.hasher(key);
        hasher.write_u32(service.0);
        hasher.write_u64(generation);
        TargetId(hasher.finish())
    }

    pub(super) fn hasher(&self, key: &HashKey) -> SipHasher13 {
        let mut hasher = SipHasher13::new_with_key(&key.0);
        match self.address.ip() {
            IpAddr::V4(ip) => hasher.write(&ip.octets()),
            IpAddr::V6(ip) => hasher.write(&ip.octets()),
        }
        hasher.write_u16(self.address.port());
        hasher.write_u8(self.protocol.number());
        hasher
    }
}

/// Version stamp of a decision on one endpoint: on conflict the higher one wins.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Epoch of the view under which the home decided.
    pub epoch: u64,
    /// Number of decisions on the endpoint so far.
    pub count: u32,
}

impl Stamp {
    /// Returns the stamp of the next decision, made under `epoch`.
    pub fn next(self, epoch: u64) -> Self {
        Self { epoch: epoch.max(self.epoch), count: self.count + 1 }
    }
}

/// The registry's entry for one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Id of the target, which differs between generations.
    pub target: TargetId,
    /// The service that holds the endpoint.
    pub service: ServiceId,
    /// The member that owns the service.
    pub member: MemberId,
    /// Data centre of the host that received the announcement.
    pub centre: CentreId,
    /// State of the target.
    pub state: State,
    /// Generation of the target, increased with each restart.
    pub generation: u64,
    /// Requests that the target handles concurrently.
    pub slots: u16,
    /// How long one announcement is valid.
    pub lease: Span,
    /// How long the flows of a draining target may continue.
    pub deadline: Option<Span>,
    /// Stamp of the decision that made this entry.
    pub stamp: Stamp,
    /// When this host last received confirmation that the entry is valid.
    pub refreshed: Instant,
    /// When this host first held the entry with its present stamp.
    pub since: Instant,
}

impl Entry {
    /// Builds the entry of an accepted announcement.
    pub fn new(
        now: Instant,
        key: &HashKey,
        announcement: &Announcement,
        member: MemberId,
        centre: CentreId,
        stamp: Stamp,
    ) -> Self {
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        Self {
            target: endpoint.target_id(key, announcement.service, announcement.generation),
            service: announcement.service,
            member,
            centre,
            state: announcement.state,
            generation: announcement.generation,
            slots: announcement.slots,
            lease: announcement.lease,
            deadline: announcement.deadline,
            stamp,
            refreshed: now,
            since: now,
        }
    }

    /// Returns whether the target's lease is still valid at this host.
    pub fn is_live(&self, now: Instant) -> bool {
        self.state != State::Freed && now <= self.refreshed + self.lease
    }

    /// Returns whether packets of the entry's service may still be sent to the endpoint.
    pub fn is_usable(&self, now: Instant) -> bool {
        now <= self.refreshed + self.lease.min(MAX_LEASE) + GRACE_PERIOD
    }

    /// Returns whether both entries agree on the target, apart from stamps and times.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        (self.target, self.centre, self.state, self.slots, self.lease, self.deadline)
            == (other.target, other.centre, other.state, other.slots, other.lease, other.deadline)
    }

    /// Hashes the fields that all hosts of a group must agree on.
    pub fn digest(&self, key: &HashKey, endpoint: &Endpoint) -> u64 {
        let mut hasher = endpoint.hasher(key);
        hasher.write_u64(self.target.0);
        hasher.write_u64(self.stamp.epoch);
        hasher.write_u32(self.stamp.count);
        hasher.write_u8(self.state as u8);
        hasher.finish()
    }
}
