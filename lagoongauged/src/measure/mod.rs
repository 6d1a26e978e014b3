//! Measurements that `lagoon-measure` runs, one module each; see docs/MEASUREMENTS.md.
//!
//! A module offers `options`, a command-line parser, and `run`, which prints JSON lines.

pub mod burst;
pub mod capacity;
pub mod meter;
pub mod path;
pub mod policy;
pub mod replica;
pub mod settings;
