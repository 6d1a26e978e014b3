//! Verdicts on packets and their causes.

use std::net::SocketAddrV4;

use crate::id::TargetId;
use crate::mark::Mark;
use crate::time::Span;

/// Why a packet was not forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// No route has the frontend address.
    NoRoute,
    /// The route was removed.
    RouteRemoved,
    /// No target of the service accepts new flows.
    NoTarget,
    /// The flow's target has ended.
    TargetGone,
    /// The flow's target is unreachable, and its requests may be retried elsewhere.
    TargetLost,
    /// The packet's mark names no target known to this host.
    UnknownMark,
    /// The packet's mark names a target of a service that the route never included.
    ForeignMark,
    /// The packet belongs to no flow known to this host and carries no mark.
    NoMark,
    /// The SYN was queued during a stall of this host, and its caller has retried elsewhere since.
    Stale,
    /// The packet is the first copy of a SYN that this host did not see, and the answer to the SYN may be
    /// on its way; the second copy is placed.
    EarlyCopy,
    /// The packet arrived before this host had a catalog, and could not be held until then.
    Starting,
    /// The request could not be served in time, as requests of its priority have no room left.
    Overloaded,
    /// This host's link has no room for another bulk flow in time.
    LinkFull,
}

impl Cause {
    /// All causes, in the order of declaration.
    pub const ALL: [Self; 13] = [
        Self::NoRoute,
        Self::RouteRemoved,
        Self::NoTarget,
        Self::TargetGone,
        Self::TargetLost,
        Self::UnknownMark,
        Self::ForeignMark,
        Self::NoMark,
        Self::Stale,
        Self::EarlyCopy,
        Self::Starting,
        Self::Overloaded,
        Self::LinkFull,
    ];

    /// Returns the cause's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::RouteRemoved => "route_removed",
            Self::NoTarget => "no_target",
            Self::TargetGone => "target_gone",
            Self::TargetLost => "target_lost",
            Self::UnknownMark => "unknown_mark",
            Self::ForeignMark => "foreign_mark",
            Self::NoMark => "no_mark",
            Self::Stale => "stale",
            Self::EarlyCopy => "early_copy",
            Self::Starting => "starting",
            Self::Overloaded => "overloaded",
            Self::LinkFull => "link_full",
        }
    }
}

/// What a reset with [`Cause::TargetLost`] was decided on, with the age of each input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostTarget {
    /// The target.
    pub target: TargetId,
    /// Time since a caller last acknowledged an answer of it.
    pub unanswered: Span,
    /// Packets that callers repeated to it since then.
    pub retransmits: u16,
    /// Time since the latest of them.
    pub repeated: Span,
    /// Time for which control hosts have reported it as silent, or `None` if they don't.
    pub silent: Option<Span>,
    /// Time for which the flow's own request has waited here, or `None` if the flow was idle.
    pub waited: Option<Span>,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Forward it to a target, with the target's mark.
    Forward {
        /// The target.
        target: TargetId,
        /// Address at which the target receives packets.
        address: SocketAddrV4,
        /// Mark of the target.
        mark: Mark,
        /// Whether the packet opens a new flow.
        new_flow: bool,
    },
    /// Send a reset to the caller: the flow has ended or was not opened.
    Reset(Cause),
    /// Drop it; the caller retransmits it.
    Drop(Cause),
    /// Hold it until the first catalog is active or there is room for it, see [`crate::mark::flow::held`].
    Hold,
}
