//! Shared parts of the programs.
