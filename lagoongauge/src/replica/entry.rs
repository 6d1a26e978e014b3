//! Entries of the log.

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;

/// Term and index of an entry; of two logs, the one with the greater last position is more up to
/// date.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Index in the log, starting at 1.
    pub index: u64,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation; a new leader commits one to learn the commit index.
    Noop,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The configuration that applies from this entry on.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index.
    pub position: Position,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate size of the entry in bytes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Noop => 16,
            Payload::Command(bytes) => 16 + bytes.len(),
            Payload::Configuration(configuration) => 16 + 16 * configuration.replicas().count(),
        }
    }
}
