//! Snapshots, which replace all entries up to a position.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;
use super::entry::Position;
use crate::error::{Error, Kind, Result};

/// The state after an entry, encoded as it is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    position: Position,
    configuration: Configuration,
    bytes: Arc<Vec<u8>>,
    state_start: usize,
    checksum: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct Header {
    position: Position,
    configuration: Configuration,
}

impl Snapshot {
    /// Builds a snapshot of an encoded state.
    pub fn new(position: Position, configuration: Configuration, state: &[u8]) -> Self {
        let header = Header { position, configuration };
        let mut bytes = postcard::to_stdvec(&header).expect("a header always serializes");
        let state_start = bytes.len();
        bytes.extend_from_slice(state);
        Self::from_parts(header, bytes, state_start)
    }

    fn from_parts(header: Header, bytes: Vec<u8>, state_start: usize) -> Self {
        let Header { position, configuration } = header;
        let checksum = crc32fast::hash(&bytes);
        Self { position, configuration, bytes: Arc::new(bytes), state_start, checksum }
    }

    /// Returns the position of the last entry that the snapshot includes.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the configuration at that position.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the encoded state of the state machine; empty before the first entry.
    pub fn state(&self) -> &[u8] {
        &self.bytes[self.state_start..]
    }

    /// Returns the CRC-32 of the whole snapshot.
    pub fn checksum(&self) -> u32 {
        self.checksum
    }

    /// Returns the encoded snapshot.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl TryFrom<Vec<u8>> for Snapshot {
    type Error = Error;

    fn try_from(bytes: Vec<u8>) -> Result<Self> {
        let (header, rest) = postcard::take_from_bytes::<Header>(&bytes).map_err(|error| {
            Error::new(Kind::Malformed, format!("failed to decode snapshot header: {error}"))
        })?;
        let state_start = bytes.len() - rest.len();
        Ok(Self::from_parts(header, bytes, state_start))
    }
}
