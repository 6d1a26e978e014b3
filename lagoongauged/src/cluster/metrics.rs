//! Metrics of a control host in the Prometheus text format.

use lagoongauge::replica::Store;
use prometheus::{Histogram, IntCounter, IntGauge, IntGaugeVec};

use super::host::Host;
use super::version::VersionMetrics;
use crate::daemon::metrics::{MetricRegistry, advance_to};

/// Upper bounds of the buckets of the change histogram, in seconds.
const CHANGE_TIME_BOUNDS_SECONDS: [f64; 8] = [0.002, 0.005, 0.01, 0.025, 0.1, 0.25, 1.0, 4.0];

/// Metrics of a control host; gauges are updated from its state at each scrape.
#[derive(Debug)]
pub struct Metrics {
    registry: MetricRegistry,
    changes: Histogram,
    version: IntGauge,
    voters: IntGauge,
    silent_voters: IntGauge,
    spare_voters: IntGauge,
    leads: IntGauge,
    current: IntGauge,
    entry_hosts: IntGauge,
    targets: IntGaugeVec,
    evacuated_centres: IntGauge,
    ignored: IntCounter,
    takeovers: IntCounter,
    versions: VersionMetrics,
}

/// Values of the label `state`, in the order of `Host::count_targets`.
const TARGET_STATES: [&str; 4] = ["serving", "silent", "draining", "gone"];

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = MetricRegistry::new("lagoon_control");
        let changes_help = "Time from a change's arrival at the leader to its acceptance.";
        let current_help = "1 while this host is in touch with a quorum, else 0.";
        let silent_help = "Voters that count as lost; 0 unless this host leads.";
        let spare_help = "Voters that may fail before the quorum is lost; meaningful only where this host leads.";
        let entry_hosts_help = "Entry hosts that are fed by any control host.";
        Ok(Self {
            changes: registry.histogram(
                "change_seconds",
                changes_help,
                &CHANGE_TIME_BOUNDS_SECONDS,
            )?,
            version: registry
                .gauge("catalog_version", "Version of the newest accepted catalog.")?,
            voters: registry.gauge("voters", "Control hosts that vote.")?,
            silent_voters: registry.gauge("silent_voters", silent_help)?,
            spare_voters: registry.gauge("spare_voters", spare_help)?,
            leads: registry.gauge("leads", "1 while this host leads, else 0.")?,
            current: registry.gauge("current", current_help)?,
            entry_hosts: registry.gauge("entry_hosts", entry_hosts_help)?,
            evacuated_centres: registry
                .gauge("evacuated_centres", "Data centres that operators have evacuated.")?,
            targets: registry.gauge_vec("targets", "Targets that are known, by state.", "state")?,
            ignored: registry.counter(
                "ignored_announcements",
                "Announcements of targets whose service is not in the catalog.",
            )?,
            takeovers: registry.counter(
                "address_takeovers",
                "Targets that announced the address of another one that had not said that it ends.",
            )?,
            versions: VersionMetrics::new(&registry)?,
            registry,
        })
    }

    /// Records the duration of a change.
    pub fn observe_change(&self, seconds: f64) {
        self.changes.observe(seconds);
    }

    /// Renders the metrics with current values.
    pub fn render<S: Store + 'static>(&self, host: &Host<S>) -> prometheus::Result<String> {
        self.version.set(host.document().version as i64);
        self.voters.set(host.voter_count() as i64);
        let health = host.voter_health().unwrap_or_default();
        self.silent_voters.set(health.silent.len() as i64);
        self.spare_voters.set(health.spare() as i64);
        self.leads.set(i64::from(host.leader() == Some(host.setup.host)));
        self.current.set(i64::from(host.is_current()));
        self.evacuated_centres.set(host.evacuated_centres().centres.len() as i64);
        self.entry_hosts.set(host.entry_hosts().len() as i64);
        for (state, count) in TARGET_STATES.iter().zip(host.count_targets()) {
            self.targets.with_label_values(&[state]).set(count);
        }
        advance_to(&self.ignored, host.ignored_announcements());
        advance_to(&self.takeovers, host.address_takeovers());
        self.versions.update(&host.versions.borrow());
        self.registry.render()
    }
}
