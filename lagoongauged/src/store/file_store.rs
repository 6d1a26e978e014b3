//! The store that persists a replica's records in a data folder.
//!
//! Failure pattern: a batch holds a snapshot and records of the log, and the process is killed between the
//! two files. The log then ends before the snapshot does, and what is appended later would be read as part of the
//! former log. So the next append begins with a reset. See docs/incidents/interrupted-snapshot.md.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{Identity, Position, Record, Recovered, Snapshot, Store};

use super::scan::{FolderReport, SNAPSHOT_NAME, Scan};
use super::segment::{self, LogRecord};
use super::volume::{Volume, disk_error};
use super::{ballot, frame};

/// Name of the file to which a snapshot is written before it replaces the previous one.
const SNAPSHOT_TEMP_NAME: &str = "snapshot.new";

/// Size at which a segment is sealed and a new one started.
const SEGMENT_BYTES: u64 = 1 << 20;

/// A segment with its highest entry index; it is removed once a snapshot covers that index.
#[derive(Debug)]
struct SegmentRange {
    number: u64,
    highest_index: u64,
}

/// An open data folder.
#[derive(Debug)]
pub struct FileStore<V> {
    volume: V,
    identity: Identity,
    segments: Vec<SegmentRange>,
    /// Length of the last segment.
    tail_length: u64,
    segment_bytes: u64,
    snapshot_index: u64,
    /// Reset with which the next append has to begin, as the log does not lead up to the snapshot.
    due_reset: Option<Position>,
    poisoned: bool,
}

/// One batch of records, grouped by destination file.
#[derive(Debug, Default)]
struct Batch<'a> {
    ballot: Option<Ballot>,
    snapshot: Option<&'a Snapshot>,
    records: Vec<LogRecord>,
}

impl<V: Volume> FileStore<V> {
    /// Opens a data folder, truncates a torn tail and repairs what interrupted writes left.
    ///
    /// Fails with `StorageCorrupt` on any other damage and leaves the folder unchanged.
    pub fn open(volume: V) -> Result<Self> {
        Self::with_segment_bytes(volume, SEGMENT_BYTES)
    }

    /// Opens a data folder whose segments are sealed at the given size.
    pub fn with_segment_bytes(mut volume: V, segment_bytes: u64) -> Result<Self> {
        let mut scan = Scan::read(&volume)?;
        repair(&mut volume, &mut scan)?;
        let mut store = Self {
            volume,
            identity: scan.identity,
            segments: Vec::new(),
            tail_length: 0,
            segment_bytes,
            snapshot_index: 0,
            due_reset: None,
            poisoned: false,
        };
        store.load(&scan);
        Ok(store)
    }

    /// Sets the store's state from the contents of the folder.
    fn load(&mut self, scan: &Scan) {
        let range = |segment: &segment::Segment| SegmentRange {
            number: segment.number,
            highest_index: segment.highest_index(),
        };
        self.segments = scan.segments.iter().map(range).collect();
        self.tail_length = scan.segments.last().map_or(0, |segment| segment.length);
        self.snapshot_index =
            scan.recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.position().index);
        self.due_reset = scan.recovered.due_reset();
        self.poisoned = false;
    }

    /// Returns the identity of the host that owns the folder.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns the report that operators see.
    pub fn report(&self) -> Result<FolderReport> {
        Ok(Scan::read(&self.volume)?.report())
    }

    /// Closes the store and returns its volume.
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
        if !batch.records.is_empty() {
            let appended = self.append_records(&batch.records);
            if appended.is_err() && batch.snapshot.is_some() {
                self.find_due_reset();
            }
            appended?;
        }
        if batch.snapshot.is_some() {
            self.remove_covered_segments()?;
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let bytes = frame::encode(snapshot.bytes())?;
        let written = self.write_temp_snapshot(&bytes);
        if let Err(error) = written {
            let _ = self.volume.remove(SNAPSHOT_TEMP_NAME);
            return Err(disk_error("snapshot can't be written", &error));
        }
        self.volume
            .rename(SNAPSHOT_TEMP_NAME, SNAPSHOT_NAME)
            .and_then(|()| self.volume.sync_folder())
            .map_err(|error| self.poison("failed to replace snapshot", &error))?;
        self.snapshot_index = snapshot.position().index;
        Ok(())
    }

    fn write_temp_snapshot(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        if self.volume.list()?.iter().any(|name| name == SNAPSHOT_TEMP_NAME) {
            self.volume.remove(SNAPSHOT_TEMP_NAME)?;
        }
        self.volume.append(SNAPSHOT_TEMP_NAME, bytes)?;
        self.volume.sync(SNAPSHOT_TEMP_NAME)
    }

    /// Reads whether the log leads up to the snapshot, as a batch was written in part.
    fn find_due_reset(&mut self) {
        match Scan::read(&self.volume) {
            Ok(scan) => self.due_reset = scan.recovered.due_reset(),
            Err(_) => self.poisoned = true,
        }
    }

    fn append_records(&mut self, records: &[LogRecord]) -> Result<()> {
        if self.tail_length >= self.segment_bytes {
            self.start_segment()?;
        }
        let mut bytes = Vec::new();
        if let Some(position) = self.due_reset {
            bytes = segment::encode(&[LogRecord::Reset(position)])?;
        }
        bytes.extend_from_slice(&segment::encode(records)?);
        self.append(&bytes)?;
        self.due_reset = None;
        let highest_index = records.iter().map(LogRecord::highest_index).max().unwrap_or(0);
        let last = self.segments.last_mut().expect("a store always has a segment");
        last.highest_index = last.highest_index.max(highest_index);
        Ok(())
    }

    /// Appends bytes to the last segment and syncs it; truncates the segment again if that fails.
    fn append(&mut self, bytes: &[u8]) -> Result<()> {
        let name = self.last_segment_name();
        if let Err(error) = self.volume.append(&name, bytes) {
            return Err(self.roll_back(&name, &error));
        }
        if let Err(error) = self.volume.sync(&name) {
            let rolled_back = self.roll_back(&name, &error);
            self.poisoned = true;
            return Err(rolled_back);
        }
        self.tail_length += bytes.len() as u64;
        Ok(())
    }

    fn roll_back(&mut self, name: &str, error: &std::io::Error) -> Error {
        let truncated =
            self.volume.truncate(name, self.tail_length).and_then(|()| self.volume.sync(name));
        match truncated {
            Ok(()) => disk_error(&format!("segment {name} can't be written"), error),
            Err(truncate_error) => {
                self.poison(&format!("failed to truncate segment {name}"), &truncate_error)
            }
        }
    }

    /// Starts a new segment, and seals the previous one once the new one is durable.
    fn start_segment(&mut self) -> Result<()> {
        let number = self.segments.last().map_or(1, |last| last.number + 1);
        let name = segment::file_name(number);
        let start = segment::encode(&[LogRecord::Start(number)])?;
        let started = self
            .volume
            .append(&name, &start)
            .and_then(|()| self.volume.sync(&name))
            .and_then(|()| self.volume.sync_folder());
        let sealed = match started {
            Ok(()) => self.append(&segment::encode(&[LogRecord::Seal])?),
            Err(error) => Err(disk_error(&format!("segment {name} can't be begun"), &error)),
        };
        if let Err(error) = sealed {
            if self.volume.remove(&name).and_then(|()| self.volume.sync_folder()).is_err() {
                self.poisoned = true;
            }
            return Err(error);
        }
        self.segments.push(SegmentRange { number, highest_index: 0 });
        self.tail_length = start.len() as u64;
        Ok(())
    }

    /// Removes the oldest segments whose entries the snapshot covers, one at a time.
    fn remove_covered_segments(&mut self) -> Result<()> {
        while let [first, _, ..] = self.segments.as_slice()
            && first.highest_index <= self.snapshot_index
        {
            let name = segment::file_name(first.number);
            self.volume.remove(&name).and_then(|()| self.volume.sync_folder()).map_err(
                |error| self.poison(&format!("failed to remove segment {name}"), &error),
            )?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn last_segment_name(&self) -> String {
        segment::file_name(self.segments.last().map_or(1, |last| last.number))
    }

    /// Rejects all writes until the store is reopened, as the state of the disk is unknown.
    fn poison(&mut self, action: &str, error: &std::io::Error) -> Error {
        self.poisoned = true;
        Error::new(Kind::Internal, format!("{action}: {error}"))
    }
}

impl<V: Volume> Store for FileStore<V> {
    fn write(&mut self, records: &[Record]) -> Result<()> {
        if self.poisoned {
            let detail = "the data folder has to be reopened after a disk failure";
            return Err(Error::new(Kind::Internal, detail));
        }
        let batch = group_records(records);
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
        repair(&mut self.volume, &mut scan)?;
        self.load(&scan);
        Ok(true)
    }
}

fn group_records(records: &[Record]) -> Batch<'_> {
    let mut batch = Batch::default();
    for record in records {
        match record {
            Record::Ballot(ballot) => batch.ballot = Some(*ballot),
            Record::Snapshot(snapshot) => batch.snapshot = Some(snapshot),
            Record::Entries(entries) => batch.records.push(LogRecord::Entries(entries.clone())),
            Record::Commit(index) => batch.records.push(LogRecord::Commit(*index)),
            Record::Reset(position) => batch.records.push(LogRecord::Reset(*position)),
        }
    }
    batch
}

/// Rewrites a ballot whose slots differ, removes a last segment whose predecessor is unsealed, and
/// truncates a torn tail.
fn repair(volume: &mut impl Volume, scan: &mut Scan) -> Result<()> {
    let failed = |error| disk_error("failed to repair data folder", &error);
    if scan.ballot_mismatch {
        ballot::write(volume, scan.recovered.ballot)?;
    }
    if let [.., previous, last] = scan.segments.as_slice()
        && !previous.sealed
    {
        let name = segment::file_name(last.number);
        volume.remove(&name).and_then(|()| volume.sync_folder()).map_err(failed)?;
        scan.segments.pop();
    }
    let Some(last) = scan.segments.last_mut() else { return Ok(()) };
    if last.torn > 0 {
        let name = segment::file_name(last.number);
        let length = last.length;
        volume.truncate(&name, length).and_then(|()| volume.sync(&name)).map_err(failed)?;
        last.torn = 0;
    }
    Ok(())
}
