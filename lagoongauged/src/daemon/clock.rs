//! The clock that supplies the current instant to the protocol logic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lagoongauge::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of one process, which goes on while the machine is suspended: what was permitted
/// until an instant has expired after a resume, and what was received before it is old.
///
/// It starts at one hour instead of zero, so that subtracting a duration from an early instant does
/// not saturate at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

/// Value of a clock that has just been started, in milliseconds.
const START_OFFSET_MS: u64 = 3_600_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: read() }
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        Instant(START_OFFSET_MS + read().saturating_sub(self.start).as_millis() as u64)
    }

    /// Returns the milliseconds since the Unix epoch, for timestamps and for numbers that increase
    /// with each start of a process.
    pub fn unix_millis() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
    }
}

fn read() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
