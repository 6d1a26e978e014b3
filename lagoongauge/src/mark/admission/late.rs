//! Admission of late requests after a start of this host.
//!
//! Load pattern: while a fleet was down, callers kept sending. When it is back, their repeated
//! requests arrive on top of the usual ones, targets queue them, and new requests that could still
//! be answered in time wait behind requests that are late already. So for some time after a start a
//! late request waits at the entry host until this host's share of the targets' slots has room, and
//! a request that may still be answered in time goes first.

use crate::time::{Instant, Span};

/// Time after the first catalog in which late requests wait for room. A packet that was repeated
/// while the fleet was down arrives within 1.6 s, and its request is served a little later.
const RECOVERY_PERIOD: Span = Span::millis(2000);

/// Requests of this host that keep two slots busy: a request also waits here while it is on its way
/// to the target and while its answer is on its way to the caller.
const REQUESTS_PER_TWO_SLOTS: u32 = 3;

/// Targets and requests of one service in this host's data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests that the targets can process concurrently.
    pub slots: u32,
    /// Requests of this host that wait for an answer.
    pub waiting: u32,
    /// Entry hosts that share the slots, including this one.
    pub hosts: u32,
}

impl Demand {
    /// Returns whether this host's share of the slots has room for another late request.
    pub fn has_room(&self) -> bool {
        let share = REQUESTS_PER_TWO_SLOTS * self.slots / (2 * self.hosts.max(1));
        self.waiting < share.max(1)
    }
}

/// Returns whether late requests have to wait for room.
pub(in crate::mark) fn is_recovering(now: Instant, ready_at: Option<Instant>) -> bool {
    ready_at.is_some_and(|ready_at| now.since(ready_at) < RECOVERY_PERIOD)
}

/// Returns whether a request is unlikely to be answered within its objective: half of it is over.
pub(in crate::mark) fn is_late(age: Span, objective: Span) -> bool {
    2 * age.0 >= objective.0
}
