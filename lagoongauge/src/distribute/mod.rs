//! Distribution of accepted settings from the control hosts to the entry hosts.
//!
//! A [`Source`] on each control host turns versions into deltas; a [`Receiver`] on each entry host
//! takes them in and never goes back. See "Distribution" in docs/DESIGN.md. Errors: `Malformed`
//! for an item that does not decode, `Oversized` for an update beyond its bound.

mod order;
mod receiver;
mod source;
mod table;

pub use order::rank_control_hosts;
pub use receiver::{CONFIRMATION_WAIT, Offer, Outcome, Receiver, Status};
pub use source::{HISTORY_VERSIONS, Source, TableVersion};
pub use table::{Digest, Item, ItemKey, MAX_ITEM_BYTES, MAX_ITEMS, Table, Update};
