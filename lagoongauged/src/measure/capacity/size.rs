//! Deployment size that users ask for in about two years, and values derived from it.

use serde::Serialize;

/// Length of a day in seconds.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Resources that a node may use for control.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Budget {
    /// Processor time in cores.
    #[serde(rename = "processor")]
    pub cores: f64,
    /// Bytes of memory.
    pub memory: f64,
    /// Bytes per second on the network, in both directions together.
    #[serde(rename = "bytes")]
    pub byte_rate: f64,
    /// Seconds until a change is applied on all hosts.
    #[serde(rename = "seconds")]
    pub apply_seconds: f64,
}

/// Size of a deployment.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ClusterSize {
    /// All hosts.
    #[serde(rename = "nodes")]
    pub hosts: f64,
    /// Control hosts.
    #[serde(rename = "control")]
    pub control_hosts: f64,
    /// Targets.
    pub targets: f64,
    /// Services, each with one address.
    pub services: f64,
    /// Open flows.
    pub flows: f64,
    /// New flows per second.
    #[serde(rename = "opens")]
    pub flow_rate: f64,
    /// Data centres.
    pub centres: f64,
    /// Configuration changes per day.
    #[serde(rename = "changes")]
    pub daily_changes: f64,
    /// Hosts restarted or replaced per day.
    #[serde(rename = "restarts")]
    pub daily_restarts: f64,
    /// Host failures per day.
    #[serde(rename = "failures")]
    pub daily_failures: f64,
    /// Entry hosts per group.
    #[serde(rename = "group")]
    pub group_hosts: f64,
}

/// Budget of a node for control, as stated by the users.
pub const BUDGET: Budget =
    Budget { cores: 0.012, memory: 64.0 * 1024.0 * 1024.0, byte_rate: 8192.0, apply_seconds: 15.0 };

/// The target size, with five data centres in total.
pub const TARGET_SIZE: ClusterSize = ClusterSize {
    hosts: 640.0,
    control_hosts: 7.0,
    targets: 3_600.0,
    services: 1_100.0,
    flows: 5_100_000.0,
    flow_rate: 36_000.0,
    centres: 5.0,
    daily_changes: 710.0,
    daily_restarts: 1_100.0,
    daily_failures: 11.0,
    group_hosts: 8.0,
};

impl ClusterSize {
    /// Returns the number of entry hosts.
    pub fn entry_hosts(&self) -> f64 {
        self.hosts - self.control_hosts
    }

    /// Returns the number of groups.
    pub fn groups(&self) -> f64 {
        (self.entry_hosts() / self.group_hosts).ceil()
    }

    /// Returns the number of services per group.
    pub fn group_services(&self) -> f64 {
        (self.services / self.groups()).ceil()
    }

    /// Returns the number of targets per group.
    pub fn group_targets(&self) -> f64 {
        (self.targets / self.groups()).ceil()
    }
}
