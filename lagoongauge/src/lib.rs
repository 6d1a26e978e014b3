//! Core logic of lagoongauge, a layer-4 load balancer shared by the members of a consortium.
//!
//! Every module here is a deterministic state machine without I/O: it takes an event with the
//! current instant and returns actions. Sockets, clocks, threads and disks are handled by the
//! programs; see `docs/DESIGN.md`.

pub mod balance;
pub mod burn;
pub mod catalog;
pub mod distribute;
pub mod error;
pub mod flow;
pub mod forward;
pub mod group;
pub mod id;
pub mod limit;
pub mod mark;
pub mod node;
pub mod packet;
pub mod replica;
pub mod roster;
pub mod route;
pub mod settings;
pub mod target;
pub mod time;
pub mod wire;
