//! Tests of the data folder: restarts, truncation, flipped bytes, crashes, full disks and backups.

mod crash;
mod damage;
mod fake;
mod folder;
