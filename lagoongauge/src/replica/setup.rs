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
    pub append_interval: Span,
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
    pub const fn gone_after(self) -> Span {
        Span(2 * self.election_max.0)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::millis(500),
            append_interval: Span::millis(400),
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
    pub command_bytes: usize,
    /// Bytes of entries in one message, unless a single entry is larger.
    pub message_bytes: usize,
    /// Entries that are under way to a host without an answer.
    pub inflight_entries: u64,
    /// Bytes of a chunk of a snapshot.
    pub chunk_bytes: usize,
    /// Bytes of a snapshot.
    pub snapshot_bytes: u64,
    /// Entries after which a snapshot is taken.
    pub snapshot_interval: u64,
    /// Entries before a snapshot that are kept for hosts that lag.
    pub kept_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            command_bytes: 256 << 10,
            message_bytes: 64 << 10,
            inflight_entries: 1024,
            chunk_bytes: 64 << 10,
            snapshot_bytes: 32 << 20,
            snapshot_interval: 1024,
            kept_entries: 256,
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
    pub seed: u64,
    /// Timeouts.
    pub timing: Timing,
    /// Bounds.
    pub limits: Limits,
    /// Silence after which a leader removes a member on its own; never if none is given, as then
    /// operators say which hosts are gone for good.
    pub retire_after: Option<Span>,
    /// Silence after which a voter that is not needed counts as gone for good: its host has come
    /// back with another disk, or an even number vote. Two longest election timeouts are usual.
    pub gone_after: Span,
    /// Whether reads rely on the lease. If not, a host that has just started may help a candidate at
    /// once, as no former leader's lease has to end before; so a group that was killed as a whole
    /// has a leader sooner.
    pub lease_reads: bool,
}

impl Setup {
    /// Builds a setup with the usual timeouts and bounds.
    pub fn new(identity: Identity, seed: u64) -> Self {
        let timing = Timing::default();
        Self {
            identity,
            seeds: Vec::new(),
            seed,
            gone_after: timing.gone_after(),
            timing,
            limits: Limits::default(),
            retire_after: None,
            lease_reads: true,
        }
    }
}
