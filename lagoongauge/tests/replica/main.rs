//! Tests of the replicated log with network and disk faults; see `world`.

mod codec;
mod departure;
mod full_disks;
mod group;
mod lost_disk;
mod messages;
mod model;
mod paths;
mod quorum;
mod random_faults;
mod replacement;
mod rules;
mod simulation;
mod unattended;
mod world;
