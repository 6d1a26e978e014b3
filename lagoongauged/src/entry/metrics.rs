//! Metrics in the Prometheus text format; the labels come from closed lists only.

use lagoongauge::packet::Reason;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use super::Counters;

/// The metrics of an entry host; values are taken over from the counters at each scrape.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    packets: IntCounterVec,
    dropped: IntCounterVec,
    unsent: IntCounter,
    control: IntCounter,
    version: IntGauge,
    records: IntGauge,
    targets: IntGauge,
    leased: IntGauge,
}

/// What is shown beside the data path's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shown {
    /// Version of the settings in force.
    pub version: u64,
    /// Records of flows.
    pub records: u64,
    /// Targets whose announcements hold.
    pub targets: u64,
    /// Whether the host may act on its own.
    pub leased: bool,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let packets = IntCounterVec::new(
            Opts::new("lagoon_entry_packets_total", "Packets carried, by what was done."),
            &["outcome"],
        )?;
        let dropped = IntCounterVec::new(
            Opts::new("lagoon_entry_dropped_packets_total", "Packets dropped, by reason."),
            &["reason"],
        )?;
        let unsent = IntCounter::new(
            "lagoon_entry_unsent_datagrams_total",
            "Datagrams that the operating system did not take.",
        )?;
        let control = IntCounter::new(
            "lagoon_entry_peer_message_bytes_total",
            "Bytes of messages sent to other entry hosts.",
        )?;
        let version =
            IntGauge::new("lagoon_entry_settings_version", "Version of the settings in force.")?;
        let records = IntGauge::new("lagoon_entry_flow_records", "Records of flows held here.")?;
        let targets = IntGauge::new("lagoon_entry_targets", "Targets whose announcements hold.")?;
        let leased = IntGauge::new("lagoon_entry_leased", "1 while the host may act, else 0.")?;
        registry.register(Box::new(packets.clone()))?;
        registry.register(Box::new(dropped.clone()))?;
        registry.register(Box::new(unsent.clone()))?;
        registry.register(Box::new(control.clone()))?;
        registry.register(Box::new(version.clone()))?;
        registry.register(Box::new(records.clone()))?;
        registry.register(Box::new(targets.clone()))?;
        registry.register(Box::new(leased.clone()))?;
        Ok(Self { registry, packets, dropped, unsent, control, version, records, targets, leased })
    }

    /// Renders the metrics with the counters' values of now.
    pub fn render(&self, counters: &Counters, shown: Shown) -> prometheus::Result<String> {
        let outcomes = [
            ("sent", counters.sent()),
            ("relayed", counters.relayed()),
            ("refused", counters.refused()),
        ];
        for (outcome, value) in outcomes {
            raise(&self.packets.with_label_values(&[outcome]), value);
        }
        for reason in Reason::all() {
            raise(&self.dropped.with_label_values(&[reason.name()]), counters.dropped(reason));
        }
        raise(&self.unsent, counters.unsent());
        raise(&self.control, counters.control_bytes());
        self.version.set(shown.version as i64);
        self.records.set(shown.records as i64);
        self.targets.set(shown.targets as i64);
        self.leased.set(i64::from(shown.leased));
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Raises a counter to a value.
fn raise(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}

#[cfg(test)]
mod tests {
    use lagoongauge::forward::Step;

    use super::*;

    #[test]
    fn a_dropped_packet_is_shown_under_its_reason() {
        let counters = Counters::default();
        let metrics = Metrics::new().unwrap();
        counters.count(&Step::Drop(Reason::Fragment));
        for _ in 0..2 {
            let text = metrics.render(&counters, Shown::default()).unwrap();
            let line = "lagoon_entry_dropped_packets_total{reason=\"packet_fragment\"} 1\n";
            assert!(text.contains(line), "{text}");
        }
    }
}
