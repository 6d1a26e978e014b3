//! Front addresses as an entry host knows them.

use super::placement::TrafficPattern;
use crate::catalog::{Catalog, Idempotency, Route};
use crate::time::Span;

/// Flows after which their number of requests tells a habit.
const ENOUGH: u32 = 8;

/// Flows after which earlier ones count for half.
const FADE: u32 = 256;

/// Where the flows to one front address may go.
#[derive(Debug, Clone)]
pub(super) struct Frontend {
    /// Services that take new flows, with their shares; empty once the route was removed.
    pub(super) choices: Vec<(String, u32)>,
    /// All services that any catalog in force here has allowed.
    allowed: Vec<String>,
    /// Time after which an answer is of no use to the caller.
    pub(super) timeout: Span,
    /// Whether callers may repeat its requests.
    pub(super) repeat: Idempotency,
    /// Flows that began here lately.
    flows: u32,
    /// Requests that flows brought lately.
    requests: u32,
}

impl Frontend {
    pub(super) fn new(catalog: &Catalog, route: &Route) -> Self {
        let mut front = Self {
            choices: Vec::new(),
            allowed: Vec::new(),
            timeout: Span(0),
            repeat: route.idempotency,
            flows: 0,
            requests: 0,
        };
        front.renew(catalog, route);
        front
    }

    /// Takes over a route of a later catalog; flows that are open stay where they are.
    pub(super) fn renew(&mut self, catalog: &Catalog, route: &Route) {
        let names = catalog.services();
        let choices = route.services.iter();
        self.choices = choices
            .map(|choice| (names[usize::from(choice.service.0)].clone(), choice.weight))
            .collect();
        self.timeout = route.timeout;
        self.repeat = route.idempotency;
        for (name, _) in &self.choices {
            if !self.allowed.contains(name) {
                self.allowed.push(name.clone());
            }
        }
    }

    /// Notes that a flow began.
    pub(super) fn note_flow(&mut self) {
        self.flows += 1;
        if self.flows >= FADE {
            self.flows /= 2;
            self.requests /= 2;
        }
    }

    /// Notes that a flow brought a request.
    pub(super) fn note_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Returns what its flows bring, as seen lately.
    pub(super) fn habit(&self) -> TrafficPattern {
        let many = self.requests > 2 * self.flows.max(ENOUGH);
        if many { TrafficPattern::LongLived } else { TrafficPattern::SingleRequest }
    }

    /// Ends the route: nothing goes here any more.
    pub(super) fn remove(&mut self) {
        self.choices.clear();
        self.allowed.clear();
    }

    /// Tells whether the route was removed.
    pub(super) fn is_removed(&self) -> bool {
        self.choices.is_empty()
    }

    /// Tells whether flows of this front address may be at a service.
    pub(super) fn allows(&self, service: &str) -> bool {
        self.allowed.iter().any(|name| name == service)
    }

    /// Returns the service of a number that is drawn for each flow.
    pub(super) fn pick(&self, number: u64) -> Option<&str> {
        let total: u64 = self.choices.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = number.checked_rem(total)?;
        for (name, weight) in &self.choices {
            if rest < u64::from(*weight) {
                return Some(name);
            }
            rest -= u64::from(*weight);
        }
        None
    }
}
