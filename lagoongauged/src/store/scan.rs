//! Reads a data folder without changing it.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{Configuration, Identity, Record, Recovered, Snapshot};
use serde::Serialize;

use super::segment::{self, LogRecord, Segment};
use super::volume::{Volume, disk_error};
use super::{ballot, format, frame};

/// Name of the snapshot file.
pub(super) const SNAPSHOT_NAME: &str = "snapshot";

/// Contents of one segment, as shown by `inspect`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SegmentReport {
    /// Name of the file.
    pub name: String,
    /// Bytes of complete frames.
    pub bytes: u64,
    /// Bytes of a torn frame at the end; the next start removes them.
    pub torn: u64,
}

/// Contents of a data folder, as shown by `inspect`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FolderReport {
    /// Format version of the folder.
    pub version: u32,
    /// Identity of the host that owns the folder.
    pub identity: Identity,
    /// Term and vote.
    pub ballot: Ballot,
    /// Index of the last entry that the snapshot covers, or 0 without a snapshot.
    pub snapshot: u64,
    /// Size of the snapshot.
    pub snapshot_bytes: u64,
    /// Index of the last entry of the log.
    pub last: u64,
    /// Index of the last entry known to be committed.
    pub commit: u64,
    /// The latest configuration, which may be uncommitted.
    pub configuration: Configuration,
    /// Segments of the log.
    pub segments: Vec<SegmentReport>,
}

/// State read from a data folder.
#[derive(Debug)]
pub(super) struct Scan {
    pub(super) identity: Identity,
    pub(super) recovered: Recovered,
    pub(super) segments: Vec<Segment>,
    /// Whether the slots of the ballot differ, so that it has to be rewritten.
    pub(super) ballot_mismatch: bool,
}

impl Scan {
    /// Reads all files; fails with `StorageCorrupt` unless they form a consistent state.
    pub(super) fn read(volume: &impl Volume) -> Result<Self> {
        let identity = format::read_identity(volume)?;
        Self::read_with_identity(volume, identity)
    }

    /// Reads all files but the identity file.
    pub(super) fn read_with_identity(volume: &impl Volume, identity: Identity) -> Result<Self> {
        let (ballot, slots_match) = ballot::read(volume)?;
        let mut recovered = Recovered::default();
        recovered.apply(Record::Ballot(ballot))?;
        if let Some(snapshot) = read_snapshot(volume)? {
            recovered.apply(Record::Snapshot(snapshot))?;
        }
        let segments = read_segments(volume)?;
        for segment in &segments {
            for record in &segment.records {
                recovered
                    .apply(to_replica_record(record))
                    .map_err(|error| add_segment_context(segment.number, &error))?;
            }
        }
        if recovered.commit > recovered.last().index {
            let (commit, last) = (recovered.commit, recovered.last().index);
            let detail = format!("entry {commit} is committed, but the log ends at entry {last}");
            return Err(Error::new(Kind::StorageCorrupt, detail));
        }
        Ok(Self { identity, recovered, segments, ballot_mismatch: !slots_match })
    }

    /// Returns the report shown to operators.
    pub(super) fn report(&self) -> FolderReport {
        let snapshot = self.recovered.snapshot.as_ref();
        let segment = |segment: &Segment| SegmentReport {
            name: segment::file_name(segment.number),
            bytes: segment.length,
            torn: segment.torn,
        };
        FolderReport {
            version: format::FORMAT_VERSION,
            identity: self.identity,
            ballot: self.recovered.ballot,
            snapshot: snapshot.map_or(0, |snapshot| snapshot.position().index),
            snapshot_bytes: snapshot.map_or(0, |snapshot| snapshot.bytes().len() as u64),
            last: self.recovered.last().index,
            commit: self.recovered.commit,
            configuration: self.recovered.configuration(),
            segments: self.segments.iter().map(segment).collect(),
        }
    }
}

fn read_snapshot(volume: &impl Volume) -> Result<Option<Snapshot>> {
    let names = volume.list().map_err(|error| disk_error("failed to list data folder", &error))?;
    if !names.iter().any(|name| name == SNAPSHOT_NAME) {
        return Ok(None);
    }
    let bytes = volume
        .read(SNAPSHOT_NAME)
        .map_err(|error| disk_error("failed to read snapshot", &error))?;
    let payload = frame::decode_single(SNAPSHOT_NAME, &bytes)?;
    let parsed = Snapshot::try_from(payload);
    parsed.map(Some).map_err(|error| frame::corrupt(SNAPSHOT_NAME, 0, &error.detail))
}

/// Reads the segments in order; only the last one written may end in a torn frame.
fn read_segments(volume: &impl Volume) -> Result<Vec<Segment>> {
    let names = volume.list().map_err(|error| disk_error("failed to list data folder", &error))?;
    let mut segments: Vec<Segment> = Vec::new();
    for name in names {
        let Some(number) = segment::parse_name(&name) else { continue };
        let failed = |error| disk_error(&format!("failed to read segment {name}"), &error);
        let bytes = volume.read(&name).map_err(failed)?;
        if let Some(previous) = segments.last()
            && previous.number + 1 != number
        {
            let detail = format!("segment {} is missing", segment::file_name(previous.number + 1));
            return Err(Error::new(Kind::StorageCorrupt, detail));
        }
        segments.push(segment::parse(number, &bytes)?);
    }
    check_segment_ends(&segments)?;
    Ok(segments)
}

fn check_segment_ends(segments: &[Segment]) -> Result<()> {
    let Some((last, earlier)) = segments.split_last() else {
        return Err(Error::new(Kind::StorageCorrupt, "the log has no segments"));
    };
    for (index, segment) in earlier.iter().enumerate() {
        // A crash while a segment is being started leaves the previous one unsealed.
        let start_interrupted = index + 1 == earlier.len() && last.is_empty();
        if !segment.sealed && !start_interrupted {
            let length = segment.length as usize;
            let name = segment::file_name(segment.number);
            return Err(frame::corrupt(&name, length, "segment ends without a seal"));
        }
        if segment.sealed && segment.torn > 0 {
            let length = segment.length as usize;
            let name = segment::file_name(segment.number);
            return Err(frame::corrupt(&name, length, "bytes after the seal"));
        }
    }
    let incomplete = last.length == 0 && earlier.last().is_none_or(|segment| segment.sealed);
    if last.sealed || incomplete {
        let detail =
            format!("last segment {} of the log is incomplete", segment::file_name(last.number));
        return Err(Error::new(Kind::StorageCorrupt, detail));
    }
    Ok(())
}

fn to_replica_record(record: &LogRecord) -> Record {
    match record {
        LogRecord::Entries(entries) => Record::Entries(entries.clone()),
        LogRecord::Reset(position) => Record::Reset(*position),
        LogRecord::Commit(index) => Record::Commit(*index),
        // These records concern only the segment; committing up to entry 0 changes nothing.
        LogRecord::Start(_) | LogRecord::Seal => Record::Commit(0),
    }
}

fn add_segment_context(number: u64, error: &Error) -> Error {
    Error::new(error.kind, format!("segment {}: {}", segment::file_name(number), error.detail))
}
