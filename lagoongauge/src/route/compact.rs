//! Compact form of records and handed-over buckets, by serde visitors.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::message::Transfer;
use super::record::{FlowKey, Record};

/// Bits of a record's flags.
const FLAG_BITS: u32 = 3;

/// A record without its bucket, as seen some seconds before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CompactRecord {
    low_bits: u64,
    target: u16,
    flags: u8,
    age: u32,
}

impl CompactRecord {
    /// Takes the parts of a record that follow its bucket.
    pub fn new(record: &Record, bits: u8, second: u32) -> Self {
        Self {
            low_bits: record.key().low_bits(bits),
            target: record.target(),
            flags: record.closing_flags(),
            age: second.saturating_sub(record.last_seen()),
        }
    }

    /// Builds the record again.
    pub fn into_record(self, bucket: u32, bits: u8, second: u32) -> Record {
        let key = FlowKey::from_parts(bucket, bits, self.low_bits);
        Record::new(key, self.target, second.saturating_sub(self.age))
            .with_closing_flags(self.flags)
    }
}

impl Serialize for CompactRecord {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let packed = u32::from(self.target) << FLAG_BITS | u32::from(self.flags);
        let mut tuple = to.serialize_tuple(4)?;
        tuple.serialize_element(&((self.low_bits >> 32) as u32))?;
        tuple.serialize_element(&(self.low_bits as u32).to_le_bytes())?;
        tuple.serialize_element(&packed)?;
        tuple.serialize_element(&self.age)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for CompactRecord {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_tuple(4, CompactVisitor)
    }
}

struct CompactVisitor;

impl<'de> Visitor<'de> for CompactVisitor {
    type Value = CompactRecord;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a record's rest of the hash, target with flags, and age")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let high: u32 = next(&mut seq)?;
        let low: [u8; 4] = next(&mut seq)?;
        let packed: u32 = next(&mut seq)?;
        let age = next(&mut seq)?;
        let target = u16::try_from(packed >> FLAG_BITS).map_err(A::Error::custom)?;
        let flags = (packed & ((1 << FLAG_BITS) - 1)) as u8;
        let low_bits = u64::from(high) << 32 | u64::from(u32::from_le_bytes(low));
        Ok(CompactRecord { low_bits, target, flags, age })
    }
}

/// Handed-over buckets of the same knowledge: some without records, then at most one with records.
///
/// Most buckets of a home have no flow, so a bucket without records takes little more than the byte
/// of its distance from the one before.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct CompactTransfers {
    /// One more than the span, so that "unknown" takes one byte.
    complete_in: u32,
    retry_for: u32,
    /// Distances of the buckets without records.
    empty: Vec<u32>,
    nonempty: Option<CompactBucket>,
}

/// A handed-over bucket, or piece of one, with its records.
#[derive(Debug, Serialize, Deserialize)]
struct CompactBucket {
    distance: u32,
    last: bool,
    records: Vec<CompactRecord>,
}

impl CompactTransfers {
    /// Writes buckets in rising order.
    pub fn encode(transfers: &[Transfer], bits: u8, second: u32) -> Vec<Self> {
        let mut list: Vec<Self> = Vec::new();
        let mut before = 0;
        for transfer in transfers {
            let distance = transfer.bucket.wrapping_sub(before);
            before = transfer.bucket;
            let complete_in = transfer.timers.0.wrapping_add(1);
            let retry_for = transfer.timers.1;
            let same_timers =
                |run: &Self| (run.complete_in, run.retry_for) == (complete_in, retry_for);
            if !list.last().is_some_and(|run| same_timers(run) && run.nonempty.is_none()) {
                list.push(Self { complete_in, retry_for, ..Self::default() });
            }
            let Some(run) = list.last_mut() else { continue };
            if transfer.records.is_empty() && transfer.last {
                run.empty.push(distance);
                continue;
            }
            let records =
                transfer.records.iter().map(|record| CompactRecord::new(record, bits, second));
            run.nonempty =
                Some(CompactBucket { distance, last: transfer.last, records: records.collect() });
        }
        list
    }

    /// Reads the buckets again.
    pub fn decode(list: Vec<Self>, bits: u8, second: u32) -> Option<Vec<Transfer>> {
        let mut bucket = 0u32;
        let mut next = |distance: u32| {
            bucket = bucket.checked_add(distance).filter(|&b| b < 1 << bits)?;
            Some(bucket)
        };
        let mut transfers = Vec::new();
        for run in list {
            let timers = (run.complete_in.wrapping_sub(1), run.retry_for);
            for distance in run.empty {
                let bucket = next(distance)?;
                transfers.push(Transfer { bucket, timers, last: true, records: Vec::new() });
            }
            let Some(nonempty) = run.nonempty else { continue };
            let bucket = next(nonempty.distance)?;
            let records = nonempty.records.into_iter();
            let records = records.map(|record| record.into_record(bucket, bits, second)).collect();
            transfers.push(Transfer { bucket, timers, last: nonempty.last, records });
        }
        Some(transfers)
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::custom("a record is cut short"))
}
