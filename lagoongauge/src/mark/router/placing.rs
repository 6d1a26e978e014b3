//! Chooses the target of a new flow among those that may take it.

use super::Router;
use crate::flow::{FlowHash, Protocol, Tuple};
use crate::mark::placement::Policy;
use crate::mark::target::TargetKey;
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
        let (service, pattern) = (frontend.pick_service(flow_hash)?, frontend.traffic_pattern());
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        for key in self.targets.keys_of_service(service) {
            if !self.accepts_new_flows(now, *key) {
                continue;
            }
            let target = &self.targets[*key];
            let mut candidate = target.candidate(now);
            candidate.suspect |= avoided == Some(*key)
                || !self.has_room_in(target.centre)
                || self.centres.is_unreachable(target.centre)
                || self.is_ejected(now, *key);
            candidates.push((*key, candidate));
        }
        let chosen = self.policy.choose(&candidates, pattern, flow_hash);
        self.candidates = candidates;
        chosen
    }

    /// Returns whether new flows may be placed on this target at all.
    pub(super) fn accepts_new_flows(&self, now: Instant, key: TargetKey) -> bool {
        let target = &self.targets[key];
        target.accepts_flows()
            && !self.is_evacuated(target.centre)
            && self.has_warmup_room(now, key)
    }

    /// Returns the hash of a flow, the same on every entry host.
    pub(super) fn flow_hash(&self, flow_key: FlowKey) -> u64 {
        let protocol = Protocol::Tcp;
        let (caller, service) = (flow_key.caller.into(), flow_key.frontend.into());
        FlowHash::new(&self.config.hash_key, &Tuple { protocol, caller, service }).0
    }
}
