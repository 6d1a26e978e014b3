//! Decisions of an endpoint's home on announcements, and their handling on other hosts.

use super::announce::{Announcement, State};
use super::entry::{Endpoint, Entry, Stamp};
use super::gossip::{ForwardedAnnouncement, Gossip, Refusal};
use super::registry::{Event, Outcome, OutgoingMessage, QUARANTINE, Registry};
use super::token;
use crate::error::{Error, Kind, Result};
use crate::id::{CentreId, HostId, MemberId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// How long a new home waits for the decisions of its predecessor.
pub(super) const SETTLE_TIME: Span = Span::seconds(2);
/// How long a home's refusal is kept for repeated announcements of the target.
const REFUSAL_RETENTION: Span = Span::seconds(10);
/// Maximum number of refusals kept.
const MAX_REFUSALS: usize = 256;

/// A home's refusal, returned when the target repeats its announcement.
#[derive(Debug, Clone)]
pub(super) struct CachedRefusal {
    service: ServiceId,
    generation: u64,
    error: Error,
    /// When the refusal is dropped.
    pub(super) until: Instant,
}

impl Registry {
    pub(super) fn authorize(&self, announcement: &Announcement, token: &str) -> Result<MemberId> {
        let member = self.check_service(announcement)?;
        let entries = &self.members[&member].tokens;
        if !token::matches(entries, token) {
            return Err(Error::new(Kind::Unauthenticated, format!("no token of {member}")));
        }
        Ok(member)
    }

    fn check_service(&self, announcement: &Announcement) -> Result<MemberId> {
        let service = announcement.service;
        let missing = || Error::new(Kind::NotFound, format!("no service {service}"));
        let info = self.services.get(&service).ok_or_else(missing)?;
        let member = self.members.get(&info.member).ok_or_else(missing)?;
        if info.protocol != announcement.protocol {
            return Err(Error::new(
                Kind::InvalidValue,
                format!("service {service} uses another protocol"),
            ));
        }
        let ip = announcement.address.ip();
        if !member.networks.iter().any(|network| network.contains(&ip)) {
            let detail = format!("address {ip} lies in no network of {}", info.member);
            return Err(Error::new(Kind::Forbidden, detail));
        }
        Ok(info.member)
    }

    pub(super) fn decide(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        member: MemberId,
        centre: CentreId,
    ) -> Result<TargetId> {
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        if !self.synced {
            return Err(not_current(&endpoint));
        }
        let existing = self.entries.get(&endpoint).copied();
        let stamp = existing.map_or_else(Stamp::default, |entry| entry.stamp).next(self.epoch);
        let entry = Entry::new(now, &self.setup.key, announcement, member, centre, stamp);
        match existing {
            Some(existing) if existing.service == announcement.service => {
                self.renew(now, endpoint, existing, entry)?;
            }
            Some(existing) => {
                self.check_claim(now, endpoint, &existing, announcement.service)?;
                self.admit(now, endpoint, entry)?;
            }
            None => self.admit(now, endpoint, entry)?,
        }
        Ok(entry.target)
    }

    fn renew(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        existing: Entry,
        mut entry: Entry,
    ) -> Result<()> {
        if entry.generation < existing.generation {
            let detail =
                format!("{} is known with generation {}", endpoint.address, existing.generation);
            return Err(Error::new(Kind::StaleGeneration, detail));
        }
        entry.centre = if existing.is_live(now) { existing.centre } else { entry.centre };
        if entry.is_equivalent(&existing) {
            self.entries[&endpoint].refreshed = now;
            return Ok(());
        }
        if existing.state == State::Freed {
            self.check_quota(now, &endpoint, entry.member)?;
        }
        self.insert_entry(endpoint, entry);
        self.changed.insert(endpoint);
        Ok(())
    }

    fn check_claim(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        existing: &Entry,
        claimer: ServiceId,
    ) -> Result<()> {
        if existing.state != State::Freed {
            let holder = existing.service;
            self.report(Event::AddressTaken { endpoint, holder, claimer });
            let detail = format!("{} belongs to another service", endpoint.address);
            return Err(Error::new(Kind::AddressTaken, detail));
        }
        if now < existing.since + QUARANTINE {
            let detail = format!("{} was freed a short time ago", endpoint.address);
            return Err(Error::new(Kind::Quarantined, detail));
        }
        Ok(())
    }

    fn admit(&mut self, now: Instant, endpoint: Endpoint, entry: Entry) -> Result<()> {
        if now < self.view_changed + SETTLE_TIME {
            return Err(not_current(&endpoint));
        }
        self.check_quota(now, &endpoint, entry.member)?;
        self.insert_entry(endpoint, entry);
        self.changed.insert(endpoint);
        Ok(())
    }

    fn check_quota(&self, now: Instant, endpoint: &Endpoint, member: MemberId) -> Result<()> {
        let others = self.entries.iter().filter(|(other, _)| *other != endpoint);
        let count =
            others.filter(|(_, entry)| entry.member == member && entry.is_live(now)).count();
        let limit = self.members.get(&member).map_or(0, |member| member.max_targets);
        if count >= limit as usize {
            let detail = format!("{member} may announce {limit} targets");
            return Err(Error::new(Kind::QuotaExceeded, detail));
        }
        Ok(())
    }

    /// Handles an announcement while this host has no valid lease: refreshes a known target on this
    /// host and its peers, and refuses any other.
    pub(super) fn refresh_without_lease(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        endpoint: Endpoint,
    ) -> Outcome {
        let Some(entry) = self.entries.get_mut(&endpoint) else {
            return Outcome::Refused(not_current(&endpoint));
        };
        let known =
            entry.service == announcement.service && entry.generation == announcement.generation;
        if !known || entry.state == State::Freed {
            return Outcome::Refused(not_current(&endpoint));
        }
        entry.refreshed = now;
        if announcement.state != State::Ready {
            entry.state = announcement.state;
        }
        let target = entry.target;
        let forward =
            ForwardedAnnouncement { announcement: announcement.clone(), centre: self.setup.centre };
        let peers = self.live_peers().collect::<Vec<_>>();
        for to in peers {
            self.outbox.push(OutgoingMessage { to, gossip: Gossip::Forward(forward.clone()) });
        }
        Outcome::Accepted(target)
    }

    pub(super) fn known_outcome(
        &self,
        now: Instant,
        announcement: &Announcement,
        endpoint: Endpoint,
        home: HostId,
    ) -> Outcome {
        let target =
            endpoint.target_id(&self.setup.key, announcement.service, announcement.generation);
        if let Some(refusal) = self.refusals.get(&endpoint)
            && (refusal.service, refusal.generation)
                == (announcement.service, announcement.generation)
        {
            return Outcome::Refused(refusal.error.clone());
        }
        match self.entries.get(&endpoint) {
            Some(entry) if entry.target == target && entry.is_live(now) => {
                Outcome::Accepted(target)
            }
            _ => Outcome::Forwarded(home),
        }
    }

    pub(super) fn handle_forward(
        &mut self,
        now: Instant,
        from: HostId,
        forward: &ForwardedAnnouncement,
    ) {
        let announcement = &forward.announcement;
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        let member = match self.check_service(announcement) {
            Ok(member) => member,
            Err(error) => return self.refuse(from, announcement, endpoint, error),
        };
        if !self.has_lease {
            self.refresh_from_peer(now, announcement, endpoint);
            return;
        }
        if !self.is_home(&endpoint) {
            return;
        }
        if let Err(error) = self.decide(now, announcement, member, forward.centre) {
            self.refuse(from, announcement, endpoint, error);
        }
    }

    fn refresh_from_peer(&mut self, now: Instant, announcement: &Announcement, endpoint: Endpoint) {
        let Some(entry) = self.entries.get_mut(&endpoint) else { return };
        let known =
            entry.service == announcement.service && entry.generation == announcement.generation;
        if known && entry.state != State::Freed {
            entry.refreshed = now;
        }
    }

    fn refuse(
        &mut self,
        to: HostId,
        announcement: &Announcement,
        endpoint: Endpoint,
        error: Error,
    ) {
        let (service, generation) = (announcement.service, announcement.generation);
        let refusal = Refusal { endpoint, service, generation, error };
        self.outbox.push(OutgoingMessage { to, gossip: Gossip::Refusal(refusal) });
    }

    pub(super) fn handle_refusal(&mut self, now: Instant, refusal: Refusal) {
        if self.refusals.len() >= MAX_REFUSALS {
            self.refusals.swap_remove_index(0);
        }
        let Refusal { endpoint, service, generation, error } = refusal;
        let until = now + REFUSAL_RETENTION;
        self.refusals.insert(endpoint, CachedRefusal { service, generation, error, until });
    }
}

pub(super) fn not_current(endpoint: &Endpoint) -> Error {
    let detail = format!("no host can decide on {} now", endpoint.address);
    Error::new(Kind::NotCurrent, detail)
}
