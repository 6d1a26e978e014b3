//! Parts of routing that a deployment's settings switch on.
//!
//! A deployment whose settings ask for none of them is routed as if they did not exist; see
//! "Switches" in docs/design/README.md.

use crate::mark::switches::Switches;

/// Optional parts of routing.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Features {
    /// Limit on new flows to warming targets, for services that declare a warm-up rate.
    pub warmup_limit: Option<WarmupLimit>,
    /// Whether callers compete for too little room: requests are admitted by priority, and entry
    /// hosts pool what they see of failing targets. A catalog with bulk routes asks for this as
    /// well, see [`crate::catalog::Catalog::has_bulk_routes`].
    pub contended: bool,
    /// Bytes per second of this host's link, if it is limited.
    pub link_rate: Option<u64>,
    /// Mechanisms that the operator has switched off.
    pub switches: Switches,
}

/// Tolerance above the warm-up rate that a service declares, per target and second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimit {
    /// Factor on the declared rate.
    pub overage: f64,
    /// Flows on top of that.
    pub slack: f64,
}

impl WarmupLimit {
    /// Returns the new flows that all entry hosts together may send to a warming target in any
    /// second, given the rate that its service declares.
    pub fn flows_per_second(&self, declared_rate: f64) -> f64 {
        declared_rate * self.overage + self.slack
    }
}
