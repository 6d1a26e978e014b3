//! Simulated targets, which announce themselves, hold flows, drain, stop and restart.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task::spawn_local;
use http_types::{Method, StatusCode};
use indexmap::IndexSet;
use lagoon_ends::{Announcement, Packet, SYN};

use crate::callers;
use crate::context::{Context, SharedContext, sleep_ms};
use crate::http_client::request;
use crate::judge::{DRAIN_DEADLINE, FirstPacket, Millis};

/// Names of the services.
pub const SERVICES: [&str; 2] = ["blue", "green"];

/// Data centres of the targets; that of the entry hosts comes first.
const CENTRES: [&str; 2] = ["a", EVACUATED_CENTRE];

/// The data centre that operators evacuate and take back.
pub const EVACUATED_CENTRE: &str = "b";

/// Interval at which targets announce themselves.
const ANNOUNCE_INTERVAL: Millis = 1200;

/// Time after which the address of a stopped target is reused.
const ADDRESS_REUSE_DELAY: Millis = 2000;

/// Time after which a target stops retrying to announce that it drains.
const DRAIN_ANNOUNCE_TIMEOUT: Millis = 8000;

/// Shortest and longest time before a target drains.
const SERVING_TIME: (Millis, Millis) = (6000, 40_000);

/// Share of crashed targets that restart with the same id.
const RESTART_SHARE: f64 = 0.4;

/// Number of target addresses.
const MAX_ADDRESSES: u8 = 120;

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Interval at which the receiving task checks whether its target still runs.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// Index of its service.
    pub service: usize,
    /// Name of its data centre.
    pub centre: &'static str,
    /// When its first announcement was acknowledged.
    pub known_since: Option<Millis>,
    /// Whether it receives no new flows.
    pub draining: bool,
    /// Caller addresses of the flows that it holds.
    pub flows: IndexSet<SocketAddrV4>,
    address: SocketAddrV4,
    sequence: u64,
    incarnation: u64,
}

impl Target {
    fn next_announcement(&mut self) -> String {
        self.sequence += 1;
        let Self { address, draining, sequence, incarnation, .. } = *self;
        let (service, centre) = (SERVICES[self.service].into(), self.centre.into());
        Announcement { service, address, centre, slots: 2, draining, sequence, incarnation }
            .to_body()
    }
}

impl Context {
    /// Returns whether a service has a target that was announced at least [`DRAIN_DEADLINE`] ago,
    /// is not draining, and whose data centre is not evacuated.
    pub fn has_open_target(&self, service: usize) -> bool {
        let now = self.now();
        let taken_back = self.judge.borrow().takes_flows(now);
        self.targets.borrow().values().any(|target| {
            let known = target.known_since.is_some_and(|at| at + DRAIN_DEADLINE <= now);
            let in_use = target.centre != EVACUATED_CENTRE || taken_back;
            target.service == service && known && !target.draining && in_use
        })
    }

    fn free_address(&self) -> Option<SocketAddrV4> {
        let targets = self.targets.borrow();
        let used =
            |address: &SocketAddrV4| targets.values().any(|target| target.address == *address);
        (1..=MAX_ADDRESSES).map(|number| self.net.target(number)).find(|address| !used(address))
    }
}

/// Starts a target with this id, or with a new one.
pub async fn start(context: &SharedContext, service: usize, id: Option<u64>) {
    let Some(address) = context.free_address() else { return };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!("failed to bind target address {address}: {error}");
            return;
        }
    };
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let id = id.unwrap_or_else(|| context.random_range(1 << 32..1 << 40));
    let target = Target {
        service,
        centre: CENTRES[id as usize % CENTRES.len()],
        known_since: None,
        draining: false,
        flows: IndexSet::new(),
        address,
        sequence: 0,
        incarnation,
    };
    context.targets.borrow_mut().insert(id, target);
    spawn_local(receive_packets(SharedContext::clone(context), id, incarnation, socket));
    spawn_local(run_lifecycle(SharedContext::clone(context), id, incarnation));
}

/// Crashes a random target and starts another one, which may have the same id.
pub async fn crash(context: SharedContext) {
    let ids: Vec<u64> = context.targets.borrow().keys().copied().collect();
    let Some(id) = context.choose(&ids) else { return };
    let Some(target) = context.targets.borrow_mut().swap_remove(&id) else { return };
    context.judge.borrow_mut().record_crash(context.now());
    sleep_ms(ADDRESS_REUSE_DELAY + context.random_range(0..2000)).await;
    let restart = context.random_bool(RESTART_SHARE) && !target.draining;
    start(&context, target.service, restart.then_some(id)).await;
}

/// Announces a target for its serving time, then drains and stops it.
async fn run_lifecycle(context: SharedContext, id: u64, incarnation: u64) {
    let path = Announcement::path(id);
    let end_at = context.now() + context.random_range(SERVING_TIME.0..SERVING_TIME.1);
    while context.now() < end_at && !context.finished.get() {
        let Some(body) = next_body(&context, id, incarnation) else { return };
        if announce(&context, Method::Put, &path, &body).await {
            let now = context.now();
            let mut targets = context.targets.borrow_mut();
            if let Some(target) =
                targets.get_mut(&id).filter(|target| target.incarnation == incarnation)
            {
                target.known_since.get_or_insert(now);
            }
        }
        sleep_ms(ANNOUNCE_INTERVAL).await;
    }
    let deadline = context.now() + DRAIN_ANNOUNCE_TIMEOUT;
    let mut acknowledged = false;
    while context.now() < deadline && !acknowledged {
        if let Some(target) = context.targets.borrow_mut().get_mut(&id) {
            target.draining = true;
        }
        let Some(body) = next_body(&context, id, incarnation) else { return };
        acknowledged = announce(&context, Method::Put, &path, &body).await;
        sleep_ms(if acknowledged { 0 } else { 200 }).await;
    }
    if acknowledged {
        context.counts.borrow_mut().drains += 1;
        context.judge.borrow_mut().record_drained(id, context.now());
    }
    let end_at = context.now() + DRAIN_DEADLINE + context.random_range(500..4000);
    while context.now() < end_at {
        sleep_ms(ANNOUNCE_INTERVAL.min(end_at.saturating_sub(context.now()))).await;
        let Some(body) = next_body(&context, id, incarnation) else { return };
        announce(&context, Method::Put, &path, &body).await;
    }
    if next_body(&context, id, incarnation).is_none() {
        return;
    }
    // The target stops with this request, whether it is answered or not.
    context.targets.borrow_mut().swap_remove(&id);
    announce(&context, Method::Delete, &path, "").await;
    let service = context.random_range(0..SERVICES.len() as u64) as usize;
    sleep_ms(ADDRESS_REUSE_DELAY).await;
    start(&context, service, None).await;
}

/// Returns a target's next announcement; `None` if it has stopped.
fn next_body(context: &Context, id: u64, incarnation: u64) -> Option<String> {
    let mut targets = context.targets.borrow_mut();
    targets
        .get_mut(&id)
        .filter(|target| target.incarnation == incarnation)
        .map(Target::next_announcement)
}

async fn announce(context: &Context, method: Method, path: &str, body: &str) -> bool {
    let Some(host) = context.choose(&context.control_addresses()) else { return false };
    let response = request(host, method, path, body).await;
    response.is_some_and(|response| response.status == StatusCode::Ok)
}

/// Receives packets until the target has stopped.
async fn receive_packets(context: SharedContext, id: u64, incarnation: u64, socket: UdpSocket) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = timeout(POLL_INTERVAL, socket.recv_from(&mut bytes)).await;
        let runs = context
            .targets
            .borrow()
            .get(&id)
            .is_some_and(|target| target.incarnation == incarnation);
        if !runs || context.finished.get() {
            return;
        }
        let Ok(Ok((length, SocketAddr::V4(from)))) = received else { continue };
        let Some((intended, packet)) = Packet::parse_delivered(&bytes[..length]) else { continue };
        if intended == id {
            handle_packet(&context, id, from, &packet);
        }
    }
}

fn handle_packet(context: &Context, id: u64, from: SocketAddrV4, packet: &Packet) {
    let source = packet.source;
    let mut targets = context.targets.borrow_mut();
    let Some(target) = targets.get_mut(&id) else { return };
    let Some((frontend, sent_at)) = callers::first_packet(context, source) else { return };
    if packet.flags & SYN == 0 {
        let holds_flow = target.flows.contains(&source);
        drop(targets);
        callers::record_arrival(context, id, holds_flow, packet);
        return;
    }
    let (service, centre) = (target.service, target.centre);
    target.flows.insert(source);
    drop(targets);
    let first_packet = FirstPacket { host: *from.ip(), sent_at, seen_at: context.now() };
    context.judge.borrow_mut().check_opened(first_packet, frontend, id, service);
    if centre == EVACUATED_CENTRE {
        context.judge.borrow_mut().check_evacuated(first_packet);
    }
    callers::record_opened(context, id, packet);
}
