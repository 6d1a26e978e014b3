//! What a planner knows of another host of its group.

use indexmap::IndexMap;

use super::follower::LEASE_MARGIN;
use super::plan::Stamp;
use crate::id::ServiceId;
use crate::time::{Instant, Span};

/// Time without heartbeats after which a home without a lease counts as lost.
const HEARTBEAT_TIMEOUT: Span = Span::millis(2_000);

/// Time without a lease after which a home counts as lost although its heartbeats arrive.
const UNLEASED_TIMEOUT: Span = Span::seconds(10);

/// State of another host of the group, from its heartbeats.
#[derive(Debug, Default)]
pub(super) struct Peer {
    pub stamp: Stamp,
    pub prior_epoch: u64,
    pub incarnation: u32,
    /// Sending time of the last heartbeat, by the host's clock.
    pub last_sent: Instant,
    pub last_heard: Instant,
    /// Whether a heartbeat of this epoch has been received.
    pub answered: bool,
    pub granted_until: Instant,
    pub leaving: bool,
    pub pending: u32,
    pub resend_at: Instant,
    pub backoff: Span,
    pub counts: IndexMap<(ServiceId, u16), u32>,
}

impl Peer {
    /// Returns whether the host's lease has ended and is not expected to be renewed.
    pub fn is_lost(&self, now: Instant) -> bool {
        let ended = self.granted_until + LEASE_MARGIN;
        now >= ended
            && (now.since(self.last_heard) > HEARTBEAT_TIMEOUT
                || now.since(ended) > UNLEASED_TIMEOUT)
    }
}
