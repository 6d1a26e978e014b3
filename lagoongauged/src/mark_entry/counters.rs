//! Packet counters of the data path.

use std::sync::atomic::{AtomicU64, Ordering};

use lagoongauge::mark::Cause;

/// Counters of packet outcomes since process start.
#[derive(Debug, Default)]
pub struct Counters {
    forwarded: AtomicU64,
    begun: AtomicU64,
    held: AtomicU64,
    unreadable: AtomicU64,
    unsent: AtomicU64,
    evidence_sent: AtomicU64,
    evidence_malformed: AtomicU64,
    reset: [AtomicU64; Cause::ALL.len()],
    dropped: [AtomicU64; Cause::ALL.len()],
}

impl Counters {
    /// Returns the number of packets forwarded to targets.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.load(Ordering::Relaxed)
    }

    /// Returns the number of flows started at this host.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Returns the number of packets held until the first catalog was active.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that could not be decoded.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that could not be sent.
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams with evidence that were sent.
    pub fn evidence_sent(&self) -> u64 {
        self.evidence_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams with evidence that could not be decoded.
    pub fn evidence_malformed(&self) -> u64 {
        self.evidence_malformed.load(Ordering::Relaxed)
    }

    /// Returns the number of packets answered with a reset for this cause.
    pub fn reset(&self, cause: Cause) -> u64 {
        self.reset[cause as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of packets dropped for this cause.
    pub fn dropped(&self, cause: Cause) -> u64 {
        self.dropped[cause as usize].load(Ordering::Relaxed)
    }

    pub(super) fn count_forward(&self, new_flow: bool) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
        self.begun.fetch_add(u64::from(new_flow), Ordering::Relaxed);
    }

    pub(super) fn count_held(&self) {
        self.held.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unreadable(&self) {
        self.unreadable.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_unsent(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_evidence_sent(&self) {
        self.evidence_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_evidence_malformed(&self) {
        self.evidence_malformed.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_reset(&self, cause: Cause) {
        self.reset[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_drop(&self, cause: Cause) {
        self.dropped[cause as usize].fetch_add(1, Ordering::Relaxed);
    }
}
