//! Packets that wait until this host can route them, or until targets have room for them.
//!
//! Load pattern: after a loss of power the whole fleet starts at once, and callers repeat their
//! packets ever more rarely (after 200, 400, 800 and 1600 ms). A packet that is dropped by a host
//! that will have its catalog in a moment costs its caller the whole pause until the next copy. So
//! a host that has started without a catalog holds packets, and routes them once it has one. For some
//! time after that, late requests are held as well ([`crate::mark::admission::late`]).

use indexmap::IndexMap;

use crate::mark::flow::{next_syn_delay, syn_copy_delay};
use crate::mark::{FlowKey, Segment, SegmentKind};
use crate::time::{Instant, Span};

/// Maximum number of held packets, which bounds their memory to about 1.3 MB.
const MAX_PACKETS: usize = 1024;

/// Time for which data is held; the next copy follows within this time.
const DATA_LIFETIME: Span = Span::millis(1600);

/// Time before the next copy of a SYN at which a held one is no longer forwarded. The copy may reach
/// another host, and if both placed the flow, the caller would get halves of two flows.
const SYN_MARGIN: Span = Span::millis(40);

/// Packet that could not be routed when it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPacket {
    /// The packet as decoded; for a SYN, the first copy of it that arrived.
    pub segment: Segment,
    /// The packet as received.
    pub bytes: Vec<u8>,
    /// When its first copy arrived.
    pub arrived: Instant,
    /// Until when it may be forwarded.
    valid_until: Instant,
}

/// Identifies the copies of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PacketKey {
    flow_key: FlowKey,
    kind: SegmentKind,
    sequence: u32,
    length: u16,
}

/// Held packets; of several copies only the last one is kept.
#[derive(Debug, Clone, Default)]
pub struct HeldPackets {
    packets: IndexMap<PacketKey, HeldPacket>,
    /// Packets that became too old since the last release.
    expired: usize,
}

/// Packets that are no longer held.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Released {
    /// Packets to route now, in the order in which callers sent their first copies.
    pub packets: Vec<HeldPacket>,
    /// Number of packets that are too old to be routed.
    pub expired: usize,
}

impl HeldPacket {
    /// Returns when the caller sent the first copy, as far as this host can tell.
    fn sent_at(&self) -> Instant {
        match self.segment.kind {
            SegmentKind::Syn => self.arrived - syn_copy_delay(self.segment.acknowledged),
            _ => self.arrived,
        }
    }
}

impl HeldPackets {
    /// Holds a packet; returns whether there was room for it.
    pub fn hold(&mut self, now: Instant, segment: &Segment, bytes: &[u8]) -> bool {
        let key = PacketKey::of(segment);
        if self.packets.len() >= MAX_PACKETS && !self.packets.contains_key(&key) {
            self.remove_expired(now);
        }
        if self.packets.len() >= MAX_PACKETS && !self.packets.contains_key(&key) {
            return false;
        }
        let valid_until = now + lifetime(segment);
        let first = self.packets.get(&key);
        let arrived = first.map_or(now, |first| first.arrived);
        // A host that saw the SYN itself may place the flow, see `crate::mark::router`.
        let first_syn = first.filter(|_| segment.kind == SegmentKind::Syn);
        let segment = first_syn.map_or(*segment, |first| first.segment);
        let packet = HeldPacket { segment, bytes: bytes.to_vec(), arrived, valid_until };
        self.packets.insert(key, packet);
        true
    }

    /// Removes all packets.
    pub fn take(&mut self, now: Instant) -> Released {
        self.remove_expired(now);
        let mut packets: Vec<_> = std::mem::take(&mut self.packets).into_values().collect();
        packets.sort_by_key(HeldPacket::sent_at);
        Released { packets, expired: std::mem::take(&mut self.expired) }
    }

    /// Holds a released packet again, unless a later copy of it is held. For a moment there may be
    /// twice as many packets, as others may have arrived since the release.
    pub fn put_back(&mut self, packet: HeldPacket) {
        self.packets.entry(PacketKey::of(&packet.segment)).or_insert(packet);
    }

    fn remove_expired(&mut self, now: Instant) {
        let held = self.packets.len();
        self.packets.retain(|_, packet| now < packet.valid_until);
        self.expired += held - self.packets.len();
    }
}

impl PacketKey {
    fn of(segment: &Segment) -> Self {
        let Segment { flow_key, kind, sequence, length, .. } = *segment;
        Self { flow_key, kind, sequence, length }
    }
}

fn lifetime(segment: &Segment) -> Span {
    if segment.kind != SegmentKind::Syn {
        return DATA_LIFETIME;
    }
    Span(next_syn_delay(segment.acknowledged).0 - SYN_MARGIN.0)
}
