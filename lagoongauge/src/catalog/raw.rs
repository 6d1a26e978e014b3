//! A catalog as submitted by an operator, and its validation.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use super::{Catalog, Idempotency, Route, ServiceKey, WeightedService};
use crate::error::{Error, Kind, Result};
use crate::time::Span;

/// A decoded catalog before validation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawCatalog {
    /// The operator's version.
    pub version: u64,
    /// Names of all services.
    pub services: Vec<String>,
    /// All routes.
    pub routes: Vec<RawRoute>,
    /// Time without packets after which a flow may be dropped from tracking.
    pub idle_timeout: Span,
}

/// A decoded route before validation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRoute {
    /// The operator's name for it.
    pub name: String,
    /// Frontend address and port.
    pub address: SocketAddrV4,
    /// Services with their weights.
    pub services: Vec<RawWeightedService>,
    /// Whether the requests of its flows are idempotent.
    pub idempotency: Idempotency,
    /// Time after which the caller no longer waits for an answer.
    pub timeout: Span,
    /// Latency objective of answers.
    pub objective: Span,
    /// Priority for load shedding; 0 is the highest.
    pub priority: u8,
}

/// A service by name, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawWeightedService {
    /// The service's name.
    pub service: String,
    /// Share of new flows; with 0 the service receives none.
    pub weight: u32,
}

impl TryFrom<RawCatalog> for Catalog {
    type Error = Error;

    fn try_from(raw: RawCatalog) -> Result<Self> {
        let mut keys = IndexMap::new();
        for name in &raw.services {
            let key = u16::try_from(keys.len()).map(ServiceKey);
            let key = key.map_err(|_| invalid("there are too many services"))?;
            if keys.insert(name.as_str(), key).is_some() {
                return Err(invalid(format!("service {name:?} is named twice")));
            }
        }
        let mut routes = IndexMap::with_capacity(raw.routes.len());
        for raw in raw.routes {
            let address = raw.address;
            let route = check_route(raw, &keys)?;
            let name = route.name.clone();
            if let Some(other) = routes.insert(address, route) {
                let detail = format!("routes {:?} and {name:?} both take {address}", other.name);
                return Err(invalid(detail));
            }
        }
        let Some(version) = Some(raw.version).filter(|version| *version > 0) else {
            return Err(invalid("version is 0; accepted: whole numbers from 1"));
        };
        Ok(Self { version, services: raw.services, routes, idle_timeout: raw.idle_timeout })
    }
}

fn check_route(raw: RawRoute, keys: &IndexMap<&str, ServiceKey>) -> Result<Route> {
    let RawRoute {
        name, services: raw_services, idempotency, timeout, objective, priority, ..
    } = raw;
    if timeout == Span(0) {
        return Err(invalid(format!("route {name:?} has a timeout of 0 ms")));
    }
    let mut services = Vec::with_capacity(raw_services.len());
    for raw_service in raw_services {
        let service = *keys.get(raw_service.service.as_str()).ok_or_else(|| {
            invalid(format!("route {name:?} names unknown service {:?}", raw_service.service))
        })?;
        if raw_service.weight > 0 {
            services.push(WeightedService { service, weight: raw_service.weight });
        }
    }
    if services.is_empty() {
        return Err(invalid(format!("route {name:?} leads to no service")));
    }
    Ok(Route { name, services, idempotency, timeout, objective, priority })
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(Kind::InvalidValue, detail)
}
