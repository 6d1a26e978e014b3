//! Target registry: soft state on every entry host, with one home that decides per endpoint.

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};

use super::announce::{Announcement, MAX_LEASE, State};
use super::decide::{CachedRefusal, not_current};
use super::entry::{Endpoint, Entry, GRACE_PERIOD};
use super::gossip::{ForwardedAnnouncement, Gossip};
use crate::error::Error;
use crate::flow::{HashKey, Protocol};
use crate::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use crate::settings::{Member, Resolved};
use crate::time::{Instant, Span};

/// Maximum age of a message between entry hosts; older messages are refused.
const MAX_MESSAGE_AGE: Span = Span::seconds(10);
/// How long a freed address stays closed to other services. It exceeds the time for which any host
/// of the group, however stale its registry, sends packets of the former service to the address.
pub const QUARANTINE: Span = Span(MAX_LEASE.0 + GRACE_PERIOD.0 + MAX_MESSAGE_AGE.0);
/// Time between two heartbeats of a host without changes to report.
const HEARTBEAT_INTERVAL: Span = Span::seconds(1);
/// Shortest time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Span = Span::millis(200);
/// Maximum number of events kept until they are taken.
const MAX_EVENTS: usize = 256;

/// Parameters of the host that a registry runs on.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The host itself.
    pub own: HostId,
    /// The host's data centre.
    pub centre: CentreId,
    /// Key shared by all entry hosts of the consortium.
    pub key: HashKey,
}

/// Response to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The announcement is valid for its lease.
    Accepted(TargetId),
    /// The announcement was refused.
    Refused(Error),
    /// The endpoint's home decides; a repeated announcement gets its decision.
    Forwarded(HostId),
}

/// A message to another registry of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub gossip: Gossip,
}

/// An event to report to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A service announced an endpoint that another service holds.
    AddressTaken {
        /// The endpoint.
        endpoint: Endpoint,
        /// The service that holds it.
        holder: ServiceId,
        /// The service that announced it.
        claimer: ServiceId,
    },
    /// A target's lease has expired, or its service was removed.
    Freed {
        /// The endpoint.
        endpoint: Endpoint,
        /// The target that held it.
        target: TargetId,
    },
    /// A target of this generation was registered for the first time.
    Joined {
        /// The endpoint.
        endpoint: Endpoint,
        /// The target.
        target: TargetId,
    },
}

/// Properties of a service that the registry needs.
#[derive(Debug, Clone)]
pub(super) struct ServiceInfo {
    /// The member that owns the service.
    pub(super) member: MemberId,
    /// Transport protocol.
    pub(super) protocol: Protocol,
    /// How long a flow may stay idle.
    pub(super) idle_limit: Span,
}

/// The registry of one entry host.
#[derive(Debug)]
pub struct Registry {
    pub(super) setup: Setup,
    pub(super) services: IndexMap<ServiceId, ServiceInfo>,
    pub(super) members: IndexMap<MemberId, Member>,
    /// Other entry hosts of the group, live or not.
    pub(super) peers: Vec<HostId>,
    pub(super) live_hosts: Vec<HostId>,
    pub(super) epoch: u64,
    pub(super) view_changed: Instant,
    /// Whether this host's lease in the group is valid.
    pub(super) has_lease: bool,
    pub(super) synced: bool,
    /// Parts of responses by host, as a bit mask that is all ones once the response is complete.
    pub(super) received_parts: IndexMap<HostId, u64>,
    pub(super) digest_mismatches: IndexMap<HostId, u8>,
    pub(super) entries: IndexMap<Endpoint, Entry>,
    pub(super) endpoints: HashMap<TargetId, Endpoint>,
    pub(super) refusals: IndexMap<Endpoint, CachedRefusal>,
    /// Endpoints whose changes the next heartbeats carry.
    pub(super) changed: IndexSet<Endpoint>,
    pub(super) last_heartbeat: Instant,
    pub(super) outbox: Vec<OutgoingMessage>,
    pub(super) events: Vec<Event>,
}

impl Registry {
    /// Creates an empty registry, which decides nothing until it has a view.
    pub fn new(now: Instant, setup: Setup) -> Self {
        Self {
            setup,
            services: IndexMap::new(),
            members: IndexMap::new(),
            peers: Vec::new(),
            live_hosts: Vec::new(),
            epoch: 0,
            view_changed: now,
            has_lease: false,
            synced: false,
            received_parts: IndexMap::new(),
            digest_mismatches: IndexMap::new(),
            entries: IndexMap::new(),
            endpoints: HashMap::new(),
            refusals: IndexMap::new(),
            changed: IndexSet::new(),
            last_heartbeat: now,
            outbox: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the endpoint and entry of a target if packets may be sent to it.
    pub fn usable_entry(&self, now: Instant, target: TargetId) -> Option<(Endpoint, &Entry)> {
        let endpoint = *self.endpoints.get(&target)?;
        let entry = self.entries.get(&endpoint)?;
        (entry.target == target && entry.is_usable(now)).then_some((endpoint, entry))
    }

    /// Returns the entry of an endpoint, even if freed, so that late replies are still mapped.
    pub fn entry(&self, endpoint: &Endpoint) -> Option<&Entry> {
        self.entries.get(endpoint)
    }

    /// Returns all entries, including freed ones.
    pub fn entries(&self) -> impl Iterator<Item = (&Endpoint, &Entry)> {
        self.entries.iter()
    }

    /// Returns whether the registry has synchronized with its group since it started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Sets the host's data centre.
    pub fn set_centre(&mut self, centre: CentreId) {
        self.setup.centre = centre;
    }

    /// Applies the active settings; entries of removed services are freed.
    pub fn apply(&mut self, now: Instant, settings: &Resolved) {
        self.members.clone_from(&settings.members);
        self.peers = group_peers(self.setup.own, settings);
        self.services = settings
            .services
            .iter()
            .map(|(id, service)| {
                let info = ServiceInfo {
                    member: service.member,
                    protocol: service.protocol,
                    idle_limit: service.idle_limit,
                };
                (*id, info)
            })
            .collect();
        let removed = self.entries.iter().filter(|(_, entry)| entry.state != State::Freed);
        let removed = removed.filter(|(_, entry)| !self.services.contains_key(&entry.service));
        let removed = removed.map(|(endpoint, _)| *endpoint).collect::<Vec<_>>();
        for endpoint in removed {
            self.free(now, endpoint);
        }
    }

    /// Sets the group's view: its epoch, the live hosts, and whether this host's lease is valid.
    pub fn set_view(&mut self, now: Instant, epoch: u64, live: &[HostId], has_lease: bool) {
        self.has_lease = has_lease && live.contains(&self.setup.own);
        if epoch == self.epoch && live == self.live_hosts.as_slice() {
            return;
        }
        let before = std::mem::replace(&mut self.live_hosts, live.to_vec());
        self.epoch = epoch;
        self.view_changed = now;
        self.refresh_inherited(now, &before);
        if !self.synced {
            self.request_entries();
        }
    }

    /// Handles an announcement that a target sent to this host.
    pub fn announce(&mut self, now: Instant, announcement: &Announcement, token: &str) -> Outcome {
        let member = match self.authorize(announcement, token) {
            Ok(member) => member,
            Err(error) => return Outcome::Refused(error),
        };
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        let centre = self.setup.centre;
        if !self.has_lease {
            return self.refresh_without_lease(now, announcement, endpoint);
        }
        let Some(home) = endpoint.home(&self.setup.key, &self.live_hosts) else {
            return Outcome::Refused(not_current(&endpoint));
        };
        if home == self.setup.own {
            return match self.decide(now, announcement, member, centre) {
                Ok(target) => Outcome::Accepted(target),
                Err(error) => Outcome::Refused(error),
            };
        }
        let forward = ForwardedAnnouncement { announcement: announcement.clone(), centre };
        self.outbox.push(OutgoingMessage { to: home, gossip: Gossip::Forward(forward) });
        self.known_outcome(now, announcement, endpoint, home)
    }

    /// Handles a message from another registry of the group.
    pub fn handle_message(&mut self, now: Instant, from: HostId, gossip: Gossip) {
        match gossip {
            Gossip::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            Gossip::Request { all } => self.send_entries(from, all),
            Gossip::Forward(forward) => self.handle_forward(now, from, &forward),
            Gossip::Refusal(refusal) => self.handle_refusal(now, refusal),
        }
    }

    /// Expires leases, drops freed entries and refusals after their retention, sends heartbeats.
    pub fn tick(&mut self, now: Instant) {
        self.expire_leases(now);
        self.refusals.retain(|_, refusal| now < refusal.until);
        let due = if self.changed.is_empty() { HEARTBEAT_INTERVAL } else { MIN_HEARTBEAT_INTERVAL };
        if now < self.last_heartbeat + due {
            return;
        }
        self.last_heartbeat = now;
        if !self.synced {
            self.request_entries();
        }
        self.send_heartbeats();
    }

    /// Takes the messages to send out of the registry.
    pub fn take_outbox(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the events for operators out of the registry.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn is_home(&self, endpoint: &Endpoint) -> bool {
        endpoint.home(&self.setup.key, &self.live_hosts) == Some(self.setup.own)
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = HostId> {
        self.live_hosts.iter().copied().filter(|host| *host != self.setup.own)
    }

    pub(super) fn insert_entry(&mut self, endpoint: Endpoint, mut entry: Entry) {
        let before = self.entries.get(&endpoint).copied();
        if let Some(existing) = before {
            self.endpoints.remove(&existing.target);
            if existing.target == entry.target && entry.state == State::Freed {
                entry.refreshed = existing.refreshed;
            }
        }
        self.endpoints.insert(entry.target, endpoint);
        self.entries.insert(endpoint, entry);
        self.refusals.swap_remove(&endpoint);
        let target = entry.target;
        if entry.state == State::Freed {
            self.report(Event::Freed { endpoint, target });
        } else if before.is_none_or(|existing| existing.target != target) {
            self.report(Event::Joined { endpoint, target });
        }
    }

    pub(super) fn free(&mut self, now: Instant, endpoint: Endpoint) {
        let Some(existing) = self.entries.get(&endpoint).copied() else { return };
        let stamp = existing.stamp.next(self.epoch);
        self.insert_entry(endpoint, Entry { state: State::Freed, stamp, since: now, ..existing });
        self.changed.insert(endpoint);
    }

    /// Drops freed entries after their retention; as their home, frees those with expired leases.
    fn expire_leases(&mut self, now: Instant) {
        let retention =
            |entry: &Entry| self.services.get(&entry.service).map_or(Span(0), |s| s.idle_limit);
        let is_outdated = |entry: &Entry| {
            entry.state == State::Freed && now > entry.since + retention(entry).max(QUARANTINE)
        };
        let removed = self.entries.iter().filter(|(_, entry)| is_outdated(entry));
        let removed =
            removed.map(|(endpoint, entry)| (*endpoint, entry.target)).collect::<Vec<_>>();
        for (endpoint, target) in removed {
            self.entries.swap_remove(&endpoint);
            self.endpoints.remove(&target);
        }
        if !self.has_lease {
            return;
        }
        let expired = self.entries.iter().filter(|(_, entry)| entry.state != State::Freed);
        let expired =
            expired.filter(|(endpoint, entry)| !entry.is_live(now) && self.is_home(endpoint));
        let expired = expired.map(|(endpoint, _)| *endpoint).collect::<Vec<_>>();
        for endpoint in expired {
            self.free(now, endpoint);
        }
    }

    /// Refreshes the entries whose home this host has become, which restarts their leases.
    fn refresh_inherited(&mut self, now: Instant, before: &[HostId]) {
        let (key, own) = (self.setup.key, self.setup.own);
        for (endpoint, entry) in &mut self.entries {
            let was_home = endpoint.home(&key, before) == Some(own);
            let is_home = endpoint.home(&key, &self.live_hosts) == Some(own);
            if is_home && !was_home && entry.state != State::Freed {
                entry.refreshed = now;
            }
        }
    }

    pub(super) fn report(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }
}

fn group_peers(own: HostId, settings: &Resolved) -> Vec<HostId> {
    let Some(host) = settings.hosts.get(&own) else { return Vec::new() };
    let group = settings.hosts.iter().filter(|(_, other)| other.group == host.group);
    group.map(|(id, _)| *id).filter(|id| *id != own).collect()
}
