//! The catalog: routes from frontend addresses to services, replaced as a whole and ordered by
//! version.
//!
//! An operator submits a complete document with its own version. [`Catalog`] is the validated
//! content, [`CatalogStore`] the replicated state that keeps the newest accepted document as it was
//! submitted, and beside it the [`Evacuations`] of data centres. See "Catalog" in docs/PLATFORM.md.
//!
//! Errors: `InvalidValue` from validation, `StorageCorrupt` for a state that can't be decoded.

mod evacuation;
mod raw;
mod returns;
mod store;

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::time::Span;

pub use self::evacuation::{
    CentreState, EvacuatedCentres, EvacuationOrder, Evacuations, OrderOutcome,
};
pub use self::raw::{RawCatalog, RawRoute, RawService, RawWeightedService};
pub use self::returns::RecentReturns;
pub use self::store::{CatalogStore, Document};

/// Index of a service in its catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// Whether a caller may retry a request that may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Idempotency {
    /// The request is idempotent.
    Idempotent,
    /// The request must be executed at most once.
    AtMostOnce,
}

/// A service for new flows with its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// Share of new flows, relative to the route's other services; never 0.
    pub weight: u32,
}

/// Services and request settings of one frontend address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// Services for new flows; never empty.
    pub services: Vec<WeightedService>,
    /// Whether the requests of its flows are idempotent.
    pub idempotency: Idempotency,
    /// Time after which the caller no longer waits for an answer.
    pub timeout: Span,
    /// Latency objective of answers.
    pub objective: Span,
    /// Priority for load shedding; 0 is the highest.
    pub priority: u8,
    /// Whether its requests have bodies of many packets, such as uploads.
    pub bulk: bool,
}

/// A validated catalog.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    version: u64,
    services: Vec<String>,
    /// New flows per second that a warming target of a service bears, for services that limit them.
    warmup_rates: IndexMap<String, f64>,
    /// Warm-up time of a service's targets, for services that declare it.
    warmup_times: IndexMap<String, Span>,
    routes: IndexMap<SocketAddrV4, Route>,
    idle_timeout: Span,
}

impl Catalog {
    /// Returns the operator's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the names of all services, in the order of their keys.
    pub fn services(&self) -> &[String] {
        &self.services
    }

    /// Returns how many new flows per second a target of this service bears while it warms up, or
    /// `None` if the service sets no limit.
    pub fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.warmup_rates.get(service).copied()
    }

    /// Returns the time from a start until a target of this service is warm, or `None` if the service
    /// does not declare it.
    pub fn warmup_time(&self, service: &str) -> Option<Span> {
        self.warmup_times.get(service).copied()
    }

    /// Returns whether any route carries bulk requests, which compete with all others for the links
    /// of entry hosts.
    pub fn has_bulk_routes(&self) -> bool {
        self.routes.values().any(|route| route.bulk)
    }

    /// Iterates over all routes with their frontend addresses.
    pub fn routes(&self) -> impl Iterator<Item = (SocketAddrV4, &Route)> + '_ {
        self.routes.iter().map(|(address, route)| (*address, route))
    }

    /// Returns the time without packets after which a flow may be dropped from tracking.
    pub fn idle_timeout(&self) -> Span {
        self.idle_timeout
    }
}
