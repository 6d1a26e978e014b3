//! Data path: receives a datagram, routes it and sends the result.

use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::thread;
use std::time::Duration;

use lagoongauge::mark::{Codec, Segment, Verdict};
use lagoongauge::time::{Instant, Span};

use super::state::SharedState;

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Delay after a failed receive, which also limits the rate of the warnings about it.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Forwards packets until the process ends; callers receive packets at `caller_port`.
///
/// No lock is held across a system call, and no memory is allocated per packet.
pub(super) fn forward_packets<C: Codec>(
    state: &SharedState,
    codec: &C,
    socket: &UdpSocket,
    caller_port: u16,
) {
    let mut buffer = vec![0; C::HEADROOM + MAX_DATAGRAM_BYTES];
    let mut reply = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let length = match socket.recv_from(&mut buffer[C::HEADROOM..]) {
            Ok((length, _)) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => {
                log::warn!("failed to receive packet: {error}");
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        let bytes = &mut buffer[..C::HEADROOM + length];
        let Some(segment) = codec.decode(&bytes[C::HEADROOM..]) else {
            state.counters.count_unreadable();
            continue;
        };
        let now = state.clock.now();
        let verdict = decide(state, now, &segment);
        let sent = match verdict {
            Verdict::Forward { target, address, mark, new_flow } => {
                codec.encapsulate(bytes, target, mark);
                state.counters.count_forward(new_flow);
                socket.send_to(bytes, address)
            }
            Verdict::Reset(cause) => {
                state.counters.count_reset(cause);
                reply.clear();
                codec.build_reset(&segment, &mut reply);
                let caller = SocketAddrV4::new(*segment.flow_key.caller.ip(), caller_port);
                socket.send_to(&reply, caller)
            }
            Verdict::Drop(cause) => {
                state.counters.count_drop(cause);
                continue;
            }
        };
        if sent.is_err() {
            state.counters.count_unsent();
        }
    }
}

/// Routes a packet and logs the decision, each under its own lock.
fn decide(state: &SharedState, now: Instant, segment: &Segment) -> Verdict {
    let mut router = state.router();
    let verdict = router.decide(now, segment);
    let age = match verdict {
        Verdict::Forward { target, new_flow: true, .. } => router.time_since_activity(now, target),
        _ => None,
    };
    let version = router.version();
    drop(router);
    state.decisions.record(now, segment, &verdict, version, age.unwrap_or(Span(0)));
    verdict
}
