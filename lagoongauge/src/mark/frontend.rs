//! Frontend addresses as seen by an entry host.

use crate::catalog::{Catalog, Idempotency, Route};
use crate::mark::loss::RequestKind;
use crate::mark::placement::TrafficPattern;
use crate::time::Span;

/// Minimum number of flows assumed for the traffic pattern, as a few flows don't show it.
const MIN_FLOWS: u32 = 8;

/// Number of flows at which the counters are halved, so that earlier flows count for less.
const DECAY_FLOWS: u32 = 256;

/// Number of recent flows below which a frontend is hardly used.
const BUSY_FLOWS: u32 = 32;

/// A frontend address with the services that its flows may use.
#[derive(Debug, Clone)]
pub(super) struct Frontend {
    /// Services for new flows with their weights; empty after the route was removed.
    pub(super) services: Vec<(String, u32)>,
    /// All services of this route in any catalog that was active on this host.
    allowed_services: Vec<String>,
    /// Time after which the caller no longer waits for an answer.
    pub(super) timeout: Span,
    /// Time within which callers want an answer.
    objective: Span,
    /// Whether callers may retry its requests.
    pub(super) idempotency: Idempotency,
    /// Priority of its requests; 0 is the highest.
    pub(super) priority: u8,
    /// Whether its requests have bodies of many packets.
    pub(super) bulk: bool,
    /// Recently opened flows.
    flows: u32,
    /// Requests recently received on its flows.
    requests: u32,
}

impl Frontend {
    pub(super) fn new(catalog: &Catalog, route: &Route) -> Self {
        let mut frontend = Self {
            services: Vec::new(),
            allowed_services: Vec::new(),
            timeout: Span(0),
            objective: route.objective,
            idempotency: route.idempotency,
            priority: route.priority,
            bulk: route.bulk,
            flows: 0,
            requests: 0,
        };
        frontend.update(catalog, route);
        frontend
    }

    /// Applies the route of a later catalog; open flows keep their targets.
    pub(super) fn update(&mut self, catalog: &Catalog, route: &Route) {
        let names = catalog.services();
        let services = route.services.iter();
        self.services = services
            .map(|service| (names[usize::from(service.service.0)].clone(), service.weight))
            .collect();
        self.timeout = route.timeout;
        self.objective = route.objective;
        self.idempotency = route.idempotency;
        self.priority = route.priority;
        self.bulk = route.bulk;
        for (name, _) in &self.services {
            if !self.allowed_services.contains(name) {
                self.allowed_services.push(name.clone());
            }
        }
    }

    /// Returns the time within which callers want an answer.
    pub(super) fn objective(&self) -> Span {
        self.objective
    }

    /// Returns the kind of its requests.
    pub(super) fn request_kind(&self) -> RequestKind {
        RequestKind { idempotency: self.idempotency, objective: self.objective }
    }

    /// Counts a new flow.
    pub(super) fn count_flow(&mut self) {
        self.flows += 1;
        if self.flows >= DECAY_FLOWS {
            self.flows /= 2;
            self.requests /= 2;
        }
    }

    /// Returns whether so many flows are opened here that they add to a crowd.
    pub(super) fn is_busy(&self) -> bool {
        self.flows >= BUSY_FLOWS
    }

    /// Counts a request.
    pub(super) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns the traffic pattern of its recent flows: long-lived at more than two requests each.
    pub(super) fn traffic_pattern(&self) -> TrafficPattern {
        let many = self.requests > 2 * self.flows.max(MIN_FLOWS);
        if many { TrafficPattern::LongLived } else { TrafficPattern::SingleRequest }
    }

    /// Marks the route as removed: no service is allowed any more.
    pub(super) fn remove(&mut self) {
        self.services.clear();
        self.allowed_services.clear();
    }

    /// Returns whether the route was removed.
    pub(super) fn is_removed(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns whether flows of this frontend may use a service.
    pub(super) fn allows(&self, service: &str) -> bool {
        self.allowed_services.iter().any(|name| name == service)
    }

    /// Picks the service of a new flow by weight, using the flow's hash.
    pub(super) fn pick_service(&self, flow_hash: u64) -> Option<&str> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = flow_hash.checked_rem(total)?;
        for (name, weight) in &self.services {
            if rest < u64::from(*weight) {
                return Some(name);
            }
            rest -= u64::from(*weight);
        }
        None
    }
}
