//! Table of the targets that an entry host knows, with their load from other entry hosts.

use std::net::SocketAddrV4;
use std::ops::{Index, IndexMut};

use indexmap::IndexMap;
use indexmap::map::Entry as MapEntry;
use slotmap::SlotMap;

use crate::id::{HostId, TargetId};
use crate::mark::Mark;
use crate::mark::admission::room::CentreDemand;
use crate::mark::key::CentreKey;
use crate::mark::key::TargetKey;
use crate::mark::load::{LoadCount, LoadReport};
use crate::mark::target::Target;
use crate::roster::{Entry, Phase};
use crate::time::{Instant, Span};

/// Time for which a load report of another entry host is valid.
const REPORT_LIFETIME: Span = Span::millis(1500);

/// Time for which a target is kept that is gone, so that its flows can be reset, or that is silent and
/// has lost its address to another one.
const FORMER_TARGET_RETENTION: Span = Span::seconds(90);

/// Known targets by key, id, mark and service.
#[derive(Debug, Default)]
pub(in crate::mark) struct TargetTable {
    targets: SlotMap<TargetKey, Target>,
    by_id: IndexMap<TargetId, TargetKey>,
    by_mark: IndexMap<Mark, TargetKey>,
    by_service: IndexMap<String, Vec<TargetKey>>,
    /// The target that was last heard at each address.
    by_address: IndexMap<SocketAddrV4, TargetKey>,
    reports: IndexMap<HostId, (Instant, LoadReport)>,
}

/// Which targets of a service new flows may use now.
#[derive(Debug, Clone, Copy)]
pub(in crate::mark) struct UsableTargets<'a> {
    /// Data centres whose targets get no new flows.
    pub(in crate::mark) evacuated: &'a [CentreKey],
    /// Whether new flows to warming targets are limited, so that their slots can't be counted on.
    pub(in crate::mark) warm_only: bool,
}

impl UsableTargets<'_> {
    fn contains(&self, now: Instant, target: &Target) -> bool {
        let withheld = self.warm_only && target.is_cold(now);
        target.accepts_flows() && !withheld && !self.evacuated.contains(&target.centre)
    }
}

impl TargetTable {
    pub(in crate::mark) fn key(&self, target: TargetId) -> Option<TargetKey> {
        self.by_id.get(&target).copied()
    }

    pub(in crate::mark) fn key_of_mark(&self, mark: Mark) -> Option<TargetKey> {
        self.by_mark.get(&mark).copied()
    }

    /// Returns the names of the services that have or had targets.
    pub(in crate::mark) fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }

    /// Returns the targets of a service that may receive flows.
    pub(in crate::mark) fn keys_of_service(&self, service: &str) -> &[TargetKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the usable slots of a service's targets in this host's data centre, and the requests
    /// of this host that wait at any of its targets or are about to. Targets that don't answer are
    /// left out.
    pub(in crate::mark) fn slots_and_waiting(
        &self,
        now: Instant,
        service: &str,
        usable: UsableTargets<'_>,
    ) -> (u32, u32) {
        let targets = self.keys_of_service(service).iter().map(|key| &self.targets[*key]);
        let answering = targets.filter(|target| target.is_answering(now));
        answering.fold((0, 0), |(slots, waiting), target| {
            let serves = target.local && usable.contains(now, target);
            let own = u32::from(target.own_load.waiting) + u32::from(target.opening);
            (slots + if serves { u32::from(target.slots) } else { 0 }, waiting + own)
        })
    }

    /// Returns whether a condition holds for any target of a service that new flows may use and that
    /// answers.
    pub(in crate::mark) fn any_usable(
        &self,
        now: Instant,
        service: &str,
        usable: UsableTargets<'_>,
        condition: impl Fn(&Target) -> bool,
    ) -> bool {
        let targets = self.keys_of_service(service).iter().map(|key| &self.targets[*key]);
        let mut answering = targets.filter(|target| target.is_answering(now));
        answering.any(|target| usable.contains(now, target) && condition(target))
    }

    /// Adds up the usable slots of a service's targets in each data centre, and the requests of this
    /// host that wait at them or are about to, by index of the data centre. Targets that don't answer
    /// are left out.
    pub(in crate::mark) fn sum_demand(
        &self,
        now: Instant,
        service: &str,
        usable: UsableTargets<'_>,
        demands: &mut [CentreDemand],
    ) {
        for key in self.keys_of_service(service) {
            let target = &self.targets[*key];
            let Some(demand) = demands.get_mut(target.centre.index()) else { continue };
            if !target.is_answering(now) {
                continue;
            }
            demand.waiting += target.pending_requests();
            if usable.contains(now, target) {
                demand.slots += u32::from(target.slots);
            }
        }
    }

    pub(in crate::mark) fn iter(&self) -> impl Iterator<Item = &Target> + '_ {
        self.targets.values()
    }

    /// Returns the keys of all targets.
    pub(in crate::mark) fn keys(&self) -> Vec<TargetKey> {
        self.targets.keys().collect()
    }

    pub(in crate::mark) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> + '_ {
        self.targets.values_mut()
    }

    /// Returns the targets that have been gone, or silent while another one has their address, for longer
    /// than they are kept.
    pub(in crate::mark) fn expired(&self, now: Instant) -> Vec<TargetKey> {
        let is_expired = |key: TargetKey, target: &Target| {
            let owner = self.by_address.get(&target.address);
            let displaced_since =
                target.silent_since().filter(|_| owner.is_some_and(|owner| *owner != key));
            let ended_at = (target.phase == Phase::Gone).then_some(target.gone_at);
            let is_over = |at: Instant| now.since(at) >= FORMER_TARGET_RETENTION;
            ended_at.is_some_and(is_over) || displaced_since.is_some_and(is_over)
        };
        let expired = self.targets.iter().filter(|(key, target)| is_expired(*key, target));
        expired.map(|(key, _)| key).collect()
    }

    /// Applies a target's latest announcement, and whether the target is silent.
    pub(in crate::mark) fn set(
        &mut self,
        now: Instant,
        entry: &Entry,
        location: (CentreKey, bool),
        silent: bool,
    ) {
        let key = match self.key(entry.target) {
            Some(key) => key,
            None => self.add(now, entry, location),
        };
        let target = &mut self.targets[key];
        target.update(entry, location, now);
        target.set_silent(now, silent);
        if !silent && entry.phase != Phase::Gone {
            self.by_address.insert(entry.address, key);
        }
    }

    pub(in crate::mark) fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.targets.remove(key) else { return };
        self.by_id.swap_remove(&target.id);
        if self.by_mark.get(&target.mark) == Some(&key) {
            self.by_mark.swap_remove(&target.mark);
        }
        if self.by_address.get(&target.address) == Some(&key) {
            self.by_address.swap_remove(&target.address);
        }
        for keys in self.by_service.values_mut() {
            keys.retain(|other| *other != key);
        }
    }

    /// Stores the load report of another entry host.
    pub(in crate::mark) fn set_report(&mut self, now: Instant, host: HostId, report: LoadReport) {
        self.reports.insert(host, (now, report));
        self.sum_reports(now);
    }

    /// Adds up the load reports of other entry hosts that are still valid.
    pub(in crate::mark) fn sum_reports(&mut self, now: Instant) {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        for target in self.targets.values_mut() {
            target.other_load = LoadCount::default();
        }
        for (_, report) in self.reports.values() {
            for (mark, count) in &report.counts {
                if let Some(key) = self.by_mark.get(mark) {
                    self.targets[*key].other_load.add(*count);
                }
            }
        }
    }

    fn add(&mut self, now: Instant, entry: &Entry, location: (CentreKey, bool)) -> TargetKey {
        let target = Target::new(entry, location, now);
        let mark = target.mark;
        let key = self.targets.insert(target);
        self.by_id.insert(entry.target, key);
        // Of two targets with the same mark, only the first receives flows: packets that carry the
        // mark are routed to it.
        if let MapEntry::Vacant(vacant) = self.by_mark.entry(mark) {
            vacant.insert(key);
            self.by_service.entry(entry.service.clone()).or_default().push(key);
        }
        key
    }
}

impl Index<TargetKey> for TargetTable {
    type Output = Target;

    fn index(&self, key: TargetKey) -> &Target {
        &self.targets[key]
    }
}

impl IndexMut<TargetKey> for TargetTable {
    fn index_mut(&mut self, key: TargetKey) -> &mut Target {
        &mut self.targets[key]
    }
}
