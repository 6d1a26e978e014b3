//! Shared parts of the programs.

pub mod entry;
