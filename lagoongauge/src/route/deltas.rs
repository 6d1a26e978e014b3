//! Compact serialization of ascending lists of numbers as the differences between them.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserializer, Serializer};

/// Serializes the differences.
///
/// # Errors
///
/// Returns the serializer's errors.
pub fn serialize<S: Serializer>(list: &[u32], to: S) -> Result<S::Ok, S::Error> {
    let mut seq = to.serialize_seq(Some(list.len()))?;
    let mut last = 0;
    for &value in list {
        seq.serialize_element(&value.wrapping_sub(last))?;
        last = value;
    }
    seq.end()
}

/// Deserializes what [`serialize`] wrote.
///
/// # Errors
///
/// Fails if a number would exceed 32 bits.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u32>, D::Error> {
    from.deserialize_seq(DeltasVisitor)
}

struct DeltasVisitor;

impl<'de> Visitor<'de> for DeltasVisitor {
    type Value = Vec<u32>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("differences between ascending numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut list = Vec::new();
        let mut last = 0u32;
        while let Some(distance) = seq.next_element::<u32>()? {
            let Some(value) = last.checked_add(distance) else {
                return Err(serde::de::Error::custom("number exceeds 32 bits"));
            };
            list.push(value);
            last = value;
        }
        Ok(list)
    }
}
