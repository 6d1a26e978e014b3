//! Error kinds, and how each kind maps to an HTTP status, an exit code and retry advice; see
//! docs/ERRORS.md.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the requested operation ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// It did not run, not even in part.
    No,
    /// It ran.
    Yes,
    /// It may have run; a resend with the same request id returns the outcome.
    Unknown,
}

/// Whether and when a caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retry {
    /// A retry fails in the same way until something is changed.
    Never,
    /// An immediate retry may succeed.
    Now,
    /// A later retry may succeed; the response names the delay if it is known.
    Later,
}

/// How an error kind is reported over HTTP, RPC and the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindInfo {
    /// Name of the kind in every protocol and output.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Process exit code.
    pub exit: u8,
    /// Whether the operation ran.
    pub ran: Ran,
    /// Whether to retry.
    pub retry: Retry,
    /// Human-readable description of the kind.
    pub meaning: &'static str,
}

macro_rules! kinds {
    ($($kind:ident, $name:literal, $status:literal, $exit:literal, $ran:ident, $retry:ident,
       $meaning:literal;)*) => {
        /// Kind of an error.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum Kind {
            $(#[doc = $meaning] $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns how the kind is reported.
            pub const fn info(self) -> KindInfo {
                match self {
                    $(Self::$kind => KindInfo {
                        name: $name,
                        status: $status,
                        exit: $exit,
                        ran: Ran::$ran,
                        retry: Retry::$retry,
                        meaning: $meaning,
                    },)*
                }
            }
        }
    };
}

kinds! {
    Usage, "usage", 400, 2, No, Never, "A flag, variable or argument is wrong.";
    Malformed, "malformed", 400, 3, No, Never, "The bytes do not follow the protocol.";
    Oversized, "oversized", 413, 3, No, Never, "A message or list is longer than its bound.";
    Fragment, "fragment", 400, 3, No, Never, "The packet is a fragment.";
    Unauthenticated, "unauthenticated", 401, 4, No, Never, "No valid proof of identity was given.";
    Forbidden, "forbidden", 403, 4, No, Never, "The identity may not do this here.";
    Replayed, "replayed", 401, 4, No, Never, "The message was seen before or is too old.";
    NotFound, "not_found", 404, 5, No, Never, "Nothing of this name exists.";
    VersionConflict, "version_conflict", 409, 6, No, Now, "The expected version is not the current one.";
    InvalidValue, "invalid_value", 422, 7, No, Never, "A value has the wrong type, unit or range.";
    Locked, "locked", 423, 7, No, Never, "A level above has locked the key.";
    AddressTaken, "address_taken", 409, 8, No, Later, "Another service holds the target's address.";
    Quarantined, "quarantined", 409, 8, No, Later, "The target's address was freed too short a time ago.";
    StaleGeneration, "stale_generation", 409, 8, No, Never, "A later generation of the target has announced itself.";
    QuotaExceeded, "quota_exceeded", 429, 9, No, Later, "The member's quota is used up.";
    FlowLimit, "flow_limit", 429, 9, No, Later, "The limit on open flows is reached.";
    RateLimit, "rate_limit", 429, 9, No, Later, "The limit on new flows a second is reached.";
    NoTarget, "no_target", 503, 10, No, Later, "The service has no target that takes new work.";
    NotLeader, "not_leader", 421, 11, No, Now, "Another control host leads; the answer names it where it is known.";
    NoQuorum, "no_quorum", 503, 11, No, Later, "Too few control hosts can be reached to accept a change.";
    NotCurrent, "not_current", 503, 11, No, Later, "The host can't tell whether its state is current.";
    UnknownOutcome, "unknown_outcome", 504, 12, Unknown, Now, "The change may have been accepted; a resend with the same request id tells.";
    Unroutable, "unroutable", 503, 10, Unknown, Now, "No route for the packet is known now.";
    Unreachable, "unreachable", 503, 13, Unknown, Later, "The host did not answer.";
    StorageFull, "storage_full", 507, 14, No, Later, "The disk has no room for the change.";
    StorageCorrupt, "storage_corrupt", 500, 15, No, Never, "The data folder is damaged.";
    StorageLocked, "storage_locked", 423, 15, No, Later, "Another process holds the data folder.";
    ShuttingDown, "shutting_down", 503, 13, No, Now, "The process is on its way out.";
    Internal, "internal", 500, 1, Unknown, Never, "The program met a state that it does not allow.";
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.info().name)
    }
}

/// An error with its kind and a description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind, which determines status, exit code and retry advice.
    pub kind: Kind,
    /// The object and the cause, as a phrase without a full stop.
    pub detail: String,
}

impl Error {
    /// Builds an error of a kind.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Error {}

/// Result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
