//! Service-level burn: how fast a service uses up the errors that its objectives allow.
//!
//! Entry hosts count in a [`Ledger`]; their [`HostBurn`]s are summed into a [`Report`], which names
//! the hosts that are missing. See "Burn" in docs/OPERATIONS.md.

mod ledger;
mod objective;
mod report;
mod series;

pub use self::ledger::{HostBurn, Ledger, ServiceBurn};
pub use self::objective::{Goal, Objective};
pub use self::report::{Alert, Line, Rate, Report};
pub use self::series::{COARSE_SLOTS, FINE_SLOTS, Sample, Series, Window};
