//! Burn rates of service-level objectives: how fast a service uses up its error budgets.
//!
//! Entry hosts record events in [`EventCounters`]; their [`HostCounts`] are summed into a
//! [`BurnReport`], which also lists the hosts without figures. See "Burn" in docs/OPERATIONS.md.

mod counters;
mod objective;
mod report;
mod series;

pub use self::counters::{EventCounters, HostCounts, ObjectiveCounts};
pub use self::objective::{Goal, Objective};
pub use self::report::{Alert, BurnRate, BurnReport, ObjectiveReport};
pub use self::series::{EventCount, EventSeries, HOUR_SLOTS, MINUTE_SLOTS, Window};
