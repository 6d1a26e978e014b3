//! What the driver asks of the core of one entry host, whichever design it follows.

use lagoongauge::flow::HashKey;
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::route::{PacketFacts, Verdict};
use lagoongauge::settings::Resolved;
use lagoongauge::target::Announcement;
use lagoongauge::time::Instant;
use std::net::SocketAddr;

/// What a core is started with.
#[derive(Debug, Clone)]
pub struct CoreSetup {
    /// The host itself.
    pub own: HostId,
    /// Key of the flow hash.
    pub key: HashKey,
    /// Seed of this process's random choices.
    pub seed: u64,
    /// Calendar time of the start in milliseconds.
    pub start_time: u64,
    /// Settings in force.
    pub settings: Resolved,
}

/// An encoded message to another entry host.
#[derive(Debug, Clone)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: HostId,
    /// The message as it stands on the wire, without headers.
    pub bytes: Vec<u8>,
}

/// What an entry host sees of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeEvent {
    /// A flow's first packet was sent to the target.
    Opened,
    /// The target answered a flow's first packet.
    Answered,
}

/// The decisions of one entry host.
pub trait HostCore: Sized {
    /// Name of the design in the figures.
    const NAME: &'static str;

    /// Starts a core without any memory of an earlier life.
    fn start(now: Instant, setup: &CoreSetup) -> Self;

    /// Decides on a packet.
    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict;

    /// Returns the address that a target's packets are sent to.
    fn target_address(&self, target: TargetId) -> Option<SocketAddr>;

    /// Returns the service and the target that send from an address.
    fn target_at(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)>;

    /// Takes note of what a target did.
    fn observe(&mut self, target: TargetId, event: HandshakeEvent);

    /// Takes a target's announcement.
    fn handle_announcement(&mut self, now: Instant, announcement: &Announcement, token: &str);

    /// Takes another host's message.
    fn handle_message(&mut self, now: Instant, from: HostId, bytes: &[u8]) -> Vec<OutgoingMessage>;

    /// Lets time pass.
    fn tick(&mut self, now: Instant) -> Vec<OutgoingMessage>;

    /// Begins a planned stop.
    fn begin_leave(&mut self, now: Instant);

    /// Tells whether a planned stop may end.
    fn has_left(&self) -> bool;
}
