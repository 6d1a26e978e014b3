//! Messages between the entry hosts of a group, and the router's actions and events.

use serde::{Deserialize, Serialize};

use super::plan::{Stamp, Step};
use super::record::Record;
use crate::id::{HostId, ServiceId};
use crate::time::Instant;

/// State that a host reports to the planner; the grant in response renews its serving lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Highest epoch that the host knows.
    pub epoch: u64,
    /// Highest epoch that it knew before that one.
    pub prior_epoch: u64,
    /// The last step that the host has applied.
    pub stamp: Stamp,
    /// Sending time by the host's clock, at which the granted lease starts.
    pub sent: Instant,
    /// Incarnation of the host, which changes whenever it loses its records.
    pub incarnation: u32,
    /// Whether the host wants to leave and transfer its buckets.
    pub leaving: bool,
    /// Number of buckets in transfer from or to the host.
    pub pending: u32,
    /// Open flows by service and target index.
    pub counts: Vec<(ServiceId, u16, u32)>,
}

/// Consecutive steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Steps {
    /// Epoch of the planner that sends them.
    pub epoch: u64,
    /// Stamp of the step before the first one.
    pub after: Stamp,
    /// The steps, each with its epoch.
    pub steps: Vec<(u64, Step)>,
}

/// A chunk of an encoded plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanChunk {
    /// Epoch of the planner that the sender follows.
    pub epoch: u64,
    /// Stamp of the plan's last step.
    pub stamp: Stamp,
    /// Index of the chunk.
    pub index: u16,
    /// Number of chunks.
    pub total: u16,
    /// Bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// Buckets that their home reports for release or for holding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldReport {
    /// The last step that the home had applied.
    pub stamp: Stamp,
    /// The service.
    pub service: ServiceId,
    /// The buckets, in ascending order.
    pub buckets: Vec<u32>,
    /// Whether the buckets have to be held, as a flow's target differs from the table; otherwise
    /// they may be released.
    pub hold: bool,
}

/// A bucket that moves to a new home, or a piece of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfer {
    /// The bucket.
    pub bucket: u32,
    /// Seconds until every open flow has a record, and seconds until an unrecorded SYN can't be a
    /// retransmission of one that a lost home forwarded.
    pub timers: (u32, u32),
    /// Whether this is the last piece of the bucket.
    pub last: bool,
    /// Records of the bucket.
    pub records: Vec<Record>,
}

/// Buckets that a former home transfers to their new home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transfers {
    /// Stamp of the view that makes the receiver their home.
    pub view: Stamp,
    /// Sequence number among the messages to this receiver.
    pub number: u32,
    /// The service.
    pub service: ServiceId,
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// The buckets, in ascending order.
    pub transfers: Vec<Transfer>,
    /// Sender's clock in seconds, the reference for the records' ages.
    pub second: u32,
}

/// Copies of records, for the backups or the homes of their buckets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replication {
    /// Sequence number among the messages to this receiver.
    pub number: u32,
    /// The last step that the sender had applied, which defines the target indexes.
    pub stamp: Stamp,
    /// The service.
    pub service: ServiceId,
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// Records in ascending order of their buckets.
    pub records: Vec<Record>,
}

/// A message between two entry hosts of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// A host reports its state to the planner.
    Heartbeat(Heartbeat),
    /// The planner renews the serving lease of a host that has applied every step.
    Grant {
        /// Epoch of the planner.
        epoch: u64,
        /// Sending time from the host's heartbeat.
        sent: Instant,
        /// Incarnation from the host's heartbeat.
        incarnation: u32,
    },
    /// A planner asks for a heartbeat.
    Probe {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// Steps to apply.
    Steps(Steps),
    /// The planner offers a plan to a host that is too far behind for steps.
    PlanOffer {
        /// Epoch of the planner.
        epoch: u64,
        /// Stamp of the plan to fetch.
        stamp: Stamp,
    },
    /// Requests the next chunks of a plan.
    FetchPlan {
        /// Stamp of the plan's last step.
        stamp: Stamp,
        /// Number of chunks already received.
        received: u16,
    },
    /// A chunk of a plan.
    PlanChunk(PlanChunk),
    /// A home reports buckets to release or to hold.
    HoldReport(HoldReport),
    /// A former home transfers buckets.
    Transfers(Transfers),
    /// Acknowledges transferred buckets.
    TransferAck {
        /// Stamp of the view that caused the transfer.
        view: Stamp,
        /// Sequence number of the acknowledged message.
        number: u32,
    },
    /// A home copies records to their backup, or a formerly isolated host to their home.
    Replication(Replication),
    /// Acknowledges replicated records.
    ReplicationAck {
        /// Sequence number of the acknowledged message.
        number: u32,
    },
}

/// An action that the router requests from its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer.
    Send(HostId, Message),
    /// Log an event for operators.
    Event(Event),
}

/// An event for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// This host has become the planner of its group.
    PlanningStarted {
        /// Epoch of the planner.
        epoch: u64,
    },
    /// The homes have changed.
    ViewChanged {
        /// The homes.
        hosts: Vec<HostId>,
    },
    /// New flows of a service follow a new table.
    TableSwitched {
        /// The service.
        service: ServiceId,
        /// Number of held buckets.
        held: u32,
    },
    /// This host was out of the group for too long and has discarded its records.
    Restarted,
}
