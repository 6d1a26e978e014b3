//! Event counters of an entry host for the objectives of its services.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::objective::Objective;
use super::series::{EventCount, EventSeries, MINUTE_SLOTS, Window};
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Minutes per point of a reported curve.
const CURVE_STEP_MINUTES: usize = 5;

/// Event counters of one entry host; memory is bounded by the number of services.
#[derive(Debug)]
pub struct EventCounters {
    start: Instant,
    services: IndexMap<ServiceId, [EventSeries; Objective::ALL.len()]>,
}

/// Event counts of one host for a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// The host.
    pub host: HostId,
    /// Time since the host started counting.
    pub covered: Span,
    /// Event counts per service and objective.
    pub services: Vec<ObjectiveCounts>,
}

/// Event counts of one host for one objective of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// The service.
    pub service: ServiceId,
    /// The objective.
    pub objective: Objective,
    /// Event counts per window, in the order of [`Window::ALL`].
    pub windows: [EventCount; Window::ALL.len()],
    /// Event counts of the last 6 hours in steps of 5 minutes, latest first.
    pub curve: Vec<EventCount>,
}

impl EventCounters {
    /// Builds empty counters that start now.
    pub fn new(now: Instant) -> Self {
        Self { start: now, services: IndexMap::new() }
    }

    /// Returns the event counts of the services for which `visible` returns true.
    pub fn report(
        &self,
        now: Instant,
        host: HostId,
        visible: impl Fn(ServiceId) -> bool,
    ) -> HostCounts {
        let mut services = Vec::new();
        for (service, series) in self.services.iter().filter(|(service, _)| visible(**service)) {
            for objective in Objective::ALL {
                services.push(ObjectiveCounts {
                    service: *service,
                    objective,
                    windows: Window::ALL
                        .map(|window| series[objective as usize].window(now, window)),
                    curve: curve(&series[objective as usize], now),
                });
            }
        }
        HostCounts { host, covered: now.since(self.start), services }
    }

    /// Records one event of a service.
    pub fn record(&mut self, now: Instant, service: ServiceId, objective: Objective, good: bool) {
        let series = self
            .services
            .entry(service)
            .or_insert_with(|| Objective::ALL.map(|_| EventSeries::new(now)));
        let events = EventCount { good: u64::from(good), total: 1 };
        series[objective as usize].record(now, events);
    }

    /// Drops the services for which `is_kept` returns false: those removed from the settings.
    pub fn retain(&mut self, is_kept: impl Fn(ServiceId) -> bool) {
        self.services.retain(|service, _| is_kept(*service));
    }
}

fn curve(series: &EventSeries, now: Instant) -> Vec<EventCount> {
    let minutes = series.minutes(now, MINUTE_SLOTS);
    let sum = |chunk: &[EventCount]| {
        let mut sum = EventCount::default();
        chunk.iter().for_each(|count| sum.add(*count));
        sum
    };
    minutes.chunks(CURVE_STEP_MINUTES).map(sum).collect()
}
