//! Detection of stalls of this host: a suspended machine, a stopped process, or a starved one.
//!
//! Load pattern: a host is suspended while an order waits in a buffer of its kernel, the operator
//! sends the order and later the opposite one to another host, and this host then resumes.

use lagoongauge::time::{Instant, Span};

/// Time between two ticks from which on a host has stalled; operators wait longer for a response.
const STALL_THRESHOLD: Span = Span::millis(600);

/// Time after a stall within which a host reads what arrived during it.
const RECOVERY_PERIOD: Span = Span::millis(400);

/// Tells whether a request that is read now may have arrived before or during a stall.
///
/// All instants must be of a clock that includes the time for which the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct StallDetector {
    last_tick: Instant,
    resumed_at: Option<Instant>,
}

impl StallDetector {
    /// Creates a detector for a host that has just started.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: now, resumed_at: None }
    }

    /// Returns whether the host is stalled or has just resumed, before or after its first tick since.
    pub fn is_recent(&self, now: Instant) -> bool {
        let resumed = self.resumed_at.is_some_and(|at| now.since(at) < RECOVERY_PERIOD);
        resumed || now.since(self.last_tick) >= STALL_THRESHOLD
    }

    /// Records a tick; returns whether it ends a stall.
    pub fn tick(&mut self, now: Instant) -> bool {
        let stalled = now.since(self.last_tick) >= STALL_THRESHOLD;
        if stalled {
            self.resumed_at = Some(now);
        }
        self.last_tick = now;
        stalled
    }
}
