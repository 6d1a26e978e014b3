//! Statements of entry hosts about targets that may have failed, and their encoding.
//!
//! See docs/design/evidence.md.

use crate::error::{Error, Kind, Result};
use crate::mark::Mark;
use crate::time::Span;

/// Maximum number of statements of a datagram.
pub const MAX_STATEMENTS: usize = 16;

/// First bytes of a datagram with statements. As a load report they announce a target whose mark
/// is no valid number, so that hosts of earlier versions drop the datagram.
const PREFIX: [u8; 6] = [1, 0xff, 0xff, 0xff, 0xff, 0xff];

/// Encoded size of a statement: mark, observation and age in milliseconds.
const STATEMENT_BYTES: usize = 7;

/// What an entry host observed of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// No answer to a SYN, nor any other sign of life since.
    UnansweredSyn,
    /// No answer to data that a caller repeated, nor any other sign of life since.
    UnansweredData,
    /// An answer that a caller acknowledged.
    Answer,
}

/// Statement of an entry host about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// Mark of the target.
    pub mark: Mark,
    /// What the host observed.
    pub observation: Observation,
    /// Time since the answer, or since the first packet without one.
    pub age: Span,
}

/// Returns whether a datagram carries statements rather than a load report.
pub fn is_evidence(bytes: &[u8]) -> bool {
    bytes.starts_with(&PREFIX)
}

/// Returns the size of a datagram with this number of statements.
pub const fn encoded_size(count: usize) -> usize {
    PREFIX.len() + count * STATEMENT_BYTES
}

/// Encodes the first [`MAX_STATEMENTS`] statements as a datagram.
pub fn encode(statements: &[Statement]) -> Vec<u8> {
    let mut bytes = PREFIX.to_vec();
    for statement in statements.iter().take(MAX_STATEMENTS) {
        bytes.extend(statement.mark.bits().to_be_bytes());
        bytes.push(statement.observation.code());
        let age = u16::try_from(statement.age.0).unwrap_or(u16::MAX);
        bytes.extend(age.to_be_bytes());
    }
    bytes
}

/// Decodes a datagram; statements with observations of a later version are left out.
///
/// Fails with `Malformed` if the bytes are no datagram with statements.
pub fn decode(bytes: &[u8]) -> Result<Vec<Statement>> {
    let malformed = || Error::new(Kind::Malformed, "evidence of an entry host".to_string());
    let body = bytes.strip_prefix(&PREFIX).ok_or_else(malformed)?;
    let (statements, rest) = body.as_chunks::<STATEMENT_BYTES>();
    if !rest.is_empty() || statements.len() > MAX_STATEMENTS {
        return Err(malformed());
    }
    Ok(statements.iter().filter_map(decode_statement).collect())
}

fn decode_statement(bytes: &[u8; STATEMENT_BYTES]) -> Option<Statement> {
    let [a, b, c, d, code, high, low] = *bytes;
    let mark = Mark::from_bits(u32::from_be_bytes([a, b, c, d]))?;
    let observation = Observation::from_code(code)?;
    let age = Span::millis(u64::from(u16::from_be_bytes([high, low])));
    Some(Statement { mark, observation, age })
}

impl Observation {
    /// Returns whether it speaks against the target.
    pub fn is_doubt(self) -> bool {
        self != Self::Answer
    }

    const fn code(self) -> u8 {
        match self {
            Self::UnansweredSyn => 1,
            Self::UnansweredData => 2,
            Self::Answer => 3,
        }
    }

    const fn from_code(code: u8) -> Option<Self> {
        match code {
            1 => Some(Self::UnansweredSyn),
            2 => Some(Self::UnansweredData),
            3 => Some(Self::Answer),
            _ => None,
        }
    }
}
