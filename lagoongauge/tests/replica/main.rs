//! Tests of the replicated log over a network and disks that fail; see `world`.

mod codec;
mod model;
mod paths;
mod rules;
mod unattended;
mod world;
