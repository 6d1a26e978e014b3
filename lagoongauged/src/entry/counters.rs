//! Counts of what the data path did, bounded by the closed list of reasons.

use std::sync::atomic::{AtomicU64, Ordering};

use lagoongauge::forward::PacketAction;
use lagoongauge::packet::DropReason;

/// Counts since the process started; threads add without any lock.
#[derive(Debug)]
pub struct Counters {
    sent: AtomicU64,
    relayed: AtomicU64,
    refused: AtomicU64,
    unsent: AtomicU64,
    control_bytes: AtomicU64,
    dropped: [AtomicU64; DropReason::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            sent: AtomicU64::new(0),
            relayed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            control_bytes: AtomicU64::new(0),
            dropped: [const { AtomicU64::new(0) }; DropReason::COUNT],
        }
    }
}

impl Counters {
    /// Returns the packets that were handed to the fabric.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the packets that were relayed to a peer.
    pub fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Returns the flows that were refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the datagrams that the operating system did not take.
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Returns the bytes of messages to peers, without relayed packets.
    pub fn control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Returns the packets that were dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns all packets that were dropped.
    pub fn all_dropped(&self) -> u64 {
        DropReason::all().map(|reason| self.dropped(reason)).sum()
    }

    /// Counts what was decided on a packet.
    pub fn count(&self, action: &PacketAction) {
        let counter = match action {
            PacketAction::Send { .. } => &self.sent,
            PacketAction::Relay { .. } => &self.relayed,
            PacketAction::Refuse(_) => &self.refused,
            PacketAction::Drop(reason) => &self.dropped[reason.index()],
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a datagram that the operating system did not take.
    pub fn count_unsent(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the bytes of a message to a peer.
    pub fn count_control(&self, bytes: usize) {
        self.control_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
