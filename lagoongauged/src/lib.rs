//! Shared parts of the programs.

pub mod daemon;
pub mod measure;
