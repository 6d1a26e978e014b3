//! Control hosts: the replicated settings, operators' calls, and the entry hosts' subscription.
//!
//! Errors are those of the settings and of the replicated log, and `Unreachable` and
//! `Unauthenticated` for connections; see docs/ERRORS.md.

mod answers;
mod book;
pub mod cable;
pub mod client;
pub mod command;
mod desk;
mod fault;
pub mod fleet;
mod host;
mod link;
mod links;
pub mod net;
mod notify;
pub mod options;
mod run;
mod seal;
mod server;
mod subscribe;
mod survey;
mod traffic;
mod view;

pub use book::{Book, Place};
pub use fault::Fault;
pub use run::{Site, begin, bind, run};
pub use subscribe::{Progress, Subscriber, subscribe};
pub use traffic::Traffic;
pub use view::{ControlView, EntryView};
