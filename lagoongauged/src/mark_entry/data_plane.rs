//! The data path: a datagram in, a decision, a datagram out.

use std::io::ErrorKind;
use std::net::{SocketAddrV4, UdpSocket};
use std::thread;
use std::time::Duration;

use lagoongauge::mark::{Codec, Segment, Verdict};
use lagoongauge::time::{Instant, Span};

use super::state::Shared;

/// Longest datagram in bytes.
const MAX_DATAGRAM: usize = 2048;

/// Pause after a failed receive, which also bounds the lines that tell of it.
const PAUSE: Duration = Duration::from_millis(20);

/// Carries packets until the process ends; `callers` is the port that callers take packets at.
///
/// No lock is held across a call, and nothing is allocated for a packet.
pub(super) fn carry<C: Codec>(state: &Shared, codec: &C, socket: &UdpSocket, callers: u16) {
    let mut buffer = vec![0; C::HEADROOM + MAX_DATAGRAM];
    let mut reply = Vec::with_capacity(MAX_DATAGRAM);
    loop {
        let length = match socket.recv_from(&mut buffer[C::HEADROOM..]) {
            Ok((length, _)) => length,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => {
                log::warn!("no packet can be received: {error}");
                thread::sleep(PAUSE);
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
            Verdict::Forward { target, address, mark, new_flow: begins } => {
                codec.encapsulate(bytes, target, mark);
                state.counters.count_forward(begins);
                socket.send_to(bytes, address)
            }
            Verdict::Reset(cause) => {
                state.counters.count_reset(cause);
                reply.clear();
                codec.build_reset(&segment, &mut reply);
                let caller = SocketAddrV4::new(*segment.flow_key.caller.ip(), callers);
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

/// Decides on a packet and notes the decision, each under its own lock.
fn decide(state: &Shared, now: Instant, segment: &Segment) -> Verdict {
    let mut router = state.router();
    let verdict = router.decide(now, segment);
    let age = match verdict {
        Verdict::Forward { target, new_flow: true, .. } => router.time_since_activity(now, target),
        _ => None,
    };
    let version = router.version();
    drop(router);
    state.decisions.note(now, segment, &verdict, version, age.unwrap_or(Span(0)));
    verdict
}
