//! Soaks the real programs in random faults and judges what callers and targets see.
//!
//! Entry and control hosts run as processes, each on a loopback address of its own. Callers, targets
//! and operators are stand-ins within the soak, as is the fabric that hands packets in. Faults come
//! from outside the programs and from a seed: see [`plan`]. What must hold is in [`judge`]. The page
//! docs/SOAK.md tells how to run, read and replay it.

mod callers;
mod context;
mod faults;
mod http_client;
pub mod judge;
pub mod mutant;
mod net;
mod operator;
pub mod plan;
mod process;
mod proxy;
pub mod run;
mod targets;
