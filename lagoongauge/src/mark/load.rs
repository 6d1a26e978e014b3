//! Load reports between entry hosts.

use serde::{Deserialize, Serialize};

use super::Mark;
use crate::error::{Error, Kind, Result};

/// Load of one entry host on a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCount {
    /// Number of requests waiting for an answer.
    pub waiting: u16,
    /// Number of open flows.
    pub flows: u16,
}

/// Load counts of one entry host for all targets with open flows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load counts by target mark.
    pub counts: Vec<(Mark, LoadCount)>,
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
        postcard::to_stdvec(self)
            .map_err(|error| Error::new(Kind::Internal, format!("load report: {error}")))
    }

    /// Decodes a report of another host, which may be of an earlier version; fails with
    /// `Malformed`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let (report, _sections) = postcard::take_from_bytes(bytes)
            .map_err(|error| Error::new(Kind::Malformed, format!("load report: {error}")))?;
        Ok(report)
    }
}
