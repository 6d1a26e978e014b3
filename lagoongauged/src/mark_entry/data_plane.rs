//! Data path: receives a datagram, routes it and sends the result.

use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use indexmap::IndexSet;
use lagoongauge::mark::flow::held::HeldPacket;
use lagoongauge::mark::{Cause, Codec, PacketTimes, Segment, Verdict};
use lagoongauge::time::{Instant, Span};

use super::decision_log::Inputs;
use super::state::SharedState;
use crate::daemon::isolate;

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Delay after a failed receive or a panic, which also limits the rate of the log lines about it.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which packets that are still held are offered to the router.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);

/// Routes packets from one socket.
///
/// No lock is held across a system call, and no memory is allocated per packet that need not be
/// held.
#[derive(Debug)]
pub(super) struct DataPlane<C> {
    state: SharedState,
    codec: C,
    socket: UdpSocket,
    /// Port at which callers receive packets.
    caller_port: u16,
}

impl<C: Codec> DataPlane<C> {
    pub(super) fn new(state: SharedState, codec: C, socket: UdpSocket, caller_port: u16) -> Self {
        Self { state, codec, socket, caller_port }
    }

    /// Forwards packets until the process ends.
    pub(super) fn run(&self) {
        let mut buffer = vec![0; C::HEADROOM + MAX_DATAGRAM_BYTES];
        let mut reply = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            let length = match self.socket.recv_from(&mut buffer[C::HEADROOM..]) {
                Ok((length, _)) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => {
                    log::warn!("failed to receive packet: {error}");
                    thread::sleep(RETRY_DELAY);
                    continue;
                }
            };
            let bytes = &mut buffer[..C::HEADROOM + length];
            if !isolate("routing of a packet", || self.handle_datagram(bytes, &mut reply)) {
                self.state.counters.count_unreadable();
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    /// Routes or holds the packet that `bytes` hold behind the codec's headroom.
    fn handle_datagram(&self, bytes: &mut [u8], reply: &mut Vec<u8>) {
        let Some(segment) = self.codec.decode(&bytes[C::HEADROOM..]) else {
            self.state.counters.count_unreadable();
            return;
        };
        let now = self.state.clock.now();
        if !self.process(PacketTimes { now, arrived: now }, &segment, bytes, reply) {
            self.hold(now, &segment, &bytes[C::HEADROOM..]);
        }
    }

    /// Routes the held packets once the first catalog is active, and later ones as targets have room
    /// for them. Waits without polling while nothing is held.
    pub(super) fn release_packets(&self, wakeups: &Receiver<()>) {
        while wakeups.recv().is_ok() {
            while self.release_held() {
                thread::sleep(RELEASE_INTERVAL);
            }
        }
    }

    /// Routes a packet; `bytes` hold it behind the codec's headroom.
    /// Returns whether it was routed; otherwise it has to be held.
    fn process(
        &self,
        times: PacketTimes,
        segment: &Segment,
        bytes: &mut [u8],
        reply: &mut Vec<u8>,
    ) -> bool {
        let state = &self.state;
        let sent = match decide(state, times, segment) {
            Verdict::Forward { target, address, mark, new_flow } => {
                self.codec.encapsulate(bytes, target, mark);
                state.counters.count_forward(new_flow);
                self.socket.send_to(bytes, address)
            }
            Verdict::Reset(cause) => {
                state.counters.count_reset(cause);
                reply.clear();
                self.codec.build_reset(segment, reply);
                let caller = SocketAddrV4::new(*segment.flow_key.caller.ip(), self.caller_port);
                self.socket.send_to(reply, caller)
            }
            Verdict::Drop(cause) => {
                state.counters.count_drop(cause);
                return true;
            }
            Verdict::Hold => return false,
        };
        if sent.is_err() {
            state.counters.count_unsent();
        }
        true
    }

    fn hold(&self, now: Instant, segment: &Segment, packet: &[u8]) {
        if self.state.held().hold(now, segment, packet) {
            self.state.counters.count_held();
        } else {
            self.state.counters.count_drop(Cause::Starting);
        }
        if self.state.version() > 0 {
            self.state.wake_releaser();
        }
    }

    /// Offers the held packets to the router, the latest first, as its request has most of its time
    /// left. Once one of a frontend has to wait further, so do the others of that frontend. Returns
    /// whether packets are still held.
    fn release_held(&self) -> bool {
        let now = self.state.clock.now();
        let released = self.state.held().take(now);
        for _ in 0..released.expired {
            self.state.counters.count_drop(Cause::Starting);
        }
        let mut full = IndexSet::new();
        let mut reply = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        for packet in released.packets.into_iter().rev() {
            let frontend = packet.segment.flow_key.frontend;
            if full.contains(&frontend) || !self.process_held(now, &packet, &mut reply) {
                full.insert(frontend);
                self.state.held().put_back(packet);
            }
        }
        !full.is_empty()
    }

    fn process_held(&self, now: Instant, packet: &HeldPacket, reply: &mut Vec<u8>) -> bool {
        let mut bytes = vec![0; C::HEADROOM];
        bytes.extend_from_slice(&packet.bytes);
        let times = PacketTimes { now, arrived: packet.arrived };
        self.process(times, &packet.segment, &mut bytes, reply)
    }
}

/// Routes a packet and logs the decision, each under its own lock.
fn decide(state: &SharedState, times: PacketTimes, segment: &Segment) -> Verdict {
    let PacketTimes { now, arrived } = times;
    let mut router = state.router();
    let verdict = router.decide_held(now, arrived, segment);
    let age = match verdict {
        Verdict::Forward { target, new_flow: true, .. } => router.time_since_activity(now, target),
        _ => None,
    };
    let (version, lost) = (router.version(), router.take_lost_target());
    drop(router);
    let inputs = Inputs { version, age: age.unwrap_or(Span(0)), lost };
    state.decisions.record(now, segment, &verdict, inputs);
    verdict
}
