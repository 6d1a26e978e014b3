//! The cases, each with a module of its own.

mod core_lost;
mod late_report;
mod lost_answer;
mod partial_report;
mod replaced;

use std::sync::Arc;

use crate::record::Record;
use crate::scene::Verdict;

/// Plays a case with or without its disruption; `None` if it could not run.
pub type Play = fn(&Arc<Record>, bool) -> Option<Verdict>;

/// Returns a case by its name.
pub fn find(name: &str) -> Option<Play> {
    match name {
        "core-lost" => Some(core_lost::play),
        "late-report" => Some(late_report::play),
        "lost-answer" => Some(lost_answer::play),
        "partial-report" => Some(partial_report::play),
        "replaced" => Some(replaced::play),
        _ => None,
    }
}
