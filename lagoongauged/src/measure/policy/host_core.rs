//! Interface between the simulation and an entry host of any design.

use lagoongauge::flow::HashKey;
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::route::{PacketFacts, Verdict};
use lagoongauge::settings::Resolved;
use lagoongauge::target::Announcement;
use lagoongauge::time::Instant;
use std::net::SocketAddr;

/// Start parameters of a core.
#[derive(Debug, Clone)]
pub struct CoreSetup {
    /// Id of the host.
    pub own: HostId,
    /// Key of the flow hash.
    pub key: HashKey,
    /// Seed of the host's random number generator.
    pub seed: u64,
    /// Wall-clock time of the start in milliseconds.
    pub start_time: u64,
    /// Active settings.
    pub settings: Resolved,
}

/// An encoded message to another entry host.
#[derive(Debug, Clone)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: HostId,
    /// The message as sent on the wire, without headers.
    pub bytes: Vec<u8>,
}

/// A step of a flow's handshake, as an entry host observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeEvent {
    /// The first packet of a flow was forwarded to the target.
    Opened,
    /// The target answered the first packet of a flow.
    Answered,
}

/// The routing logic of one entry host, without I/O.
pub trait HostCore: Sized {
    /// Name of the design in the output.
    const NAME: &'static str;

    /// Starts a core without state of an earlier incarnation.
    fn start(now: Instant, setup: &CoreSetup) -> Self;

    /// Returns the verdict on a packet.
    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict;

    /// Returns the address of a target.
    fn target_address(&self, target: TargetId) -> Option<SocketAddr>;

    /// Returns the service and target at an address.
    fn target_at(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)>;

    /// Records a handshake step of a target.
    fn observe(&mut self, target: TargetId, event: HandshakeEvent);

    /// Handles the announcement of a target.
    fn handle_announcement(&mut self, now: Instant, announcement: &Announcement, token: &str);

    /// Handles a message from another host and returns the messages to send.
    fn handle_message(&mut self, now: Instant, from: HostId, bytes: &[u8]) -> Vec<OutgoingMessage>;

    /// Advances timers and returns the messages to send.
    fn tick(&mut self, now: Instant) -> Vec<OutgoingMessage>;

    /// Begins a planned shutdown.
    fn begin_leave(&mut self, now: Instant);

    /// Returns whether a planned shutdown is complete.
    fn has_left(&self) -> bool;
}
