//! What a replica is started with.

use super::configuration::Identity;
use crate::id::HostId;
use crate::time::Span;

/// Timeouts of the agreement; the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Longest time between two messages of a leader to a member.
    pub heartbeat: Span,
    /// Time after which a leader that has sent all its entries sends newer ones; so a single change
    /// goes out at once, and many of them go out together.
    pub pace: Span,
    /// Shortest time without a leader before a host stands for election, and for which a host
    /// that heard from a leader helps no other.
    pub election_min: Span,
    /// Longest such time; also the time without a quorum after which a leader steps down.
    pub election_max: Span,
    /// How far a host's clock may run fast or slow, in parts per thousand.
    pub clock_drift: u64,
}

impl Timing {
    /// Returns how long a leader may serve reads after it sent what a quorum answered.
    ///
    /// The follower's `election_min` may pass too quickly and the leader's lease too slowly, each
    /// by the clock drift; the lease still ends first.
    pub const fn lease(self) -> Span {
        let slow = 1000 - self.clock_drift;
        let fast = 1000 + self.clock_drift;
        Span(self.election_min.0 * slow / fast)
    }

    /// Returns the usual silence after which a voter that is not needed counts as gone.
    pub const fn gone(self) -> Span {
        Span(2 * self.election_max.0)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::millis(500),
            pace: Span::millis(400),
            election_min: Span::millis(1500),
            election_max: Span::millis(2500),
            clock_drift: 10,
        }
    }
}

/// Bounds on memory and message sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a command.
    pub command: usize,
    /// Bytes of entries in one message, unless a single entry is larger.
    pub message: usize,
    /// Entries that are under way to a host without an answer.
    pub window: u64,
    /// Bytes of a chunk of a snapshot.
    pub chunk: usize,
    /// Bytes of a snapshot.
    pub snapshot: u64,
    /// Entries after which a snapshot is taken.
    pub interval: u64,
    /// Entries before a snapshot that are kept for hosts that lag.
    pub keep: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            command: 256 << 10,
            message: 64 << 10,
            window: 1024,
            chunk: 64 << 10,
            snapshot: 32 << 20,
            interval: 1024,
            keep: 256,
        }
    }
}

/// What a replica is started with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setup {
    /// Who this replica is.
    pub identity: Identity,
    /// Hosts that are asked to let this one join while it is in no configuration.
    pub seeds: Vec<HostId>,
    /// Seed of the randomised timeouts.
    pub random: u64,
    /// Timeouts.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
    /// Silence after which a leader removes a member on its own; never if none is given, as then
    /// operators say which hosts are gone for good.
    pub retire: Option<Span>,
    /// Silence after which a voter that is not needed counts as gone for good: its host has come
    /// back with another disk, or an even number vote. Two longest election timeouts are usual.
    pub gone: Span,
    /// Whether reads rely on the lease. If not, a host that has just started may help a candidate at
    /// once, as no former leader's lease has to end before; so a group that was killed as a whole
    /// has a leader sooner.
    pub leases: bool,
}

impl Setup {
    /// Builds a setup with the usual timeouts and bounds.
    pub fn new(identity: Identity, random: u64) -> Self {
        let timing = Timing::default();
        Self {
            identity,
            seeds: Vec::new(),
            random,
            gone: timing.gone(),
            timing,
            limits: Limits::default(),
            retire: None,
            leases: true,
        }
    }
}
