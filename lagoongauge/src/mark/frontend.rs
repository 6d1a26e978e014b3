//! Front addresses as an entry host knows them.

use super::placement::TrafficPattern;
use crate::catalog::{Catalog, Idempotency, Route};
use crate::time::Span;

/// Flows after which their number of requests tells a habit.
const MIN_FLOWS: u32 = 8;

/// Flows after which earlier ones count for half.
const DECAY_FLOWS: u32 = 256;

/// Where the flows to one front address may go.
#[derive(Debug, Clone)]
pub(super) struct Frontend {
    /// Services that take new flows, with their shares; empty once the route was removed.
    pub(super) services: Vec<(String, u32)>,
    /// All services that any catalog in force here has allowed.
    allowed_services: Vec<String>,
    /// Time after which an answer is of no use to the caller.
    pub(super) timeout: Span,
    /// Whether callers may idempotency its requests.
    pub(super) idempotency: Idempotency,
    /// Flows that began here lately.
    flows: u32,
    /// Requests that flows brought lately.
    requests: u32,
}

impl Frontend {
    pub(super) fn new(catalog: &Catalog, route: &Route) -> Self {
        let mut front = Self {
            services: Vec::new(),
            allowed_services: Vec::new(),
            timeout: Span(0),
            idempotency: route.idempotency,
            flows: 0,
            requests: 0,
        };
        front.update(catalog, route);
        front
    }

    /// Takes over a route of a later catalog; flows that are open stay where they are.
    pub(super) fn update(&mut self, catalog: &Catalog, route: &Route) {
        let names = catalog.services();
        let services = route.services.iter();
        self.services = services
            .map(|service| (names[usize::from(service.service.0)].clone(), service.weight))
            .collect();
        self.timeout = route.timeout;
        self.idempotency = route.idempotency;
        for (name, _) in &self.services {
            if !self.allowed_services.contains(name) {
                self.allowed_services.push(name.clone());
            }
        }
    }

    /// Notes that a flow began.
    pub(super) fn count_flow(&mut self) {
        self.flows += 1;
        if self.flows >= DECAY_FLOWS {
            self.flows /= 2;
            self.requests /= 2;
        }
    }

    /// Notes that a flow brought a request.
    pub(super) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns what its flows bring, as seen lately.
    pub(super) fn traffic_pattern(&self) -> TrafficPattern {
        let many = self.requests > 2 * self.flows.max(MIN_FLOWS);
        if many { TrafficPattern::LongLived } else { TrafficPattern::SingleRequest }
    }

    /// Ends the route: nothing goes here any more.
    pub(super) fn remove(&mut self) {
        self.services.clear();
        self.allowed_services.clear();
    }

    /// Tells whether the route was removed.
    pub(super) fn is_removed(&self) -> bool {
        self.services.is_empty()
    }

    /// Tells whether flows of this front address may be at a service.
    pub(super) fn allows(&self, service: &str) -> bool {
        self.allowed_services.iter().any(|name| name == service)
    }

    /// Returns the service of a number that is drawn for each flow.
    pub(super) fn pick_service(&self, number: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = number.checked_rem(total)?;
        for (name, weight) in &self.services {
            if rest < u64::from(*weight) {
                return Some(name);
            }
            rest -= u64::from(*weight);
        }
        None
    }
}
