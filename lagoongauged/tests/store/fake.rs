//! A volume in memory that can run out of space and lose unsynced data.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

use lagoongauge::id::HostId;
use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{
    Configuration, Entry, Identity, Payload, Position, Record, Recovered, Snapshot,
};
use lagoongauged::store::Volume;

/// Contents of a file, and the part of them that is synced.
#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

/// A volume in memory with injected faults.
#[derive(Debug, Clone)]
pub struct FakeVolume {
    files: Vec<File>,
    /// Indices in `files` by name.
    names: BTreeMap<String, usize>,
    /// Synced state of `names`.
    synced: BTreeMap<String, usize>,
    /// Free bytes; a write that exceeds them is truncated and fails.
    pub room: Rc<Cell<usize>>,
    /// Modifying operations left until the process is killed.
    pub steps_left: usize,
    /// Whether every operation is rejected, as by a disk that is completely full.
    pub rejects: Rc<Cell<bool>>,
}

impl Default for FakeVolume {
    fn default() -> Self {
        let (files, names, synced) = Default::default();
        let room = Rc::new(Cell::new(usize::MAX));
        Self { files, names, synced, room, steps_left: usize::MAX, rejects: Rc::default() }
    }
}

impl FakeVolume {
    /// Returns the volume after a power loss that keeps `share` / 255 of the unsynced data and,
    /// with `keep_names`, the unsynced changes of file names.
    pub fn after_crash(&self, share: u8, keep_names: bool) -> Self {
        let crashed = |file: &File| {
            let (old, new) = (&file.synced, &file.bytes);
            let unchanged = old.iter().zip(new).take_while(|(a, b)| a == b).count();
            let kept_bytes = unchanged + (new.len() - unchanged) * usize::from(share) / 255;
            let mut bytes = new[..kept_bytes].to_vec();
            bytes.extend_from_slice(old.get(kept_bytes..).unwrap_or_default());
            File { synced: bytes.clone(), bytes }
        };
        let kept = if keep_names { &self.names } else { &self.synced };
        Self {
            files: self.files.iter().map(crashed).collect(),
            names: kept.clone(),
            synced: kept.clone(),
            ..Self::default()
        }
    }

    pub fn bytes_mut(&mut self, name: &str) -> &mut Vec<u8> {
        let at = self.names[name];
        &mut self.files[at].bytes
    }

    fn step(&mut self) -> io::Result<()> {
        if self.rejects.get() {
            return Err(ErrorKind::StorageFull.into());
        }
        let killed = || io::Error::from(ErrorKind::Interrupted);
        self.steps_left = self.steps_left.checked_sub(1).ok_or_else(killed)?;
        Ok(())
    }

    fn file(&mut self, name: &str) -> &mut File {
        let next = self.files.len();
        let at = *self.names.entry(name.into()).or_insert(next);
        if at == next {
            self.files.push(File::default());
        }
        &mut self.files[at]
    }
}

impl Volume for FakeVolume {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let at = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(self.files[*at].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let accepted = bytes.len().min(self.room.get());
        self.room.set(self.room.get() - accepted);
        self.file(name).bytes.extend_from_slice(&bytes[..accepted]);
        if accepted < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn overwrite(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let offset = offset as usize;
        self.file(name).bytes[offset..offset + bytes.len()].copy_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        let file = self.file(name);
        let freed = file.bytes.len() - length as usize;
        file.bytes.truncate(length as usize);
        self.room.set(self.room.get().saturating_add(freed));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let at = self.names.remove(from).ok_or(ErrorKind::NotFound)?;
        self.names.insert(to.into(), at);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let at = self.names.remove(name).ok_or(ErrorKind::NotFound)?;
        self.room.set(self.room.get().saturating_add(self.files[at].bytes.len()));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file(name);
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced = self.names.clone();
        Ok(())
    }
}

pub fn identity() -> Identity {
    Identity { host: HostId(1), incarnation: 7 }
}

pub fn initial() -> Recovered {
    Recovered::bootstrap(vec![identity()])
}

pub fn command(term: u64, index: u64) -> Entry {
    let position = Position { term, index };
    Entry { position, payload: Payload::Command(format!("change {index} of {term}").into()) }
}

/// Returns the records of the change at `index`. Some include a ballot, a snapshot or a commit;
/// others hold a snapshot received from another host instead of an entry.
pub fn change_records(index: u64) -> Vec<Record> {
    let term = 1 + index / 100;
    let mut records = Vec::new();
    if index % 301 == 290 {
        let snapshot = snapshot(term, index);
        let position = snapshot.position();
        return vec![Record::Snapshot(snapshot), Record::Reset(position)];
    }
    if index.is_multiple_of(100) {
        records.push(Record::Ballot(Ballot { term, vote: Some(identity()) }));
    }
    records.push(Record::Entries(vec![command(term, index)]));
    if index.is_multiple_of(7) {
        records.push(Record::Commit(index));
    }
    if index.is_multiple_of(301) {
        records.push(Record::Snapshot(snapshot(term, index)));
    }
    records
}

pub fn snapshot(term: u64, index: u64) -> Snapshot {
    let position = Position { term, index };
    let configuration = Configuration::new(vec![identity()]);
    let state = format!("state at {index}").into_bytes();
    Snapshot::new(position, configuration, &state)
}
