//! The catalog: which service each front address leads to, replaced whole and ordered by version.
//!
//! An operator hands in a complete document with a version of its own. [`Catalog`] is its checked
//! meaning, [`CatalogStore`] the replicated state that keeps the newest accepted document as it was
//! handed in. See "Catalog" in docs/PLATFORM.md.
//!
//! Errors: `InvalidValue` from the checks, `StorageCorrupt` for a state that can't be read.

mod raw;
mod store;

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::time::Span;

pub use self::raw::{RawCatalog, RawRoute, RawWeightedService};
pub use self::store::{CatalogStore, Document};

/// A service's place in its catalog.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceKey(pub u16);

/// Whether a caller may repeat a request that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The request is idempotent.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
}

/// A service that new flows may go to, with its share of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// Share of new flows, in proportion to the route's other choices; never 0.
    pub weight: u32,
}

/// Where the flows to one front address go, and what their requests need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// Services that new flows may go to; never empty.
    pub services: Vec<WeightedService>,
    /// Whether the requests inside are idempotent.
    pub idempotency: Idempotency,
    /// Time after which an answer is of no use to the caller.
    pub timeout: Span,
    /// Time within which answers are wanted.
    pub objective: Span,
    /// Importance where work has to be turned away; 0 is the highest.
    pub priority: u8,
}

/// A checked catalog.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Catalog {
    version: u64,
    services: Vec<String>,
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

    /// Iterates over all routes with their front addresses.
    pub fn routes(&self) -> impl Iterator<Item = (SocketAddrV4, &Route)> + '_ {
        self.routes.iter().map(|(address, route)| (*address, route))
    }

    /// Returns how long a flow may carry nothing before it may be forgotten.
    pub fn idle_timeout(&self) -> Span {
        self.idle_timeout
    }
}
