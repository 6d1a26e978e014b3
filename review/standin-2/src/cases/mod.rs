//! The cases, each with a module of its own.

mod core_lost;
mod late_leave;
mod late_report;
mod partial_report;
mod torn_install;

use std::sync::Arc;

use crate::record::Record;
use crate::scene::Verdict;

/// Plays a case with or without its disruption; `None` if it could not run.
pub type Play = fn(&Arc<Record>, bool) -> Option<Verdict>;

/// Returns a case by its name.
pub fn find(name: &str) -> Option<Play> {
    match name {
        "core-lost" => Some(core_lost::play),
        "late-leave" => Some(late_leave::play),
        "late-report" => Some(late_report::play),
        "torn-install" => Some(torn_install::play),
        "partial-report" => Some(partial_report::play),
        _ => None,
    }
}
