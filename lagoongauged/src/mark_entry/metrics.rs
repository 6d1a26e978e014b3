//! Metrics in the Prometheus text format; label values come from fixed lists only.

use lagoongauge::mark::Cause;
use lagoongauge::time::Span;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use super::state::State;
use crate::daemon::series::{Series, raise};

/// Upper bounds of the histogram of response times, in seconds.
const WAIT_BOUNDS_SECONDS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Metrics of an entry host; values are copied from the state at each scrape.
#[derive(Debug)]
pub struct Metrics {
    series: Series,
    forwarded: IntCounter,
    begun: IntCounter,
    reset: IntCounterVec,
    dropped: IntCounterVec,
    unreadable: IntCounter,
    unsent: IntCounter,
    omitted: IntCounter,
    response_times: Histogram,
    version: IntGauge,
    flows: IntGauge,
    targets: IntGauge,
    ready: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> prometheus::Result<Self> {
        let series = Series::new("lagoon_entry");
        let help = "Time from a request to the caller's first acknowledgement of its answer.";
        Ok(Self {
            forwarded: series.counter("forwarded_packets", "Packets forwarded to targets.")?,
            begun: series.counter("begun_flows", "Flows started at this host.")?,
            reset: series.counters(
                "reset_packets",
                "Packets answered with a reset, by cause.",
                "cause",
            )?,
            dropped: series.counters("dropped_packets", "Packets dropped, by cause.", "cause")?,
            unreadable: series
                .counter("unreadable_datagrams", "Datagrams that could not be decoded.")?,
            unsent: series.counter("unsent_datagrams", "Datagrams that could not be sent.")?,
            omitted: series.counter("omitted_log_lines", "Decisions omitted from the log.")?,
            response_times: series.histogram("request_wait_seconds", help, &WAIT_BOUNDS_SECONDS)?,
            version: series.gauge("catalog_version", "Version of the active catalog.")?,
            flows: series.gauge("flows", "Flows in the flow table.")?,
            targets: series.gauge("serving_targets", "Targets that accept new flows.")?,
            ready: series.gauge("ready", "1 while the host is ready for packets, else 0.")?,
            series,
        })
    }

    /// Drains response times into the histogram. Must be called before the router's list is full, as
    /// it discards further ones.
    pub fn observe_response_times(&self, response_times: &mut Vec<Span>) {
        for time in response_times.drain(..) {
            self.response_times.observe(time.0 as f64 / 1000.0);
        }
    }

    /// Renders the metrics with the current values.
    pub fn render(&self, state: &State) -> prometheus::Result<String> {
        let counters = &state.counters;
        raise(&self.forwarded, counters.forwarded());
        raise(&self.begun, counters.begun());
        raise(&self.unreadable, counters.unreadable());
        raise(&self.unsent, counters.unsent());
        raise(&self.omitted, state.decisions.omitted());
        for cause in Cause::ALL {
            raise(&self.reset.with_label_values(&[cause.name()]), counters.reset(cause));
            raise(&self.dropped.with_label_values(&[cause.name()]), counters.dropped(cause));
        }
        let (flows, targets) = state.counts();
        self.version.set(state.version() as i64);
        self.flows.set(flows as i64);
        self.targets.set(targets as i64);
        self.ready.set(i64::from(state.is_ready()));
        self.series.render()
    }
}
