//! Simulated callers and their flows.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use async_std::task::spawn_local;
use lagoon_ends::{ACK, FIN, Packet, RST, SYN};

use crate::context::{Context, SharedContext, sleep_ms};
use crate::judge::{FirstPacket, Frontend, Millis, Promise};
use crate::net::{FRONTEND_IP, PACKET_PORT};

/// Frontend ports of the routes that every configuration has, by the index of the service.
pub const PERMANENT_PORTS: [u16; 2] = [443, 8443];

/// Base of the frontend ports of versioned routes: version `n` alone has a route for this port
/// plus `n`.
pub const VERSIONED_PORT_BASE: u16 = 20_000;

/// A frontend port without a route in any configuration.
pub const UNROUTED_PORT: u16 = 30_001;

/// Time to wait for an answer after each transmission of a first packet.
const SYN_TIMEOUTS: [Millis; 3] = [200, 400, 800];

/// Interval of the checks whether a first packet was answered.
const POLL_INTERVAL: Millis = 10;

/// Shortest and longest time between two packets of a flow.
const DATA_INTERVAL: (Millis, Millis) = (120, 400);

/// Shortest and longest lifetime of a flow.
const FLOW_LIFETIME: (Millis, Millis) = (2000, 25_000);

/// Packets of a flow that arrive at other targets within [`MISROUTED_WINDOW`], and none at its own,
/// after which the flow counts as misrouted.
const MISROUTED_LIMIT: usize = 3;

/// Time for which a misrouted packet is counted; tolerates reordering.
const MISROUTED_WINDOW: Millis = 2000;

/// Time without an arrival, and packets sent in that time, beyond which a flow counts as stuck.
const STUCK_LIMITS: (Millis, u32) = (3000, 6);

/// Sequence number of a caller's first byte of data.
const CALLER_DATA_SEQUENCE: u32 = 1001;

/// Sequence number of a target's first byte of data.
const TARGET_DATA_SEQUENCE: u32 = 5001;

/// Data bytes of a packet.
const DATA_BYTES: usize = 10;

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The state of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FlowState {
    Opening,
    /// A target with this id has accepted the flow.
    Open(u64),
    Ended,
}

/// A flow from its caller's view.
#[derive(Debug)]
pub struct Flow {
    frontend: Frontend,
    state: FlowState,
    /// When the first packet was first sent.
    sent_at: Millis,
    /// Last echo value received from the target, which carries the mark.
    echo: u32,
    /// Data bytes that have arrived at the target.
    delivered_bytes: u32,
    /// When the last packet arrived at the target.
    last_arrival: Millis,
    /// Packets sent since the last arrival.
    pending_packets: u32,
    /// When recent packets arrived at other targets.
    misrouted_at: Vec<Millis>,
}

impl Frontend {
    fn port(self) -> u16 {
        match self {
            Self::Permanent(service) => PERMANENT_PORTS[service],
            Self::Versioned(version) => VERSIONED_PORT_BASE + version as u16,
            Self::Unrouted => UNROUTED_PORT,
        }
    }

    fn service(self) -> usize {
        match self {
            Self::Permanent(service) => service,
            Self::Versioned(_) | Self::Unrouted => 0,
        }
    }
}

/// Opens a flow and closes it at once, or after its lifetime if it is `long_lived`.
pub async fn run_flow(context: SharedContext, frontend: Frontend, long_lived: bool) {
    let Some(source) = open_flow(&context, frontend).await else { return };
    let end_at = context.now()
        + if long_lived { context.random_range(FLOW_LIFETIME.0..FLOW_LIFETIME.1) } else { 0 };
    while context.now() < end_at && !context.finished.get() && send_data(&context, source) {
        sleep_ms(context.random_range(DATA_INTERVAL.0..DATA_INTERVAL.1)).await;
    }
    send_packet(&context, source, FIN | ACK);
    sleep_ms(100).await;
    context.flows.borrow_mut().swap_remove(&source);
    for target in context.targets.borrow_mut().values_mut() {
        target.flows.swap_remove(&source);
    }
}

/// Opens flows whenever fewer than `count` exist, until the run is over.
pub async fn maintain_flows(context: SharedContext, count: usize) {
    while !context.finished.get() {
        if context.flows.borrow().len() < count {
            let frontend =
                Frontend::Permanent(context.random_range(0..PERMANENT_PORTS.len() as u64) as usize);
            spawn_local(run_flow(SharedContext::clone(&context), frontend, true));
        }
        sleep_ms(context.random_range(40..200)).await;
    }
}

/// Opens short flows to permanent, new, old and missing routes, until the run is over.
pub async fn probe_routes(context: SharedContext) {
    while !context.finished.get() {
        sleep_ms(context.random_range(60..200)).await;
        let Some(newest) = context.judge.borrow().accepted_version(context.now(), 0) else {
            continue;
        };
        let frontend = match context.random_range(0..8) {
            0 => Frontend::Unrouted,
            1 | 2 => Frontend::Versioned(newest.saturating_sub(context.random_range(1..4)).max(1)),
            3 => {
                Frontend::Permanent(context.random_range(0..PERMANENT_PORTS.len() as u64) as usize)
            }
            _ => Frontend::Versioned(newest),
        };
        spawn_local(run_flow(SharedContext::clone(&context), frontend, false));
    }
}

/// Sends a first packet with retries; returns the caller's address if the flow was opened.
async fn open_flow(context: &SharedContext, frontend: Frontend) -> Option<SocketAddrV4> {
    let caller = context.random_range(0..context.caller_sockets.len() as u64) as u8;
    let port = context.random_range(1024..65_000) as u16;
    let source = SocketAddrV4::new(context.net.caller(1 + caller), port);
    if context.flows.borrow().contains_key(&source) {
        return None;
    }
    let sent_at = context.now();
    let (state, misrouted_at) = (FlowState::Opening, Vec::new());
    let flow = Flow {
        frontend,
        state,
        sent_at,
        echo: 0,
        delivered_bytes: 0,
        last_arrival: sent_at,
        pending_packets: 0,
        misrouted_at,
    };
    context.flows.borrow_mut().insert(source, flow);
    let mut tried_hosts = Vec::new();
    for timeout in SYN_TIMEOUTS {
        tried_hosts.extend(send_packet(context, source, SYN));
        let deadline = context.now() + timeout;
        while context.now() < deadline {
            sleep_ms(POLL_INTERVAL).await;
            match context.flows.borrow().get(&source).map(|flow| flow.state) {
                Some(FlowState::Opening) => {}
                Some(FlowState::Open(_)) => return Some(source),
                Some(FlowState::Ended) | None => break,
            }
        }
        if context.flows.borrow().get(&source).is_none_or(|flow| flow.state == FlowState::Ended) {
            context.flows.borrow_mut().swap_remove(&source);
            return None;
        }
    }
    context.flows.borrow_mut().swap_remove(&source);
    if context.has_open_target(frontend.service()) {
        context.judge.borrow_mut().check_unanswered(&tried_hosts, sent_at, context.now(), frontend);
    }
    None
}

/// Sends a flow's next data, or retransmits it; returns whether the flow continues.
fn send_data(context: &Context, source: SocketAddrV4) -> bool {
    let Some(FlowState::Open(target)) = context.flows.borrow().get(&source).map(|flow| flow.state)
    else {
        return false;
    };
    let target_holds_flow = holds_flow(context, target, source);
    send_packet(context, source, ACK);
    let mut flows = context.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&source) else { return false };
    flow.pending_packets += 1;
    let (now, last_arrival, pending_packets) =
        (context.now(), flow.last_arrival, flow.pending_packets);
    let stuck = target_holds_flow
        && now > last_arrival + STUCK_LIMITS.0
        && pending_packets > STUCK_LIMITS.1
        && context.is_stable();
    if stuck {
        let detail = format!(
            "flow {source} to target {target:x} is stuck: \
             {pending_packets} packets sent since the last arrival at {last_arrival}"
        );
        context.record_finding(Promise::Stuck, detail);
        flow.state = FlowState::Ended;
    }
    !stuck
}

/// Sends a packet of a flow to an entry host and returns that host.
fn send_packet(context: &Context, source: SocketAddrV4, flags: u8) -> Option<Ipv4Addr> {
    let host = context.select_entry(source)?;
    let packet = {
        let flows = context.flows.borrow();
        let flow = flows.get(&source)?;
        let is_syn = flags & SYN != 0;
        Packet {
            source,
            destination: SocketAddrV4::new(FRONTEND_IP, flow.frontend.port()),
            flags,
            echo: if is_syn { 0 } else { flow.echo },
            sequence: if is_syn {
                CALLER_DATA_SEQUENCE - 1
            } else {
                CALLER_DATA_SEQUENCE + flow.delivered_bytes
            },
            acknowledged: if is_syn { 0 } else { TARGET_DATA_SEQUENCE + flow.delivered_bytes },
            data: vec![0; if flags == ACK { DATA_BYTES } else { 0 }],
            has_checksum: true,
        }
    };
    let socket = &context.caller_sockets[usize::from(source.ip().octets()[3] - 1)];
    let bytes = packet.to_bytes();
    let to = SocketAddrV4::new(host, PACKET_PORT);
    let result = futures::FutureExt::now_or_never(socket.send_to(&bytes, to));
    if let Some(Err(error)) = result {
        log::debug!("failed to send a packet to entry host {host}: {error}");
    }
    Some(host)
}

/// Receives packets for a caller; entry hosts send only resets.
pub async fn receive_resets(context: SharedContext, caller: usize) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    while !context.finished.get() {
        match context.caller_sockets[caller].recv_from(&mut bytes).await {
            Ok((length, SocketAddr::V4(from))) => {
                let packet = Packet::parse(&bytes[..length]);
                if let Some(packet) = packet.filter(|packet| packet.flags & RST != 0) {
                    handle_reset(&context, *from.ip(), packet.destination);
                }
            }
            Ok(_) => {}
            Err(error) => log::debug!("failed to receive a packet for caller {caller}: {error}"),
        }
    }
}

fn handle_reset(context: &Context, host: Ipv4Addr, source: SocketAddrV4) {
    let mut flows = context.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&source) else { return };
    let (state, frontend) = (flow.state, flow.frontend);
    let packet = FirstPacket { host, sent_at: flow.sent_at, seen_at: context.now() };
    flow.state = FlowState::Ended;
    drop(flows);
    match state {
        FlowState::Opening => {
            context.counts.borrow_mut().refused += 1;
            let has_target = context.has_open_target(frontend.service());
            context.judge.borrow_mut().check_refused(packet, frontend, has_target);
        }
        FlowState::Open(target)
            if matches!(frontend, Frontend::Permanent(_))
                && holds_flow(context, target, source) =>
        {
            let detail = format!(
                "entry host {host} reset flow {source} while its target {target:x} is alive"
            );
            context.record_finding(Promise::Reset, detail);
        }
        FlowState::Open(_) | FlowState::Ended => {}
    }
}

fn holds_flow(context: &Context, target: u64, source: SocketAddrV4) -> bool {
    context.targets.borrow().get(&target).is_some_and(|target| target.flows.contains(&source))
}

/// Returns the route of a flow's first packet and when it was first sent.
pub fn first_packet(context: &Context, source: SocketAddrV4) -> Option<(Frontend, Millis)> {
    context.flows.borrow().get(&source).map(|flow| (flow.frontend, flow.sent_at))
}

/// Records that a target accepted a flow's first packet; callers return the last mark they got.
pub fn record_opened(context: &Context, target: u64, packet: &Packet) {
    let mut flows = context.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&packet.source) else { return };
    flow.echo = packet.echo;
    if flow.state == FlowState::Opening {
        flow.state = FlowState::Open(target);
        flow.last_arrival = context.now();
        context.counts.borrow_mut().flows += 1;
    }
}

/// Records that a later packet of a flow arrived at a target, which holds the flow if `is_held`.
pub fn record_arrival(context: &Context, target: u64, is_held: bool, packet: &Packet) {
    let now = context.now();
    let source = packet.source;
    let mut flows = context.flows.borrow_mut();
    let Some(flow) = flows.get_mut(&source) else { return };
    let FlowState::Open(flow_target) = flow.state else { return };
    if flow_target == target && is_held {
        flow.echo = packet.echo;
        // A resumed entry host may forward packets that are older than the data that has arrived.
        flow.delivered_bytes = flow
            .delivered_bytes
            .max(packet.sequence - CALLER_DATA_SEQUENCE + packet.data.len() as u32);
        (flow.last_arrival, flow.pending_packets) = (now, 0);
        flow.misrouted_at.clear();
        context.counts.borrow_mut().packets += 1;
        return;
    }
    if !holds_flow(context, flow_target, source) {
        // The flow's target has stopped, so the arrival at another target ends the flow.
        flow.state = FlowState::Ended;
        return;
    }
    flow.misrouted_at.retain(|at| at + MISROUTED_WINDOW > now);
    flow.misrouted_at.push(now);
    if flow.misrouted_at.len() >= MISROUTED_LIMIT {
        let detail = format!(
            "packets of flow {source} of target {flow_target:x} arrive at target {target:x}"
        );
        flow.state = FlowState::Ended;
        drop(flows);
        context.record_finding(Promise::Astray, detail);
    }
}
