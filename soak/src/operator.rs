//! Operators: they change the configuration, err, send again, race and read.

use std::net::SocketAddrV4;

use async_std::task::spawn_local;
use http_types::{Method, StatusCode};
use lagoon_ends::{CONFIG_PATH, Route, configuration, parse_version};
use serde_json::Value;

use crate::callers::{NEVER, STEADY, VERSIONS};
use crate::calls::call;
use crate::judge::{Millis, Promise};
use crate::net::FRONT;
use crate::targets::SERVICES;
use crate::world::{Shared, World, pause};

/// Time in which a change is accepted while nothing is wrong.
const ACCEPT: Millis = 5000;

/// Pause before a call that failed is sent again, and by how much it grows.
const AGAIN: Millis = 150;

/// Share of answers that get lost on their way.
const LOST: f64 = 0.05;

/// Shortest and longest pause between two changes.
const PAUSE: (Millis, Millis) = (300, 2500);

/// Writes the configuration of a version.
pub fn text(version: u64) -> String {
    configuration(version, &routes(version, None))
}

fn routes(version: u64, more: Option<u16>) -> Vec<Route> {
    let steady = STEADY.into_iter().zip(SERVICES);
    let own = (VERSIONS + version as u16, SERVICES[0]);
    let more = more.map(|port| (port, SERVICES[0]));
    let all = steady.chain([own]).chain(more);
    let route = |(port, service): (u16, &str)| Route {
        address: SocketAddrV4::new(FRONT, port),
        service: service.into(),
    };
    all.map(route).collect()
}

/// Changes the configuration until the run is over.
pub async fn change(world: Shared, mut version: u64) {
    while !world.over.get() {
        pause(world.draw(PAUSE.0..PAUSE.1)).await;
        match world.draw(0..10) {
            0 => err(&world, version + 1).await,
            1 => repeat(&world, version).await,
            2 => contradict(&world, version).await,
            3 | 4 => {
                spawn_local(put(Shared::clone(&world), version + 2));
                version += 2;
                put(Shared::clone(&world), version - 1).await;
            }
            _ => {
                version += world.draw(1..4);
                put(Shared::clone(&world), version).await;
            }
        }
    }
}

/// Sends a version until it is accepted.
pub async fn put(world: Shared, version: u64) {
    let (text, sent) = (text(version), world.now());
    world.judge.borrow_mut().offered(version);
    let mut wait = AGAIN;
    let mut overdue = false;
    while !world.over.get() {
        let Some(host) = world.pick(&world.calls()) else { return };
        let reply = call(host, Method::Put, CONFIG_PATH, &text).await;
        let now = world.now();
        match reply.filter(|_| !world.chance(LOST)).map(|reply| reply.status) {
            Some(StatusCode::Ok) => {
                world.judge.borrow_mut().took(version, now);
                world.counts.borrow_mut().configurations += 1;
                return;
            }
            Some(status) if status.is_client_error() => {
                let detail = format!("{host} refuses version {version}, which is valid: {status}");
                world.find(Promise::Answer, detail);
                return;
            }
            _ => {}
        }
        // All of the time in which it should have been accepted must have been calm.
        let since = now.saturating_sub(ACCEPT);
        if !overdue && sent < since && world.judge.borrow().is_core_calm(since) {
            let detail = format!("version {version} is not accepted since {sent}");
            world.find(Promise::Answer, detail);
            overdue = true;
        }
        pause(wait).await;
        wait = (wait * 3 / 2).min(ACCEPT / 5);
    }
}

/// Sends what is invalid.
async fn err(world: &World, version: u64) {
    let invalid = text(version).replace(r#""TimeoutMs":1500"#, r#""TimeoutMs":0"#);
    if status(world, &invalid).await == Some(StatusCode::Ok) {
        world.find(Promise::Answer, format!("an invalid version {version} is accepted"));
    }
}

/// Sends what was accepted once more.
async fn repeat(world: &World, version: u64) {
    let status = status(world, &text(version)).await;
    if status.is_some_and(|status| status.is_client_error()) {
        let detail = format!("version {version} is refused when it comes again: {status:?}");
        world.find(Promise::Answer, detail);
    }
}

/// Sends other content under a version that was accepted; its route must never be in force.
async fn contradict(world: &World, version: u64) {
    let other = configuration(version, &routes(version, Some(NEVER)));
    status(world, &other).await;
}

async fn status(world: &World, text: &str) -> Option<StatusCode> {
    let host = world.pick(&world.calls())?;
    call(host, Method::Put, CONFIG_PATH, text).await.map(|reply| reply.status)
}

/// Reads the configuration until the run is over.
pub async fn read(world: Shared) {
    while !world.over.get() {
        pause(world.draw(200..800)).await;
        look(&world).await;
    }
}

/// Reads the configuration once; returns its version.
pub async fn look(world: &World) -> Option<u64> {
    let sent = world.now();
    let host = world.pick(&world.calls())?;
    let reply = call(host, Method::Get, CONFIG_PATH, "").await?;
    if reply.status != StatusCode::Ok {
        return None;
    }
    let Some(version) = parse_version(&reply.body) else {
        world.find(Promise::Read, format!("{} shows no configuration", reply.host));
        return None;
    };
    world.counts.borrow_mut().reads += 1;
    world.judge.borrow_mut().read(reply.host, sent, world.now(), version);
    if !is_same(&reply.body, &text(version)) {
        world.find(Promise::Read, format!("{} shows version {version} otherwise", reply.host));
    }
    Some(version)
}

fn is_same(one: &str, other: &str) -> bool {
    let read = |text: &str| serde_json::from_str::<Value>(text).ok();
    read(one).is_some_and(|one| Some(one) == read(other))
}
