//! Limit on new flows to warming targets, shared by all entry hosts.
//!
//! Load pattern: dozens of targets return at once while traffic grows, after an evacuation of their
//! data centre, a mass crash or a release. Each bears only a few new flows per second until it is
//! warm, and each of dozens of entry hosts sees an idle target that answers quickly. So new flows go
//! to warm targets, which carry the load until the others are warm. Only if no warm target can take
//! a flow do hosts use a part of the budget of each warming target, which a few hosts divide among
//! themselves without a message. See docs/design/warmup.md.

use indexmap::IndexMap;

use crate::catalog::Catalog;
use crate::id::{HostId, TargetId};
use crate::mark::features::WarmupLimit;
use crate::time::{Instant, Span};

/// Part of a target's budget that hosts divide among themselves. The rest covers flows that arrive
/// closer together than they were sent, and hosts that briefly disagree about who divides it.
const SHARED_PART: f64 = 0.5;

/// Time since a start, a pause or a loss of contact after which a host takes a share again. Within
/// it, every host that is in touch has learned of this one, and any share from before has expired.
const SETTLING_PERIOD: Span = Span::seconds(5);

/// Time after the last contact with a quorum of control hosts at which a share expires. Others take
/// it over later: they list a host for four seconds after its last contact.
const SHARE_LIFETIME: Span = Span::millis(1500);

/// Warm-up time of targets of a service that does not declare one.
const DEFAULT_WARMUP: Span = Span::seconds(5);

/// Limit on new flows to the warming targets of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimit {
    /// New flows per second that all entry hosts together may send to one target.
    pub flows: f64,
    /// Time from a start until a target is warm.
    pub warmup: Span,
}

/// Entry hosts of a data centre, as this host knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostGroup {
    /// This host.
    pub own: HostId,
    /// All others.
    pub others: Vec<HostId>,
}

impl HostGroup {
    /// Returns the number of hosts that precede this one in the order for a target, which is the
    /// same on every host.
    fn rank(&self, target: TargetId) -> u64 {
        let own = score(target, self.own);
        self.others.iter().filter(|other| score(target, **other) > own).count() as u64
    }
}

/// Returns the position of a host in the order for a target; the highest comes first.
fn score(target: TargetId, host: HostId) -> (u64, HostId) {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&target.0.to_be_bytes());
    bytes[8..].copy_from_slice(&host.0.to_be_bytes());
    (siphasher::sip::SipHasher13::new().hash(&bytes), host)
}

/// This host's share of the budgets of warming targets.
#[derive(Debug, Clone, Default)]
pub struct WarmupBudget {
    limits: IndexMap<String, ServiceLimit>,
    group: Option<HostGroup>,
    /// When this host last had a reason to take no share: a start, a pause, or a loss of contact.
    unsettled_at: Option<Instant>,
    confirmed_at: Option<Instant>,
}

impl WarmupBudget {
    /// Returns the limit for targets of a service, or `None` if they have none.
    pub fn limit(&self, service: &str) -> Option<ServiceLimit> {
        self.limits.get(service).copied()
    }

    /// Returns the minimum time between two new flows from this host to a warming target, or `None`
    /// if this host has no share of the target's budget.
    ///
    /// As many hosts as the shared part of the budget has flows divide it, so that callers find a
    /// share at most hosts.
    pub fn spacing(&self, now: Instant, limit: ServiceLimit, target: TargetId) -> Option<Span> {
        let group = self.group.as_ref().filter(|_| self.is_settled(now))?;
        let budget = (limit.flows * SHARED_PART) as u64;
        let sharers = budget.min(group.others.len() as u64 + 1);
        if group.rank(target) >= sharers {
            return None;
        }
        // One more millisecond keeps the flow after the last one out of the same second.
        Some(Span(1000 / (budget / sharers) + 1))
    }

    fn is_settled(&self, now: Instant) -> bool {
        let is_confirmed = self.confirmed_at.is_some_and(|at| now.since(at) < SHARE_LIFETIME);
        is_confirmed && self.unsettled_at.is_some_and(|at| now.since(at) >= SETTLING_PERIOD)
    }

    /// Applies the rates of a catalog; without a limit in the settings no service has one.
    pub fn set_catalog(&mut self, limit: Option<&WarmupLimit>, catalog: &Catalog) {
        self.limits.clear();
        let Some(limit) = limit else { return };
        for service in catalog.services() {
            let Some(rate) = catalog.warmup_rate(service) else { continue };
            let warmup = catalog.warmup_time(service).unwrap_or(DEFAULT_WARMUP);
            let flows = limit.flows_per_second(rate);
            self.limits.insert(service.clone(), ServiceLimit { flows, warmup });
        }
    }

    /// Sets the entry hosts of this data centre; `None` if not all of them are known.
    pub fn set_group(&mut self, group: Option<HostGroup>) {
        self.group = group;
    }

    /// Records contact with a quorum of control hosts.
    pub fn record_contact(&mut self, now: Instant) {
        if self.confirmed_at.is_none_or(|at| now.since(at) >= SHARE_LIFETIME) {
            self.record_disturbance(now);
        }
        self.confirmed_at = Some(now);
    }

    /// Records that this host was paused, or that it can't rely on what it knew.
    pub fn record_disturbance(&mut self, now: Instant) {
        self.unsettled_at = Some(now);
    }
}
