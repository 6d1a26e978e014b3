//! Messages of a host that may speak a later version.

use std::io::{Error, ErrorKind, Result};

use serde::de::DeserializeOwned;

/// Kind of messages to which later versions may add variants.
///
/// A variant, once sent, never changes: what would change it becomes another variant.
pub trait Extensible: DeserializeOwned {
    /// Number of variants that this version knows.
    const VARIANTS: u32;
}

/// A received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming<T> {
    /// A message that this version knows.
    Known(T),
    /// Number of a variant that only later versions know; the message is skipped.
    Unknown(u32),
}

impl<T: Extensible> Incoming<T> {
    /// Decodes a message; fails with `InvalidData` if a known variant can't be decoded.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (variant, _) = postcard::take_from_bytes::<u32>(bytes).map_err(invalid)?;
        if variant >= T::VARIANTS {
            return Ok(Self::Unknown(variant));
        }
        postcard::from_bytes(bytes).map(Self::Known).map_err(invalid)
    }
}

fn invalid(error: postcard::Error) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
