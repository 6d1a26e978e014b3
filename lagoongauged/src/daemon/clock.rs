//! The clock that gives the decisions their instants.

use std::time::{SystemTime, UNIX_EPOCH};

use lagoongauge::time::Instant;

/// Monotonic clock of one process.
///
/// It starts one hour ahead of zero, so that subtracting a span from an early instant does not run
/// into zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

/// Reading of a clock that has just been started, in milliseconds.
const HEAD_START: u64 = 3_600_000;

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        Instant(HEAD_START + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the calendar time in milliseconds since 1970, which numbers a process's sessions.
    pub fn calendar() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
    }
}
