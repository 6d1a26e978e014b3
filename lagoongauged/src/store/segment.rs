//! Segments of the log: their names, what stands in them, and reading one.

use lagoongauge::error::Result;
use lagoongauge::replica::{Entry, Position};
use serde::{Deserialize, Serialize};

use super::frame::{self, FrameResult};

/// What the names of segments begin with.
const NAME_PREFIX: &str = "log-";

/// What a frame of a segment holds a list of.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LogRecord {
    /// The first record of each segment: its number.
    Start(u64),
    /// Entries that replace all from the first one's index on.
    Entries(Vec<Entry>),
    /// Index up to which entries are committed.
    Commit(u64),
    /// All entries are dropped; the next one follows this position.
    Reset(Position),
    /// The last record of a segment that another one follows.
    Seal,
}

/// What was read of a segment.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    pub(super) records: Vec<LogRecord>,
    pub(super) sealed: bool,
    /// Length of the whole frames.
    pub(super) length: u64,
    /// Bytes behind them.
    pub(super) torn: u64,
}

impl Segment {
    /// Tells whether nothing but the first record was written.
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty() && !self.sealed
    }

    /// Returns the highest_index index of an entry, or 0.
    pub(super) fn highest_index(&self) -> u64 {
        self.records.iter().map(LogRecord::highest_index).max().unwrap_or(0)
    }
}

impl LogRecord {
    /// Returns the highest_index index of an entry, or 0.
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

/// Returns the number in a segment's file name.
pub(super) fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix(NAME_PREFIX)?.parse().ok()
}

/// Encodes records as one frame, which is found whole or not at all.
pub(super) fn encode(records: &[LogRecord]) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(records).expect("records are plain data");
    frame::encode(&payload)
}

/// Reads a segment up to its end or to a frame whose write was cut off.
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
        postcard::from_bytes(payload).map_err(|_| corrupt("the records don't parse"))?;
    for record in records {
        match record {
            LogRecord::Start(number) if offset == 0 && number == segment.number => {}
            LogRecord::Start(_) => {
                return Err(corrupt("the segment's number differs from its name"));
            }
            _ if offset == 0 => return Err(corrupt("the segment's first record is missing")),
            _ if segment.sealed => return Err(corrupt("records follow the seal")),
            LogRecord::Seal => segment.sealed = true,
            record => segment.records.push(record),
        }
    }
    Ok(())
}
