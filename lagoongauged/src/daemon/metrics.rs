//! Prometheus metrics of one program, registered under a common prefix.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, Result, TextEncoder,
};

/// A registry whose metric names share a prefix.
#[derive(Debug)]
pub struct MetricRegistry {
    prefix: &'static str,
    registry: Registry,
}

impl MetricRegistry {
    /// Builds an empty registry.
    pub fn new(prefix: &'static str) -> Self {
        Self { prefix, registry: Registry::new() }
    }

    /// Registers a counter; `_total` is appended to its name.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(format!("{}_{name}_total", self.prefix), help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Registers a counter with one label; `_total` is appended to its name.
    pub fn counter_vec(&self, name: &str, help: &str, label: &str) -> Result<IntCounterVec> {
        let opts = Opts::new(format!("{}_{name}_total", self.prefix), help);
        let counters = IntCounterVec::new(opts, &[label])?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(format!("{}_{name}", self.prefix), help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Registers a gauge with one label.
    pub fn gauge_vec(&self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
        let opts = Opts::new(format!("{}_{name}", self.prefix), help);
        let gauges = IntGaugeVec::new(opts, &[label])?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Registers a histogram; its upper bounds are in the unit of its name.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Result<Histogram> {
        let opts = HistogramOpts::new(format!("{}_{name}", self.prefix), help);
        let histogram = Histogram::with_opts(opts.buckets(bounds.to_vec()))?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// Increases a counter to a total that is counted elsewhere; never decreases it.
pub fn advance_to(counter: &IntCounter, value: u64) {
    counter.inc_by(value.saturating_sub(counter.get()));
}
