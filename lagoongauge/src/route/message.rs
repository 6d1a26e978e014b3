//! Messages between the entry hosts of a group about views, tables and records.

use serde::{Deserialize, Serialize};

use super::plan::{Stamp, Step};
use super::record::Record;
use crate::id::{HostId, ServiceId};
use crate::time::Instant;

/// What a host tells the planner; the answer renews its lease to act.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Highest epoch that the host has heard of.
    pub epoch: u64,
    /// Highest epoch that it had heard of before that one.
    pub prior_epoch: u64,
    /// The last step that the host has applied.
    pub stamp: Stamp,
    /// The host's clock; a lease runs from here.
    pub sent: Instant,
    /// Number that changes whenever the host loses what it knew.
    pub incarnation: u32,
    /// Whether the host wants to be no home any more.
    pub leaving: bool,
    /// Number of buckets whose handover is under way.
    pub pending: u32,
    /// Open flows for each service and index of target.
    pub counts: Vec<(ServiceId, u16, u32)>,
}

/// Steps that follow one another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Steps {
    /// Epoch of the planner that sends them.
    pub epoch: u64,
    /// The step before the first.
    pub after: Stamp,
    /// The steps, each with its epoch.
    pub steps: Vec<(u64, Step)>,
}

/// A piece of an encoded plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanChunk {
    /// Epoch of the planner that the sender follows.
    pub epoch: u64,
    /// Last step of the plan.
    pub stamp: Stamp,
    /// Number of the piece.
    pub index: u16,
    /// Number of pieces.
    pub total: u16,
    /// Bytes of the piece.
    pub bytes: Vec<u8>,
}

/// Buckets of a home that need be held no longer, or from now on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReport {
    /// The last step that the home had applied.
    pub stamp: Stamp,
    /// The service.
    pub service: ServiceId,
    /// The buckets, in rising order.
    pub buckets: Vec<u32>,
    /// Whether these are not held although a flow differs from the table.
    pub hold: bool,
}

/// A bucket that changes hands, or the next piece of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The bucket.
    pub bucket: u32,
    /// Seconds until all its flows are known, and until its SYNs are new ones.
    pub timers: (u32, u32),
    /// Whether no further piece of the bucket follows.
    pub last: bool,
    /// Its records.
    pub records: Vec<Record>,
}

/// Buckets that a former home hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfers {
    /// The view that makes the receiver their home.
    pub view: Stamp,
    /// Number of the message among those to this receiver.
    pub number: u32,
    /// The service.
    pub service: ServiceId,
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// The buckets, in rising order.
    pub transfers: Vec<Transfer>,
    /// Sender's second, which the records' ages count from.
    pub second: u32,
}

/// Records that the receiver shall know of without deciding on them now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replication {
    /// Number of the message among those to this receiver.
    pub number: u32,
    /// The last step that the sender had applied, which gives the indexes their meaning.
    pub stamp: Stamp,
    /// The service.
    pub service: ServiceId,
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// Records in the order of their buckets.
    pub records: Vec<Record>,
}

/// A message between two entry hosts of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A host shows that it lives.
    Heartbeat(Heartbeat),
    /// The planner renews the lease of a host that has applied every step.
    Grant {
        /// Epoch of the planner.
        epoch: u64,
        /// The time that the host named in its beat.
        sent: Instant,
        /// The life that the host named in its beat.
        incarnation: u32,
    },
    /// A new planner asks what the hosts know.
    Probe {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// Steps to apply.
    Steps(Steps),
    /// The receiver is too far behind for steps and has to fetch the plan.
    PlanOffer {
        /// Epoch of the planner.
        epoch: u64,
        /// The plan to fetch.
        stamp: Stamp,
    },
    /// Asks for the pieces of a plan.
    FetchPlan {
        /// Last step of the plan.
        stamp: Stamp,
        /// How many pieces are there already.
        received: u16,
    },
    /// A piece of a plan.
    PlanChunk(PlanChunk),
    /// A home has buckets that need be held no longer.
    HoldReport(HoldReport),
    /// A former home hands buckets over.
    Transfers(Transfers),
    /// The buckets have arrived.
    TransferAck {
        /// The view that the handover belongs to.
        view: Stamp,
        /// Number of the message that is answered.
        number: u32,
    },
    /// A home tells a backup, or a returning host tells a home, of its records.
    Replication(Replication),
    /// The records have arrived.
    ReplicationAck {
        /// Number of the message that is answered.
        number: u32,
    },
}

/// What the router asks its host to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send(HostId, Message),
    /// Note an event for the operators.
    Event(Event),
}

/// Something that operators may want to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// This host plans for its group from now on.
    PlanningStarted {
        /// Epoch of its planning.
        epoch: u64,
    },
    /// The homes have changed.
    ViewChanged {
        /// The homes.
        hosts: Vec<HostId>,
    },
    /// New flows of a service follow another table.
    TableSwitched {
        /// The service.
        service: ServiceId,
        /// Number of buckets that are held.
        held: u32,
    },
    /// This host was out of the group for too long and starts anew.
    Restarted,
}
