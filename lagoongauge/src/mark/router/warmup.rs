//! Limits new flows to targets that are warming up, see [`crate::mark::admission::warmup`].

use super::Router;
use crate::mark::admission::warmup::{HostGroup, ServiceLimit};
use crate::mark::key::TargetKey;
use crate::mark::placement::{Candidate, Policy};
use crate::time::{Instant, Span};

/// Time after the start of a host in which it learns of all targets that run.
const DISCOVERY_PERIOD: Span = Span::seconds(5);

/// Waiting requests per slot from which on a target counts as full.
const FULL_QUEUE: u32 = 4;

impl<P: Policy> Router<P> {
    /// Sets the entry hosts of this data centre; `None` if not all of them are known.
    pub fn set_host_group(&mut self, group: Option<HostGroup>) {
        self.warmup.set_group(group);
    }

    /// Records data centres whose evacuation ended recently, perhaps before this host started.
    pub fn set_returned(&mut self, now: Instant, centres: &[String]) {
        self.record_returns(now);
        for centre in centres {
            let key = self.centres.key(centre);
            self.centres.set_returned(now, key);
        }
    }

    /// Returns whether new flows to a target are limited, as it is warming up or may be.
    ///
    /// A target that turned cold says so only in its next announcement. Until that is due, this host
    /// doubts targets whose data centre has just returned from an evacuation, and targets that it
    /// learned of after its own start.
    pub(super) fn is_warming(&self, now: Instant, key: TargetKey, limit: ServiceLimit) -> bool {
        let target = &self.targets[key];
        let returned_at = self.centres.returned_at(target.centre);
        let discovered = self.status.ready_at.is_some_and(|ready_at| {
            target.learned_at >= ready_at + DISCOVERY_PERIOD
                && now.since(target.learned_at) < limit.warmup
        });
        let returned = returned_at.is_some_and(|at| now.since(at) < limit.warmup);
        target.is_cold(now) || returned || discovered
    }

    /// Returns whether this host may send a target another copy of a SYN that it sent there before.
    pub(super) fn may_repeat_syn(&self, now: Instant, key: TargetKey) -> bool {
        let target = &self.targets[key];
        let limit = self.warmup.limit(&target.service);
        limit.is_none_or(|limit| {
            !self.is_warming(now, key, limit)
                || self.warmup.spacing(now, limit, target.id).is_some()
        })
    }

    /// Adds the warming targets of a service for which this host has a share of the budget left,
    /// if no warm target can take the flow.
    pub(super) fn add_warming_targets(
        &self,
        now: Instant,
        service: &str,
        candidates: &mut Vec<(TargetKey, Candidate)>,
    ) {
        let is_available = |candidate: &Candidate| {
            let room = FULL_QUEUE * u32::from(candidate.slots);
            !candidate.suspect && u32::from(candidate.load.waiting) < room
        };
        let Some(limit) = self.warmup.limit(service) else { return };
        if candidates.iter().any(|(_, candidate)| is_available(candidate)) {
            return;
        }
        for key in self.targets.keys_of_service(service) {
            let target = &self.targets[*key];
            let may_take = target.local
                && now >= target.paced_until
                && self.accepts_new_flows(*key)
                && self.is_warming(now, *key, limit);
            if may_take && self.warmup.spacing(now, limit, target.id).is_some() {
                candidates.push((*key, self.placement_candidate(now, *key)));
            }
        }
    }

    /// Counts a new flow, or a copy of its SYN, against this host's share of the target's budget.
    pub(super) fn count_warmup_flow(&mut self, now: Instant, key: TargetKey) {
        let target = &mut self.targets[key];
        let Some(limit) = self.warmup.limit(&target.service) else { return };
        if let Some(spacing) = self.warmup.spacing(now, limit, target.id) {
            target.paced_until = now + spacing;
        }
    }

    /// Records data centres whose evacuation has ended since the last call.
    pub(super) fn record_returns(&mut self, now: Instant) {
        if self.config.features.warmup_limit.is_none() {
            return;
        }
        for key in self.centres.keys() {
            let evacuated = self.is_evacuated(key);
            self.centres.set_evacuated(now, key, evacuated);
        }
    }
}
