//! A catalog as an operator wrote it, and the checks that it has to pass.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use super::{Catalog, Idempotency, Route, ServiceKey, WeightedService};
use crate::error::{Error, Kind, Result};
use crate::time::Span;

/// A catalog that was decoded but not checked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawCatalog {
    /// The operator's version.
    pub version: u64,
    /// Names of services.
    pub services: Vec<String>,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// How long a flow may carry nothing before it may be forgotten.
    pub idle_timeout: Span,
}

/// A route that was decoded but not checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRoute {
    /// The operator's name for it.
    pub name: String,
    /// Front address and port.
    pub address: SocketAddrV4,
    /// Services with their weights.
    pub services: Vec<RawWeightedService>,
    /// Whether the requests inside are idempotent.
    pub idempotency: Idempotency,
    /// Time after which an answer is of no use to the caller.
    pub timeout: Span,
    /// Time within which answers are wanted.
    pub objective: Span,
    /// Importance where work has to be turned away; 0 is the highest.
    pub priority: u8,
}

/// A weighted service by name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawWeightedService {
    /// The service's name.
    pub service: String,
    /// Share of new flows; 0 takes none.
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
        name, services: named, idempotency: repeat, timeout, objective, priority, ..
    } = raw;
    if timeout == Span(0) {
        return Err(invalid(format!("route {name:?} has a timeout of 0 ms")));
    }
    let mut choices = Vec::with_capacity(named.len());
    for choice in named {
        let service = *keys.get(choice.service.as_str()).ok_or_else(|| {
            invalid(format!("route {name:?} names unknown service {:?}", choice.service))
        })?;
        if choice.weight > 0 {
            choices.push(WeightedService { service, weight: choice.weight });
        }
    }
    if choices.is_empty() {
        return Err(invalid(format!("route {name:?} leads to no service")));
    }
    Ok(Route { name, services: choices, idempotency: repeat, timeout, objective, priority })
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(Kind::InvalidValue, detail)
}
