//! Records of the flows that a home has opened.

use crate::flow::FlowHash;
use crate::time::Span;

/// Bits of a flow's hash that a record keeps; two open flows of a service agree in them with a
/// probability of about 2^-48.
pub const KEY_BITS: u32 = 48;

/// How long a closed flow's record stays, for the last packets and repeated SYNs.
pub const CLOSED_TIMEOUT: Span = Span::seconds(10);

/// Smallest number of slots of a shard.
const MIN_SLOTS: usize = 8;

/// The caller has sent its FIN.
const FIN_CALLER: u8 = 1;
/// The target has sent its FIN.
const FIN_TARGET: u8 = 2;
/// A RST has been seen.
const RESET: u8 = 4;
/// The flags that say how far the flow has closed.
const CLOSING_FLAGS: u8 = 7;
/// The flow was opened while this host was cut off, in a bucket of another home.
const DETACHED: u8 = 16;
/// The record is on its way to the backup, or there.
const REPLICATED: u8 = 8;

/// The part of a flow's hash that names its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey(u64);

impl FlowKey {
    /// Takes the high bits of a hash.
    pub const fn new(flow: FlowHash) -> Self {
        Self(flow.0 >> (64 - KEY_BITS))
    }

    /// Builds a key of a bucket and the bits below it.
    pub const fn from_parts(bucket: u32, bits: u8, low_bits: u64) -> Self {
        let low_count = KEY_BITS - bits as u32;
        Self((bucket as u64) << low_count | low_bits & ((1 << low_count) - 1))
    }

    /// Returns the key's bucket in a table of `2^bits` buckets.
    pub const fn bucket(self, bits: u8) -> u32 {
        (self.0 >> (KEY_BITS - bits as u32)) as u32
    }

    /// Returns the bits below the bucket.
    pub const fn low_bits(self, bits: u8) -> u64 {
        self.0 & ((1 << (KEY_BITS - bits as u32)) - 1)
    }
}

/// Record of one flow; 16 bytes, as a home holds some hundred thousand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    key: u64,
    last_seen: u32,
    target: u16,
    flags: u8,
    occupied: bool,
}

const EMPTY_SLOT: Record = Record { key: 0, last_seen: 0, target: 0, flags: 0, occupied: false };

impl Record {
    /// Builds the record of an open flow seen at `second`.
    pub const fn new(key: FlowKey, target: u16, second: u32) -> Self {
        Self { key: key.0, last_seen: second, target, flags: 0, occupied: true }
    }

    /// Returns the flow's key.
    pub const fn key(&self) -> FlowKey {
        FlowKey(self.key)
    }

    /// Returns the index of the flow's target.
    pub const fn target(&self) -> u16 {
        self.target
    }

    /// Returns the second at which the flow was last seen.
    pub const fn last_seen(&self) -> u32 {
        self.last_seen
    }

    /// Returns the flags that say how far the flow has closed.
    pub const fn closing_flags(&self) -> u8 {
        self.flags & CLOSING_FLAGS
    }

    /// Returns whether the record has not been replicated yet.
    pub const fn needs_replication(&self) -> bool {
        self.flags & REPLICATED == 0
    }

    /// Returns whether both ends have closed the flow, or one has reset it.
    pub const fn is_closed(&self) -> bool {
        self.flags & RESET != 0 || self.flags & (FIN_CALLER | FIN_TARGET) == 3
    }

    /// Returns whether the record's time is over at `second`.
    pub fn is_expired(&self, second: u32, idle_limit: Span) -> bool {
        let span = if self.is_closed() { CLOSED_TIMEOUT } else { idle_limit };
        u64::from(second.saturating_sub(self.last_seen)) * 1000 > span.0
    }

    /// Returns the record with the given flags.
    pub const fn with_closing_flags(mut self, flags: u8) -> Self {
        self.flags = flags & CLOSING_FLAGS;
        self
    }

    /// Returns the record as last seen at another second.
    pub const fn with_last_seen(mut self, second: u32) -> Self {
        self.last_seen = second;
        self
    }

    /// Returns the record with its age kept, moved from one host's clock to another's.
    pub const fn rebased(self, from: u32, to: u32) -> Self {
        let age = from.saturating_sub(self.last_seen);
        self.with_last_seen(to.saturating_sub(age))
    }

    /// Returns whether the flow was opened while this host was cut off from its home.
    pub const fn is_detached(&self) -> bool {
        self.flags & DETACHED != 0
    }

    /// Notes whether the flow was opened while this host was cut off from its home.
    pub fn set_detached(&mut self, detached: bool) {
        self.flags = self.flags & !DETACHED | if detached { DETACHED } else { 0 };
    }

    /// Notes whether the record is replicated.
    pub fn set_replicated(&mut self, replicated: bool) {
        self.flags = self.flags & !REPLICATED | if replicated { REPLICATED } else { 0 };
    }

    /// Notes a packet of the flow.
    pub fn touch(&mut self, second: u32) {
        self.last_seen = self.last_seen.max(second);
    }

    /// Notes that the flow begins again at the same target.
    pub fn reopen(&mut self, second: u32) {
        self.flags = 0;
        self.last_seen = second;
    }

    /// Notes a FIN of the caller or of the target.
    pub fn mark_fin(&mut self, by_caller: bool) {
        self.flags |= if by_caller { FIN_CALLER } else { FIN_TARGET };
    }

    /// Notes a RST.
    pub fn mark_reset(&mut self) {
        self.flags |= RESET;
    }
}

/// Records of one shard, in an open-addressing table that is at most three quarters full.
#[derive(Debug, Default)]
pub struct Shard {
    slots: Vec<Record>,
    len: usize,
}

impl Shard {
    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the bytes that the slots take.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Record>()
    }

    /// Iterates over the records, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.slots.iter().filter(|record| record.occupied)
    }

    /// Iterates over the records to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Record> {
        self.slots.iter_mut().filter(|record| record.occupied)
    }

    /// Returns the record of a flow.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Record> {
        let index = self.find(key)?;
        Some(&mut self.slots[index])
    }

    /// Adds a record or replaces the flow's earlier one, which is returned.
    pub fn insert(&mut self, record: Record) -> Option<Record> {
        if let Some(index) = self.find(record.key()) {
            return Some(std::mem::replace(&mut self.slots[index], record));
        }
        if (self.len + 1) * 4 > self.slots.len() * 3 {
            self.resize((self.slots.len() * 2).max(MIN_SLOTS));
        }
        self.insert_new(record);
        None
    }

    /// Keeps the records for which `keep` holds, and gives memory back where few are left.
    pub fn retain(&mut self, mut keep: impl FnMut(&Record) -> bool) {
        let before = self.len;
        let kept: Vec<_> = self.iter().copied().filter(|record| keep(record)).collect();
        if kept.len() == before {
            return;
        }
        let mut slots = self.slots.len();
        while slots > MIN_SLOTS && kept.len() * 8 < slots * 3 {
            slots /= 2;
        }
        self.slots = vec![EMPTY_SLOT; slots];
        self.len = 0;
        for record in kept {
            self.insert_new(record);
        }
    }

    fn find(&self, key: FlowKey) -> Option<usize> {
        if self.slots.is_empty() {
            return None;
        }
        let mut index = self.first_slot(key.0);
        loop {
            let slot = &self.slots[index];
            if !slot.occupied {
                return None;
            }
            if slot.key == key.0 {
                return Some(index);
            }
            index = (index + 1) & (self.slots.len() - 1);
        }
    }

    fn first_slot(&self, key: u64) -> usize {
        (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize & (self.slots.len() - 1)
    }

    fn insert_new(&mut self, record: Record) {
        let mut index = self.first_slot(record.key);
        while self.slots[index].occupied {
            index = (index + 1) & (self.slots.len() - 1);
        }
        self.slots[index] = record;
        self.len += 1;
    }

    fn resize(&mut self, slots: usize) {
        let old = std::mem::replace(&mut self.slots, vec![EMPTY_SLOT; slots]);
        self.len = 0;
        for record in old.into_iter().filter(|record| record.occupied) {
            self.insert_new(record);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(n: u64) -> FlowKey {
        FlowKey::new(FlowHash(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    #[test]
    fn a_flow_takes_at_most_48_bytes() {
        let mut shard = Shard::default();
        for n in 0..10_000 {
            shard.insert(Record::new(key(n), 1, 0));
            assert!(n < 16 || shard.bytes() <= 48 * shard.len());
        }
    }

    #[test]
    fn records_stay_found_while_others_go() {
        let mut shard = Shard::default();
        for n in 0..1000 {
            shard.insert(Record::new(key(n), n as u16, 0));
        }
        shard.retain(|record| record.target() % 10 == 0);
        assert_eq!(shard.len(), 100);
        assert!(shard.get_mut(key(40)).is_some_and(|record| record.target() == 40));
        assert!(shard.get_mut(key(41)).is_none());
    }

    #[test]
    fn a_silent_flow_ends_by_its_idle_limit_alone() {
        let idle = Span::seconds(7200);
        let mut record = Record::new(key(1), 0, 100);
        assert!(!record.is_expired(7300, idle));
        assert!(record.is_expired(7301, idle));
        record.mark_fin(true);
        assert!(!record.is_expired(7300, idle), "a half-closed flow goes on");
        record.mark_fin(false);
        assert!(record.is_expired(111, idle));
    }

    #[test]
    fn a_key_is_joined_from_its_bucket_and_rest() {
        let key = key(12345);
        assert_eq!(FlowKey::from_parts(key.bucket(12), 12, key.low_bits(12)), key);
    }
}
