//! Use of this host's own link.
//!
//! Load pattern: callers send more than a host's link carries. Packets wait on the link until
//! callers repeat them, and answers are acknowledged late, for all targets at once. See
//! docs/design/link.md.

use crate::time::{Instant, Span};

/// Bytes of a packet on the link besides its data: its own header, and those of UDP and IP.
const HEADER_BYTES: u64 = 59;

/// Period over which the use of the link is measured.
const USE_PERIOD: Span = Span::millis(200);

/// Share of the link, in percent, from which packets may wait for their turn on it.
const BUSY_PERCENT: u64 = 70;

/// Time for which a busy link explains repeats and missing answers: callers repeat a packet after
/// 1.6 s at most, and the repeat may wait as well.
const BUSY_MEMORY: Span = Span::millis(2000);

/// Measures how much of the link is used.
#[derive(Debug, Clone, Default)]
pub(super) struct LinkMeter {
    /// Bytes per second.
    rate: u64,
    /// Bytes in the current period.
    bytes: u64,
    /// When the current period began.
    began_at: Instant,
    /// Latest time at which the link was busy.
    busy_at: Option<Instant>,
}

impl LinkMeter {
    /// Creates a meter of a link that carries `rate` bytes per second.
    pub(super) fn new(rate: u64) -> Self {
        Self { rate, ..Self::default() }
    }

    /// Returns whether packets may have waited for the link lately.
    pub(super) fn was_busy(&self, now: Instant) -> bool {
        self.busy_at.is_some_and(|busy_at| now.since(busy_at) < BUSY_MEMORY)
    }

    /// Records a packet with `length` bytes of data.
    pub(super) fn record_packet(&mut self, now: Instant, length: u16) {
        if now.since(self.began_at) >= USE_PERIOD {
            self.bytes = 0;
            self.began_at = now;
        }
        self.bytes += u64::from(length) + HEADER_BYTES;
        if self.bytes * 1000 * 100 >= self.rate * USE_PERIOD.0 * BUSY_PERCENT {
            self.busy_at = Some(now);
        }
    }
}
