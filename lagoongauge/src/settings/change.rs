//! Changes to the settings tree and the answers to them.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::path::Path;
use super::token::TokenHash;
use crate::error::{Error, Kind, Result};

/// Most edits of one change.
pub const MAX_EDITS: usize = 256;

/// Longest text of an edit, in bytes.
pub const MAX_TEXT_BYTES: usize = 4096;

/// Longest request id, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 64;

/// One step of a change, with texts as the operator wrote them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Sets a key; creates the node where it is missing.
    Set {
        /// Path of the node.
        path: String,
        /// Name of the key.
        key: String,
        /// Value as a person writes it.
        value: String,
    },
    /// Takes a key's own value away, so that it is inherited.
    Unset {
        /// Path of the node.
        path: String,
        /// Name of the key.
        key: String,
    },
    /// Removes a node with everything below it.
    Remove {
        /// Path of the node.
        path: String,
    },
}

impl Edit {
    /// Returns the path as the operator wrote it.
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

/// A change that an operator asks for; its edits are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the tree that the operator saw.
    pub expected_version: u64,
    /// Id that makes a resend idempotent; unique per operator.
    pub request_id: String,
    /// The edits, in order.
    pub edits: Vec<Edit>,
}

impl Change {
    /// Checks the bounds that hold for every change.
    ///
    /// Returns `InvalidValue` for a missing id or edit and `Oversized` beyond a bound.
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

    /// Returns a digest that tells a resend from another change with the same id.
    pub fn digest(&self) -> [u8; 16] {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(bytes)[..16]);
        digest
    }
}

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Gives an empty tree its first operator, who holds the root.
    Initialize {
        /// The operator's path.
        operator: Path,
        /// Salted hash of the operator's token.
        hash: TokenHash,
    },
    /// Changes the tree.
    Change {
        /// The operator that proved itself to the leader.
        operator: Path,
        /// The leader's wall clock, in milliseconds since 1970.
        timestamp: u64,
        /// What the operator asks for.
        change: Change,
    },
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self)
            .map_err(|error| Error::new(Kind::Internal, format!("a command won't encode: {error}")))
    }

    /// Decodes a command of the log; `Malformed` for other bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes)
            .map_err(|error| Error::new(Kind::Malformed, format!("no command of the log: {error}")))
    }
}

/// Answer to a change, the same for each resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is accepted and durable.
    Accepted {
        /// Version of the tree with the change.
        version: u64,
    },
    /// The change did not run; the tree is as it was.
    Refused {
        /// Version of the tree when the change was refused.
        version: u64,
        /// Path that the refusal speaks of, as the operator wrote it; empty for the whole change.
        path: String,
        /// The reason.
        error: Error,
    },
}

impl ChangeOutcome {
    /// Encodes the answer for the host that waits for it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an answer; `Internal` for bytes that [`ChangeOutcome::encode`] did not write.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(|error| {
            Error::new(Kind::Internal, format!("the log's answer won't decode: {error}"))
        })
    }
}

/// Refusal of an edit, with the path that it speaks of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The path as the operator wrote it; empty for the whole change.
    pub path: String,
    /// The reason.
    pub error: Error,
}

impl Refusal {
    /// Builds a refusal that speaks of a path.
    pub fn new(path: impl ToString, kind: Kind, detail: impl Into<String>) -> Self {
        Self { path: path.to_string(), error: Error::new(kind, detail) }
    }
}
