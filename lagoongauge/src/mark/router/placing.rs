//! Chooses the target of a new flow among those that may take it.

use super::Router;
use crate::flow::{FlowHash, Protocol, Tuple};
use crate::mark::key::TargetKey;
use crate::mark::placement::{Candidate, Policy, TrafficPattern};
use crate::mark::switches::Mechanism;
use crate::mark::{FlowKey, Segment};
use crate::time::Instant;

impl<P: Policy> Router<P> {
    /// Chooses the target of a new flow; `avoided` is chosen only if there is no other.
    pub(super) fn place_flow(
        &mut self,
        now: Instant,
        segment: &Segment,
        avoided: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let flow_hash = self.flow_hash(segment.flow_key);
        let frontend = self.frontends.get(&segment.flow_key.frontend)?;
        let service = frontend.pick_service(flow_hash)?;
        let pattern = if self.is_on(Mechanism::FlowCosts) {
            frontend.traffic_pattern()
        } else {
            TrafficPattern::SingleRequest
        };
        let limit = self.warmup.limit(service);
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        for key in self.targets.keys_of_service(service) {
            let is_warming = limit.is_some_and(|limit| self.is_warming(now, *key, limit));
            if is_warming || !self.accepts_new_flows(*key) {
                continue;
            }
            let mut candidate = self.placement_candidate(now, *key);
            candidate.suspect |=
                avoided == Some(*key) || !self.has_room_in(self.targets[*key].centre);
            candidates.push((*key, candidate));
        }
        if limit.is_some() {
            self.add_warming_targets(now, service, &mut candidates);
        }
        let chosen = self.policy.choose(&candidates, pattern, flow_hash);
        self.candidates = candidates;
        chosen
    }

    /// Returns a target as a placement candidate.
    pub(super) fn placement_candidate(&self, now: Instant, key: TargetKey) -> Candidate {
        let target = &self.targets[key];
        let mut candidate = target.candidate(now);
        candidate.suspect &= target.is_silent(now) || self.is_on(Mechanism::TargetSuspicion);
        candidate.local |= !self.is_on(Mechanism::RemoteCost);
        candidate.cold &= self.is_on(Mechanism::ColdCost);
        candidate.suspect |=
            self.centres.is_unreachable(target.centre) || self.is_ejected(now, key);
        candidate
    }

    /// Returns whether new flows may be placed on this target at all.
    pub(super) fn accepts_new_flows(&self, key: TargetKey) -> bool {
        let target = &self.targets[key];
        target.accepts_flows() && !self.is_evacuated(target.centre)
    }

    /// Returns the hash of a flow, the same on every entry host.
    pub(super) fn flow_hash(&self, flow_key: FlowKey) -> u64 {
        let protocol = Protocol::Tcp;
        let (caller, service) = (flow_key.caller.into(), flow_key.frontend.into());
        FlowHash::new(&self.config.hash_key, &Tuple { protocol, caller, service }).0
    }
}
