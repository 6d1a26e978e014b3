//! Segments of the log: their names, what stands in them, and reading one.

use lagoongauge::error::Result;
use lagoongauge::replica::{Entry, Position};
use serde::{Deserialize, Serialize};

use super::frame::{self, Found};

/// What the names of segments begin with.
const PREFIX: &str = "log-";

/// What a frame of a segment holds a list of.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Line {
    /// The first line of each segment: its number.
    Start(u64),
    /// Entries that replace all from the first one's index on.
    Entries(Vec<Entry>),
    /// Index up to which entries are committed.
    Commit(u64),
    /// All entries are dropped; the next one follows this position.
    Reset(Position),
    /// The last line of a segment that another one follows.
    Seal,
}

/// What was read of a segment.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    pub(super) lines: Vec<Line>,
    pub(super) sealed: bool,
    /// Length of the whole frames.
    pub(super) length: u64,
    /// Bytes behind them.
    pub(super) torn: u64,
}

impl Segment {
    /// Tells whether nothing but the first line was written.
    pub(super) fn is_empty(&self) -> bool {
        self.lines.is_empty() && !self.sealed
    }

    /// Returns the highest index of an entry, or 0.
    pub(super) fn highest(&self) -> u64 {
        self.lines.iter().map(Line::highest).max().unwrap_or(0)
    }
}

impl Line {
    /// Returns the highest index of an entry, or 0.
    pub(super) fn highest(&self) -> u64 {
        match self {
            Self::Entries(entries) => entries.last().map_or(0, |entry| entry.position.index),
            _ => 0,
        }
    }
}

/// Returns the file name of a segment.
pub(super) fn name(number: u64) -> String {
    format!("{PREFIX}{number:012}")
}

/// Returns the number in a segment's file name.
pub(super) fn number(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// Encodes lines as one frame, which is found whole or not at all.
pub(super) fn encode(lines: &[Line]) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(lines).expect("lines are plain data");
    frame::encode(&payload)
}

/// Reads a segment up to its end or to a frame whose write was cut off.
pub(super) fn parse(number: u64, bytes: &[u8]) -> Result<Segment> {
    let name = name(number);
    let mut segment = Segment { number, lines: Vec::new(), sealed: false, length: 0, torn: 0 };
    let mut offset = 0;
    loop {
        match frame::find(bytes, offset) {
            Found::Nothing => break,
            Found::Damaged(reason) => return Err(frame::corrupt(&name, offset, reason)),
            Found::Torn => {
                segment.torn = (bytes.len() - offset) as u64;
                break;
            }
            Found::Frame(payload, next) => {
                take(&mut segment, &name, offset, payload)?;
                offset = next;
            }
        }
    }
    segment.length = offset as u64;
    Ok(segment)
}

fn take(segment: &mut Segment, name: &str, offset: usize, payload: &[u8]) -> Result<()> {
    let wrong = |reason: &str| frame::corrupt(name, offset, reason);
    let lines: Vec<Line> =
        postcard::from_bytes(payload).map_err(|_| wrong("the lines don't parse"))?;
    for line in lines {
        match line {
            Line::Start(number) if offset == 0 && number == segment.number => {}
            Line::Start(_) => return Err(wrong("the segment's number differs from its name")),
            _ if offset == 0 => return Err(wrong("the segment's first line is missing")),
            _ if segment.sealed => return Err(wrong("lines follow the seal")),
            Line::Seal => segment.sealed = true,
            line => segment.lines.push(line),
        }
    }
    Ok(())
}
