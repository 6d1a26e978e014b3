//! Measurements of `lagoon-measure`, one module each; see docs/MEASUREMENTS.md.
//!
//! Each module but `meter` has `options`, a command-line parser, and `run`, which prints JSON
//! lines.

pub mod burst;
pub mod capacity;
pub mod meter;
pub mod path;
pub mod policy;
pub mod replica;
pub mod settings;
