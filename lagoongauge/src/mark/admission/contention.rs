//! Order in which new flows are admitted while callers compete for too little room.
//!
//! Load pattern: for some seconds callers open more flows than all slots of a service can serve.
//! Placed at once, they fill the queues of targets, which then reject requests whatever their
//! priority; the rejected callers retry, and the retries keep the queues full. So an entry host
//! admits a flow only while its part of the room ([`crate::mark::admission::room`]) is not taken, and keeps the last
//! of it for the highest priority that callers currently use. Everything else is refused at once: a
//! refused SYN has not run, and its caller may retry while there is still time.
//!
//! See [admission](../../../../docs/design/admission.md).

use indexmap::IndexMap;

use crate::time::{Instant, Span};

/// Requests a slot, on their way, queued or processed, up to which the highest priority is admitted.
/// Targets queue a few requests for each slot and reject more.
const HIGHEST_REQUESTS_PER_SLOT: u32 = 5;

/// Requests a slot up to which lower priorities are admitted, which keeps all slots busy.
pub(in crate::mark) const LOWER_REQUESTS_PER_SLOT: u32 = 3;

/// Requests a slot up to which lower priorities are admitted while this host just has many at once.
const SPIKE_REQUESTS_PER_SLOT: u32 = 4;

/// One in this many admitted flows may be of a lower priority even while only the highest one has
/// room, so that none starves.
const GUARANTEED_SHARE: u32 = 8;

/// Interval at which the counts of recent flows are halved.
const HALVING_INTERVAL: Span = Span::seconds(1);

/// Flows of one priority that were admitted and refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Flows that had room.
    pub admitted: u32,
    /// Flows that had none.
    pub refused: u32,
}

/// Admission of the flows of one service at one host.
#[derive(Debug, Clone, Default)]
pub struct Contention {
    /// Recent flows by priority; priorities without any are left out.
    recent: IndexMap<u8, AdmissionCounts>,
    halved_at: Instant,
    /// Flows by priority since they were last taken.
    counts: IndexMap<u8, AdmissionCounts>,
}

impl AdmissionCounts {
    fn count(&mut self, admitted: bool) {
        let count = if admitted { &mut self.admitted } else { &mut self.refused };
        *count = count.saturating_add(1);
    }

    fn halve(&mut self) {
        self.admitted /= 2;
        self.refused /= 2;
    }

    fn is_zero(&self) -> bool {
        *self == Self::default()
    }
}

impl Contention {
    /// Returns whether nothing was offered recently.
    pub fn is_idle(&self) -> bool {
        self.recent.is_empty() && self.counts.is_empty()
    }

    /// Returns the requests a slot up to which a flow is admitted; `saturated` tells whether this host
    /// has had little room for some time, rather than just now.
    pub fn requests_per_slot(&self, priority: u8, saturated: bool) -> u32 {
        if self.is_first(priority) {
            HIGHEST_REQUESTS_PER_SLOT
        } else if saturated {
            LOWER_REQUESTS_PER_SLOT
        } else {
            SPIKE_REQUESTS_PER_SLOT
        }
    }

    /// Returns whether a flow may use all of the room: no other flow that is offered has a higher
    /// priority, or this priority has less than its guaranteed share.
    pub fn is_first(&self, priority: u8) -> bool {
        let is_highest = self.recent.keys().all(|other| priority <= *other);
        is_highest || self.is_starved(priority)
    }

    /// Counts whether a flow was admitted.
    pub fn count(&mut self, priority: u8, admitted: bool) {
        self.recent.entry(priority).or_default().count(admitted);
        self.counts.entry(priority).or_default().count(admitted);
    }

    /// Lets recent flows count for less with time.
    pub fn decay(&mut self, now: Instant) {
        if now.since(self.halved_at) < HALVING_INTERVAL {
            return;
        }
        self.halved_at = now;
        self.recent.values_mut().for_each(AdmissionCounts::halve);
        self.recent.retain(|_, recent| !recent.is_zero());
    }

    /// Returns the flows by priority since the last call.
    pub fn take_counts(&mut self) -> IndexMap<u8, AdmissionCounts> {
        std::mem::take(&mut self.counts)
    }

    /// Returns whether a priority has less than its guaranteed share of the admitted flows.
    fn is_starved(&self, priority: u8) -> bool {
        let own = self.recent.get(&priority).map_or(0, |recent| recent.admitted);
        let all: u32 = self.recent.values().map(|recent| recent.admitted).sum();
        own.saturating_mul(GUARANTEED_SHARE) < all
    }
}
