//! Entry hosts that route by marks: packets in, decided on and sent on.
//!
//! Control hosts feed them catalog and targets; entry hosts of one data centre tell each other how
//! much they have open at each target. See "Entry hosts" in docs/PLATFORM.md.

mod counters;
mod data_plane;
mod decision_log;
mod feed;
mod load_reports;
mod metrics;
mod run;
mod state;

pub use self::counters::Counters;
pub use self::decision_log::DecisionLog;
pub use self::run::{Options, run};
pub use self::state::{Decode, State};
