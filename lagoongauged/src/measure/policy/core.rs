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
pub struct Setup {
    /// The host itself.
    pub own: HostId,
    /// Key of the flow hash.
    pub key: HashKey,
    /// Seed of this process's random choices.
    pub seed: u64,
    /// Calendar time of the start in milliseconds.
    pub calendar: u64,
    /// Settings in force.
    pub settings: Resolved,
}

/// An encoded message to another entry host.
#[derive(Debug, Clone)]
pub struct Letter {
    /// The receiver.
    pub to: HostId,
    /// The message as it stands on the wire, without headers.
    pub bytes: Vec<u8>,
}

/// What an entry host sees of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sight {
    /// A flow's first packet was sent to the target.
    Opened,
    /// The target answered a flow's first packet.
    Answered,
}

/// The decisions of one entry host.
pub trait Core: Sized {
    /// Name of the design in the figures.
    const NAME: &'static str;

    /// Starts a core without any memory of an earlier life.
    fn start(now: Instant, setup: &Setup) -> Self;

    /// Decides on a packet.
    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict;

    /// Returns the address that a target's packets are sent to.
    fn address(&self, target: TargetId) -> Option<SocketAddr>;

    /// Returns the service and the target that send from an address.
    fn source(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)>;

    /// Takes note of what a target did.
    fn observe(&mut self, target: TargetId, sight: Sight);

    /// Takes a target's announcement.
    fn announce(&mut self, now: Instant, from: &Announcement, token: &str);

    /// Takes another host's message.
    fn message(&mut self, now: Instant, from: HostId, bytes: &[u8]) -> Vec<Letter>;

    /// Lets time pass.
    fn tick(&mut self, now: Instant) -> Vec<Letter>;

    /// Begins a planned stop.
    fn leave(&mut self, now: Instant);

    /// Tells whether a planned stop may end.
    fn has_left(&self) -> bool;
}
