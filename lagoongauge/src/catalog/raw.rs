//! A catalog as submitted by an operator, and its validation.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use super::{Catalog, Idempotency, Route, ServiceKey, WeightedService};
use crate::error::{Error, Kind, Result};
use crate::time::Span;

/// A decoded catalog before validation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawCatalog {
    /// The operator's version.
    pub version: u64,
    /// All services.
    pub services: Vec<RawService>,
    /// All routes.
    pub routes: Vec<RawRoute>,
    /// Time without packets after which a flow may be dropped from tracking.
    pub idle_timeout: Span,
}

/// A decoded service before validation.
#[derive(Debug, Clone, PartialEq)]
pub struct RawService {
    /// The service's name.
    pub name: String,
    /// New flows per second that one of its targets bears while it warms up; `None` for no limit.
    pub warmup_rate: Option<f64>,
    /// Time from a start until one of its targets is warm, if it is declared.
    pub warmup_time: Option<Span>,
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
    /// Whether its requests have bodies of many packets, such as uploads.
    pub bulk: bool,
}

/// A service by name, with its weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawWeightedService {
    /// The service's name.
    pub service: String,
    /// Share of new flows; with 0 the service receives none.
    pub weight: u32,
}

impl From<&str> for RawService {
    fn from(name: &str) -> Self {
        Self { name: name.into(), warmup_rate: None, warmup_time: None }
    }
}

impl TryFrom<RawCatalog> for Catalog {
    type Error = Error;

    fn try_from(raw: RawCatalog) -> Result<Self> {
        let mut keys = IndexMap::new();
        let mut warmup_rates = IndexMap::new();
        let mut warmup_times = IndexMap::new();
        for RawService { name, warmup_rate, warmup_time } in &raw.services {
            let key = u16::try_from(keys.len()).map(ServiceKey);
            let key = key.map_err(|_| invalid("there are too many services"))?;
            if keys.insert(name.as_str(), key).is_some() {
                return Err(invalid(format!("service {name:?} is named twice")));
            }
            if let Some(rate) = check_rate(name, *warmup_rate)? {
                warmup_rates.insert(name.clone(), rate);
            }
            if let Some(time) = warmup_time {
                warmup_times.insert(name.clone(), *time);
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
        let services = raw.services.into_iter().map(|service| service.name).collect();
        let idle_timeout = raw.idle_timeout;
        Ok(Self { version, services, warmup_rates, warmup_times, routes, idle_timeout })
    }
}

fn check_rate(service: &str, rate: Option<f64>) -> Result<Option<f64>> {
    match rate {
        Some(rate) if !rate.is_finite() || rate < 0.0 => {
            let detail = format!("service {service:?} has a warm-up rate of {rate} flows a second");
            Err(invalid(detail))
        }
        rate => Ok(rate),
    }
}

fn check_route(raw: RawRoute, keys: &IndexMap<&str, ServiceKey>) -> Result<Route> {
    let RawRoute {
        name,
        services: raw_services,
        idempotency,
        timeout,
        objective,
        priority,
        bulk,
        ..
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
    Ok(Route { name, services, idempotency, timeout, objective, priority, bulk })
}

fn invalid(detail: impl Into<String>) -> Error {
    Error::new(Kind::InvalidValue, detail)
}
