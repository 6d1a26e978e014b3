//! Metrics of the versions that other hosts speak.

use prometheus::{IntCounterVec, IntGauge, Result};

use super::peers::PeerVersions;
use crate::daemon::metrics::{MetricRegistry, advance_to};

/// Metrics of the versions that other hosts speak; there is a counter for each host that sends messages
/// of a later version.
#[derive(Debug)]
pub(crate) struct VersionMetrics {
    lowest: IntGauge,
    incompatible: IntGauge,
    unknown: IntCounterVec,
}

impl VersionMetrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            lowest: registry.gauge(
                "lowest_peer_version",
                "Lowest version of messages that a host which this one knows speaks at best.",
            )?,
            incompatible: registry.gauge(
                "incompatible_peers",
                "Hosts that speak no version of messages which this one speaks.",
            )?,
            unknown: registry.counter_vec(
                "unknown_messages",
                "Messages of a later version, which were skipped, by their sender.",
                "peer",
            )?,
        })
    }

    /// Copies the current values.
    pub(crate) fn update(&self, versions: &PeerVersions) {
        self.lowest.set(versions.lowest().0.into());
        self.incompatible.set(versions.incompatible_count() as i64);
        for (peer, count) in versions.unknown_messages() {
            advance_to(&self.unknown.with_label_values(&[&peer.to_string()]), count);
        }
    }
}
