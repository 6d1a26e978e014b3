//! Settings of the consortium: the tree that operators edit and the settings resolved from it.
//!
//! Errors are `InvalidValue`, `Locked`, `Forbidden`, `NotFound`, `AddressTaken`, `QuotaExceeded`
//! and `VersionConflict` for a refused change, `Unauthenticated` for an invalid token, `Oversized`
//! if a limit is exceeded; see docs/SETTINGS.md for the keys and docs/DESIGN.md for the tree.

mod access;
mod change;
mod path;
mod resolve;
mod resolved;
mod schema;
mod state;
mod token;
mod tree;
mod validate;
mod value;

pub use access::{Operation, SettingValue, dump, get};
pub use change::{
    Change, ChangeOutcome, Command, Edit, MAX_EDITS, MAX_REQUEST_ID_BYTES, MAX_TEXT_BYTES, Refusal,
};
pub use path::{Level, Path};
pub use resolved::{Host, Member, Resolved, Service};
pub use schema::{Authority, KEYS, Key, KeyId, render_key_table};
pub use state::{MAX_RECORDED_OUTCOMES, State};
pub use token::{Token, TokenHash};
pub use tree::{Node, Origin, Tree};
pub use value::{Type, Value};
