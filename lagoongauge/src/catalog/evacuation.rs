//! Evacuated data centres, which get no new flows until their operator withdraws the order.
//!
//! Load pattern: an operator empties a data centre under load and takes it back, repeats orders whose
//! acknowledgement was lost, and sends the opposite order soon after; copies of earlier orders arrive
//! late. See docs/design/evacuation.md.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Document;
use crate::error::{Error, Kind, Result};

/// Order to evacuate a data centre, or to withdraw that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the data centre.
    pub centre: String,
    /// Whether it gets no new flows.
    pub evacuated: bool,
    /// Revision of its latest order that the proposer knew when it read this one.
    pub expected: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was applied and changed the state.
    Changed,
    /// The wanted state holds already.
    Unchanged,
    /// Another order was applied after the proposer had read this one, and wants the opposite.
    Superseded,
}

/// State of a data centre that had an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreState {
    /// Whether it gets no new flows.
    pub evacuated: bool,
    /// Revision of its latest order; 0 if it had none.
    pub revision: u64,
}

/// All data centres that ever had an order. Those whose evacuation was withdrawn are kept for their
/// revision, which tells late copies of earlier orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    revision: u64,
    centres: IndexMap<String, CentreState>,
}

/// The evacuated data centres at a revision, as entry hosts need them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedCentres {
    /// Revision of the latest order; 0 before there is one.
    pub revision: u64,
    /// Names of the data centres that get no new flows.
    pub centres: Vec<String>,
    /// Names of those whose evacuation ended recently, as far as the control host saw it.
    pub returned: Vec<String>,
}

impl EvacuationOrder {
    /// Encodes the order as a command of the replicated log.
    ///
    /// It follows an empty document of version 0, so that hosts of earlier versions take the command
    /// as a document that changes nothing.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Document::default().to_bytes();
        bytes.extend(postcard::to_stdvec(self).expect("an order is plain data"));
        bytes
    }

    /// Decodes the part of a command that follows the document; fails with `StorageCorrupt`.
    pub(super) fn from_bytes(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|error| corrupt("order", error))
    }
}

impl OrderOutcome {
    /// Encodes the outcome as the answer to a proposal.
    pub(super) fn to_bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).expect("an outcome is plain data")
    }

    /// Decodes the answer to a proposed order; fails with `Internal`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes)
            .map_err(|error| Error::new(Kind::Internal, format!("outcome of an order: {error}")))
    }
}

impl Evacuations {
    /// Decodes the part of a snapshot that follows the document; fails with `StorageCorrupt`.
    ///
    /// Snapshots of earlier versions, and those taken before the first order, have no such part.
    pub(super) fn from_bytes(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes).map_err(|error| corrupt("set", error))
    }

    /// Encodes the part of a snapshot that follows the document.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        if self.revision == 0 {
            return Vec::new();
        }
        postcard::to_stdvec(self).expect("evacuations are plain data")
    }

    /// Returns the revision of the latest order; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the state of a data centre.
    pub fn state(&self, centre: &str) -> CentreState {
        self.centres.get(centre).copied().unwrap_or_default()
    }

    /// Returns whether the data centre ever had an order.
    pub fn is_known(&self, centre: &str) -> bool {
        self.centres.contains_key(centre)
    }

    /// Returns the data centres that get no new flows.
    pub fn evacuated(&self) -> EvacuatedCentres {
        let evacuated = self.centres.iter().filter(|(_, state)| state.evacuated);
        let centres = evacuated.map(|(centre, _)| centre.clone()).collect();
        EvacuatedCentres { revision: self.revision, centres, returned: Vec::new() }
    }

    /// Applies an order, unless another order was applied after its proposer had read it.
    ///
    /// An order that changes nothing raises the revision as well: it is newer than any copy of an
    /// earlier order that a suspended host may still propose.
    pub(super) fn apply(&mut self, order: EvacuationOrder) -> OrderOutcome {
        let EvacuationOrder { centre, evacuated, expected } = order;
        let former = self.state(&centre);
        let (holds, current) = (former.evacuated == evacuated, former.revision == expected);
        if current {
            self.revision += 1;
            self.centres.insert(centre, CentreState { evacuated, revision: self.revision });
        }
        match (holds, current) {
            (true, _) => OrderOutcome::Unchanged,
            (false, true) => OrderOutcome::Changed,
            (false, false) => OrderOutcome::Superseded,
        }
    }
}

fn corrupt(part: &str, error: postcard::Error) -> Error {
    Error::new(Kind::StorageCorrupt, format!("cannot decode the evacuation {part}: {error}"))
}
