//! Lease that a majority of a group's hosts grants to one of them, without stable storage.
//!
//! Ballots follow Paxos; grants expire. A host that has just started has no record of its earlier
//! grants, so it grants nothing for one lease duration. See "The planner's lease" in
//! docs/DESIGN.md.

use serde::{Deserialize, Serialize};

use crate::id::HostId;
use crate::time::{Instant, Span};

/// Time for which a grant is valid.
const LEASE_DURATION: Span = Span::millis(2_000);

/// Margin by which the holder's lease ends before its grants; allows clock rates to differ by 5 %.
const CLOCK_MARGIN: Span = Span::millis(100);

/// Interval between the holder's renewals.
const RENEWAL_INTERVAL: Span = Span::millis(600);

/// Time for which a candidate waits for promises of a majority, and a new holder for its grants.
const ROUND_TIMEOUT: Span = Span::millis(400);

/// Upper bound of the random delay before a host becomes a candidate.
const MAX_JITTER_MS: u64 = 600;

/// Number that orders successive holders of a group's lease; also used as ballot number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the lowest epoch of a process that started at this Unix time in milliseconds.
    ///
    /// Keeps epochs increasing although a restarted host has no record of earlier ones.
    pub const fn from_start_time(start_time: u64) -> Self {
        Self(start_time << 16)
    }
}

/// Message of the lease protocol between the hosts of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A candidate requests a promise to grant nothing under lower ballots.
    Prepare {
        /// The candidate's ballot.
        ballot: Epoch,
    },
    /// A host gives that promise; it has no valid grant to another host.
    Promise {
        /// The requested ballot.
        ballot: Epoch,
    },
    /// A host refuses, because it promised a higher ballot or has a valid grant to another host.
    Refuse {
        /// The requested ballot.
        ballot: Epoch,
        /// The highest ballot that the host has promised.
        highest: Epoch,
    },
    /// A candidate or holder requests a grant.
    Propose {
        /// The ballot that a majority has promised.
        ballot: Epoch,
        /// Number of the request under the ballot.
        renewal: u32,
    },
    /// A host grants the lease, starting when it received the request.
    Grant {
        /// The proposed ballot.
        ballot: Epoch,
        /// The granted request.
        renewal: u32,
    },
}

/// Lease state of one host of a group.
#[derive(Debug)]
pub struct Lease {
    own: HostId,
    hosts: Vec<HostId>,
    /// Until when this host grants nothing and does not become a candidate.
    silent_until: Instant,
    promised: Epoch,
    highest_seen: Epoch,
    granted: Option<GrantedLease>,
    role: Role,
    candidacy_at: Instant,
    rng_state: u64,
}

#[derive(Debug, Clone, Copy)]
struct GrantedLease {
    ballot: Epoch,
    holder: HostId,
    expires: Instant,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { ballot: Epoch, since: Instant, promises: Vec<HostId> },
    Holder(Holder),
}

#[derive(Debug)]
struct Holder {
    ballot: Epoch,
    renewal: u32,
    requested_at: Instant,
    grants: Vec<HostId>,
    expires: Option<Instant>,
}

impl Holder {
    /// Returns when the host steps down unless it gets further grants.
    fn deadline(&self) -> Instant {
        self.expires.unwrap_or(self.requested_at + ROUND_TIMEOUT)
    }
}

/// Messages to send, each with its recipient.
type Outbox = Vec<(HostId, LeaseMessage)>;

impl Lease {
    /// Creates the state of a host that has just started, in a group of `hosts`.
    ///
    /// `floor` is the lowest epoch of the process, see [`Epoch::from_start_time`].
    pub fn new(now: Instant, own: HostId, hosts: &[HostId], seed: u64, floor: Epoch) -> Self {
        let mut lease = Self {
            own,
            hosts: hosts.to_vec(),
            silent_until: now + LEASE_DURATION,
            promised: floor,
            highest_seen: floor,
            granted: None,
            role: Role::Follower,
            candidacy_at: now + LEASE_DURATION,
            rng_state: seed ^ u64::from(own.0).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        lease.candidacy_at = lease.candidacy_at + lease.jitter();
        lease
    }

    /// Returns the epoch under which this host holds the lease, if it does.
    pub fn held_epoch(&self, now: Instant) -> Option<Epoch> {
        match &self.role {
            Role::Holder(holder) if holder.expires? > now => Some(holder.ballot),
            _ => None,
        }
    }

    /// Returns when the lease of this host expires unless renewed, if this host holds it.
    pub fn expires_at(&self, now: Instant) -> Option<Instant> {
        match &self.role {
            Role::Holder(holder) => holder.expires.filter(|expires| *expires > now),
            _ => None,
        }
    }

    /// Returns the holder and its epoch: this host, or the host to which it has a valid grant.
    pub fn holder(&self, now: Instant) -> Option<(HostId, Epoch)> {
        if let Some(epoch) = self.held_epoch(now) {
            return Some((self.own, epoch));
        }
        let granted = self.granted.filter(|granted| granted.expires > now)?;
        Some((granted.holder, granted.ballot))
    }

    /// Replaces the hosts of the group; a change stops grants and candidacy for one lease duration.
    pub fn set_hosts(&mut self, now: Instant, hosts: &[HostId]) {
        if self.hosts == hosts {
            return;
        }
        self.hosts = hosts.to_vec();
        self.role = Role::Follower;
        self.silent_until = now + LEASE_DURATION;
        self.candidacy_at = self.silent_until + self.jitter();
    }

    /// Gives up the lease; another host can hold it once the grants have expired.
    pub fn resign(&mut self, now: Instant) {
        self.role = Role::Follower;
        self.candidacy_at = now + LEASE_DURATION + LEASE_DURATION;
    }

    /// Handles a message of another host; returns the messages to send.
    pub fn handle_message(&mut self, now: Instant, from: HostId, message: LeaseMessage) -> Outbox {
        if !self.hosts.contains(&from) {
            return Vec::new();
        }
        match message {
            LeaseMessage::Prepare { ballot } => self.handle_prepare(now, from, ballot),
            LeaseMessage::Propose { ballot, renewal } => {
                self.handle_propose(now, from, ballot, renewal)
            }
            LeaseMessage::Promise { ballot } => self.handle_promise(now, from, ballot),
            LeaseMessage::Grant { ballot, renewal } => {
                self.handle_grant(now, from, ballot, renewal)
            }
            LeaseMessage::Refuse { highest, .. } => self.handle_refuse(highest),
        }
    }

    /// Renews the lease if this host holds it, or becomes a candidate if no host does.
    pub fn tick(&mut self, now: Instant) -> Outbox {
        match &self.role {
            Role::Holder(holder) => {
                if holder.deadline() <= now {
                    return self.step_down(now);
                }
                if now.since(holder.requested_at) < RENEWAL_INTERVAL {
                    return Vec::new();
                }
                self.renew(now)
            }
            Role::Candidate { since, .. } if now.since(*since) < ROUND_TIMEOUT => Vec::new(),
            Role::Candidate { .. } => self.step_down(now),
            Role::Follower => self.try_candidacy(now),
        }
    }

    fn majority(&self) -> usize {
        self.hosts.len() / 2 + 1
    }

    fn jitter(&mut self) -> Span {
        self.rng_state = self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        Span((self.rng_state >> 33) % MAX_JITTER_MS)
    }

    fn step_down(&mut self, now: Instant) -> Outbox {
        self.role = Role::Follower;
        self.candidacy_at = now + self.jitter();
        Vec::new()
    }

    fn try_candidacy(&mut self, now: Instant) -> Outbox {
        if now < self.candidacy_at || now < self.silent_until || !self.hosts.contains(&self.own) {
            return Vec::new();
        }
        if let Some(granted) = self.granted.filter(|granted| granted.expires > now) {
            self.candidacy_at = granted.expires + self.jitter();
            return Vec::new();
        }
        let ballot = self.next_ballot();
        self.promised = ballot;
        self.role = Role::Candidate { ballot, since: now, promises: Vec::new() };
        let mut out = self.broadcast(LeaseMessage::Prepare { ballot });
        out.extend(self.handle_promise(now, self.own, ballot));
        out
    }

    /// Returns a ballot above all known ones that no other host of the group can choose.
    fn next_ballot(&self) -> Epoch {
        let index = self.hosts.iter().position(|host| *host == self.own).unwrap_or_default();
        let highest = self.promised.max(self.highest_seen);
        Epoch(((highest.0 >> 16) + 1) << 16 | index as u64)
    }

    /// Requests the next grants, from a minimal majority in rotation, or from all hosts if the
    /// previous request did not reach a majority.
    fn renew(&mut self, now: Instant) -> Outbox {
        let majority = self.majority();
        let Role::Holder(holder) = &mut self.role else {
            return Vec::new();
        };
        let lacks_majority = holder.grants.len() < majority;
        holder.renewal += 1;
        holder.requested_at = now;
        holder.grants.clear();
        let (ballot, renewal) = (holder.ballot, holder.renewal);
        let mut out = self.broadcast(LeaseMessage::Propose { ballot, renewal });
        if !lacks_majority && !out.is_empty() {
            let needed = majority - 1;
            let peer_count = out.len();
            out.rotate_left(renewal as usize * needed % peer_count);
            out.truncate(needed);
        }
        if self.accept_proposal(now, self.own, ballot) {
            out.extend(self.handle_grant(now, self.own, ballot, renewal));
        }
        out
    }

    fn broadcast(&self, message: LeaseMessage) -> Outbox {
        self.hosts.iter().filter(|host| **host != self.own).map(|host| (*host, message)).collect()
    }

    fn handle_prepare(&mut self, now: Instant, from: HostId, ballot: Epoch) -> Outbox {
        if now < self.silent_until {
            return Vec::new();
        }
        let held_by_other =
            self.granted.is_some_and(|granted| granted.expires > now && granted.holder != from);
        if held_by_other || ballot <= self.promised {
            return vec![(from, LeaseMessage::Refuse { ballot, highest: self.promised })];
        }
        self.promised = ballot;
        self.candidacy_at = now + ROUND_TIMEOUT + ROUND_TIMEOUT + self.jitter();
        vec![(from, LeaseMessage::Promise { ballot })]
    }

    fn handle_propose(
        &mut self,
        now: Instant,
        from: HostId,
        ballot: Epoch,
        renewal: u32,
    ) -> Outbox {
        if now < self.silent_until {
            return Vec::new();
        }
        if !self.accept_proposal(now, from, ballot) {
            return vec![(from, LeaseMessage::Refuse { ballot, highest: self.promised })];
        }
        vec![(from, LeaseMessage::Grant { ballot, renewal })]
    }

    fn accept_proposal(&mut self, now: Instant, holder: HostId, ballot: Epoch) -> bool {
        let held_by_other =
            self.granted.is_some_and(|granted| granted.expires > now && granted.holder != holder);
        if held_by_other || ballot < self.promised {
            return false;
        }
        self.promised = ballot;
        self.granted = Some(GrantedLease { ballot, holder, expires: now + LEASE_DURATION });
        true
    }

    fn handle_promise(&mut self, now: Instant, from: HostId, ballot: Epoch) -> Outbox {
        let majority = self.majority();
        let Role::Candidate { ballot: own_ballot, promises, .. } = &mut self.role else {
            return Vec::new();
        };
        if *own_ballot != ballot || promises.contains(&from) {
            return Vec::new();
        }
        promises.push(from);
        if promises.len() < majority {
            return Vec::new();
        }
        self.role = Role::Holder(Holder {
            ballot,
            renewal: 0,
            requested_at: now,
            grants: Vec::new(),
            expires: None,
        });
        self.renew(now)
    }

    fn handle_grant(&mut self, now: Instant, from: HostId, ballot: Epoch, renewal: u32) -> Outbox {
        let majority = self.majority();
        let Role::Holder(holder) = &mut self.role else {
            return Vec::new();
        };
        let matches_request = holder.ballot == ballot && holder.renewal == renewal;
        if !matches_request
            || holder.grants.contains(&from)
            || now.since(holder.requested_at) >= LEASE_DURATION
        {
            return Vec::new();
        }
        holder.grants.push(from);
        if holder.grants.len() >= majority {
            holder.expires = Some(holder.requested_at + LEASE_DURATION - CLOCK_MARGIN);
        }
        Vec::new()
    }

    /// Records the highest ballot, so that the next ballot of this host is above it.
    fn handle_refuse(&mut self, highest: Epoch) -> Outbox {
        self.highest_seen = self.highest_seen.max(highest);
        Vec::new()
    }
}
