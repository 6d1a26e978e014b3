//! Where a flow begins, and when it is turned away.
//!
//! Load pattern: callers open some flows that last and bring a request now and then, and many that
//! bring one request each; in a burst all slots are in use and queues grow. Targets differ in
//! slots, are slow right after their start, and may have died without a word.

use super::Count;

/// What a request in wait at a target costs a new flow, in parts of a slot.
const WAITING_COST: u32 = 64;

/// What a flow that rests at a target costs a new flow: it will bring requests later.
const FLOW_COST: u32 = 6;

/// What the way to another data centre costs a new flow.
const CENTRE_COST: u32 = 12;

/// Cost that a target's slots divide; keeps the small costs above apart after the division.
const SCALE: u32 = 64;

/// A target that a flow may begin at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// What all entry hosts together have open there, as far as this one knows.
    pub load: Count,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it stands in the entry host's data centre.
    pub near: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Whether it is thought to be dead.
    pub doubtful: bool,
}

impl Candidate {
    /// Returns what a new flow would cost here; the lowest cost is the best.
    ///
    /// A doubtful target comes after all others, as it may not answer at all.
    pub fn cost(&self) -> u32 {
        let waiting = u32::from(self.load.waiting) * WAITING_COST;
        let flows = u32::from(self.load.flows) * FLOW_COST;
        let mut cost = (waiting + flows) * SCALE / u32::from(self.slots.max(1));
        if self.cold {
            cost = cost * 3 / 2 + WAITING_COST * SCALE / 2;
        }
        if !self.near {
            cost += CENTRE_COST * SCALE;
        }
        if self.doubtful { cost.saturating_add(u32::MAX / 2) } else { cost }
    }
}

/// Chooses among candidates; `start` rotates the order in which equal ones are taken.
pub fn choose<K: Copy>(candidates: &[(K, Candidate)], start: u64) -> Option<K> {
    let count = candidates.len();
    let first = if count == 0 { 0 } else { (start % count as u64) as usize };
    let rotated = candidates[first..].iter().chain(&candidates[..first]);
    rotated.min_by_key(|(_, candidate)| candidate.cost()).map(|(key, _)| *key)
}
