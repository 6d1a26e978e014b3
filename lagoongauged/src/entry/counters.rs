//! Packet counters of the data path; drops are counted per reason, from a fixed list.

use std::sync::atomic::{AtomicU64, Ordering};

use lagoongauge::forward::PacketAction;
use lagoongauge::packet::DropReason;

/// Counters since process start, updated by all threads without locks.
#[derive(Debug)]
pub struct Counters {
    sent: AtomicU64,
    relayed: AtomicU64,
    refused: AtomicU64,
    unsent: AtomicU64,
    peer_bytes: AtomicU64,
    dropped: [AtomicU64; DropReason::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            sent: AtomicU64::new(0),
            relayed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            peer_bytes: AtomicU64::new(0),
            dropped: [const { AtomicU64::new(0) }; DropReason::COUNT],
        }
    }
}

impl Counters {
    /// Returns the number of packets sent to the fabric.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of packets relayed to a peer.
    pub fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Returns the number of packets that were answered with a refusal of their flow.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of datagrams that could not be sent.
    pub fn unsent(&self) -> u64 {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Returns the bytes of messages sent to peers, excluding relayed packets.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of packets dropped for this reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the number of packets dropped for any reason.
    pub fn all_dropped(&self) -> u64 {
        DropReason::all().map(|reason| self.dropped(reason)).sum()
    }

    /// Counts the action taken on a packet.
    pub fn count(&self, action: &PacketAction) {
        let counter = match action {
            PacketAction::Send { .. } => &self.sent,
            PacketAction::Relay { .. } => &self.relayed,
            PacketAction::Refuse(_) => &self.refused,
            PacketAction::Drop(reason) => &self.dropped[reason.index()],
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a datagram that could not be sent.
    pub fn count_unsent(&self) {
        self.unsent.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the bytes of a message sent to a peer.
    pub fn count_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
