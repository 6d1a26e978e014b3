//! Randomized fault test that runs the real programs and checks invariants of what callers and
//! targets observe.
//!
//! Entry and control hosts run as separate processes, each on its own loopback address. Callers,
//! targets, operators and the fabric that distributes packets to entry hosts are simulated. Faults
//! are injected from outside the programs and are drawn from a seed, see [`plan`]. The invariants
//! are in [`judge`]. docs/SOAK.md describes how to run the test, read its output and replay a seed.

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
