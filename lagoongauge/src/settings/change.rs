//! Changes to the settings tree and their outcomes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::path::Path;
use super::token::TokenHash;
use crate::error::{Error, Kind, Result};

/// Maximum number of edits in a change.
pub const MAX_EDITS: usize = 256;

/// Maximum total length of an edit's path, key and value.
pub const MAX_TEXT_BYTES: usize = 4096;

/// Maximum length of a request id.
pub const MAX_REQUEST_ID_BYTES: usize = 64;

/// One edit of a change, with unparsed input of the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets a key; creates the node if it does not exist.
    Set {
        /// Path of the node.
        path: String,
        /// Name of the key.
        key: String,
        /// Value in text format.
        value: String,
    },
    /// Removes a key's value from a node, so that it is inherited.
    Unset {
        /// Path of the node.
        path: String,
        /// Name of the key.
        key: String,
    },
    /// Removes a node and all its descendants.
    Remove {
        /// Path of the node.
        path: String,
    },
}

impl Edit {
    /// Returns the unparsed path.
    pub fn path(&self) -> &str {
        match self {
            Self::Set { path, .. } | Self::Unset { path, .. } | Self::Remove { path } => path,
        }
    }

    fn text_bytes(&self) -> usize {
        match self {
            Self::Set { path, key, value } => path.len() + key.len() + value.len(),
            Self::Unset { path, key } => path.len() + key.len(),
            Self::Remove { path } => path.len(),
        }
    }
}

/// A change requested by an operator; its edits are applied atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the tree that the change is based on; it is refused for any other version.
    pub expected_version: u64,
    /// Idempotency key, unique per operator.
    pub request_id: String,
    /// The edits, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Checks the limits on request id and edits.
    ///
    /// Returns `InvalidValue` for a missing or too long request id or if there are no edits, and
    /// `Oversized` for too many or too long edits.
    pub fn check(&self) -> Result<()> {
        if self.request_id.is_empty() || self.request_id.len() > MAX_REQUEST_ID_BYTES {
            let detail = format!("a request id has 1 to {MAX_REQUEST_ID_BYTES} bytes");
            return Err(Error::new(Kind::InvalidValue, detail));
        }
        if self.edits.is_empty() {
            return Err(Error::new(Kind::InvalidValue, "the change has no edit"));
        }
        if self.edits.len() > MAX_EDITS {
            let detail = format!("the change has {} edits, at most {MAX_EDITS}", self.edits.len());
            return Err(Error::new(Kind::Oversized, detail));
        }
        if self.edits.iter().any(|edit| edit.text_bytes() > MAX_TEXT_BYTES) {
            let detail = format!("an edit has more than {MAX_TEXT_BYTES} bytes");
            return Err(Error::new(Kind::Oversized, detail));
        }
        Ok(())
    }

    /// Returns a digest that distinguishes a resend from another change with the same request id.
    pub fn digest(&self) -> [u8; 16] {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(bytes)[..16]);
        digest
    }
}

/// Command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Initializes an empty tree with its first operator, whose subtree is the root.
    Initialize {
        /// The operator's path.
        operator: Path,
        /// Salted hash of the operator's token.
        hash: TokenHash,
    },
    /// Changes the tree.
    Change {
        /// The operator, authenticated by the leader.
        operator: Path,
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        timestamp: u64,
        /// The requested change.
        change: Change,
    },
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
            .map_err(|error| Error::new(Kind::Internal, format!("a command won't encode: {error}")))
    }

    /// Decodes a command of the log; `Malformed` for invalid bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes)
            .map_err(|error| Error::new(Kind::Malformed, format!("no command of the log: {error}")))
    }
}

/// Outcome of a change; a resend gets the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change was committed and applied.
    Accepted {
        /// Version of the tree after the change.
        version: u64,
    },
    /// The change was refused; the tree is unchanged.
    Refused {
        /// Version of the tree when the change was refused.
        version: u64,
        /// Unparsed path of the refused edit; empty if the whole change was refused.
        path: String,
        /// Reason of the refusal.
        error: Error,
    },
}

impl ChangeOutcome {
    /// Encodes the outcome for the host that proposed the change.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an outcome; `Internal` for bytes that [`ChangeOutcome::encode`] did not write.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|error| {
            Error::new(Kind::Internal, format!("the log's answer won't decode: {error}"))
        })
    }
}

/// Refusal of an edit or of a whole change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Path of the refused edit; empty if the whole change is refused.
    pub path: String,
    /// Reason of the refusal.
    pub error: Error,
}

impl Refusal {
    /// Builds a refusal of the edit at a path.
    pub fn new(path: impl ToString, kind: Kind, detail: impl Into<String>) -> Self {
        Self { path: path.to_string(), error: Error::new(kind, detail) }
    }
}
