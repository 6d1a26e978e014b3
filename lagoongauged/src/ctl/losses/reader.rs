//! Reads log files of any size line by line; damaged and missing ones are reported, not fatal.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};

use serde::Serialize;

use super::LossBudget;
use crate::ctl::explain::LogLine;

/// Longest line that is read; the rest of a longer one is skipped.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// Name of standard input in reports.
const STDIN_NAME: &str = "standard input";

/// A log that could not be read in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SourceFault {
    /// Name of the file.
    pub source: String,
    /// Number of lines that look like log lines but could not be read.
    pub damaged_lines: u64,
    /// Error that ended the reading, if any.
    pub error: Option<String>,
}

/// Adds the lines of all files to a budget, or those of standard input if there are no files.
/// Returns the logs that could not be read in full.
pub fn read_logs(files: &[String], budget: &mut LossBudget) -> Vec<SourceFault> {
    if files.is_empty() {
        return read_log(STDIN_NAME, Ok(io::stdin().lock()), budget).into_iter().collect();
    }
    let read = |name: &String| read_log(name, File::open(name).map(BufReader::new), budget);
    files.iter().filter_map(read).collect()
}

fn read_log<R: BufRead>(
    name: &str,
    reader: io::Result<R>,
    budget: &mut LossBudget,
) -> Option<SourceFault> {
    let mut damaged_lines = 0;
    let result = reader.and_then(|reader| add_lines(reader, budget, &mut damaged_lines));
    let error = result.err().map(|error| error.to_string());
    (error.is_some() || damaged_lines > 0).then(|| SourceFault {
        source: name.to_string(),
        damaged_lines,
        error,
    })
}

fn add_lines<R: BufRead>(
    mut reader: R,
    budget: &mut LossBudget,
    damaged_lines: &mut u64,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    while read_line(&mut reader, &mut bytes)? {
        // Log collectors prepend timestamps and host names to the line.
        let Some(start) = bytes.iter().position(|byte| *byte == b'{') else { continue };
        match serde_json::from_slice::<LogLine>(&bytes[start..]) {
            Ok(line) => budget.add(&line),
            Err(_) => *damaged_lines += 1,
        }
    }
    Ok(())
}

/// Reads a line of at most [`MAX_LINE_BYTES`]; returns whether there was one.
fn read_line<R: BufRead>(reader: &mut R, bytes: &mut Vec<u8>) -> io::Result<bool> {
    bytes.clear();
    let length = reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', bytes)?;
    if length as u64 == MAX_LINE_BYTES && bytes.last() != Some(&b'\n') {
        reader.skip_until(b'\n')?;
    }
    Ok(length > 0)
}
