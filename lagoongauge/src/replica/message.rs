//! Messages between the hosts of a replicated log.

use super::configuration::Identity;
use super::entry::{Entry, Position};
use crate::time::Instant;

/// A message with its ends; a receiver that has another incarnation ignores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Who sent it.
    pub from: Identity,
    /// Whom it is for.
    pub to: Identity,
    /// The sender's term; in a pre-vote the term that it would stand in.
    pub term: u64,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be granted, without changing anything.
    PreVote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteAnswer {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the sender's log.
        last: Position,
    },
    /// Answers a vote.
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Brings entries, and as a heartbeat none.
    Append {
        /// Place right before the first entry.
        previous: Position,
        /// Index up to which entries are committed.
        commit: u64,
        /// When the leader sent it, on its own clock.
        round: Instant,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Answers an append.
    AppendAnswer {
        /// The append's round.
        round: Instant,
        /// Whether the log matches the leader's up to `index`.
        matched: bool,
        /// Index up to which the log matches, or from which the leader should send.
        index: u64,
    },
    /// Brings a part of a snapshot.
    Chunk(Chunk),
    /// Answers a chunk.
    ChunkAnswer {
        /// The chunk's round.
        round: Instant,
        /// Place of the snapshot's last entry.
        position: Position,
        /// Bytes that have arrived.
        offset: u64,
    },
    /// Asks the leader to be added to the configuration.
    Join,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// Place of the snapshot's last entry.
    pub position: Position,
    /// When the leader sent it, on its own clock.
    pub round: Instant,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// CRC-32 of the whole snapshot.
    pub checksum: u32,
    /// Where the part begins.
    pub offset: u64,
    /// The part.
    pub data: Vec<u8>,
}
