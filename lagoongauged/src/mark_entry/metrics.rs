//! Metrics in the Prometheus text format; label values come from fixed lists only.

use indexmap::IndexMap;
use lagoongauge::mark::admission::contention::AdmissionCounts;
use lagoongauge::mark::{Cause, EjectionKind};
use lagoongauge::time::Span;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use super::state::State;
use crate::cluster::version::VersionMetrics;
use crate::daemon::metrics::{MetricRegistry, advance_to};

/// Upper bounds of the histogram of response times, in seconds.
const RESPONSE_TIME_BOUNDS_SECONDS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Priorities with a label of their own; lower ones share the last.
const PRIORITY_LABELS: [&str; 4] = ["0", "1", "2", "lower"];

/// Metrics of an entry host; values are copied from the state at each scrape.
#[derive(Debug)]
pub struct Metrics {
    registry: MetricRegistry,
    forwarded: IntCounter,
    begun: IntCounter,
    contested: IntCounter,
    held: IntCounter,
    reset: IntCounterVec,
    dropped: IntCounterVec,
    admitted: IntCounterVec,
    refused: IntCounterVec,
    pressure: IntGauge,
    unreadable: IntCounter,
    unsent: IntCounter,
    omitted: IntCounter,
    link_carried: IntCounter,
    bulk_begun: IntCounter,
    bulk_refused: IntCounter,
    response_times: Histogram,
    version: IntGauge,
    flows: IntGauge,
    targets: IntGauge,
    disabled: IntGauge,
    overloaded: IntGauge,
    ready: IntGauge,
    evacuated_centres: IntGauge,
    evidence: EvidenceMetrics,
    versions: VersionMetrics,
}

/// Metrics of the evidence that entry hosts pool on failing targets.
#[derive(Debug)]
struct EvidenceMetrics {
    sent: IntCounter,
    malformed: IntCounter,
    statements: IntCounterVec,
    changes: IntCounterVec,
    ejected: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let registry = MetricRegistry::new("lagoon_entry");
        let response_times_help =
            "Time from a request to the caller's first acknowledgement of its answer.";
        Ok(Self {
            forwarded: registry.counter("forwarded_packets", "Packets sent on to targets.")?,
            begun: registry.counter("begun_flows", "Flows that began here.")?,
            contested: registry.counter(
                "contested_flows",
                "Flows begun here whose SYN may have reached two targets.",
            )?,
            held: registry
                .counter("held_packets", "Packets held until the first catalog was active.")?,
            reset: registry.counter_vec(
                "reset_packets",
                "Packets answered with a reset.",
                "cause",
            )?,
            dropped: registry.counter_vec(
                "dropped_packets",
                "Packets dropped, by cause.",
                "cause",
            )?,
            admitted: registry.counter_vec(
                "admitted_flows",
                "Flows that had room where callers compete for it, by priority.",
                "priority",
            )?,
            refused: registry.counter_vec(
                "refused_flows",
                "Flows that had no room, by priority.",
                "priority",
            )?,
            pressure: registry.gauge(
                "room_taken_percent",
                "Part of this host's room at its fullest service that is taken.",
            )?,
            unreadable: registry
                .counter("unreadable_datagrams", "Datagrams that were no packet.")?,
            unsent: registry.counter("unsent_datagrams", "Datagrams that the system refused.")?,
            link_carried: registry.counter(
                "link_carried_bytes",
                "Bytes of callers' packets on a limited link of a contended deployment.",
            )?,
            bulk_begun: registry
                .counter("begun_bulk_flows", "Bulk flows that this host's link had room for.")?,
            bulk_refused: registry.counter(
                "refused_bulk_flows",
                "Bulk flows refused for want of room on the link.",
            )?,
            omitted: registry.counter("omitted_log_lines", "Decisions left out of the log.")?,
            response_times: registry.histogram(
                "request_wait_seconds",
                response_times_help,
                &RESPONSE_TIME_BOUNDS_SECONDS,
            )?,
            version: registry.gauge("catalog_version", "Version of the catalog in force.")?,
            flows: registry.gauge("flows", "Flows that are remembered.")?,
            targets: registry.gauge("serving_targets", "Targets that take new flows.")?,
            disabled: registry.gauge("disabled_mechanisms", "Mechanisms that are switched off.")?,
            overloaded: registry.gauge(
                "overloaded_services",
                "Services whose targets reject requests and answer late.",
            )?,
            ready: registry.gauge("ready", "1 while the fabric may send packets here, else 0.")?,
            evacuated_centres: registry
                .gauge("evacuated_centres", "Data centres that get no new flows from here.")?,
            evidence: EvidenceMetrics::new(&registry)?,
            versions: VersionMetrics::new(&registry)?,
            registry,
        })
    }

    /// Drains response times into the histogram. They must be taken from the router before its list
    /// is full, as it discards further ones.
    pub fn observe_response_times(&self, response_times: &mut Vec<Span>) {
        for time in response_times.drain(..) {
            self.response_times.observe(time.0 as f64 / 1000.0);
        }
    }

    /// Adds flows that were admitted and refused, by priority.
    pub fn count_admissions(&self, counts: &IndexMap<u8, AdmissionCounts>) {
        for (priority, counts) in counts {
            let label = PRIORITY_LABELS[usize::from(*priority).min(PRIORITY_LABELS.len() - 1)];
            self.admitted.with_label_values(&[label]).inc_by(counts.admitted.into());
            self.refused.with_label_values(&[label]).inc_by(counts.refused.into());
        }
    }

    /// Renders the metrics with the current values.
    pub fn render(&self, state: &State) -> prometheus::Result<String> {
        let counters = &state.counters;
        advance_to(&self.forwarded, counters.forwarded());
        advance_to(&self.begun, counters.begun());
        advance_to(&self.contested, state.contested_flows());
        advance_to(&self.held, counters.held());
        advance_to(&self.unreadable, counters.unreadable());
        advance_to(&self.unsent, counters.unsent());
        advance_to(&self.omitted, state.decisions.omitted());
        for cause in Cause::ALL {
            advance_to(&self.reset.with_label_values(&[cause.name()]), counters.reset(cause));
            advance_to(&self.dropped.with_label_values(&[cause.name()]), counters.dropped(cause));
        }
        self.evidence.update(state);
        self.versions.update(&state.versions());
        let link = state.link_use();
        advance_to(&self.link_carried, link.carried_bytes);
        advance_to(&self.bulk_begun, link.begun_flows);
        advance_to(&self.bulk_refused, link.refused_flows);
        let (flows, targets) = state.counts();
        self.version.set(state.version() as i64);
        self.flows.set(flows as i64);
        self.targets.set(targets as i64);
        self.pressure.set(state.pressure().into());
        self.disabled.set(state.disabled_count() as i64);
        self.overloaded.set(state.overloaded_count() as i64);
        self.ready.set(i64::from(state.is_ready()));
        self.evacuated_centres.set(state.evacuated_count() as i64);
        self.registry.render()
    }
}

impl EvidenceMetrics {
    fn new(registry: &MetricRegistry) -> prometheus::Result<Self> {
        Ok(Self {
            sent: registry.counter(
                "evidence_sent",
                "Datagrams about failing targets sent to other entry hosts.",
            )?,
            malformed: registry.counter(
                "evidence_malformed",
                "Datagrams about failing targets that could not be decoded.",
            )?,
            statements: registry.counter_vec(
                "evidence_statements",
                "Statements of other entry hosts about targets.",
                "outcome",
            )?,
            changes: registry.counter_vec(
                "ejection_changes",
                "Targets that new flows began to avoid, or that returned.",
                "change",
            )?,
            ejected: registry.gauge("ejected_targets", "Targets that new flows avoid now.")?,
        })
    }

    fn update(&self, state: &State) {
        advance_to(&self.sent, state.counters.evidence_sent());
        advance_to(&self.malformed, state.counters.evidence_malformed());
        let (counts, ejected) = state.evidence();
        let statements = |outcome| self.statements.with_label_values(&[outcome]);
        advance_to(&statements("accepted"), counts.accepted);
        advance_to(&statements("refused"), counts.refused);
        let changes = |change: EjectionKind| self.changes.with_label_values(&[change.name()]);
        advance_to(&changes(EjectionKind::Ejected), counts.ejected);
        advance_to(&changes(EjectionKind::Returned), counts.returned);
        advance_to(&changes(EjectionKind::Expired), counts.expired);
        self.ejected.set(ejected as i64);
    }
}
