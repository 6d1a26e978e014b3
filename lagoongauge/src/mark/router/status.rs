//! What this host knows of itself: its contact with control hosts, its start, and its stalls.

use super::Router;
use crate::mark::placement::Policy;
use crate::time::{Instant, Span};

/// Time without contact with a quorum of control hosts after which this host counts as cut off.
const CUT_OFF_TIMEOUT: Span = Span::millis(1000);

/// Time for which a confirmation by a quorum of control hosts is valid; it is renewed several times
/// within it.
const CONFIRMATION_LIFETIME: Span = Span::millis(1500);

/// Pause of this host after which the fabric has delivered callers' retransmissions to other hosts.
const STALL_THRESHOLD: Span = Span::millis(1000);

/// Time after a stall within which this host processes the packets queued during it.
const STALL_RECOVERY: Span = Span::millis(200);

/// State of this host.
#[derive(Debug, Default)]
pub(super) struct HostStatus {
    /// Whether a quorum of control hosts confirms that this host's state is current.
    current: bool,
    /// When this host last was in contact with a quorum of control hosts.
    confirmed_at: Instant,
    /// When the first catalog was active, or `None` before that.
    pub(super) ready_at: Option<Instant>,
    /// Time of the latest tick, or `None` before the first one.
    pub(super) last_tick: Option<Instant>,
    /// Until when SYNs may have been queued during a stall.
    pub(super) stale_until: Instant,
    /// Whether this host was asked to end.
    pub(super) stopping: bool,
}

impl HostStatus {
    /// Returns whether a quorum of control hosts confirms that this host's state is current. A
    /// confirmation expires, as this host may have been suspended since.
    pub(super) fn is_current(&self, now: Instant) -> bool {
        self.current && now.since(self.confirmed_at) < CONFIRMATION_LIFETIME
    }

    /// Returns whether this host has been without contact with a quorum for some time.
    pub(super) fn is_cut_off(&self, now: Instant) -> bool {
        !self.current && now.since(self.confirmed_at) >= CUT_OFF_TIMEOUT
    }

    /// Records a sign that this host runs; returns whether it ends a stall.
    pub(super) fn end_stall(&mut self, now: Instant) -> bool {
        let last_tick = self.last_tick;
        if last_tick.is_none_or(|last_tick| now.since(last_tick) < STALL_THRESHOLD) {
            return false;
        }
        self.last_tick = Some(now);
        self.stale_until = now + STALL_RECOVERY;
        true
    }

    fn set_current(&mut self, now: Instant, current: bool) {
        if self.current || current {
            self.confirmed_at = now;
        }
        self.current = current;
    }
}

impl<P: Policy> Router<P> {
    /// Sets whether a quorum of control hosts confirms that this host's state is current.
    pub fn set_current(&mut self, now: Instant, current: bool) {
        self.status.set_current(now, current);
        if current {
            self.warmup.record_contact(now);
        }
    }

    /// Records that this host was asked to end: no packet has to wait for room any more.
    pub fn set_stopping(&mut self) {
        self.status.stopping = true;
    }
}
