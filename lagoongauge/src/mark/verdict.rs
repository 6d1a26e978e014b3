//! What becomes of a packet, and why.

use std::net::SocketAddrV4;

use super::Mark;
use crate::id::TargetId;

/// Why a packet was not sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// No route has the front address.
    NoRoute,
    /// The route was removed.
    RouteRemoved,
    /// No target of the service takes flows.
    NoTarget,
    /// The flow's target has ended.
    TargetGone,
    /// The flow's target is out of reach, and its requests may be repeated elsewhere.
    TargetLost,
    /// The packet's mark names no target that is known here.
    UnknownMark,
    /// The packet's mark names a target of a service that the route never led to.
    ForeignMark,
    /// The packet belongs to no flow that is known here and carries no mark.
    NoMark,
    /// The SYN waited while this host stood still, and its caller has gone elsewhere since.
    Stale,
}

impl Cause {
    /// All causes, in the order of their numbers.
    pub const ALL: [Self; 9] = [
        Self::NoRoute,
        Self::RouteRemoved,
        Self::NoTarget,
        Self::TargetGone,
        Self::TargetLost,
        Self::UnknownMark,
        Self::ForeignMark,
        Self::NoMark,
        Self::Stale,
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
        }
    }
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it to a target, with the target's mark.
    Forward {
        /// The target.
        target: TargetId,
        /// Where it takes packets.
        address: SocketAddrV4,
        /// Its mark.
        mark: Mark,
        /// Whether a flow begins here.
        new_flow: bool,
    },
    /// Tell the caller that the flow has ended, or did not begin.
    Reset(Cause),
    /// Drop it; the caller sends it again.
    Drop(Cause),
}
