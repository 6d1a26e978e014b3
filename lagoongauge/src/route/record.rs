//! Records of open flows at their home.

use crate::flow::FlowHash;
use crate::time::Span;

/// Number of bits of a flow's hash in its record; two open flows of a service collide with a
/// probability of about 2^-48.
pub const KEY_BITS: u32 = 48;

/// Time for which the record of a closed flow is kept, for its last packets and repeated SYNs.
pub const CLOSED_TIMEOUT: Span = Span::seconds(10);

/// Minimum number of slots of a nonempty shard.
const MIN_SLOTS: usize = 8;

/// The caller has sent its FIN.
const FIN_CALLER: u8 = 1;
/// The target has sent its FIN.
const FIN_TARGET: u8 = 2;
/// A RST has been seen.
const RESET: u8 = 4;
/// The flags of the flow's closing state.
const CLOSING_FLAGS: u8 = 7;
/// The flow belongs to another home's bucket and was served here while this host was isolated.
const DETACHED: u8 = 16;
/// The record has been sent to the backup.
const REPLICATED: u8 = 8;

/// The part of a flow's hash that identifies its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey(u64);

impl FlowKey {
    /// Takes the high bits of a hash.
    pub const fn new(flow: FlowHash) -> Self {
        Self(flow.0 >> (64 - KEY_BITS))
    }

    /// Builds a key from a bucket and the bits below it.
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

/// Record of one flow, kept to 16 bytes as a home has several hundred thousand.
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

    /// Returns the flags of the flow's closing state.
    pub const fn closing_flags(&self) -> u8 {
        self.flags & CLOSING_FLAGS
    }

    /// Returns whether the record has not been sent to the backup.
    pub const fn needs_replication(&self) -> bool {
        self.flags & REPLICATED == 0
    }

    /// Returns whether both ends have sent a FIN, or one has reset the flow.
    pub const fn is_closed(&self) -> bool {
        self.flags & RESET != 0 || self.flags & (FIN_CALLER | FIN_TARGET) == 3
    }

    /// Returns whether the record has expired at `second`.
    pub fn is_expired(&self, second: u32, idle_limit: Span) -> bool {
        let timeout = if self.is_closed() { CLOSED_TIMEOUT } else { idle_limit };
        u64::from(second.saturating_sub(self.last_seen)) * 1000 > timeout.0
    }

    /// Returns the record with the given closing flags.
    pub const fn with_closing_flags(mut self, flags: u8) -> Self {
        self.flags = flags & CLOSING_FLAGS;
        self
    }

    /// Returns the record with another time of its last packet.
    pub const fn with_last_seen(mut self, second: u32) -> Self {
        self.last_seen = second;
        self
    }

    /// Returns the record converted from one host's clock to another's, with the same age.
    pub const fn rebased(self, from: u32, to: u32) -> Self {
        let age = from.saturating_sub(self.last_seen);
        self.with_last_seen(to.saturating_sub(age))
    }

    /// Returns whether the record is detached: kept by an isolated host for another home's bucket.
    pub const fn is_detached(&self) -> bool {
        self.flags & DETACHED != 0
    }

    /// Sets whether the record is detached.
    pub fn set_detached(&mut self, detached: bool) {
        self.flags = self.flags & !DETACHED | if detached { DETACHED } else { 0 };
    }

    /// Sets whether the record has been sent to the backup.
    pub fn set_replicated(&mut self, replicated: bool) {
        self.flags = self.flags & !REPLICATED | if replicated { REPLICATED } else { 0 };
    }

    /// Updates the time of the flow's last packet.
    pub fn touch(&mut self, second: u32) {
        self.last_seen = self.last_seen.max(second);
    }

    /// Resets the record for a new flow to the same target.
    pub fn reopen(&mut self, second: u32) {
        self.flags = 0;
        self.last_seen = second;
    }

    /// Marks a FIN from the caller or the target.
    pub fn mark_fin(&mut self, by_caller: bool) {
        self.flags |= if by_caller { FIN_CALLER } else { FIN_TARGET };
    }

    /// Marks a RST.
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

    /// Returns the memory that the slots take, in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Record>()
    }

    /// Iterates over the records in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.slots.iter().filter(|record| record.occupied)
    }

    /// Iterates mutably over the records in arbitrary order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Record> {
        self.slots.iter_mut().filter(|record| record.occupied)
    }

    /// Returns the record of a flow.
    pub fn get_mut(&mut self, key: FlowKey) -> Option<&mut Record> {
        let index = self.find(key)?;
        Some(&mut self.slots[index])
    }

    /// Inserts a record; returns the flow's former record if it had one.
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

    /// Removes the records for which `keep` returns false, and shrinks the table if few are left.
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
        let former = std::mem::replace(&mut self.slots, vec![EMPTY_SLOT; slots]);
        self.len = 0;
        for record in former.into_iter().filter(|record| record.occupied) {
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
    fn remaining_records_are_found_after_others_are_removed() {
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
    fn an_idle_flow_expires_only_after_its_idle_limit() {
        let idle = Span::seconds(7200);
        let mut record = Record::new(key(1), 0, 100);
        assert!(!record.is_expired(7300, idle));
        assert!(record.is_expired(7301, idle));
        record.mark_fin(true);
        assert!(!record.is_expired(7300, idle), "a half-closed flow does not expire early");
        record.mark_fin(false);
        assert!(record.is_expired(111, idle));
    }

    #[test]
    fn a_key_is_rebuilt_from_its_bucket_and_low_bits() {
        let key = key(12345);
        assert_eq!(FlowKey::from_parts(key.bucket(12), 12, key.low_bits(12)), key);
    }
}
