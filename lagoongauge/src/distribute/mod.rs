//! Distribution of accepted settings from the control hosts to the entry hosts.
//!
//! A [`Source`] on each control host turns versions into deltas; a [`Receiver`] on each entry host
//! takes them in and never goes back. See "Distribution" in docs/DESIGN.md. Errors: `Malformed`
//! for an item that does not decode, `Oversized` for an update beyond its bound.

mod order;
mod receiver;
mod source;
mod table;

pub use order::order;
pub use receiver::{Offer, Outcome, PATIENCE, Receiver, Status};
pub use source::{HISTORY, Have, Source};
pub use table::{Digest, ITEM_BYTES, ITEMS, Item, ItemKey, Table, Update};
