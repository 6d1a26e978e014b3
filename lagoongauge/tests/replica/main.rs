//! Tests of the replicated log with network and disk faults; see `world`.

mod codec;
mod model;
mod paths;
mod replacement;
mod rules;
mod unattended;
mod world;
