//! Library behind the entry host, control host and command line programs.

pub mod burn;
pub mod cluster;
pub mod control;
pub mod ctl;
pub mod daemon;
pub mod engine;
pub mod entry;
pub mod frame;
pub mod mark_entry;
pub mod measure;
pub mod store;
