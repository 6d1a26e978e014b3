//! The sizes that the users ask for in about two years, and what follows from them.

use serde::Serialize;

/// Seconds in a day.
pub const DAY: f64 = 86_400.0;

/// What a node may spend on control.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Budget {
    /// Cores.
    pub processor: f64,
    /// Bytes of memory.
    pub memory: f64,
    /// Bytes a second on the network, both ways together.
    pub bytes: f64,
    /// Seconds until a change is in force everywhere.
    pub seconds: f64,
}

/// The target size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Size {
    /// Hosts in all.
    pub nodes: f64,
    /// Hosts set aside for control.
    pub control: f64,
    /// Targets.
    pub targets: f64,
    /// Addresses, each a service.
    pub services: f64,
    /// Open flows.
    pub flows: f64,
    /// New flows a second.
    pub opens: f64,
    /// Data centres.
    pub centres: f64,
    /// Configuration changes a day.
    pub changes: f64,
    /// Hosts that are restarted or replaced on a day.
    pub restarts: f64,
    /// Hosts that fail on a day.
    pub failures: f64,
    /// Entry hosts of a group.
    pub group: f64,
}

/// Budget of a node for control, as the users state it.
pub const BUDGET: Budget =
    Budget { processor: 0.012, memory: 64.0 * 1024.0 * 1024.0, bytes: 8192.0, seconds: 15.0 };

/// The target size with five data centres in all.
pub const TARGET: Size = Size {
    nodes: 640.0,
    control: 7.0,
    targets: 3_600.0,
    services: 1_100.0,
    flows: 5_100_000.0,
    opens: 36_000.0,
    centres: 5.0,
    changes: 710.0,
    restarts: 1_100.0,
    failures: 11.0,
    group: 8.0,
};

impl Size {
    /// Returns the number of entry hosts.
    pub fn entries(&self) -> f64 {
        self.nodes - self.control
    }

    /// Returns the number of groups.
    pub fn groups(&self) -> f64 {
        (self.entries() / self.group).ceil()
    }

    /// Returns the services of one group.
    pub fn group_services(&self) -> f64 {
        (self.services / self.groups()).ceil()
    }

    /// Returns the targets of one group.
    pub fn group_targets(&self) -> f64 {
        (self.targets / self.groups()).ceil()
    }
}
