//! Simulated operators, which read the configuration and change it: with valid, invalid, repeated,
//! conflicting and concurrent requests.

use std::net::SocketAddrV4;

use async_std::task::spawn_local;
use http_types::{Method, StatusCode};
use lagoon_ends::{CONFIG_PATH, Route, configuration, parse_version};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::callers::{PERMANENT_PORTS, UNROUTED_PORT, VERSIONED_PORT_BASE};
use crate::context::{Context, SharedContext, sleep_ms};
use crate::http_client::request;
use crate::judge::{Millis, Promise};
use crate::net::FRONTEND_IP;
use crate::targets::SERVICES;

/// Time within which a change is accepted while the control hosts are stable.
const ACCEPT_DEADLINE: Millis = 5000;

/// Delay before the first retry of a change; it grows by half per retry, up to a fifth of
/// [`ACCEPT_DEADLINE`].
const INITIAL_RETRY_DELAY: Millis = 150;

/// Share of responses to changes that are dropped.
const LOST_RESPONSE_SHARE: f64 = 0.05;

/// Path of the data centre that operators evacuate and take back.
const EVACUATION_PATH: &str = "/lagoongauge/evacuation/b";

/// Shortest and longest time for which the data centre is in use between two evacuations.
const IN_USE_TIME: (Millis, Millis) = (2000, 5000);

/// Shortest and longest time for which it is evacuated; flows are judged only for a part of it.
const EVACUATED_TIME: (Millis, Millis) = (9000, 18_000);

/// Shortest and longest time between two changes.
const CHANGE_INTERVAL: (Millis, Millis) = (300, 2500);

/// Returns the configuration document of a version.
pub fn configuration_text(version: u64) -> String {
    configuration(version, &routes(version, None))
}

fn routes(version: u64, extra_port: Option<u16>) -> Vec<Route> {
    let permanent = PERMANENT_PORTS.into_iter().zip(SERVICES);
    let versioned = (VERSIONED_PORT_BASE + version as u16, SERVICES[0]);
    let extra_port = extra_port.map(|port| (port, SERVICES[0]));
    let ports = permanent.chain([versioned]).chain(extra_port);
    let route = |(port, service): (u16, &str)| Route {
        address: SocketAddrV4::new(FRONTEND_IP, port),
        service: service.into(),
    };
    ports.map(route).collect()
}

/// Changes the configuration until the run is over.
pub async fn change_configuration(context: SharedContext, mut version: u64) {
    while !context.finished.get() {
        sleep_ms(context.random_range(CHANGE_INTERVAL.0..CHANGE_INTERVAL.1)).await;
        match context.random_range(0..10) {
            0 => put_invalid(&context, version + 1).await,
            1 => put_repeated(&context, version).await,
            2 => put_conflicting(&context).await,
            3 | 4 => {
                spawn_local(put_version(SharedContext::clone(&context), version + 2));
                version += 2;
                put_version(SharedContext::clone(&context), version - 1).await;
            }
            _ => {
                version += context.random_range(1..4);
                put_version(SharedContext::clone(&context), version).await;
            }
        }
    }
}

/// Sends a version until it is accepted.
pub async fn put_version(context: SharedContext, version: u64) {
    let body = configuration_text(version);
    context.judge.borrow_mut().record_sent(version);
    let change =
        Change { method: Method::Put, path: CONFIG_PATH, body, name: format!("version {version}") };
    if let Some(now) = send_until_accepted(&context, &change).await {
        context.judge.borrow_mut().record_accepted(version, now);
        context.counts.borrow_mut().configurations += 1;
    }
}

/// Evacuates a data centre and takes it back in turns until the run is over; the same seed draws the
/// same times between orders.
pub async fn evacuate_in_turns(context: SharedContext, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut evacuated = false;
    while !context.finished.get() {
        let (least, most) = if evacuated { EVACUATED_TIME } else { IN_USE_TIME };
        sleep_ms(random.random_range(least..most)).await;
        evacuated = !evacuated;
        let method = if evacuated { Method::Post } else { Method::Delete };
        let name = format!("order {method}");
        let change = Change { method, path: EVACUATION_PATH, body: String::new(), name };
        context.judge.borrow_mut().record_order_sent(evacuated, context.now());
        if let Some(now) = send_until_accepted(&context, &change).await {
            context.judge.borrow_mut().record_order_accepted(now);
            context.counts.borrow_mut().orders += 1;
        }
    }
}

/// Reads whether the data centre is evacuated.
pub async fn read_evacuated(context: &Context) -> Option<bool> {
    let order = context.judge.borrow().order();
    let host = context.choose(&context.control_addresses())?;
    let response = request(host, Method::Get, EVACUATION_PATH, "").await?;
    let evacuated =
        serde_json::from_str::<Value>(&response.body).ok()?.get("Evacuated")?.as_bool()?;
    let (now, mut judge) = (context.now(), context.judge.borrow_mut());
    judge.check_order_read(response.host, order, now, evacuated);
    Some(evacuated)
}

/// A change that an operator sends.
struct Change {
    method: Method,
    path: &'static str,
    body: String,
    /// Its name in findings.
    name: String,
}

/// Sends a change until it is accepted; returns the time of the response, or `None` if the change was
/// rejected or the run is over.
async fn send_until_accepted(context: &Context, change: &Change) -> Option<Millis> {
    let (name, sent_at) = (&change.name, context.now());
    let mut delay = INITIAL_RETRY_DELAY;
    let mut overdue = false;
    while !context.finished.get() {
        let host = context.choose(&context.control_addresses())?;
        let response = request(host, change.method, change.path, &change.body).await;
        let now = context.now();
        match response
            .filter(|_| !context.random_bool(LOST_RESPONSE_SHARE))
            .map(|response| response.status)
        {
            Some(StatusCode::Ok) => return Some(now),
            Some(status) if status.is_client_error() => {
                let detail = format!("control host {host} rejected valid {name}: {status}");
                context.record_finding(Promise::Answer, detail);
                return None;
            }
            _ => {}
        }
        // The control hosts must have been stable since the start of the deadline period.
        let window_start = now.saturating_sub(ACCEPT_DEADLINE);
        if !overdue
            && sent_at < window_start
            && context.judge.borrow().is_control_stable(window_start)
        {
            let detail =
                format!("{name}, sent at {sent_at}, was not accepted within {ACCEPT_DEADLINE} ms");
            context.record_finding(Promise::Answer, detail);
            overdue = true;
        }
        sleep_ms(delay).await;
        delay = (delay * 3 / 2).min(ACCEPT_DEADLINE / 5);
    }
    None
}

/// Sends an invalid version, which must be rejected.
async fn put_invalid(context: &Context, version: u64) {
    let invalid = configuration_text(version).replace(r#""TimeoutMs":1500"#, r#""TimeoutMs":0"#);
    if put_once(context, &invalid).await == Some(StatusCode::Ok) {
        context.record_finding(Promise::Answer, format!("invalid version {version} was accepted"));
    }
}

/// Sends an accepted version again, which must not be rejected.
async fn put_repeated(context: &Context, version: u64) {
    let status = put_once(context, &configuration_text(version)).await;
    if status.is_some_and(|status| status.is_client_error()) {
        let detail = format!("accepted version {version} was rejected when repeated: {status:?}");
        context.record_finding(Promise::Answer, detail);
    }
}

/// Sends other content under the newest accepted version; the additional route must never become active.
///
/// Under a version that is still being sent it might arrive first, and would then be the accepted content.
async fn put_conflicting(context: &Context) {
    let accepted = context.judge.borrow().accepted_version(context.now(), 0);
    let Some(version) = accepted else { return };
    let other = configuration(version, &routes(version, Some(UNROUTED_PORT)));
    put_once(context, &other).await;
}

async fn put_once(context: &Context, body: &str) -> Option<StatusCode> {
    let host = context.choose(&context.control_addresses())?;
    request(host, Method::Put, CONFIG_PATH, body).await.map(|response| response.status)
}

/// Reads the configuration, and whether the data centre is evacuated, until the run is over.
pub async fn read_configuration(context: SharedContext) {
    while !context.finished.get() {
        sleep_ms(context.random_range(200..800)).await;
        read_version(&context).await;
        read_evacuated(&context).await;
    }
}

/// Reads the configuration once and returns its version.
pub async fn read_version(context: &Context) -> Option<u64> {
    let sent_at = context.now();
    let host = context.choose(&context.control_addresses())?;
    let response = request(host, Method::Get, CONFIG_PATH, "").await?;
    if response.status != StatusCode::Ok {
        return None;
    }
    let Some(version) = parse_version(&response.body) else {
        context.record_finding(
            Promise::Read,
            format!("control host {} returned no configuration", response.host),
        );
        return None;
    };
    context.counts.borrow_mut().reads += 1;
    context.judge.borrow_mut().check_read(response.host, sent_at, context.now(), version);
    if !is_equal_json(&response.body, &configuration_text(version)) {
        context.record_finding(
            Promise::Read,
            format!("control host {} returned other content for version {version}", response.host),
        );
    }
    Some(version)
}

fn is_equal_json(one: &str, other: &str) -> bool {
    let read = |text: &str| serde_json::from_str::<Value>(text).ok();
    read(one).is_some_and(|one| Some(one) == read(other))
}
