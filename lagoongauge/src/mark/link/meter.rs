//! Use of this host's own link.
//!
//! Load pattern: callers send more than a host's link carries. Packets wait on the link until
//! callers repeat them, and answers are acknowledged late, for all targets at once. See
//! docs/design/link.md.

use super::HEADER_BYTES;
use super::bulk::Admission;
use crate::time::{Instant, Span};

/// Period over which the use of the link is measured.
const USE_PERIOD: Span = Span::millis(200);

/// Share of the link, in percent, from which packets may wait for their turn on it.
const BUSY_PERCENT: u64 = 70;

/// Time for which a busy link explains repeats and missing answers: callers repeat a packet after
/// 1.6 s at most, and the repeat may wait as well.
const BUSY_MEMORY: Span = Span::millis(2000);

/// What a host's link carried since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkUse {
    /// Bytes of callers' packets, with their headers.
    pub carried_bytes: u64,
    /// Bulk flows that began.
    pub begun_flows: u64,
    /// Bulk flows that were refused.
    pub refused_flows: u64,
}

impl LinkUse {
    /// Returns what was added since an earlier use.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            carried_bytes: self.carried_bytes.saturating_sub(earlier.carried_bytes),
            begun_flows: self.begun_flows.saturating_sub(earlier.begun_flows),
            refused_flows: self.refused_flows.saturating_sub(earlier.refused_flows),
        }
    }
}

/// Measures how much of the link is used.
#[derive(Debug, Clone, Default)]
pub(in crate::mark) struct LinkMeter {
    /// Bytes per second.
    rate: u64,
    /// Bytes in the current period.
    bytes: u64,
    /// When the current period began.
    began_at: Instant,
    /// Latest time at which the link was busy.
    busy_at: Option<Instant>,
    usage: LinkUse,
}

impl LinkMeter {
    /// Creates a meter of a link that carries `rate` bytes per second.
    pub(in crate::mark) fn new(rate: u64) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Returns whether packets may have waited for the link lately.
    pub(in crate::mark) fn was_busy(&self, now: Instant) -> bool {
        self.busy_at.is_some_and(|busy_at| now.since(busy_at) < BUSY_MEMORY)
    }

    /// Returns the use of the link since the start.
    pub(in crate::mark) fn usage(&self) -> LinkUse {
        self.usage
    }

    /// Records a packet with `length` bytes of data.
    pub(in crate::mark) fn record_packet(&mut self, now: Instant, length: u16) {
        if now.since(self.began_at) >= USE_PERIOD {
            self.bytes = 0;
            self.began_at = now;
        }
        let bytes = u64::from(length) + HEADER_BYTES;
        self.bytes += bytes;
        self.usage.carried_bytes += bytes;
        if self.bytes * 1000 * 100 >= self.rate * USE_PERIOD.0 * BUSY_PERCENT {
            self.busy_at = Some(now);
        }
    }

    /// Records whether a bulk flow began or was refused.
    pub(in crate::mark) fn record_admission(&mut self, admission: Admission) {
        match admission {
            Admission::Begin => self.usage.begun_flows += 1,
            Admission::Refuse => self.usage.refused_flows += 1,
            Admission::Wait => {}
        }
    }
}
