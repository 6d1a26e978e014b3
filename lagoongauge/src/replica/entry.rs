//! Entries of the log.

use serde::{Deserialize, Serialize};

use super::configuration::Configuration;

/// Place of an entry; of two logs, the one whose last position is greater is the later one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that made the entry.
    pub term: u64,
    /// Index in the log, from 1.
    pub index: u64,
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits it to learn what is committed.
    Noop,
    /// A command for the machine.
    Command(Vec<u8>),
    /// The configuration from this entry on.
    Configuration(Configuration),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log.
    pub position: Position,
    /// What the entry says.
    pub payload: Payload,
}

impl Entry {
    /// Returns about how many bytes the entry takes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Noop => 16,
            Payload::Command(bytes) => 16 + bytes.len(),
            Payload::Configuration(configuration) => 16 + 16 * configuration.members().count(),
        }
    }
}
