//! The store that keeps a replica's records in a data folder.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{Identity, Record, Recovered, Snapshot, Store};

use super::scan::{FolderReport, SNAPSHOT, Scan};
use super::segment::{self, Line};
use super::volume::{Volume, broken};
use super::{ballot, frame};

/// Name under which a snapshot is written before it replaces the last one.
const FRESH: &str = "snapshot.new";

/// Bytes after which a new segment is begun.
const SEGMENT: u64 = 1 << 20;

/// A segment that may be dropped once a snapshot covers it.
#[derive(Debug)]
struct Covered {
    number: u64,
    highest: u64,
}

/// A data folder that is in use.
#[derive(Debug)]
pub struct FileStore<V> {
    volume: V,
    identity: Identity,
    segments: Vec<Covered>,
    length: u64,
    limit: u64,
    snapshot: u64,
    poisoned: bool,
}

/// One batch, sorted by the file that it goes to.
#[derive(Debug, Default)]
struct Batch<'a> {
    ballot: Option<Ballot>,
    snapshot: Option<&'a Snapshot>,
    lines: Vec<Line>,
}

impl<V: Volume> FileStore<V> {
    /// Opens a data folder, cuts a torn tail and mends what a crash left half done.
    ///
    /// Fails with `StorageCorrupt` on any other damage, and then changes nothing.
    pub fn open(volume: V) -> Result<Self> {
        Self::with_segment_bytes(volume, SEGMENT)
    }

    /// Opens a data folder whose segments are ended after so many bytes.
    pub fn with_segment_bytes(mut volume: V, limit: u64) -> Result<Self> {
        let mut scan = Scan::read(&volume)?;
        mend(&mut volume, &mut scan)?;
        let mut store = Self {
            volume,
            identity: scan.identity,
            segments: Vec::new(),
            length: 0,
            limit,
            snapshot: 0,
            poisoned: false,
        };
        store.adopt(&scan);
        Ok(store)
    }

    /// Takes over what was found in the folder.
    fn adopt(&mut self, scan: &Scan) {
        let covered = |it: &segment::Segment| Covered { number: it.number, highest: it.highest() };
        self.segments = scan.segments.iter().map(covered).collect();
        self.length = scan.segments.last().map_or(0, |segment| segment.length);
        self.snapshot = scan.recovered.snapshot.as_ref().map_or(0, |it| it.position().index);
        self.poisoned = false;
    }

    /// Returns whose folder it is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns what operators see of the folder.
    pub fn report(&self) -> Result<FolderReport> {
        Ok(Scan::read(&self.volume)?.report())
    }

    /// Ends the use of the folder.
    pub fn into_volume(self) -> V {
        self.volume
    }

    fn write_batch(&mut self, batch: &Batch<'_>) -> Result<()> {
        if let Some(ballot) = batch.ballot {
            ballot::write(&mut self.volume, ballot).inspect_err(|_| self.poisoned = true)?;
        }
        if let Some(snapshot) = batch.snapshot {
            self.write_snapshot(snapshot)?;
        }
        if !batch.lines.is_empty() {
            self.write_lines(&batch.lines)?;
        }
        if batch.snapshot.is_some() {
            self.drop_covered()?;
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let bytes = frame::encode(snapshot.bytes())?;
        let fresh = self.write_fresh(&bytes);
        if let Err(error) = fresh {
            let _ = self.volume.remove(FRESH);
            return Err(broken("snapshot can't be written", &error));
        }
        self.volume
            .rename(FRESH, SNAPSHOT)
            .and_then(|()| self.volume.sync_folder())
            .map_err(|error| self.poison("snapshot can't be replaced", &error))?;
        self.snapshot = snapshot.position().index;
        Ok(())
    }

    fn write_fresh(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if self.volume.list()?.iter().any(|name| name == FRESH) {
            self.volume.remove(FRESH)?;
        }
        self.volume.append(FRESH, bytes)?;
        self.volume.sync(FRESH)
    }

    fn write_lines(&mut self, lines: &[Line]) -> Result<()> {
        if self.length >= self.limit {
            self.begin_segment()?;
        }
        let bytes = segment::encode(lines)?;
        self.append(&bytes)?;
        let highest = lines.iter().map(Line::highest).max().unwrap_or(0);
        let last = self.segments.last_mut().expect("there is always a segment");
        last.highest = last.highest.max(highest);
        Ok(())
    }

    /// Adds bytes to the last segment and syncs them; takes them back if that fails.
    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let name = self.last_name();
        if let Err(error) = self.volume.append(&name, bytes) {
            return Err(self.take_back(&name, &error));
        }
        if let Err(error) = self.volume.sync(&name) {
            let failed = self.take_back(&name, &error);
            self.poisoned = true;
            return Err(failed);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn take_back(&mut self, name: &str, error: &std::io::Error) -> Error {
        let undone = self.volume.truncate(name, self.length).and_then(|()| self.volume.sync(name));
        match undone {
            Ok(()) => broken(&format!("segment {name} can't be written"), error),
            Err(second) => self.poison(&format!("segment {name} can't be cut back"), &second),
        }
    }

    /// Begins a new segment, and seals the last one once the new one is durable.
    fn begin_segment(&mut self) -> Result<()> {
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let name = segment::name(number);
        let start = segment::encode(&[Line::Start(number)])?;
        let begun = self
            .volume
            .append(&name, &start)
            .and_then(|()| self.volume.sync(&name))
            .and_then(|()| self.volume.sync_folder());
        let sealed = match begun {
            Ok(()) => self.append(&segment::encode(&[Line::Seal])?),
            Err(error) => Err(broken(&format!("segment {name} can't be begun"), &error)),
        };
        if let Err(error) = sealed {
            if self.volume.remove(&name).and_then(|()| self.volume.sync_folder()).is_err() {
                self.poisoned = true;
            }
            return Err(error);
        }
        self.segments.push(Covered { number, highest: 0 });
        self.length = start.len() as u64;
        Ok(())
    }

    /// Drops the first segments whose entries the snapshot stands for, one after the other.
    fn drop_covered(&mut self) -> Result<()> {
        while let [first, _, ..] = self.segments.as_slice()
            && first.highest <= self.snapshot
        {
            let name = segment::name(first.number);
            self.volume.remove(&name).and_then(|()| self.volume.sync_folder()).map_err(
                |error| self.poison(&format!("segment {name} can't be dropped"), &error),
            )?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn last_name(&self) -> String {
        segment::name(self.segments.last().map_or(1, |last| last.number))
    }

    /// Refuses all later writes, as it is not known what the disk holds now.
    fn poison(&mut self, what: &str, error: &std::io::Error) -> Error {
        self.poisoned = true;
        Error::new(Kind::Internal, format!("{what}: {error}"))
    }
}

impl<V: Volume> Store for FileStore<V> {
    fn write(&mut self, records: &[Record]) -> Result<()> {
        if self.poisoned {
            let detail = "the data folder has to be opened anew after a failure of its disk";
            return Err(Error::new(Kind::Internal, detail));
        }
        let batch = sort(records);
        self.write_batch(&batch)
    }

    fn recover(&self) -> Result<Recovered> {
        Ok(Scan::read(&self.volume)?.recovered)
    }

    fn reopen(&mut self) -> Result<bool> {
        if !self.poisoned {
            return Ok(true);
        }
        let mut scan = Scan::read(&self.volume)?;
        mend(&mut self.volume, &mut scan)?;
        self.adopt(&scan);
        Ok(true)
    }
}

fn sort(records: &[Record]) -> Batch<'_> {
    let mut batch = Batch::default();
    for record in records {
        match record {
            Record::Ballot(ballot) => batch.ballot = Some(*ballot),
            Record::Snapshot(snapshot) => batch.snapshot = Some(snapshot),
            Record::Entries(entries) => batch.lines.push(Line::Entries(entries.clone())),
            Record::Commit(index) => batch.lines.push(Line::Commit(*index)),
            Record::Reset(position) => batch.lines.push(Line::Reset(*position)),
        }
    }
    batch
}

fn mend(volume: &mut impl Volume, scan: &mut Scan) -> Result<()> {
    let failed = |error| broken("data folder can't be mended", &error);
    if scan.uneven {
        ballot::write(volume, scan.recovered.ballot)?;
    }
    if let [.., before, last] = scan.segments.as_slice()
        && !before.sealed
    {
        let name = segment::name(last.number);
        volume.remove(&name).and_then(|()| volume.sync_folder()).map_err(failed)?;
        scan.segments.pop();
    }
    let Some(last) = scan.segments.last_mut() else { return Ok(()) };
    if last.torn > 0 {
        let name = segment::name(last.number);
        let length = last.length;
        volume.truncate(&name, length).and_then(|()| volume.sync(&name)).map_err(failed)?;
        last.torn = 0;
    }
    Ok(())
}
