//! The roster as a control host stores it for its next process.

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::error::{Error, Kind, Result};
use crate::id::TargetId;

/// Targets that a control host knew.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRoster {
    /// Latest announcements.
    pub entries: Vec<Entry>,
    /// Targets that were silent.
    pub silent: Vec<TargetId>,
}

impl StoredRoster {
    /// Encodes the roster; fails with `Internal` if that is not possible.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
            .map_err(|error| Error::new(Kind::Internal, format!("roster: {error}")))
    }

    /// Decodes a roster; earlier versions stored no silent targets. Fails with `StorageCorrupt`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let corrupt = |error| Error::new(Kind::StorageCorrupt, format!("stored roster: {error}"));
        let (entries, rest) = postcard::take_from_bytes(bytes).map_err(corrupt)?;
        let silent = match rest {
            [] => Vec::new(),
            rest => postcard::from_bytes(rest).map_err(corrupt)?,
        };
        Ok(Self { entries, silent })
    }
}
