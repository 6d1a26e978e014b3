//! Decisions of lagoongauge, a layer-4 load balancer for members who share one front door.
//!
//! Every module here is a pure state machine: an event goes in with a given instant, actions come
//! out. Sockets, clocks, threads and disks belong to the programs; see `docs/DESIGN.md`.

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
