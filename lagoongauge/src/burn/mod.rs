//! Service-level burn: how fast a service uses up the errors that its objectives allow.
//!
//! Entry hosts count in [`EventCounters`]; their [`HostCounts`]s are summed into a [`BurnReport`], which names
//! the hosts that are missing. See "Burn" in docs/OPERATIONS.md.

mod counters;
mod objective;
mod report;
mod series;

pub use self::counters::{EventCounters, HostCounts, ObjectiveCounts};
pub use self::objective::{Goal, Objective};
pub use self::report::{Alert, BurnRate, BurnReport, ObjectiveReport};
pub use self::series::{EventCount, EventSeries, HOUR_SLOTS, MINUTE_SLOTS, Window};
