//! Metrics in the Prometheus text format; label values come from fixed lists only.

use lagoongauge::packet::DropReason;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

use super::Counters;
use crate::daemon::metrics::{MetricRegistry, advance_to};

/// Metrics of an entry host; values are copied from the counters at each scrape.
#[derive(Debug)]
pub struct Metrics {
    registry: MetricRegistry,
    packets: IntCounterVec,
    dropped: IntCounterVec,
    unsent: IntCounter,
    peer_bytes: IntCounter,
    version: IntGauge,
    records: IntGauge,
    targets: IntGauge,
    leased: IntGauge,
}

/// Values of the gauges, which are not part of the data path's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GaugeValues {
    /// Version of the active settings.
    pub version: u64,
    /// Number of flow records.
    pub records: u64,
    /// Number of targets with a valid announcement.
    pub targets: u64,
    /// Whether the host holds its serving lease.
    pub leased: bool,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = MetricRegistry::new("lagoon_entry");
        let peer_bytes_help = "Bytes of messages sent to other entry hosts.";
        Ok(Self {
            packets: registry.counter_vec(
                "packets",
                "Packets carried, by what was done.",
                "outcome",
            )?,
            dropped: registry.counter_vec(
                "dropped_packets",
                "Packets dropped, by reason.",
                "reason",
            )?,
            unsent: registry
                .counter("unsent_datagrams", "Datagrams that the operating system did not take.")?,
            peer_bytes: registry.counter("peer_message_bytes", peer_bytes_help)?,
            version: registry.gauge("settings_version", "Version of the settings in force.")?,
            records: registry.gauge("flow_records", "Records of flows held here.")?,
            targets: registry.gauge("targets", "Targets whose announcements hold.")?,
            leased: registry.gauge("leased", "1 while the host may act, else 0.")?,
            registry,
        })
    }

    /// Renders the metrics with the current values.
    pub fn render(&self, counters: &Counters, gauges: GaugeValues) -> prometheus::Result<String> {
        let outcomes = [
            ("sent", counters.sent()),
            ("relayed", counters.relayed()),
            ("refused", counters.refused()),
        ];
        for (outcome, value) in outcomes {
            advance_to(&self.packets.with_label_values(&[outcome]), value);
        }
        for reason in DropReason::all() {
            advance_to(&self.dropped.with_label_values(&[reason.name()]), counters.dropped(reason));
        }
        advance_to(&self.unsent, counters.unsent());
        advance_to(&self.peer_bytes, counters.peer_bytes());
        self.version.set(gauges.version as i64);
        self.records.set(gauges.records as i64);
        self.targets.set(gauges.targets as i64);
        self.leased.set(i64::from(gauges.leased));
        self.registry.render()
    }
}

#[cfg(test)]
mod tests {
    use lagoongauge::forward::PacketAction;

    use super::*;

    #[test]
    fn dropped_packets_are_labelled_by_reason() {
        let counters = Counters::default();
        let metrics = Metrics::new().unwrap();
        counters.count(&PacketAction::Drop(DropReason::Fragment));
        for _ in 0..2 {
            let text = metrics.render(&counters, GaugeValues::default()).unwrap();
            let line = "lagoon_entry_dropped_packets_total{reason=\"packet_fragment\"} 1\n";
            assert!(text.contains(line), "{text}");
        }
    }
}
