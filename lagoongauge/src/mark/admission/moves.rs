//! Detection of the moment at which the fabric moves flows to other entry hosts.
//!
//! Load pattern: a host joins or leaves the fabric's rotation, and where its hash is not steady nearly
//! all flows go to other hosts at once. Their answers are never seen here, and for as long as their
//! callers could wait they would seem to take the room of new flows. But the flows that come here in
//! exchange show the move: this host did not see them open.

use crate::time::{Instant, Span};

/// Time over which flows are compared.
const WINDOW: Span = Span::millis(100);

/// Minimum number of flows that show a move; a few may have been forgotten here while idle.
const MIN_RESUMED: u32 = 3;

/// Compares flows that opened here with flows that opened elsewhere.
#[derive(Debug, Clone, Default)]
pub struct MoveDetector {
    began_at: Instant,
    opened: u32,
    resumed: u32,
    moved_at: Instant,
}

impl MoveDetector {
    /// Returns when the fabric last moved flows; what was seen before is no longer seen here.
    pub fn moved_at(&self) -> Instant {
        self.moved_at
    }

    /// Records a flow that opens here.
    pub fn record_opened(&mut self, now: Instant) {
        self.roll(now);
        self.opened += 1;
    }

    /// Records a flow that opened at another host.
    pub fn record_resumed(&mut self, now: Instant) {
        self.roll(now);
        self.resumed += 1;
        if self.resumed >= MIN_RESUMED && 2 * self.resumed >= self.opened {
            self.moved_at = self.began_at;
        }
    }

    fn roll(&mut self, now: Instant) {
        if now.since(self.began_at) >= WINDOW {
            (self.began_at, self.opened, self.resumed) = (now, 0, 0);
        }
    }
}
