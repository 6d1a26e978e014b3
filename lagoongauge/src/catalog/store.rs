//! The replicated state of the catalog: the newest accepted document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

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

/// The newest accepted document.
///
/// A document replaces the stored one only if its version is higher. Duplicates, older documents
/// and other content under the stored version are accepted and change nothing, in whatever order
/// they arrive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CatalogStore {
    newest: Arc<Document>,
}

impl Document {
    /// Encodes the document as a command of the replicated log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a document is plain data")
    }

    /// Decodes a command or a snapshot; fails with `StorageCorrupt`.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|error| {
            Error::new(Kind::StorageCorrupt, format!("cannot decode the catalog document: {error}"))
        })
    }
}

impl CatalogStore {
    /// Returns the newest document; shared because it may be large.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.newest)
    }
}

impl StateMachine for CatalogStore {
    /// Applies a document; returns the version stored afterwards, or nothing for undecodable bytes.
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let Ok(document) = Document::from_bytes(command) else { return Vec::new() };
        if document.version > self.newest.version {
            self.newest = Arc::new(document);
        }
        self.newest.version.to_be_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.newest.to_bytes()
    }

    fn restore(&mut self, state: &[u8]) -> Result<()> {
        self.newest = Arc::new(Document::from_bytes(state)?);
        Ok(())
    }
}
