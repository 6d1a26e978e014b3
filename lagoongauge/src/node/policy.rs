//! Target candidates that the router gets, with their states and weights.

use indexmap::IndexMap;

use super::TargetReport;
use crate::balance::{Balancer, TargetInfo, TargetWeight};
use crate::id::ServiceId;
use crate::limit::Limits;
use crate::route::{Candidate, CandidateState, Router};
use crate::settings::Service;
use crate::target::{Entry, State};
use crate::time::{Instant, Span};

/// Interval between computations of the weights.
const WEIGHT_INTERVAL: Span = Span::seconds(1);
/// Time without a new target after which a service gets its first table.
///
/// Each further table would move buckets.
const SETTLE_TIME: Span = Span::seconds(4);
/// Time after which a service gets its first table even if targets are still joining.
const MAX_SETTLE_TIME: Span = Span::seconds(12);
/// Maximum number of reports kept until the next update.
const MAX_PENDING_REPORTS: usize = 4096;

/// Balancing policy of all services of a group.
#[derive(Debug, Default)]
pub struct Policy {
    services: IndexMap<ServiceId, ServicePolicy>,
    pending: Vec<TargetReport>,
}

#[derive(Debug)]
struct ServicePolicy {
    balancer: Balancer,
    planning: bool,
    next_update: Instant,
    weights: Vec<TargetWeight>,
    settling: Option<Settling>,
}

/// Number of ready targets of a service without a table, and when it first and last rose.
#[derive(Debug, Clone, Copy)]
struct Settling {
    count: usize,
    started: Instant,
    changed: Instant,
}

impl Policy {
    /// Adds the reports of a host.
    pub fn add_reports(&mut self, reports: &[TargetReport]) {
        let room = MAX_PENDING_REPORTS.saturating_sub(self.pending.len());
        self.pending.extend(reports.iter().take(room).copied());
    }

    /// Updates the weights of a service and passes its targets to the router.
    pub fn update(
        &mut self,
        now: Instant,
        planning: bool,
        router: &Router<Limits>,
        id: ServiceId,
        service: &Service,
        entries: &[Entry],
    ) {
        let policy = self.services.entry(id).or_insert_with(|| ServicePolicy {
            balancer: Balancer::new(),
            planning: false,
            next_update: now,
            weights: Vec::new(),
            settling: None,
        });
        let infos = target_infos(now, router, id, entries);
        let table = router.table(id);
        if table.is_empty() && !policy.has_settled(now, &infos) {
            return;
        }
        if !planning || !policy.planning {
            let to_weight = |(target, weight)| TargetWeight { target, weight };
            policy.weights = table.into_iter().map(to_weight).collect();
            policy.balancer.adopt_weights(now, &infos, &policy.weights);
        }
        for report in
            self.pending.extract_if(.., |report| entries.iter().any(|e| e.target == report.target))
        {
            policy.balancer.record_stats(now, report.target, &report.stats);
        }
        let urgent = infos.iter().any(|info| !info.ready && policy.weight(info) > 0);
        if planning && (urgent || !policy.planning || now >= policy.next_update) {
            policy.next_update = now + WEIGHT_INTERVAL;
            policy.weights = policy.balancer.compute_weights(now, &infos, service.slow_start);
        }
        policy.planning = planning;
        let candidates =
            entries.iter().map(|entry| candidate(now, service, entry, &policy.weights));
        router.set_targets(now, id, &candidates.collect::<Vec<_>>());
    }
}

impl ServicePolicy {
    /// Returns whether the number of ready targets has been stable long enough for a first table.
    fn has_settled(&mut self, now: Instant, infos: &[TargetInfo]) -> bool {
        let count = infos.iter().filter(|info| info.ready).count();
        if count == 0 {
            self.settling = None;
            return false;
        }
        let settling = self.settling.get_or_insert(Settling { count, started: now, changed: now });
        if count > settling.count {
            settling.changed = now;
        }
        settling.count = count;
        now >= settling.changed + SETTLE_TIME || now >= settling.started + MAX_SETTLE_TIME
    }

    fn weight(&self, info: &TargetInfo) -> u16 {
        weight(&self.weights, info.target)
    }
}

fn target_infos(
    now: Instant,
    router: &Router<Limits>,
    id: ServiceId,
    entries: &[Entry],
) -> Vec<TargetInfo> {
    let counts = router.flow_counts(id).into_iter().collect::<IndexMap<_, _>>();
    let infos = entries.iter().map(|entry| TargetInfo {
        target: entry.target,
        ready: is_ready(now, entry),
        slots: entry.slots,
        centre: entry.centre,
        open_flows: counts.get(&entry.target).copied().unwrap_or(0),
    });
    infos.collect()
}

/// Returns whether a target takes new flows; expiry of its lease is left to its endpoint's home.
fn is_ready(now: Instant, entry: &Entry) -> bool {
    entry.state == State::Ready && entry.is_usable(now)
}

fn candidate(
    now: Instant,
    service: &Service,
    entry: &Entry,
    weights: &[TargetWeight],
) -> Candidate {
    let limit = entry.deadline.unwrap_or(service.drain_limit);
    let ready = is_ready(now, entry);
    let drain_expired = entry.state != State::Ready && now >= entry.since + limit;
    let state = match (ready, drain_expired || !entry.is_usable(now)) {
        (true, _) => CandidateState::New,
        (false, false) => CandidateState::Established,
        (false, true) => CandidateState::Gone,
    };
    Candidate { target: entry.target, weight: weight(weights, entry.target), state }
}

fn weight(weights: &[TargetWeight], target: crate::id::TargetId) -> u16 {
    weights.iter().find(|entry| entry.target == target).map_or(0, |entry| entry.weight)
}
