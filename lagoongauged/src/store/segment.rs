//! Segments of the log: file names, records and decoding.

use lagoongauge::error::Result;
use lagoongauge::replica::{Entry, Position};
use serde::{Deserialize, Serialize};

use super::frame::{self, FrameResult};

/// Prefix of the file names of segments.
const NAME_PREFIX: &str = "log-";

/// A record of the log; each frame of a segment holds a list of them.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LogRecord {
    /// Number of the segment; the first record of every segment.
    Start(u64),
    /// Entries that replace all existing entries from the first one's index on.
    Entries(Vec<Entry>),
    /// Index of the last committed entry.
    Commit(u64),
    /// All entries are discarded; the next one follows this position.
    Reset(Position),
    /// Marks the end of a segment that is followed by another one.
    Seal,
}

/// A decoded segment.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    pub(super) records: Vec<LogRecord>,
    pub(super) sealed: bool,
    /// Bytes of the complete frames.
    pub(super) length: u64,
    /// Bytes of a torn frame after them.
    pub(super) torn: u64,
}

impl Segment {
    /// Returns whether the segment holds nothing but its number.
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty() && !self.sealed
    }

    /// Returns the highest index of an entry, or 0 without entries.
    pub(super) fn highest_index(&self) -> u64 {
        self.records.iter().map(LogRecord::highest_index).max().unwrap_or(0)
    }
}

impl LogRecord {
    /// Returns the highest index of an entry, or 0 without entries.
    pub(super) fn highest_index(&self) -> u64 {
        match self {
            Self::Entries(entries) => entries.last().map_or(0, |entry| entry.position.index),
            _ => 0,
        }
    }
}

/// Returns the file name of a segment.
pub(super) fn file_name(number: u64) -> String {
    format!("{NAME_PREFIX}{number:012}")
}

/// Returns the number in a segment's file name, or `None` for other files.
pub(super) fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

/// Encodes records as one frame, so that after a crash either all or none of them are read.
pub(super) fn encode(records: &[LogRecord]) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(records).expect("records can always be serialized");
    frame::encode(&payload)
}

/// Decodes a segment up to its end or to a torn frame.
pub(super) fn parse(number: u64, bytes: &[u8]) -> Result<Segment> {
    let name = file_name(number);
    let mut segment = Segment { number, records: Vec::new(), sealed: false, length: 0, torn: 0 };
    let mut offset = 0;
    loop {
        match frame::read_at(bytes, offset) {
            FrameResult::End => break,
            FrameResult::Damaged(reason) => return Err(frame::corrupt(&name, offset, reason)),
            FrameResult::Torn => {
                segment.torn = (bytes.len() - offset) as u64;
                break;
            }
            FrameResult::Frame(payload, next) => {
                apply_frame(&mut segment, &name, offset, payload)?;
                offset = next;
            }
        }
    }
    segment.length = offset as u64;
    Ok(segment)
}

fn apply_frame(segment: &mut Segment, name: &str, offset: usize, payload: &[u8]) -> Result<()> {
    let corrupt = |reason: &str| frame::corrupt(name, offset, reason);
    let records: Vec<LogRecord> =
        postcard::from_bytes(payload).map_err(|_| corrupt("records can't be decoded"))?;
    for record in records {
        match record {
            LogRecord::Start(number) if offset == 0 && number == segment.number => {}
            LogRecord::Start(_) => {
                return Err(corrupt("segment number differs from the file name"));
            }
            _ if offset == 0 => return Err(corrupt("segment does not start with its number")),
            _ if segment.sealed => return Err(corrupt("records after the seal")),
            LogRecord::Seal => segment.sealed = true,
            record => segment.records.push(record),
        }
    }
    Ok(())
}
