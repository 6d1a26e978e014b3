//! The roster as a control host stores it for its next process.

use serde::de::DeserializeOwned;

use super::Entry;
use crate::error::{Error, Kind, Result};
use crate::id::{HostId, TargetId};

/// Targets and entry hosts that a control host knew.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRoster {
    /// Latest announcements.
    pub entries: Vec<Entry>,
    /// Targets that were silent.
    pub silent: Vec<TargetId>,
    /// Entry hosts that were fed.
    pub entry_hosts: Vec<HostId>,
}

impl StoredRoster {
    /// Encodes the roster; fails with `Internal` if that is not possible.
    ///
    /// Earlier versions ignore the entry hosts at the end, which are left out if there are none.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let Self { entries, silent, entry_hosts } = self;
        let encoded = match entry_hosts.is_empty() {
            true => postcard::to_stdvec(&(entries, silent)),
            false => postcard::to_stdvec(&(entries, silent, entry_hosts)),
        };
        encoded.map_err(|error| Error::new(Kind::Internal, format!("roster: {error}")))
    }

    /// Decodes a roster; earlier versions stored no silent targets or no entry hosts. Fails with
    /// `StorageCorrupt`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (entries, rest) = postcard::take_from_bytes(bytes).map_err(corrupt)?;
        let (silent, rest) = take_list(rest)?;
        let (entry_hosts, _) = take_list(rest)?;
        Ok(Self { entries, silent, entry_hosts })
    }
}

/// Decodes a list that earlier versions left out at the end, and returns the bytes that follow it.
fn take_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, &[u8])> {
    match bytes {
        [] => Ok((Vec::new(), bytes)),
        bytes => postcard::take_from_bytes(bytes).map_err(corrupt),
    }
}

fn corrupt(error: postcard::Error) -> Error {
    Error::new(Kind::StorageCorrupt, format!("stored roster: {error}"))
}
