//! Decides which requests wait at this host, see [`crate::mark::admission`].

use super::Router;
use crate::mark::Segment;
use crate::mark::admission::{Demand, is_late, is_recovering};
use crate::mark::flow::syn_copy_delay;
use crate::mark::placement::Policy;
use crate::mark::target::TargetKey;
use crate::time::Instant;

impl<P: Policy> Router<P> {
    /// Returns whether a SYN has to wait: its request is late, and there is no room for it.
    pub(super) fn must_yield_syn(&self, now: Instant, arrived: Instant, segment: &Segment) -> bool {
        if !is_recovering(now, self.ready_at) {
            return false;
        }
        let Some(frontend) = self.frontends.get(&segment.flow_key.frontend) else { return false };
        let age = now.since(arrived) + syn_copy_delay(segment.acknowledged);
        if !is_late(age, frontend.objective()) {
            return false;
        }
        let service = frontend.pick_service(self.flow_hash(segment.flow_key));
        service.is_some_and(|service| !self.demand(now, service).has_room())
    }

    /// Returns whether data of a flow that this host did not know has to wait: it arrived before the
    /// first catalog, and there is no room for a late request at the service of its target. Of data
    /// that arrives later nobody can tell whether it was repeated.
    pub(super) fn must_yield_data(&self, now: Instant, arrived: Instant, key: TargetKey) -> bool {
        let held_since_start = self.ready_at.is_some_and(|ready_at| arrived < ready_at);
        held_since_start && !self.demand(now, &self.targets[key].service).has_room()
    }

    fn demand(&self, now: Instant, service: &str) -> Demand {
        let (slots, waiting) = self.targets.slots_and_waiting(now, service, &self.evacuated);
        Demand { slots, waiting, hosts: self.local_hosts + 1 }
    }
}
