//! Messages between replicas.

use super::configuration::Identity;
use super::entry::{Entry, Position};
use crate::time::Instant;

/// Highest term, index and round that a group reaches: a billion per second for thirty years. Beyond
/// it, a message is damaged or forged, and arithmetic on its numbers could overflow.
const MAX_NUMBER: u64 = 1 << 60;

/// A message with sender and receiver; a receiver of another incarnation ignores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: Identity,
    /// The receiver.
    pub to: Identity,
    /// Term of the sender; in a pre-vote, the term of the election that would follow.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

impl Message {
    /// Returns whether all numbers of the message are in the range that a group can reach.
    pub(super) fn is_plausible(&self) -> bool {
        let is_reachable = |position: &Position| position.term.max(position.index) <= MAX_NUMBER;
        let body = match &self.body {
            Body::PreVote { last } | Body::Vote { last } => is_reachable(last),
            Body::Append { previous, commit, round, entries } => {
                let last = entries.last().map_or(previous, |entry| &entry.position);
                is_reachable(previous) && is_reachable(last) && round.0.max(*commit) <= MAX_NUMBER
            }
            Body::AppendAnswer { round, index, .. } => round.0.max(*index) <= MAX_NUMBER,
            Body::Chunk(Chunk { position, round, total, offset, .. }) => {
                is_reachable(position) && round.0.max(*total).max(*offset) <= MAX_NUMBER
            }
            Body::ChunkAnswer { round, position, offset } => {
                is_reachable(position) && round.0.max(*offset) <= MAX_NUMBER
            }
            Body::PreVoteAnswer { .. }
            | Body::VoteAnswer { .. }
            | Body::Join
            | Body::Leave
            | Body::LeaveAnswer => true,
        };
        body && self.term <= MAX_NUMBER
    }
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be granted; changes no state.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers a vote request.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        /// Position that precedes the first entry.
        previous: Position,
        /// Index up to which entries are committed.
        commit: u64,
        /// Time of sending on the leader's clock.
        round: Instant,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answers an append.
    AppendAnswer {
        /// The append's round.
        round: Instant,
        /// Whether the follower's log matches the leader's up to `index`.
        matched: bool,
        /// Index up to which the logs match, or from which the leader should resend.
        index: u64,
    },
    /// Transfers a part of a snapshot.
    Chunk(Chunk),
    /// Answers a chunk.
    ChunkAnswer {
        /// The chunk's round.
        round: Instant,
        /// Position of the snapshot's last entry.
        position: Position,
        /// Number of bytes received so far.
        offset: u64,
    },
    /// Requests to be added to the configuration.
    Join,
    /// Tells the leader that the sender is about to end, and may have to be removed.
    Leave,
    /// Tells a host that is about to end that the group no longer waits for it.
    LeaveAnswer,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Position of the snapshot's last entry.
    pub position: Position,
    /// Time of sending on the leader's clock.
    pub round: Instant,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// Offset of the part in bytes.
    pub offset: u64,
    /// Content of the part.
    pub data: Vec<u8>,
}
