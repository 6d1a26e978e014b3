//! Compact serialization of records and transferred buckets.

use std::fmt;

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::message::Transfer;
use super::record::{FlowKey, Record};

/// Number of bits of a record's closing flags.
const FLAG_BITS: u32 = 3;

/// A record without its bucket, with its age in seconds in place of a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CompactRecord {
    low_bits: u64,
    target: u16,
    flags: u8,
    age: u32,
}

impl CompactRecord {
    /// Builds the compact form of a record at `second`.
    pub fn new(record: &Record, bits: u8, second: u32) -> Self {
        Self {
            low_bits: record.key().low_bits(bits),
            target: record.target(),
            flags: record.closing_flags(),
            age: second.saturating_sub(record.last_seen()),
        }
    }

    /// Restores the record.
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
        // The low half is uniformly distributed: four raw bytes are shorter than a varint.
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
        f.write_str("a record as low hash bits, target with flags, and age")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let high: u32 = next_element(&mut seq)?;
        let low: [u8; 4] = next_element(&mut seq)?;
        let packed: u32 = next_element(&mut seq)?;
        let age = next_element(&mut seq)?;
        let target = u16::try_from(packed >> FLAG_BITS).map_err(A::Error::custom)?;
        let flags = (packed & ((1 << FLAG_BITS) - 1)) as u8;
        let low_bits = u64::from(high) << 32 | u64::from(u32::from_le_bytes(low));
        Ok(CompactRecord { low_bits, target, flags, age })
    }
}

/// Transferred buckets with equal timers: some without records, then at most one with records.
///
/// Most buckets of a home have no flow, so a bucket without records takes little more than one byte
/// for its distance from the previous bucket.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct CompactTransfers {
    /// One more than the seconds until the records are complete, so that `INCOMPLETE` wraps to 0
    /// and takes one byte.
    complete_in: u32,
    /// Seconds until an unrecorded SYN can't be a retransmission, see [`Transfer::timers`].
    retry_for: u32,
    /// Distances of the buckets without records.
    empty: Vec<u32>,
    nonempty: Option<CompactBucket>,
}

/// A transferred bucket, or a piece of one, with its records.
#[derive(Debug, Serialize, Deserialize)]
struct CompactBucket {
    distance: u32,
    last: bool,
    records: Vec<CompactRecord>,
}

impl CompactTransfers {
    /// Encodes transfers, which are in ascending order of buckets.
    pub fn encode(transfers: &[Transfer], bits: u8, second: u32) -> Vec<Self> {
        let mut list: Vec<Self> = Vec::new();
        let mut previous = 0;
        for transfer in transfers {
            let distance = transfer.bucket.wrapping_sub(previous);
            previous = transfer.bucket;
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

    /// Decodes the transfers, or returns `None` if a bucket is out of range.
    pub fn decode(list: Vec<Self>, bits: u8, second: u32) -> Option<Vec<Transfer>> {
        let mut bucket = 0u32;
        let mut next_bucket = |distance: u32| {
            bucket = bucket.checked_add(distance).filter(|&b| b < 1 << bits)?;
            Some(bucket)
        };
        let mut transfers = Vec::new();
        for run in list {
            let timers = (run.complete_in.wrapping_sub(1), run.retry_for);
            for distance in run.empty {
                let bucket = next_bucket(distance)?;
                transfers.push(Transfer { bucket, timers, last: true, records: Vec::new() });
            }
            let Some(nonempty) = run.nonempty else { continue };
            let bucket = next_bucket(nonempty.distance)?;
            let records = nonempty.records.into_iter();
            let records = records.map(|record| record.into_record(bucket, bits, second)).collect();
            transfers.push(Transfer { bucket, timers, last: nonempty.last, records });
        }
        Some(transfers)
    }
}

fn next_element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::custom("record truncated"))
}
