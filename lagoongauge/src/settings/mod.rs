//! Settings of the consortium: the tree that operators change and what it resolves to.
//!
//! Errors are `InvalidValue`, `Locked`, `Forbidden`, `NotFound`, `AddressTaken`, `QuotaExceeded`
//! and `VersionConflict` for a refused change, `Unauthenticated` for a wrong token, `Oversized`
//! beyond a bound; see docs/SETTINGS.md for the keys and docs/DESIGN.md for the tree.

mod change;
mod check;
mod path;
mod resolve;
mod resolved;
mod schema;
mod state;
mod token;
mod tree;
mod value;
mod view;

pub use change::{Answer, Change, Command, EDITS, Edit, REQUEST_BYTES, Refusal, TEXT_BYTES};
pub use path::{Level, Path};
pub use resolved::{Host, Member, Resolved, Service};
pub use schema::{Authority, KEYS, Key, KeyId, page};
pub use state::{ANSWERS, State};
pub use token::{Hash, Token};
pub use tree::{Node, Origin, Tree};
pub use value::{Type, Value};
pub use view::{Entry, Operation, dump, get};
