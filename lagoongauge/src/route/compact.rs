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
pub(super) struct Compact {
    rest: u64,
    target: u16,
    flags: u8,
    age: u32,
}

impl Compact {
    /// Takes the parts of a record that follow its bucket.
    pub fn new(record: &Record, bits: u8, second: u32) -> Self {
        Self {
            rest: record.key().rest(bits),
            target: record.target(),
            flags: record.flags(),
            age: second.saturating_sub(record.seen()),
        }
    }

    /// Builds the record again.
    pub fn record(self, bucket: u32, bits: u8, second: u32) -> Record {
        let key = FlowKey::join(bucket, bits, self.rest);
        Record::new(key, self.target, second.saturating_sub(self.age)).with_flags(self.flags)
    }
}

impl Serialize for Compact {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let packed = u32::from(self.target) << FLAG_BITS | u32::from(self.flags);
        let mut tuple = to.serialize_tuple(4)?;
        tuple.serialize_element(&((self.rest >> 32) as u32))?;
        tuple.serialize_element(&(self.rest as u32).to_le_bytes())?;
        tuple.serialize_element(&packed)?;
        tuple.serialize_element(&self.age)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Compact {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_tuple(4, CompactVisitor)
    }
}

struct CompactVisitor;

impl<'de> Visitor<'de> for CompactVisitor {
    type Value = Compact;

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
        let rest = u64::from(high) << 32 | u64::from(u32::from_le_bytes(low));
        Ok(Compact { rest, target, flags, age })
    }
}

/// Handed-over buckets of the same knowledge: some without records, then at most one with records.
///
/// Most buckets of a home have no flow, so a bucket without records takes little more than the byte
/// of its distance from the one before.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct CompactGift {
    /// One more than the span, so that "unknown" takes one byte.
    known: u32,
    careful: u32,
    /// Distances of the buckets without records.
    empty: Vec<u32>,
    full: Option<CompactFull>,
}

/// A handed-over bucket, or piece of one, with its records.
#[derive(Debug, Serialize, Deserialize)]
struct CompactFull {
    distance: u32,
    last: bool,
    records: Vec<Compact>,
}

impl CompactGift {
    /// Writes buckets in rising order.
    pub fn list(gifts: &[Transfer], bits: u8, second: u32) -> Vec<Self> {
        let mut list: Vec<Self> = Vec::new();
        let mut before = 0;
        for gift in gifts {
            let distance = gift.bucket.wrapping_sub(before);
            before = gift.bucket;
            let known = gift.knowledge.0.wrapping_add(1);
            let careful = gift.knowledge.1;
            let same = |run: &Self| (run.known, run.careful) == (known, careful);
            if !list.last().is_some_and(|run| same(run) && run.full.is_none()) {
                list.push(Self { known, careful, ..Self::default() });
            }
            let Some(run) = list.last_mut() else { continue };
            if gift.records.is_empty() && gift.last {
                run.empty.push(distance);
                continue;
            }
            let records = gift.records.iter().map(|record| Compact::new(record, bits, second));
            run.full = Some(CompactFull { distance, last: gift.last, records: records.collect() });
        }
        list
    }

    /// Reads the buckets again.
    pub fn gifts(list: Vec<Self>, bits: u8, second: u32) -> Option<Vec<Transfer>> {
        let mut bucket = 0u32;
        let mut next = |distance: u32| {
            bucket = bucket.checked_add(distance).filter(|&b| b < 1 << bits)?;
            Some(bucket)
        };
        let mut gifts = Vec::new();
        for run in list {
            let knowledge = (run.known.wrapping_sub(1), run.careful);
            for distance in run.empty {
                let bucket = next(distance)?;
                gifts.push(Transfer { bucket, knowledge, last: true, records: Vec::new() });
            }
            let Some(full) = run.full else { continue };
            let bucket = next(full.distance)?;
            let records = full.records.into_iter();
            let records = records.map(|record| record.record(bucket, bits, second)).collect();
            gifts.push(Transfer { bucket, knowledge, last: full.last, records });
        }
        Some(gifts)
    }
}

fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| A::Error::custom("a record is cut short"))
}
