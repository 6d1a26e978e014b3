//! One address in the registry and the service that holds it.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher13;

use super::announce::{Announcement, MAX_LEASE, State};
use crate::flow::{HashKey, Protocol};
use crate::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// How long established flows still reach a target whose lease has ended at this host.
pub const GRACE_PERIOD: Span = Span::seconds(30);

/// An address that one service at a time may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Endpoint {
    /// Address and port of the target.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
}

impl Endpoint {
    /// Names the host that decides on the address, by rendezvous hashing over the live hosts.
    pub fn home(&self, key: &HashKey, live: &[HostId]) -> Option<HostId> {
        live.iter().copied().max_by_key(|host| {
            let mut hasher = self.hasher(key);
            hasher.write_u32(host.0);
            (hasher.finish(), *host)
        })
    }

    /// Names a target's life at this address.
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

/// Orders the decisions on one address: the later one wins wherever the two meet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Epoch of the view under which the home decided.
    pub epoch: u64,
    /// Decisions on the address so far.
    pub count: u32,
}

impl Stamp {
    /// Returns the stamp of the next decision, made under `epoch`.
    pub fn next(self, epoch: u64) -> Self {
        Self { epoch: epoch.max(self.epoch), count: self.count + 1 }
    }
}

/// What the registry holds of one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The target's life at this address.
    pub target: TargetId,
    /// The service that holds the address.
    pub service: ServiceId,
    /// The member that owns the service.
    pub member: MemberId,
    /// Data centre of the host that took the announcement.
    pub centre: CentreId,
    /// Whether the target takes new work.
    pub state: State,
    /// Number that tells the target's lives apart.
    pub generation: u64,
    /// Requests that the target works on at once.
    pub slots: u16,
    /// How long one announcement holds.
    pub lease: Span,
    /// How long the flows of a draining target may go on.
    pub deadline: Option<Span>,
    /// The decision that this entry stands for.
    pub stamp: Stamp,
    /// When this host last heard that the entry holds.
    pub refreshed: Instant,
    /// When this host first held the entry in its present state.
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

    /// Tells whether the announcement still holds at this host.
    pub fn is_live(&self, now: Instant) -> bool {
        self.state != State::Freed && now <= self.refreshed + self.lease
    }

    /// Tells whether packets may still be sent to the address for the entry's service.
    pub fn is_usable(&self, now: Instant) -> bool {
        now <= self.refreshed + self.lease.min(MAX_LEASE) + GRACE_PERIOD
    }

    /// Tells whether the other entry says the same of the target, its stamp aside.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        (self.target, self.centre, self.state, self.slots, self.lease, self.deadline)
            == (other.target, other.centre, other.state, other.slots, other.lease, other.deadline)
    }

    /// Hashes what the hosts of a group have to agree on.
    pub fn digest(&self, key: &HashKey, endpoint: &Endpoint) -> u64 {
        let mut hasher = endpoint.hasher(key);
        hasher.write_u64(self.target.0);
        hasher.write_u64(self.stamp.epoch);
        hasher.write_u32(self.stamp.count);
        hasher.write_u8(self.state as u8);
        hasher.finish()
    }
}
