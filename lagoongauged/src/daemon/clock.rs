//! The clock that supplies the current instant to the protocol logic.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lagoongauge::time::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of one process.
///
/// It starts at one hour instead of zero, so that subtracting a duration from an early instant does
/// not saturate at zero.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    id: ClockId,
    start: Duration,
}

/// Value of a clock that has just been started, in milliseconds.
const START_OFFSET_MS: u64 = 3_600_000;

impl Clock {
    /// Starts a clock that stops while the machine is suspended.
    pub fn start() -> Self {
        Self::with_id(ClockId::Monotonic)
    }

    /// Starts a clock that keeps running while the machine is suspended.
    pub fn start_boottime() -> Self {
        Self::with_id(ClockId::Boottime)
    }

    fn with_id(id: ClockId) -> Self {
        Self { id, start: read(id) }
    }

    /// Returns the current instant.
    pub fn now(&self) -> Instant {
        Instant(START_OFFSET_MS + read(self.id).saturating_sub(self.start).as_millis() as u64)
    }

    /// Returns the milliseconds since the Unix epoch, for timestamps and for numbers that increase
    /// with each start of a process.
    pub fn unix_millis() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
    }
}

fn read(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
