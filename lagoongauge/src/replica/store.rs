//! What of a replica outlives its process.

use serde::{Deserialize, Serialize};

use super::configuration::{Configuration, Identity};
use super::entry::{Entry, Payload, Position};
use super::snapshot::Snapshot;
use crate::error::{Error, Kind, Result};

/// The term that a host is in, and whom it voted for there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Current term.
    pub term: u64,
    /// The candidate that got this host's vote in the term.
    pub vote: Option<Identity>,
}

/// One change of the durable state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Replaces the ballot.
    Ballot(Ballot),
    /// Adds entries; those stored from the first one's index on are dropped before.
    Entries(Vec<Entry>),
    /// Notes up to which index entries are committed.
    Commit(u64),
    /// Replaces the snapshot; entries up to its position may be dropped.
    Snapshot(Snapshot),
    /// Drops all entries; the next one follows this position.
    Reset(Position),
}

/// The durable state as it was last synced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Term and vote.
    pub ballot: Ballot,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries behind the snapshot, without a gap.
    pub entries: Vec<Entry>,
    /// Index up to which entries are known to be committed.
    pub commit: u64,
    /// Whether the entries read last belong to another branch than the snapshot.
    diverged: bool,
}

impl Recovered {
    /// Builds the state of a host that is among the first voters.
    ///
    /// All first voters have to be given the same list. It must never be used again for a host
    /// whose disk was lost: that one starts from `Recovered::default()` and joins.
    pub fn bootstrap(voters: Vec<Identity>) -> Self {
        let position = Position { term: 0, index: 1 };
        let payload = Payload::Configuration(Configuration::new(voters));
        Self { entries: vec![Entry { position, payload }], commit: 1, ..Self::default() }
    }

    /// Returns the records that bring an empty store into this state.
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

    /// Returns the position of the last entry or of the snapshot.
    pub fn last(&self) -> Position {
        let base = self.snapshot.as_ref().map(Snapshot::position).unwrap_or_default();
        self.entries.last().map_or(base, |entry| entry.position)
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

    /// Returns the committed part of this state under another configuration.
    ///
    /// Only for a log whose quorum is lost for good: it goes on as another one, and no host of the
    /// former one may ever be started again.
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

    /// Takes a record in, or fails with `StorageCorrupt` if it does not follow the ones before.
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
                return Err(corrupt(format!("entry {index} follows entry {last}")));
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
            return Err(corrupt(format!("log starts behind {start}, snapshot ends at {end}")));
        }
        self.entries.clear();
        self.diverged = false;
        Ok(())
    }
}

/// Where a replica's records are kept.
pub trait Store {
    /// Writes and syncs records in their order; after a crash some first ones of them are found.
    ///
    /// Fails with `StorageFull` if there is no room; some first ones may then be stored, and no
    /// later one is.
    fn write(&mut self, records: &[Record]) -> Result<()>;

    /// Reads the state that the synced records add up to.
    fn recover(&self) -> Result<Recovered>;

    /// Opens the store anew after a write failed; returns whether later writes may succeed again.
    ///
    /// Fails if the store can't be read or mended now.
    fn reopen(&mut self) -> Result<bool> {
        Ok(false)
    }
}

/// A store in memory, for tests and for trials.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Recovered,
}

impl MemoryStore {
    /// Builds a store that holds a state.
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
