//! What one entry host counts for its services' objectives.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::objective::Objective;
use super::series::{EventCount, EventSeries, MINUTE_SLOTS, Window};
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Minutes that one point of a reported curve spans.
const CURVE_STEP_MINUTES: usize = 5;

/// Counts of one entry host; bounded by the number of services.
#[derive(Debug)]
pub struct EventCounters {
    start: Instant,
    services: IndexMap<ServiceId, [EventSeries; Objective::ALL.len()]>,
}

/// One host's counts, as it hands them to a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCounts {
    /// The host that counted.
    pub host: HostId,
    /// How long the host has been counting.
    pub covered: Span,
    /// Counts per service and objective.
    pub services: Vec<ObjectiveCounts>,
}

/// One host's counts for one objective of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectiveCounts {
    /// The service.
    pub service: ServiceId,
    /// The objective.
    pub objective: Objective,
    /// Counts per window, in the order of [`Window::ALL`].
    pub windows: [EventCount; Window::ALL.len()],
    /// Counts of the last 6 hours in steps of 5 minutes, the latest first.
    pub curve: Vec<EventCount>,
}

impl EventCounters {
    /// Builds an empty ledger that starts now.
    pub fn new(now: Instant) -> Self {
        Self { start: now, services: IndexMap::new() }
    }

    /// Returns the counts of the services that `visible` lets through.
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

    /// Counts one event of a service.
    pub fn record(&mut self, now: Instant, service: ServiceId, objective: Objective, good: bool) {
        let series = self
            .services
            .entry(service)
            .or_insert_with(|| Objective::ALL.map(|_| EventSeries::new(now)));
        let events = EventCount { good: u64::from(good), total: 1 };
        series[objective as usize].record(now, events);
    }

    /// Forgets the services that are no longer among the settings.
    pub fn retain(&mut self, is_kept: impl Fn(ServiceId) -> bool) {
        self.services.retain(|service, _| is_kept(*service));
    }
}

fn curve(series: &EventSeries, now: Instant) -> Vec<EventCount> {
    let minutes = series.minutes(now, MINUTE_SLOTS);
    let sum = |chunk: &[EventCount]| {
        let mut sum = EventCount::default();
        chunk.iter().for_each(|sample| sum.add(*sample));
        sum
    };
    minutes.chunks(CURVE_STEP_MINUTES).map(sum).collect()
}
