//! Placement of new flows on targets.
//!
//! Load pattern: callers open some long-lived flows with occasional requests, and many flows with a
//! single request each; during a burst all slots are in use and queues grow. Targets differ in
//! slots, are slow right after their start, and may have crashed without notice.

use crate::mark::LoadCount;

/// Cost of a waiting request for a single-request flow, which queues behind it.
const WAITING_COST: u32 = 64;

/// Cost of an open flow for a single-request flow: it may send a request at any time.
const OPEN_FLOW_COST: u32 = 2;

/// Cost of an open flow for a long-lived flow: both send requests for as long as they are open.
const LONG_LIVED_FLOW_COST: u32 = 16;

/// Cost of a waiting request for a long-lived flow; it is answered before the flow's next request.
const LONG_LIVED_WAITING_COST: u32 = 4;

/// Cost factor of targets in other data centres, in eighths: they may be cut off, and traffic
/// between data centres is costly.
const REMOTE_COST_EIGHTHS: u32 = 9;

/// Scale of costs, which keeps precision in the division by slots.
const COST_SCALE: u32 = 64;

/// Expected requests of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficPattern {
    /// A single request.
    SingleRequest,
    /// Occasional requests for as long as the flow is open.
    LongLived,
}

/// A target on which a new flow may be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Load from all entry hosts, as far as this one knows.
    pub load: LoadCount,
    /// Number of requests that it processes concurrently.
    pub slots: u16,
    /// Whether it is in the entry host's data centre.
    pub local: bool,
    /// Whether it is still warming up after its start.
    pub cold: bool,
    /// Whether it is suspected to be dead.
    pub suspect: bool,
}

impl Candidate {
    /// Returns the cost of placing a new flow here; the lowest cost is the best.
    ///
    /// A single-request flow goes where the fewest requests wait, a long-lived one where the fewest
    /// flows are open, as those determine the load of the next seconds. A suspect target comes
    /// after all others, as it may not answer at all.
    pub fn cost(&self, pattern: TrafficPattern) -> u32 {
        let (waiting, flows) = (u32::from(self.load.waiting), u32::from(self.load.flows));
        let (load, step) = match pattern {
            TrafficPattern::SingleRequest => {
                (waiting * WAITING_COST + flows * OPEN_FLOW_COST, WAITING_COST)
            }
            TrafficPattern::LongLived => (
                waiting * LONG_LIVED_WAITING_COST + flows * LONG_LIVED_FLOW_COST,
                LONG_LIVED_FLOW_COST,
            ),
        };
        let mut cost = load * COST_SCALE;
        if self.cold {
            cost = cost * 3 / 2 + step * COST_SCALE;
        }
        cost /= u32::from(self.slots.max(1));
        if !self.local {
            cost = cost * REMOTE_COST_EIGHTHS / 8 + step * COST_SCALE;
        }
        if self.suspect { cost.saturating_add(u32::MAX / 2) } else { cost }
    }
}

/// A placement policy; the baselines of measurements implement it as well.
pub trait Policy {
    /// Chooses one of the candidates; `flow_hash` is the same on every entry host.
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        pattern: TrafficPattern,
        flow_hash: u64,
    ) -> Option<K>;
}

/// Chooses the candidate with the lowest cost; the flow's hash breaks ties.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastCost;

impl Policy for LeastCost {
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        pattern: TrafficPattern,
        flow_hash: u64,
    ) -> Option<K> {
        let count = candidates.len() as u64;
        let start = (flow_hash >> 32).checked_rem(count)? as usize;
        let rotated = candidates[start..].iter().chain(&candidates[..start]);
        rotated.min_by_key(|(_, candidate)| candidate.cost(pattern)).map(|(key, _)| *key)
    }
}
