//! Entry host that routes packets by their marks.
//!
//! Subscribes to control hosts for the catalog and the targets. Entry hosts send each other their
//! load counts per target, mostly within a data centre. See "Entry hosts" in docs/PLATFORM.md.

mod counters;
mod data_plane;
mod decision_log;
mod evidence;
mod feed;
mod load_reports;
pub mod loss_log;
mod metrics;
mod run;
mod state;

pub use self::counters::Counters;
pub use self::decision_log::DecisionLog;
pub use self::run::{Options, run};
pub use self::state::{Decode, State};
