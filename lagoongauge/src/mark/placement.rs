//! Where a flow begins, and when it is turned away.
//!
//! Load pattern: callers open some flows that last and bring a request now and then, and many that
//! bring one request each; in a burst all slots are in use and queues grow. Targets differ in
//! slots, are slow right after their start, and may have died without a word.

use super::LoadCount;

/// Cost of a request in wait to a flow of one request, which has to wait behind it.
const WAITING_COST: u32 = 64;

/// Cost of a resting flow to a flow of one request: it may bring a request at any time.
const OPEN_FLOW_COST: u32 = 2;

/// Cost of a flow to one that lasts: both bring requests for as long as they are open.
const LONG_LIVED_FLOW_COST: u32 = 16;

/// Cost of a request in wait to a flow that lasts; it is over before the flow's next request.
const LONG_LIVED_WAITING_COST: u32 = 4;

/// Share by which another data centre has to be cheaper, in eighths: its targets may be cut off,
/// and bytes between data centres cost.
const REMOTE_COST_EIGHTHS: u32 = 9;

/// Cost that the division by slots keeps exact.
const COST_SCALE: u32 = 64;

/// What a flow is expected to bring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficPattern {
    /// One request.
    SingleRequest,
    /// Requests now and then for as long as it is open.
    LongLived,
}

/// A target that a flow may begin at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What all entry hosts together have open there, as far as this one knows.
    pub load: LoadCount,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it stands in the entry host's data centre.
    pub local: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Whether it is thought to be dead.
    pub suspect: bool,
}

impl Candidate {
    /// Returns what a new flow would cost here; the lowest cost is the best.
    ///
    /// A flow of one request goes where the fewest requests wait, a lasting one where the fewest
    /// flows are, as those bring the load of the seconds to come. A doubtful target comes after
    /// all others, as it may not answer at all.
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

/// A way of placing flows; baselines implement it as well.
pub trait Policy {
    /// Chooses among candidates; `number` is drawn for each flow, the same on every host.
    fn choose<K: Copy>(
        &self,
        candidates: &[(K, Candidate)],
        pattern: TrafficPattern,
        flow_hash: u64,
    ) -> Option<K>;
}

/// Takes the candidate of the least cost; of equal ones the flow's number decides.
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
