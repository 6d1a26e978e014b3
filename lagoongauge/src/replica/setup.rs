//! Parameters of a replica.

use super::configuration::Identity;
use crate::id::HostId;
use crate::time::Span;

/// Timeouts of the consensus group; they have to be equal on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Longest time between two messages of the leader to a voter or learner.
    pub heartbeat: Span,
    /// Shortest time between two appends to a peer that has been sent all entries. A single change
    /// is sent at once; frequent changes are batched.
    pub append_interval: Span,
    /// Shortest election timeout; also the time after contact with a leader during which a host
    /// grants no vote.
    pub election_min: Span,
    /// Longest election timeout; also the time without a quorum after which a leader steps down.
    pub election_max: Span,
    /// Largest deviation of a host's clock rate, in parts per thousand.
    pub clock_drift: u64,
}

impl Timing {
    /// Returns the duration of the leader's lease, from the sending of a message that a quorum
    /// answered.
    ///
    /// The follower's clock may be fast and the leader's slow, each by the clock drift; the lease
    /// still ends before the follower's `election_min`.
    pub const fn lease(self) -> Span {
        let slow = 1000 - self.clock_drift;
        let fast = 1000 + self.clock_drift;
        Span(self.election_min.0 * slow / fast)
    }

    /// Returns the default of [`Setup::gone_after`].
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
    /// Largest command in bytes.
    pub command_bytes: usize,
    /// Largest size of the entries in one message in bytes, unless a single entry is larger.
    pub message_bytes: usize,
    /// Largest number of entries in flight to a peer without an acknowledgement.
    pub inflight_entries: u64,
    /// Size of a snapshot chunk in bytes.
    pub chunk_bytes: usize,
    /// Largest snapshot in bytes.
    pub snapshot_bytes: u64,
    /// Number of applied entries between snapshots.
    pub snapshot_interval: u64,
    /// Number of entries before a snapshot that are kept for lagging hosts.
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

/// Parameters with which a replica is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setup {
    /// Identity of this replica.
    pub identity: Identity,
    /// Hosts to which requests to join are sent.
    pub seeds: Vec<HostId>,
    /// Seed of the randomised timeouts.
    pub rng_seed: u64,
    /// Timeouts of the consensus group.
    pub timing: Timing,
    /// Bounds on memory and message sizes.
    pub limits: Limits,
    /// Silence after which a leader removes a learner on its own. With `None` it removes no voter
    /// either, as operators then declare hosts lost.
    pub retire_after: Option<Span>,
    /// Number of hosts that may lose their disks at the same time. Voters are not removed
    /// automatically where this would leave too few to keep a quorum then.
    pub disk_losses: usize,
    /// Silence after which a voter that the quorum does not need counts as lost: its host has
    /// returned with another disk, or the number of voters is even. Two of the longest election
    /// timeouts by default.
    pub gone_after: Span,
    /// Whether reads rely on the leader's lease. If not, a host may grant votes right after its
    /// start, as no lease of a previous leader has to expire first; a group that was killed as a
    /// whole then elects a leader sooner.
    pub lease_reads: bool,
}

impl Setup {
    /// Builds a setup with default timeouts and bounds.
    pub fn new(identity: Identity, rng_seed: u64) -> Self {
        let timing = Timing::default();
        Self {
            identity,
            seeds: Vec::new(),
            rng_seed,
            gone_after: timing.gone_after(),
            timing,
            limits: Limits::default(),
            retire_after: None,
            disk_losses: 1,
            lease_reads: true,
        }
    }

    /// Returns the smallest number of voters that keeps a quorum after the tolerated loss of disks.
    pub(super) fn min_voters(&self) -> usize {
        2 * self.disk_losses.max(1) + 1
    }
}
