//! Load reports between entry hosts.

pub mod reporting;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::mark::Mark;
use crate::time::Span;

/// Evidence section of a report that carries none: an empty list.
const EMPTY_EVIDENCE: u8 = 0;

/// Maximum number of pressures that are read from a report.
const MAX_PRESSURES: usize = 32;

/// Load of one entry host on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Number of requests waiting for an answer.
    pub waiting: u16,
    /// Number of open flows.
    pub flows: u16,
}

/// How full the targets of a service in one data centre are, as measured by one of its entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// Hash of the data centre's name.
    pub centre: u32,
    /// Hash of the service's name.
    pub service: u32,
    /// Part of the room that is taken, in percent.
    pub pressure: u8,
    /// Time since it was measured.
    pub age: Span,
}

/// Load counts of one entry host for all targets with open flows, and the pressures that it knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Load counts by target mark.
    pub counts: Vec<(Mark, LoadCount)>,
    /// Demand section; empty where callers do not compete for room.
    pub pressures: Vec<ServicePressure>,
}

impl LoadCount {
    /// Adds the counts of another host; saturates at the maximum.
    pub(super) fn add(&mut self, other: Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.flows = self.flows.saturating_add(other.flows);
    }
}

impl LoadReport {
    /// Encodes the report for other entry hosts.
    ///
    /// Sections for later additions follow the counts; hosts of earlier versions ignore them.
    /// Fails with `Internal` if the report can't be encoded.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        let encode_error =
            |error| Error::new(Kind::Internal, format!("failed to encode load report: {error}"));
        let mut bytes = postcard::to_stdvec(&self.counts).map_err(encode_error)?;
        if !self.pressures.is_empty() {
            bytes.push(EMPTY_EVIDENCE);
            bytes.extend(postcard::to_stdvec(&self.pressures).map_err(encode_error)?);
        }
        Ok(bytes)
    }

    /// Decodes a report of another host, which may be of an earlier version; fails with
    /// `Malformed`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (counts, sections) = postcard::take_from_bytes(bytes)
            .map_err(|error| Error::new(Kind::Malformed, format!("load report: {error}")))?;
        Ok(Self { counts, pressures: decode_pressures(sections) })
    }
}

/// Decodes the demand section; one that is absent or unreadable counts as empty.
fn decode_pressures(sections: &[u8]) -> Vec<ServicePressure> {
    let Some((&EMPTY_EVIDENCE, section)) = sections.split_first() else { return Vec::new() };
    let decoded = postcard::take_from_bytes::<Vec<ServicePressure>>(section);
    let mut pressures = decoded.map(|(pressures, _)| pressures).unwrap_or_default();
    pressures.truncate(MAX_PRESSURES);
    pressures
}
