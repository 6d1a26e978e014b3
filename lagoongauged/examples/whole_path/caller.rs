//! Callers: smoltcp clients that ask, compare each answer with its request, and ask again.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::fabric::Fabric;
use crate::stack::{Stack, socket};

/// Length of a request and of an answer, in bytes.
pub const REQUEST: usize = 16;

/// Pause between an answer and the next request.
const PAUSE: Duration = Duration::from_millis(40);

/// Longest silence after which a flow counts as broken.
const PATIENCE: Duration = Duration::from_secs(10);

/// A request; its answer has the names filled in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Request {
    pub flow: u32,
    pub round: u32,
    pub service: u32,
    pub target: u32,
}

impl Request {
    /// Reads a request or an answer.
    pub fn read(bytes: [u8; REQUEST]) -> Self {
        let word = |at: usize| u32::from_be_bytes(bytes.as_chunks().0[at]);
        Self { flow: word(0), round: word(1), service: word(2), target: word(3) }
    }

    /// Writes a request or an answer.
    pub fn write(self) -> Vec<u8> {
        [self.flow, self.round, self.service, self.target].map(u32::to_be_bytes).concat()
    }
}

/// What a group of callers saw.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub flows: u64,
    pub answers: u64,
    pub broken: u64,
    pub misrouted: u64,
}

/// A group of callers of one service.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Outcome>,
}

struct Flow {
    handle: SocketHandle,
    request: Request,
    target: Option<u32>,
    rounds: u32,
    waiting: bool,
    since: Instant,
}

impl Callers {
    /// Keeps `count` flows to a service open; the first half stays, others end and are replaced.
    pub fn start(
        ip: IpAddr,
        service: (SocketAddr, u32),
        count: usize,
        fabric: &Arc<Fabric>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stack = Stack::new(ip, u64::from(service.1), fabric);
        let stop = Arc::clone(&stopped);
        Self { stopped, thread: thread::spawn(move || call(stack, service, count, &stop)) }
    }

    /// Lets every flow end with its last answer, and returns what was seen.
    pub fn stop(self) -> Outcome {
        self.stopped.store(true, Ordering::Release);
        self.thread.join().expect("a caller's thread panicked")
    }
}

fn call(
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
            let stays = outcome.flows < count as u64 / 2;
            flows.push(open(
                &mut stack,
                address,
                flow,
                if stays { u32::MAX } else { 20 + flow % 50 },
            ));
            outcome.flows += 1;
        }
        flows.retain_mut(|flow| {
            let socket = stack.sockets.get_mut::<tcp::Socket>(flow.handle);
            let keep = flow.step(socket, service, stop, &mut outcome);
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

fn open(stack: &mut Stack, service: SocketAddr, flow: u32, rounds: u32) -> Flow {
    let mut socket = socket();
    let port = 1024 + (flow % 60_000) as u16;
    let end = (service.ip(), service.port());
    socket.connect(stack.iface.context(), end, port).expect("the socket is new");
    let request = Request { flow, ..Request::default() };
    let handle = stack.sockets.add(socket);
    Flow { handle, request, target: None, rounds, waiting: false, since: Instant::now() }
}

impl Flow {
    /// Goes on with the flow, and returns whether it is still there.
    fn step(
        &mut self,
        socket: &mut tcp::Socket<'_>,
        service: u32,
        stop: bool,
        outcome: &mut Outcome,
    ) -> bool {
        let ended = !socket.is_open() || socket.state() == tcp::State::TimeWait;
        if ended || self.since.elapsed() > PATIENCE {
            outcome.broken += u64::from(!ended || self.rounds > 0);
            return false;
        }
        if self.waiting && socket.recv_queue() >= REQUEST {
            self.take(socket, service, outcome);
        }
        let idle = !self.waiting && socket.may_send();
        if idle && (stop || self.rounds == 0) {
            self.rounds = 0;
            socket.close();
        } else if idle && self.since.elapsed() >= PAUSE {
            let _ = socket.send_slice(&self.request.write());
            self.waiting = true;
            self.since = Instant::now();
        }
        true
    }

    fn take(&mut self, socket: &mut tcp::Socket<'_>, service: u32, outcome: &mut Outcome) {
        let mut bytes = [0; REQUEST];
        let _ = socket.recv_slice(&mut bytes);
        let answer = Request::read(bytes);
        let target = *self.target.get_or_insert(answer.target);
        outcome.misrouted += u64::from(answer != Request { service, target, ..self.request });
        outcome.answers += 1;
        self.request.round += 1;
        self.rounds -= 1;
        self.waiting = false;
        self.since = Instant::now();
    }
}
