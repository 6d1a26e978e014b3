//! Tests of the data folder: restarts, cuts, flipped bytes, crashes, full disks and backups.

mod crash;
mod damage;
mod fake;
mod folder;
