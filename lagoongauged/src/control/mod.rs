//! Control hosts: replicated settings, the operators' API, and the subscription of entry hosts.
//!
//! Errors come from the settings and the replicated log; connections add `Unreachable` and
//! `Unauthenticated`. See docs/ERRORS.md.

mod address_book;
mod authenticated_stream;
pub mod client;
mod cluster_status;
pub mod command;
mod connection;
mod fault;
mod host;
mod host_service;
pub mod local_cluster;
mod notify;
mod operator_service;
pub mod options;
pub mod partition_cluster;
pub mod partition_proxy;
mod peer_links;
mod run;
mod server;
mod subscribe;
mod traffic;
mod view;

pub use address_book::{AddressBook, ControlEndpoint};
pub use fault::Fault;
pub use run::{HostConfig, bind, bootstrap, run};
pub use subscribe::{Progress, Subscriber, subscribe};
pub use traffic::Traffic;
pub use view::{ControlView, EntryView};
