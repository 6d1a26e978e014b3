//! Shared parts of the programs.

pub mod burn;
pub mod control;
pub mod ctl;
pub mod daemon;
pub mod entry;
pub mod measure;
pub mod store;
