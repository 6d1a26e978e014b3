//! Distribution of committed settings from the control hosts to the entry hosts.
//!
//! A [`Source`] on each control host computes deltas between versions; a [`Receiver`] on each entry
//! host applies them and never returns to an older version. See "Distribution" in docs/DESIGN.md.
//!
//! Errors: `Malformed` for an item that does not decode, `Oversized` for an update that exceeds a
//! limit.

mod order;
mod receiver;
mod source;
mod table;

pub use order::rank_control_hosts;
pub use receiver::{CONFIRMATION_WAIT, Offer, Outcome, Receiver, Status};
pub use source::{HISTORY_VERSIONS, Source, TableVersion};
pub use table::{Digest, Item, ItemKey, MAX_ITEM_BYTES, MAX_ITEMS, Table, Update};
