//! Compact serialization of lists in which most values are `NO_TARGET`.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserializer, Serializer};

use super::plan::MAX_BITS;
use super::table::NO_TARGET;

/// Serializes the list's length, then (distance, value) of each value that is not `NO_TARGET`.
///
/// # Errors
///
/// Returns the serializer's errors.
pub fn serialize<S: Serializer>(list: &[u16], to: S) -> Result<S::Ok, S::Error> {
    let present = list.iter().filter(|&&value| value != NO_TARGET).count();
    let mut seq = to.serialize_seq(Some(present + 1))?;
    seq.serialize_element(&(list.len() as u32, 0u16))?;
    let mut last = 0;
    for (index, &value) in list.iter().enumerate() {
        if value != NO_TARGET {
            seq.serialize_element(&((index - last) as u32, value))?;
            last = index;
        }
    }
    seq.end()
}

/// Deserializes what [`serialize`] wrote.
///
/// # Errors
///
/// Fails if the list is longer than the maximum number of buckets, or a value lies beyond its end.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u16>, D::Error> {
    from.deserialize_seq(SparseVisitor)
}

struct SparseVisitor;

impl<'de> Visitor<'de> for SparseVisitor {
    type Value = Vec<u16>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a length, then the distances and values of a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let head: Option<(u32, u16)> = seq.next_element()?;
        let length = head.map_or(0, |head| head.0 as usize);
        if length > 1 << MAX_BITS {
            return Err(serde::de::Error::custom(
                "list is longer than the maximum number of buckets",
            ));
        }
        let mut list = vec![NO_TARGET; length];
        let mut index = 0;
        while let Some((distance, value)) = seq.next_element::<(u32, u16)>()? {
            index += distance as usize;
            let Some(slot) = list.get_mut(index) else {
                return Err(serde::de::Error::custom("value lies beyond the end of the list"));
            };
            *slot = value;
        }
        Ok(list)
    }
}
