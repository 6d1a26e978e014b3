//! Counts of requests by how they ended, and why callers waited too long or got no answer.
//!
//! Load pattern: after a fault most callers are served as before, and a few wait for one target, one
//! entry host or one data centre. A line of the log for each of them would grow with the traffic,
//! so the counts of a short window are logged instead; see "Where callers lose time" in
//! docs/OPERATIONS.md.

use indexmap::IndexMap;

use crate::catalog::Idempotency;
use crate::mark::verdict::Cause;
use crate::time::Span;

/// Kind of requests, as far as the catalog tells kinds apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestKind {
    /// Whether callers may retry them.
    pub idempotency: Idempotency,
    /// Latency objective of their answers.
    pub objective: Span,
}

/// How a request ended that was not answered within its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Miss {
    /// The answer came after the objective.
    Late,
    /// The caller got no answer on this flow.
    Lost,
}

/// Why a request was answered late or not at all, as far as its entry host can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LossCause {
    /// Earlier copies of the SYN reached no entry host that could forward them.
    SynLost,
    /// This entry host had just started.
    HostStarted,
    /// This entry host was suspended or starved of processor time.
    HostStalled,
    /// This entry host had no contact with a quorum of control hosts.
    HostCutOff,
    /// The target's data centre could not be reached.
    CentreUnreachable,
    /// The target was gone, or control hosts no longer received its announcements.
    TargetDead,
    /// No caller received an answer of the target.
    TargetUnresponsive,
    /// The target was leaving.
    TargetDraining,
    /// The target had just started.
    TargetCold,
    /// All slots of the target were taken when the request arrived.
    TargetBusy,
    /// The target answered a later copy of the SYN only.
    SynUnanswered,
    /// The caller had to repeat the request, while the target answered other callers.
    PacketsRepeated,
    /// The target took its time although none of the above holds.
    TargetSlow,
    /// The entry host reset the flow or dropped its SYN for this reason.
    Refused(Cause),
}

/// Circumstances of a request at the time when it ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Circumstances {
    /// Copies of the SYN that were sent before this host saw the first one.
    pub unseen_syns: u8,
    /// Copies of the SYN that this host forwarded after the first one.
    pub repeated_syns: u8,
    /// Times that the caller repeated data of the request.
    pub repeated_data: u8,
    /// Whether this host started while the request waited.
    pub host_started: bool,
    /// Whether this host stalled while the request waited.
    pub host_stalled: bool,
    /// Whether this host had no contact with a quorum of control hosts.
    pub host_cut_off: bool,
    /// Whether the target's data centre was unreachable.
    pub centre_unreachable: bool,
    /// Whether the target was gone or silent.
    pub target_dead: bool,
    /// Whether callers repeated packets to the target and none was answered.
    pub target_unresponsive: bool,
    /// Whether the target was draining.
    pub target_draining: bool,
    /// Whether the target was warming up.
    pub target_cold: bool,
    /// Whether all slots of the target were taken when the request arrived.
    pub target_busy: bool,
}

impl Circumstances {
    /// Returns the most likely cause: what affects a whole host or data centre comes before what
    /// affects a target, and that before what affects a single flow.
    pub fn cause(&self) -> LossCause {
        let ordered = [
            (self.host_stalled, LossCause::HostStalled),
            (self.host_started, LossCause::HostStarted),
            (self.unseen_syns > 0, LossCause::SynLost),
            (self.centre_unreachable, LossCause::CentreUnreachable),
            (self.target_dead, LossCause::TargetDead),
            (self.target_unresponsive, LossCause::TargetUnresponsive),
            (self.host_cut_off, LossCause::HostCutOff),
            (self.target_draining, LossCause::TargetDraining),
            (self.target_cold, LossCause::TargetCold),
            (self.repeated_syns > 0, LossCause::SynUnanswered),
            (self.target_busy, LossCause::TargetBusy),
            (self.repeated_data > 0, LossCause::PacketsRepeated),
        ];
        let holding = ordered.into_iter().find(|(holds, _)| *holds);
        holding.map_or(LossCause::TargetSlow, |(_, cause)| cause)
    }
}

impl LossCause {
    /// Returns the cause's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::SynLost => "syn_lost",
            Self::HostStarted => "host_started",
            Self::HostStalled => "host_stalled",
            Self::HostCutOff => "host_cut_off",
            Self::CentreUnreachable => "centre_unreachable",
            Self::TargetDead => "target_dead",
            Self::TargetUnresponsive => "target_unresponsive",
            Self::TargetDraining => "target_draining",
            Self::TargetCold => "target_cold",
            Self::TargetBusy => "target_busy",
            Self::SynUnanswered => "syn_unanswered",
            Self::PacketsRepeated => "packets_repeated",
            Self::TargetSlow => "target_slow",
            Self::Refused(cause) => cause.name(),
        }
    }
}

impl Miss {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Lost => "lost",
        }
    }
}

/// Requests of one kind by how they ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests answered within their objective.
    pub on_time: u64,
    /// Requests answered late or not at all.
    pub missed: IndexMap<(Miss, LossCause), u64>,
}

/// Requests that ended on this host since the counts were last taken.
#[derive(Debug, Clone, Default)]
pub struct LossLedger {
    counts: IndexMap<RequestKind, RequestCounts>,
}

impl LossLedger {
    /// Counts a request that was answered within its objective.
    pub fn count_on_time(&mut self, kind: RequestKind) {
        self.counts.entry(kind).or_default().on_time += 1;
    }

    /// Counts a request that was answered late or not at all.
    pub fn count_miss(&mut self, kind: RequestKind, miss: Miss, cause: LossCause) {
        *self.counts.entry(kind).or_default().missed.entry((miss, cause)).or_default() += 1;
    }

    /// Returns the counts since the last call.
    pub fn take(&mut self) -> IndexMap<RequestKind, RequestCounts> {
        std::mem::take(&mut self.counts)
    }
}
