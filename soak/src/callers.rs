//! Callers and their flows.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use async_std::task::spawn_local;
use lagoon_ends::{ACK, FIN, Packet, RST, SYN};

use crate::judge::{Front, Millis, Passage, Promise};
use crate::net::{FRONT, PACKETS};
use crate::world::{Shared, World, pause};

/// Front ports of the routes that every configuration has; their places are their services.
pub const STEADY: [u16; 2] = [443, 8443];

/// Front port of the route that only one version has, less the version.
pub const VERSIONS: u16 = 20_000;

/// A front port that never has a route.
pub const NEVER: u16 = 30_001;

/// Pauses after each copy of a first packet.
const COPIES: [Millis; 3] = [200, 400, 800];

/// Pause between two looks whether a first packet is answered.
const LOOK: Millis = 10;

/// Shortest and longest pause between two packets of a flow.
const BEAT: (Millis, Millis) = (120, 400);

/// Shortest and longest life of a flow.
const LIFE: (Millis, Millis) = (2000, 25_000);

/// Packets at other targets, and none at its own, that break a flow within the time below.
const ASTRAY: usize = 3;

/// Time in which they count.
const REORDER: Millis = 2000;

/// Time without an arrival, and packets that were sent in it, after which a flow is stuck.
const STUCK: (Millis, u32) = (3000, 6);

/// Sequence number of a caller's first data.
const FIRST: u32 = 1001;

/// Sequence number of a target's first data.
const ANSWERS: u32 = 5001;

/// Bytes of a flow's packet.
const DATA: usize = 10;

/// Longest datagram in bytes.
const DATAGRAM: usize = 2048;

/// How far a flow is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Opening,
    /// Open at this target.
    Open(u64),
    Ended,
}

/// A flow as its caller sees it.
#[derive(Debug)]
pub struct Flow {
    front: Front,
    state: State,
    /// When the first packet was sent.
    sent: Millis,
    echo: u32,
    /// Bytes that have arrived at the target.
    arrived: u32,
    /// When the last packet arrived there.
    heard: Millis,
    /// Packets that were sent since.
    waiting: u32,
    /// When packets arrived at other targets.
    astray: Vec<Millis>,
}

impl Front {
    fn port(self) -> u16 {
        match self {
            Self::Steady(service) => STEADY[service],
            Self::Version(version) => VERSIONS + version as u16,
            Self::Never => NEVER,
        }
    }

    fn service(self) -> usize {
        match self {
            Self::Steady(service) => service,
            Self::Version(_) | Self::Never => 0,
        }
    }
}

/// Opens a flow, and keeps it for a while if it `stays`.
pub async fn run(world: Shared, front: Front, stays: bool) {
    let Some(end) = open(&world, front).await else { return };
    let over = world.now() + if stays { world.draw(LIFE.0..LIFE.1) } else { 0 };
    while world.now() < over && !world.over.get() && talk(&world, end) {
        pause(world.draw(BEAT.0..BEAT.1)).await;
    }
    send(&world, end, FIN | ACK);
    pause(100).await;
    world.flows.borrow_mut().swap_remove(&end);
    for target in world.targets.borrow_mut().values_mut() {
        target.flows.swap_remove(&end);
    }
}

/// Keeps as many flows and probes going as asked, until the run is over.
pub async fn keep(world: Shared, flows: usize) {
    while !world.over.get() {
        if world.flows.borrow().len() < flows {
            let front = Front::Steady(world.draw(0..STEADY.len() as u64) as usize);
            spawn_local(run(Shared::clone(&world), front, true));
        }
        pause(world.draw(40..200)).await;
    }
}

/// Tries routes of the newest, of older and of no versions, until the run is over.
pub async fn probe(world: Shared) {
    while !world.over.get() {
        pause(world.draw(60..200)).await;
        let Some(newest) = world.judge.borrow().accepted(world.now(), 0) else { continue };
        let front = match world.draw(0..8) {
            0 => Front::Never,
            1 | 2 => Front::Version(newest.saturating_sub(world.draw(1..4)).max(1)),
            3 => Front::Steady(world.draw(0..STEADY.len() as u64) as usize),
            _ => Front::Version(newest),
        };
        spawn_local(run(Shared::clone(&world), front, false));
    }
}

/// Sends a first packet and its copies; returns the caller's end of a flow that is open.
async fn open(world: &Shared, front: Front) -> Option<SocketAddrV4> {
    let caller = world.draw(0..world.callers.len() as u64) as u8;
    let port = world.draw(1024..65_000) as u16;
    let end = SocketAddrV4::new(world.net.caller(1 + caller), port);
    if world.flows.borrow().contains_key(&end) {
        return None;
    }
    let sent = world.now();
    let (state, astray) = (State::Opening, Vec::new());
    let flow = Flow { front, state, sent, echo: 0, arrived: 0, heard: sent, waiting: 0, astray };
    world.flows.borrow_mut().insert(end, flow);
    let mut asked = Vec::new();
    for wait in COPIES {
        asked.extend(send(world, end, SYN));
        let until = world.now() + wait;
        while world.now() < until {
            pause(LOOK).await;
            match world.flows.borrow().get(&end).map(|flow| flow.state) {
                Some(State::Opening) => {}
                Some(State::Open(_)) => return Some(end),
                Some(State::Ended) | None => break,
            }
        }
        if world.flows.borrow().get(&end).is_none_or(|flow| flow.state == State::Ended) {
            world.flows.borrow_mut().swap_remove(&end);
            return None;
        }
    }
    world.flows.borrow_mut().swap_remove(&end);
    if world.is_open(front.service()) {
        world.judge.borrow_mut().unanswered(&asked, sent, world.now(), front);
    }
    None
}

/// Sends a flow's next data, or the same again; tells whether the flow goes on.
fn talk(world: &World, end: SocketAddrV4) -> bool {
    let Some(State::Open(target)) = world.flows.borrow().get(&end).map(|flow| flow.state) else {
        return false;
    };
    let lives = holds(world, target, end);
    send(world, end, ACK);
    let mut flows = world.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&end) else { return false };
    flow.waiting += 1;
    let (now, heard, waiting) = (world.now(), flow.heard, flow.waiting);
    let stuck = lives && now > heard + STUCK.0 && waiting > STUCK.1 && world.is_calm();
    if stuck {
        let detail = format!("flow {end} to {target:x}: {waiting} packets in vain since {heard}");
        world.find(Promise::Stuck, detail);
        flow.state = State::Ended;
    }
    !stuck
}

/// Hands a packet of a flow to an entry host, which is returned.
fn send(world: &World, end: SocketAddrV4, flags: u8) -> Option<Ipv4Addr> {
    let host = world.steer(end)?;
    let packet = {
        let flows = world.flows.borrow();
        let flow = flows.get(&end)?;
        let first = flags & SYN != 0;
        Packet {
            source: end,
            destination: SocketAddrV4::new(FRONT, flow.front.port()),
            flags,
            echo: if first { 0 } else { flow.echo },
            sequence: if first { FIRST - 1 } else { FIRST + flow.arrived },
            acknowledged: if first { 0 } else { ANSWERS + flow.arrived },
            data: vec![0; if flags == ACK { DATA } else { 0 }],
            has_checksum: true,
        }
    };
    let socket = &world.callers[usize::from(end.ip().octets()[3] - 1)];
    let bytes = packet.to_bytes();
    let to = SocketAddrV4::new(host, PACKETS);
    let sent = futures::FutureExt::now_or_never(socket.send_to(&bytes, to));
    if let Some(Err(error)) = sent {
        log::debug!("entry host {host} takes no packets: {error}");
    }
    Some(host)
}

/// Takes what entry hosts send to a caller, which can only be resets.
pub async fn listen(world: Shared, caller: usize) {
    let mut bytes = vec![0; DATAGRAM];
    while !world.over.get() {
        match world.callers[caller].recv_from(&mut bytes).await {
            Ok((length, SocketAddr::V4(from))) => {
                let packet = Packet::parse(&bytes[..length]);
                if let Some(packet) = packet.filter(|packet| packet.flags & RST != 0) {
                    reset(&world, *from.ip(), packet.destination);
                }
            }
            Ok(_) => {}
            Err(error) => log::debug!("caller {caller} received nothing: {error}"),
        }
    }
}

fn reset(world: &World, host: Ipv4Addr, end: SocketAddrV4) {
    let mut flows = world.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&end) else { return };
    let (state, front) = (flow.state, flow.front);
    let passage = Passage { host, sent: flow.sent, now: world.now() };
    flow.state = State::Ended;
    drop(flows);
    match state {
        State::Opening => {
            world.counts.borrow_mut().refused += 1;
            let open = world.is_open(front.service());
            world.judge.borrow_mut().refused(passage, front, open);
        }
        State::Open(target) if matches!(front, Front::Steady(_)) && holds(world, target, end) => {
            let detail = format!("{host} reset flow {end}, whose target {target:x} lives");
            world.find(Promise::Reset, detail);
        }
        State::Open(_) | State::Ended => {}
    }
}

fn holds(world: &World, target: u64, end: SocketAddrV4) -> bool {
    world.targets.borrow().get(&target).is_some_and(|target| target.flows.contains(&end))
}

/// Returns what a flow's first packet was for and when it was sent.
pub fn first_packet(world: &World, end: SocketAddrV4) -> Option<(Front, Millis)> {
    world.flows.borrow().get(&end).map(|flow| (flow.front, flow.sent))
}

/// Notes that a target answered a first packet; callers return the last mark that they got.
pub fn opened(world: &World, target: u64, packet: &Packet) {
    let mut flows = world.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&packet.source) else { return };
    flow.echo = packet.echo;
    if flow.state == State::Opening {
        flow.state = State::Open(target);
        flow.heard = world.now();
        world.counts.borrow_mut().flows += 1;
    }
}

/// Notes that a later packet of a flow arrived at a target, which may not hold the flow.
pub fn arrived(world: &World, target: u64, held: bool, packet: &Packet) {
    let now = world.now();
    let end = packet.source;
    let mut flows = world.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&end) else { return };
    let State::Open(own) = flow.state else { return };
    if own == target && held {
        flow.echo = packet.echo;
        // A host that was suspended may send on what is long there.
        flow.arrived = flow.arrived.max(packet.sequence - FIRST + packet.data.len() as u32);
        (flow.heard, flow.waiting) = (now, 0);
        flow.astray.clear();
        world.counts.borrow_mut().packets += 1;
        return;
    }
    if !holds(world, own, end) {
        // The target that held the flow has ended, and this one says so.
        flow.state = State::Ended;
        return;
    }
    flow.astray.retain(|at| at + REORDER > now);
    flow.astray.push(now);
    if flow.astray.len() >= ASTRAY {
        let detail = format!("flow {end} of target {own:x} arrives at {target:x}");
        flow.state = State::Ended;
        drop(flows);
        world.find(Promise::Astray, detail);
    }
}
