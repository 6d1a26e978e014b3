//! Callers: smoltcp clients that send requests and compare each response with its request.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::fabric::Fabric;
use crate::stack::{Stack, new_socket};

/// Length of a request and of a response, in bytes.
pub const REQUEST_BYTES: usize = 16;

/// Time between a response and the next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Inactivity after which a flow counts as broken.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// A request; the response echoes it with `service` and `target` filled in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Request {
    pub flow: u32,
    pub round: u32,
    pub service: u32,
    pub target: u32,
}

impl Request {
    /// Decodes a request or a response.
    pub fn from_bytes(bytes: [u8; REQUEST_BYTES]) -> Self {
        let field = |at: usize| u32::from_be_bytes(bytes.as_chunks().0[at]);
        Self { flow: field(0), round: field(1), service: field(2), target: field(3) }
    }

    /// Encodes a request or a response.
    pub fn to_bytes(self) -> Vec<u8> {
        [self.flow, self.round, self.service, self.target].map(u32::to_be_bytes).concat()
    }
}

/// Counts of flows and responses of a group of callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub flows: u64,
    pub answers: u64,
    pub broken: u64,
    pub misrouted: u64,
}

/// A running group of callers of one service.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Outcome>,
}

struct Flow {
    handle: SocketHandle,
    request: Request,
    target: Option<u32>,
    rounds_left: u32,
    waiting: bool,
    last_activity: Instant,
}

impl Callers {
    /// Keeps `count` flows to a service open; the first half is long-lived, the others end after
    /// 20 to 69 requests and are replaced.
    pub fn start(
        ip: IpAddr,
        service: (SocketAddr, u32),
        count: usize,
        fabric: &Arc<Fabric>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stack = Stack::new(ip, u64::from(service.1), fabric);
        let stop = Arc::clone(&stopped);
        Self { stopped, thread: thread::spawn(move || run_flows(stack, service, count, &stop)) }
    }

    /// Closes every flow after its last response, and returns the counts.
    pub fn stop(self) -> Outcome {
        self.stopped.store(true, Ordering::Release);
        self.thread.join().expect("a caller's thread panicked")
    }
}

fn run_flows(
    mut stack: Stack,
    (address, service): (SocketAddr, u32),
    count: usize,
    stopped: &AtomicBool,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut flows: Vec<Flow> = Vec::new();
    loop {
        stack.poll();
        let stop = stopped.load(Ordering::Acquire);
        if !stop && flows.len() < count {
            let flow = outcome.flows as u32;
            let is_long_lived = outcome.flows < count as u64 / 2;
            flows.push(open_flow(
                &mut stack,
                address,
                flow,
                if is_long_lived { u32::MAX } else { 20 + flow % 50 },
            ));
            outcome.flows += 1;
        }
        flows.retain_mut(|flow| {
            let socket = stack.sockets.get_mut::<tcp::Socket>(flow.handle);
            let keep = flow.advance(socket, service, stop, &mut outcome);
            if !keep {
                stack.sockets.remove(flow.handle);
            }
            keep
        });
        if stop && flows.is_empty() {
            return outcome;
        }
    }
}

fn open_flow(stack: &mut Stack, service: SocketAddr, flow: u32, rounds: u32) -> Flow {
    let mut socket = new_socket();
    let port = 1024 + (flow % 60_000) as u16;
    let remote = (service.ip(), service.port());
    socket.connect(stack.iface.context(), remote, port).expect("the socket is new");
    let request = Request { flow, ..Request::default() };
    let handle = stack.sockets.add(socket);
    Flow {
        handle,
        request,
        target: None,
        rounds_left: rounds,
        waiting: false,
        last_activity: Instant::now(),
    }
}

impl Flow {
    /// Sends and receives what is due on the flow, and returns whether it is still open.
    fn advance(
        &mut self,
        socket: &mut tcp::Socket<'_>,
        service: u32,
        stop: bool,
        outcome: &mut Outcome,
    ) -> bool {
        let ended = !socket.is_open() || socket.state() == tcp::State::TimeWait;
        if ended || self.last_activity.elapsed() > SILENCE_LIMIT {
            outcome.broken += u64::from(!ended || self.rounds_left > 0);
            return false;
        }
        if self.waiting && socket.recv_queue() >= REQUEST_BYTES {
            self.receive_response(socket, service, outcome);
        }
        let idle = !self.waiting && socket.may_send();
        if idle && (stop || self.rounds_left == 0) {
            self.rounds_left = 0;
            socket.close();
        } else if idle && self.last_activity.elapsed() >= REQUEST_INTERVAL {
            let _ = socket.send_slice(&self.request.to_bytes());
            self.waiting = true;
            self.last_activity = Instant::now();
        }
        true
    }

    fn receive_response(
        &mut self,
        socket: &mut tcp::Socket<'_>,
        service: u32,
        outcome: &mut Outcome,
    ) {
        let mut bytes = [0; REQUEST_BYTES];
        let _ = socket.recv_slice(&mut bytes);
        let response = Request::from_bytes(bytes);
        let target = *self.target.get_or_insert(response.target);
        outcome.misrouted += u64::from(response != Request { service, target, ..self.request });
        outcome.answers += 1;
        self.request.round += 1;
        self.rounds_left -= 1;
        self.waiting = false;
        self.last_activity = Instant::now();
    }
}
