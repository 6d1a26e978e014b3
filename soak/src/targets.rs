//! Targets: they announce themselves, hold flows, drain, end and start again.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task::spawn_local;
use http_types::{Method, StatusCode};
use indexmap::IndexSet;
use lagoon_ends::{Announcement, Packet, SYN};

use crate::callers;
use crate::calls::call;
use crate::judge::{DRAIN, Millis, Passage};
use crate::world::{Shared, World, pause};

/// Names of the services.
pub const SERVICES: [&str; 2] = ["blue", "green"];

/// Interval at which targets announce themselves.
const INTERVAL: Millis = 1200;

/// Time after which an address is used again.
const REUSE: Millis = 2000;

/// Time for which a target tries to say that it drains.
const PATIENCE: Millis = 8000;

/// Shortest and longest time that a target serves.
const LIFE: (Millis, Millis) = (6000, 40_000);

/// Share of targets without a word at their end that start again under their name.
const AGAIN: f64 = 0.4;

/// Most addresses that targets use.
const ADDRESSES: u8 = 120;

/// Longest datagram in bytes.
const DATAGRAM: usize = 2048;

/// Time after which a target's socket looks whether the target still runs.
const LOOK: Duration = Duration::from_millis(100);

/// A target that runs.
#[derive(Debug)]
pub struct Target {
    /// Number of its service.
    pub service: usize,
    /// Since when its first announcement is acknowledged.
    pub known: Option<Millis>,
    /// Whether it takes no new flows.
    pub draining: bool,
    /// Callers' ends of the flows that it holds.
    pub flows: IndexSet<SocketAddrV4>,
    address: SocketAddrV4,
    sequence: u64,
    born: u64,
}

impl Target {
    fn announcement(&mut self) -> String {
        self.sequence += 1;
        let Self { address, draining, sequence, born, .. } = *self;
        let (service, centre) = (SERVICES[self.service].into(), "a".into());
        Announcement { service, address, centre, slots: 2, draining, sequence, incarnation: born }
            .to_body()
    }
}

impl World {
    /// Tells whether a service has a target that has been known for a while and takes flows.
    pub fn is_open(&self, service: usize) -> bool {
        let now = self.now();
        self.targets.borrow().values().any(|target| {
            let known = target.known.is_some_and(|at| at + DRAIN <= now);
            target.service == service && known && !target.draining
        })
    }

    fn free_address(&self) -> Option<SocketAddrV4> {
        let targets = self.targets.borrow();
        let used = |address: &SocketAddrV4| targets.values().any(|it| it.address == *address);
        (1..=ADDRESSES).map(|number| self.net.target(number)).find(|address| !used(address))
    }
}

/// Starts a target with this name, or with a new one.
pub async fn start(world: &Shared, service: usize, name: Option<u64>) {
    let Some(address) = world.free_address() else { return };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!("target address {address} can't be used: {error}");
            return;
        }
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64);
    let name = name.unwrap_or_else(|| world.draw(1 << 32..1 << 40));
    let (known, flows) = (None, IndexSet::new());
    let target = Target { service, known, draining: false, flows, address, sequence: 0, born };
    world.targets.borrow_mut().insert(name, target);
    spawn_local(serve(Shared::clone(world), name, born, socket));
    spawn_local(live(Shared::clone(world), name, born));
}

/// Ends a target without a word; it may start again under its name.
pub async fn crash(world: Shared) {
    let names: Vec<u64> = world.targets.borrow().keys().copied().collect();
    let Some(name) = world.pick(&names) else { return };
    let Some(target) = world.targets.borrow_mut().swap_remove(&name) else { return };
    world.judge.borrow_mut().crashed(world.now());
    pause(REUSE + world.draw(0..2000)).await;
    let again = world.chance(AGAIN) && !target.draining;
    start(&world, target.service, again.then_some(name)).await;
}

/// Announces a target until its life is over, then drains and ends it.
async fn live(world: Shared, name: u64, born: u64) {
    let path = Announcement::path(name);
    let end = world.now() + world.draw(LIFE.0..LIFE.1);
    while world.now() < end && !world.over.get() {
        let Some(body) = body(&world, name, born) else { return };
        if announce(&world, Method::Put, &path, &body).await {
            let now = world.now();
            let mut targets = world.targets.borrow_mut();
            if let Some(target) = targets.get_mut(&name).filter(|target| target.born == born) {
                target.known.get_or_insert(now);
            }
        }
        pause(INTERVAL).await;
    }
    let given_up = world.now() + PATIENCE;
    let mut acknowledged = false;
    while world.now() < given_up && !acknowledged {
        if let Some(target) = world.targets.borrow_mut().get_mut(&name) {
            target.draining = true;
        }
        let Some(body) = body(&world, name, born) else { return };
        acknowledged = announce(&world, Method::Put, &path, &body).await;
        pause(if acknowledged { 0 } else { 200 }).await;
    }
    if acknowledged {
        world.counts.borrow_mut().drains += 1;
        world.judge.borrow_mut().drained(name, world.now());
    }
    let end = world.now() + DRAIN + world.draw(500..4000);
    while world.now() < end {
        pause(INTERVAL.min(end.saturating_sub(world.now()))).await;
        let Some(body) = body(&world, name, born) else { return };
        announce(&world, Method::Put, &path, &body).await;
    }
    if body(&world, name, born).is_none() {
        return;
    }
    // A target ends with its last call, whether that is answered or not.
    world.targets.borrow_mut().swap_remove(&name);
    announce(&world, Method::Delete, &path, "").await;
    let service = world.draw(0..SERVICES.len() as u64) as usize;
    pause(REUSE).await;
    start(&world, service, None).await;
}

/// Returns a target's next announcement; nothing if it has ended.
fn body(world: &World, name: u64, born: u64) -> Option<String> {
    let mut targets = world.targets.borrow_mut();
    targets.get_mut(&name).filter(|target| target.born == born).map(Target::announcement)
}

async fn announce(world: &World, method: Method, path: &str, body: &str) -> bool {
    let Some(host) = world.pick(&world.calls()) else { return false };
    let reply = call(host, method, path, body).await;
    reply.is_some_and(|reply| reply.status == StatusCode::Ok)
}

/// Takes packets until the target has ended.
async fn serve(world: Shared, name: u64, born: u64, socket: UdpSocket) {
    let mut bytes = vec![0; DATAGRAM];
    loop {
        let received = timeout(LOOK, socket.recv_from(&mut bytes)).await;
        let runs = world.targets.borrow().get(&name).is_some_and(|target| target.born == born);
        if !runs || world.over.get() {
            return;
        }
        let Ok(Ok((length, SocketAddr::V4(from)))) = received else { continue };
        let Some((intended, packet)) = Packet::parse_delivered(&bytes[..length]) else { continue };
        if intended == name {
            take(&world, name, from, &packet);
        }
    }
}

fn take(world: &World, name: u64, from: SocketAddrV4, packet: &Packet) {
    let end = packet.source;
    let mut targets = world.targets.borrow_mut();
    let Some(target) = targets.get_mut(&name) else { return };
    let Some((front, sent)) = callers::first_packet(world, end) else { return };
    if packet.flags & SYN == 0 {
        let holds = target.flows.contains(&end);
        drop(targets);
        callers::arrived(world, name, holds, packet);
        return;
    }
    let service = target.service;
    target.flows.insert(end);
    drop(targets);
    let passage = Passage { host: *from.ip(), sent, now: world.now() };
    world.judge.borrow_mut().opened(passage, front, name, service);
    callers::opened(world, name, packet);
}
