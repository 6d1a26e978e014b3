//! The replicated state of the control hosts: the newest accepted document, and the evacuated data
//! centres.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evacuation::{EvacuationOrder, Evacuations};
use crate::error::{Error, Kind, Result};
use crate::replica::StateMachine;

/// A catalog document as the operator submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The operator's version; 0 before there is a document.
    pub version: u64,
    /// Bytes of the operator's document, which reads return unchanged.
    pub content: Vec<u8>,
}

/// The newest accepted document, and the evacuated data centres.
///
/// A document replaces the stored one only if its version is higher. Duplicates, older documents
/// and other content under the stored version are accepted and change nothing, in whatever order
/// they arrive. Orders to evacuate a data centre are independent of documents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CatalogStore {
    newest: Arc<Document>,
    evacuations: Evacuations,
}

impl Document {
    /// Encodes the document as a command of the replicated log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a document is plain data")
    }

    /// Decodes the document at the start of a command or a snapshot, and returns the bytes that follow
    /// it; fails with `StorageCorrupt`.
    fn take_from_bytes(bytes: &[u8]) -> Result<(Self, &[u8])> {
        postcard::take_from_bytes(bytes).map_err(|error| {
            Error::new(Kind::StorageCorrupt, format!("cannot decode the catalog document: {error}"))
        })
    }
}

impl CatalogStore {
    /// Returns the newest document; shared because it may be large.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.newest)
    }

    /// Returns the evacuations of data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    fn apply_document(&mut self, document: Document) -> Vec<u8> {
        if document.version > self.newest.version {
            self.newest = Arc::new(document);
        }
        self.newest.version.to_be_bytes().to_vec()
    }

    fn apply_order(&mut self, bytes: &[u8]) -> Vec<u8> {
        let Ok(order) = EvacuationOrder::from_bytes(bytes) else { return Vec::new() };
        self.evacuations.apply(order).to_bytes()
    }
}

impl StateMachine for CatalogStore {
    /// Applies a document or an order; returns the version stored afterwards or the order's outcome,
    /// or nothing for undecodable bytes.
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        match Document::take_from_bytes(command) {
            Ok((document, [])) => self.apply_document(document),
            Ok((_, order)) => self.apply_order(order),
            Err(_) => Vec::new(),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut bytes = self.newest.to_bytes();
        bytes.extend(self.evacuations.to_bytes());
        bytes
    }

    fn restore(&mut self, state: &[u8]) -> Result<()> {
        let (document, evacuations) = Document::take_from_bytes(state)?;
        let evacuations = Evacuations::from_bytes(evacuations)?;
        *self = Self { newest: Arc::new(document), evacuations };
        Ok(())
    }
}
