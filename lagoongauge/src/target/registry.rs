//! The registry of targets: soft state on every entry host, decided per address by its home.

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};

use super::announce::{Announcement, MAX_LEASE, State};
use super::decide::{Refusal, not_current};
use super::entry::{Entry, LINGER, Spot};
use super::gossip::{Forward, Gossip};
use crate::error::Error;
use crate::flow::{HashKey, Protocol};
use crate::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use crate::settings::{Member, Resolved};
use crate::time::{Instant, Span};

/// Longest time that a message between entry hosts may be on its way before it is refused.
const MAX_DELAY: Span = Span::seconds(10);
/// How long a freed address stays closed to other services: longer than any host of the group,
/// however old its registry, sends packets to it for the service that held it.
pub const QUARANTINE: Span = Span(MAX_LEASE.0 + LINGER.0 + MAX_DELAY.0);
/// Time between two beats of a host that has nothing new to say.
const BEAT: Span = Span::seconds(1);
/// Shortest time between two beats.
const MIN_BEAT: Span = Span::millis(200);
/// Most events that are kept until they are taken.
const MAX_EVENTS: usize = 256;

/// What a registry needs to know of its host.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The host itself.
    pub own: HostId,
    /// The host's data centre.
    pub centre: CentreId,
    /// Key that all entry hosts of the consortium share.
    pub key: HashKey,
}

/// Answer to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The announcement holds for its lease.
    Accepted(TargetId),
    /// The announcement doesn't hold.
    Refused(Error),
    /// The address's home decides; a repeated announcement gets the answer.
    Forwarded(HostId),
}

/// A message to another registry of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// The receiver.
    pub to: HostId,
    /// The message.
    pub gossip: Gossip,
}

/// Something that operators should hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A service announced an address that another service holds.
    AddressTaken {
        /// The address.
        spot: Spot,
        /// The service that holds it.
        holder: ServiceId,
        /// The service that wanted it.
        claimer: ServiceId,
    },
    /// A target's lease ended, or its service is gone.
    Freed {
        /// The address.
        spot: Spot,
        /// The target that held it.
        target: TargetId,
    },
    /// A target was heard of for the first time in this life.
    Joined {
        /// The address.
        spot: Spot,
        /// The target.
        target: TargetId,
    },
}

/// What the registry needs to know of a service.
#[derive(Debug, Clone)]
pub(super) struct Owner {
    /// The member that owns the service.
    pub(super) member: MemberId,
    /// Transport protocol.
    pub(super) protocol: Protocol,
    /// How long a flow may stay silent.
    pub(super) idle: Span,
}

/// The registry of one entry host.
#[derive(Debug)]
pub struct Registry {
    pub(super) setup: Setup,
    pub(super) services: IndexMap<ServiceId, Owner>,
    pub(super) members: IndexMap<MemberId, Member>,
    /// Other entry hosts of the group, live or not.
    pub(super) peers: Vec<HostId>,
    pub(super) live: Vec<HostId>,
    pub(super) epoch: u64,
    pub(super) viewed: Instant,
    pub(super) leads: bool,
    pub(super) synced: bool,
    pub(super) answers: IndexMap<HostId, u64>,
    pub(super) mismatches: IndexMap<HostId, u8>,
    pub(super) entries: IndexMap<Spot, Entry>,
    pub(super) spots: HashMap<TargetId, Spot>,
    pub(super) refusals: IndexMap<Spot, Refusal>,
    pub(super) changed: IndexSet<Spot>,
    pub(super) beat: Instant,
    pub(super) outbox: Vec<Send>,
    pub(super) events: Vec<Event>,
}

impl Registry {
    /// Builds an empty registry that decides nothing until it has a view.
    pub fn new(now: Instant, setup: Setup) -> Self {
        Self {
            setup,
            services: IndexMap::new(),
            members: IndexMap::new(),
            peers: Vec::new(),
            live: Vec::new(),
            epoch: 0,
            viewed: now,
            leads: false,
            synced: false,
            answers: IndexMap::new(),
            mismatches: IndexMap::new(),
            entries: IndexMap::new(),
            spots: HashMap::new(),
            refusals: IndexMap::new(),
            changed: IndexSet::new(),
            beat: now,
            outbox: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the entry of a target that packets may be sent to.
    pub fn usable(&self, now: Instant, target: TargetId) -> Option<(Spot, &Entry)> {
        let spot = *self.spots.get(&target)?;
        let entry = self.entries.get(&spot)?;
        (entry.target == target && entry.is_usable(now)).then_some((spot, entry))
    }

    /// Returns the entry that holds an address, also a freed one, so that late replies map.
    pub fn at(&self, spot: &Spot) -> Option<&Entry> {
        self.entries.get(spot)
    }

    /// Returns all entries, freed ones as well.
    pub fn entries(&self) -> impl Iterator<Item = (&Spot, &Entry)> {
        self.entries.iter()
    }

    /// Tells whether the registry has heard from its group since it started.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Takes the data centre that the host stands in.
    pub fn stand(&mut self, centre: CentreId) {
        self.setup.centre = centre;
    }

    /// Takes the settings in force; entries of services that are gone are freed.
    pub fn apply(&mut self, now: Instant, settings: &Resolved) {
        self.members.clone_from(&settings.members);
        self.peers = peers(self.setup.own, settings);
        self.services = settings
            .services
            .iter()
            .map(|(id, from)| {
                let owner =
                    Owner { member: from.member, protocol: from.protocol, idle: from.idle_limit };
                (*id, owner)
            })
            .collect();
        let gone = self.entries.iter().filter(|(_, entry)| entry.state != State::Freed);
        let gone = gone.filter(|(_, entry)| !self.services.contains_key(&entry.service));
        let gone = gone.map(|(spot, _)| *spot).collect::<Vec<_>>();
        for spot in gone {
            self.free(now, spot);
        }
    }

    /// Takes the group's view: the live hosts, its epoch, and whether this host's lease holds.
    pub fn view(&mut self, now: Instant, epoch: u64, live: &[HostId], leads: bool) {
        self.leads = leads && live.contains(&self.setup.own);
        if epoch == self.epoch && live == self.live.as_slice() {
            return;
        }
        let before = std::mem::replace(&mut self.live, live.to_vec());
        self.epoch = epoch;
        self.viewed = now;
        self.refresh_inherited(now, &before);
        if !self.synced {
            self.ask_all();
        }
    }

    /// Decides on an announcement that a target sent to this host.
    pub fn announce(&mut self, now: Instant, from: &Announcement, token: &str) -> Outcome {
        let member = match self.check(from, token) {
            Ok(member) => member,
            Err(error) => return Outcome::Refused(error),
        };
        let spot = Spot { address: from.address, protocol: from.protocol };
        let centre = self.setup.centre;
        if !self.leads {
            return self.refresh_alone(now, from, spot);
        }
        let Some(home) = spot.home(&self.setup.key, &self.live) else {
            return Outcome::Refused(not_current(&spot));
        };
        if home == self.setup.own {
            return match self.decide(now, from, member, centre) {
                Ok(target) => Outcome::Accepted(target),
                Err(error) => Outcome::Refused(error),
            };
        }
        let forward = Forward { announcement: from.clone(), centre };
        self.outbox.push(Send { to: home, gossip: Gossip::Forward(forward) });
        self.known_outcome(now, from, spot, home)
    }

    /// Takes a message of another registry of the group.
    pub fn message(&mut self, now: Instant, from: HostId, gossip: Gossip) {
        match gossip {
            Gossip::Beat(beat) => self.take_beat(now, from, beat),
            Gossip::Ask { all } => self.answer(from, all),
            Gossip::Forward(forward) => self.take_forward(now, from, &forward),
            Gossip::Decision(decision) => self.take_decision(now, decision),
        }
    }

    /// Ends leases, forgets what is past its time and sends the beat.
    pub fn tick(&mut self, now: Instant) {
        self.end_leases(now);
        self.refusals.retain(|_, refusal| now < refusal.until);
        let due = if self.changed.is_empty() { BEAT } else { MIN_BEAT };
        if now < self.beat + due {
            return;
        }
        self.beat = now;
        if !self.synced {
            self.ask_all();
        }
        self.send_beats();
    }

    /// Takes the messages to send.
    pub fn take_outbox(&mut self) -> Vec<Send> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the events for operators.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn is_own(&self, spot: &Spot) -> bool {
        spot.home(&self.setup.key, &self.live) == Some(self.setup.own)
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = HostId> {
        self.live.iter().copied().filter(|host| *host != self.setup.own)
    }

    pub(super) fn put(&mut self, spot: Spot, mut entry: Entry) {
        let before = self.entries.get(&spot).copied();
        if let Some(held) = before {
            self.spots.remove(&held.target);
            if held.target == entry.target && entry.state == State::Freed {
                entry.heard = held.heard;
            }
        }
        self.spots.insert(entry.target, spot);
        self.entries.insert(spot, entry);
        self.refusals.swap_remove(&spot);
        let target = entry.target;
        if entry.state == State::Freed {
            self.report(Event::Freed { spot, target });
        } else if before.is_none_or(|held| held.target != target) {
            self.report(Event::Joined { spot, target });
        }
    }

    pub(super) fn free(&mut self, now: Instant, spot: Spot) {
        let Some(held) = self.entries.get(&spot).copied() else { return };
        let stamp = held.stamp.next(self.epoch);
        self.put(spot, Entry { state: State::Freed, stamp, since: now, ..held });
        self.changed.insert(spot);
    }

    fn end_leases(&mut self, now: Instant) {
        let keep = |entry: &Entry| self.services.get(&entry.service).map_or(Span(0), |s| s.idle);
        let old = |entry: &Entry| {
            entry.state == State::Freed && now > entry.since + keep(entry).max(QUARANTINE)
        };
        let gone = self.entries.iter().filter(|(_, entry)| old(entry));
        let gone = gone.map(|(spot, entry)| (*spot, entry.target)).collect::<Vec<_>>();
        for (spot, target) in gone {
            self.entries.swap_remove(&spot);
            self.spots.remove(&target);
        }
        if !self.leads {
            return;
        }
        let ended = self.entries.iter().filter(|(_, entry)| entry.state != State::Freed);
        let ended = ended.filter(|(spot, entry)| !entry.is_live(now) && self.is_own(spot));
        let ended = ended.map(|(spot, _)| *spot).collect::<Vec<_>>();
        for spot in ended {
            self.free(now, spot);
        }
    }

    fn refresh_inherited(&mut self, now: Instant, before: &[HostId]) {
        let (key, own) = (self.setup.key, self.setup.own);
        for (spot, entry) in &mut self.entries {
            let was = spot.home(&key, before) == Some(own);
            let is = spot.home(&key, &self.live) == Some(own);
            if is && !was && entry.state != State::Freed {
                entry.heard = now;
            }
        }
    }

    pub(super) fn report(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }
}

fn peers(own: HostId, settings: &Resolved) -> Vec<HostId> {
    let Some(host) = settings.hosts.get(&own) else { return Vec::new() };
    let group = settings.hosts.iter().filter(|(_, other)| other.group == host.group);
    group.map(|(id, _)| *id).filter(|id| *id != own).collect()
}
