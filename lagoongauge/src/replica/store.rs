//! The durable state of a replica.

use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, Identity};
use super::entry::{Entry, Payload, Position};
use super::snapshot::Snapshot;
use crate::error::{Error, Kind, Result};

/// The current term of a host, and its vote in that term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Current term.
    pub term: u64,
    /// The candidate that received this host's vote.
    pub vote: Option<Identity>,
}

/// A change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Replaces the ballot.
    Ballot(Ballot),
    /// Appends entries, after stored entries from the first new index on are removed.
    Entries(Vec<Entry>),
    /// Advances the commit index.
    Commit(u64),
    /// Replaces the snapshot; entries up to its position may be removed.
    Snapshot(Snapshot),
    /// Removes all entries; the next entry follows this position.
    Reset(Position),
}

/// The durable state as it was last synced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Current term and vote.
    pub ballot: Ballot,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
    /// Index up to which entries are known to be committed.
    pub commit: u64,
    /// Whether the last entries read belong to a log that diverges from the snapshot.
    diverged: bool,
}

impl Recovered {
    /// Builds the initial state of one of the first voters.
    ///
    /// The list has to be the same on all first voters. A host that lost its disk must not be
    /// bootstrapped again: it starts from `Recovered::default()` and joins.
    pub fn bootstrap(voters: Vec<Identity>) -> Self {
        let position = Position { term: 0, index: 1 };
        let payload = Payload::Configuration(Configuration::new(voters));
        Self { entries: vec![Entry { position, payload }], commit: 1, ..Self::default() }
    }

    /// Returns the records that reproduce this state in an empty store.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::Ballot(self.ballot)];
        if let Some(snapshot) = &self.snapshot {
            records.push(Record::Snapshot(snapshot.clone()));
            records.push(Record::Reset(snapshot.position()));
        }
        if !self.entries.is_empty() {
            records.push(Record::Entries(self.entries.clone()));
        }
        records.push(Record::Commit(self.commit));
        records
    }

    /// Returns the position of the last entry, or of the snapshot if there are no entries.
    pub fn last(&self) -> Position {
        let base = self.snapshot.as_ref().map(Snapshot::position).unwrap_or_default();
        self.entries.last().map_or(base, |entry| entry.position)
    }

    /// Returns the position of the snapshot if the log that was read does not lead up to it. Entries that
    /// follow the snapshot can be told from those of the former log only after a [`Record::Reset`].
    pub fn due_reset(&self) -> Option<Position> {
        self.snapshot.as_ref().map(Snapshot::position).filter(|_| self.diverged)
    }

    /// Returns the latest configuration, which may not be committed.
    pub fn configuration(&self) -> Configuration {
        let found = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Configuration(configuration) => Some(configuration),
            _ => None,
        });
        let base = self.snapshot.as_ref().map(Snapshot::configuration);
        found.or(base).cloned().unwrap_or_default()
    }

    /// Returns the committed part of this state, continued under another configuration.
    ///
    /// Only for a group that has permanently lost its quorum: this forks the log, and no other host
    /// of the old group may ever be started again.
    pub fn with_forced_configuration(mut self, configuration: Configuration) -> Self {
        self.entries.retain(|entry| entry.position.index <= self.commit);
        let term = self.last().term.max(self.ballot.term) + 1;
        let position = Position { term, index: self.last().index + 1 };
        let payload = Payload::Configuration(configuration);
        self.entries.push(Entry { position, payload });
        self.commit = position.index;
        self.ballot = Ballot { term, vote: None };
        self
    }

    /// Applies a record; fails with `StorageCorrupt` if it does not follow the previous ones.
    pub fn apply(&mut self, record: Record) -> Result<()> {
        match record {
            Record::Ballot(ballot) => self.ballot = ballot,
            Record::Entries(entries) => self.append(entries)?,
            Record::Commit(index) => self.commit = self.commit.max(index),
            Record::Snapshot(snapshot) => self.replace_snapshot(snapshot),
            Record::Reset(position) => self.reset(position)?,
        }
        Ok(())
    }

    fn append(&mut self, entries: Vec<Entry>) -> Result<()> {
        let base = self.snapshot.as_ref().map(Snapshot::position).unwrap_or_default();
        for entry in entries {
            let index = entry.position.index;
            if index <= base.index {
                self.entries.clear();
                self.diverged = entry.position != base;
                continue;
            }
            if self.diverged {
                continue;
            }
            if index > self.last().index + 1 {
                let last = self.last().index;
                return Err(corrupt(format!("entry {index} does not follow entry {last}")));
            }
            self.entries.truncate((index - base.index - 1) as usize);
            self.entries.push(entry);
        }
        Ok(())
    }

    fn replace_snapshot(&mut self, snapshot: Snapshot) {
        let position = snapshot.position();
        let has_entry = self.entries.iter().any(|entry| entry.position == position);
        if has_entry {
            self.entries.retain(|entry| entry.position.index > position.index);
        } else {
            self.entries.clear();
        }
        self.diverged = false;
        self.commit = self.commit.max(position.index);
        self.snapshot = Some(snapshot);
    }

    fn reset(&mut self, position: Position) -> Result<()> {
        let base = self.snapshot.as_ref().map(Snapshot::position).unwrap_or_default();
        if base < position {
            let (start, end) = (position.index, base.index);
            return Err(corrupt(format!(
                "log starts after entry {start}, but the snapshot ends at {end}"
            )));
        }
        self.entries.clear();
        self.diverged = false;
        Ok(())
    }
}

/// Durable storage of a replica's records.
pub trait Store {
    /// Writes and syncs records in order; after a crash a prefix of them may be stored.
    ///
    /// Fails with `StorageFull` if there is no space; only a prefix of the records may then be
    /// stored.
    fn write(&mut self, records: &[Record]) -> Result<()>;

    /// Reads the state that results from the synced records.
    fn recover(&self) -> Result<Recovered>;

    /// Reopens the store after a failed write; returns whether later writes may succeed.
    ///
    /// Fails if the store can't be read or repaired.
    fn reopen(&mut self) -> Result<bool> {
        Ok(false)
    }
}

/// A store in memory for tests and measurements.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Recovered,
}

impl MemoryStore {
    /// Builds a store that contains a state.
    pub fn new(state: Recovered) -> Self {
        Self { state }
    }
}

impl Store for MemoryStore {
    fn write(&mut self, records: &[Record]) -> Result<()> {
        for record in records {
            self.state.apply(record.clone())?;
        }
        Ok(())
    }

    fn recover(&self) -> Result<Recovered> {
        Ok(self.state.clone())
    }
}

fn corrupt(detail: String) -> Error {
    Error::new(Kind::StorageCorrupt, detail)
}
