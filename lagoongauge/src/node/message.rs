//! Messages between the nodes of a group and their bytes.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use lagoongauge_schema::target_capnp as schema;

use crate::balance::Sight;
use crate::error::{Error, Kind, Result};
use crate::group::{Epoch, LeaseMessage};
use crate::id::TargetId;
use crate::target::Gossip;

/// Most targets in one report.
const MAX_SEEN: u32 = 1024;
/// Words that a message may make its reader go over.
const MAX_WORDS: usize = 1 << 16;

/// What a host has seen of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The target.
    pub target: TargetId,
    /// What was seen.
    pub sight: Sight,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// About the group's lease.
    Lease(LeaseMessage),
    /// About views, tables and records.
    Route(crate::route::Message),
    /// About the registry of targets.
    Gossip(Gossip),
    /// What a host has seen of targets, for the planner.
    Report(Vec<Seen>),
}

impl Message {
    /// Writes the message.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<schema::message::Builder<'_>>();
        match self {
            Self::Lease(lease) => write_lease(lease, root.init_lease()),
            Self::Route(route) => root.set_route(&route.encode()),
            Self::Gossip(gossip) => gossip.write(root.init_gossip()),
            Self::Report(seen) => write_report(seen, root.init_report(seen.len() as u32)),
        }
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &message).expect("a vector takes all bytes");
        bytes
    }

    /// Reads a message, checking every value.
    ///
    /// # Errors
    ///
    /// `Malformed` where the bytes do not follow the schema, `Oversized` where a list is too long.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_WORDS));
        let message = serialize_packed::read_message(bytes, options).map_err(malformed)?;
        let root = message.get_root::<schema::message::Reader<'_>>().map_err(malformed)?;
        match root.which().map_err(malformed)? {
            schema::message::Which::Lease(lease) => {
                read_lease(lease.map_err(malformed)?).map(Self::Lease)
            }
            schema::message::Which::Route(data) => {
                crate::route::Message::decode(data.map_err(malformed)?).map(Self::Route)
            }
            schema::message::Which::Gossip(gossip) => {
                Gossip::read(gossip.map_err(malformed)?).map(Self::Gossip)
            }
            schema::message::Which::Report(seen) => {
                read_report(seen.map_err(malformed)?).map(Self::Report)
            }
        }
    }
}

fn write_lease(from: &LeaseMessage, mut to: schema::lease::Builder<'_>) {
    match *from {
        LeaseMessage::Prepare { ballot } => to.set_prepare(ballot.0),
        LeaseMessage::Promise { ballot } => to.set_promise(ballot.0),
        LeaseMessage::Refuse { ballot, highest } => {
            let mut refuse = to.init_refuse();
            refuse.set_asked(ballot.0);
            refuse.set_highest(highest.0);
        }
        LeaseMessage::Propose { ballot, renewal } => {
            write_renewal(ballot, renewal, to.init_propose());
        }
        LeaseMessage::Grant { ballot, renewal } => write_renewal(ballot, renewal, to.init_grant()),
    }
}

fn write_renewal(ballot: Epoch, renewal: u32, mut to: schema::renewal::Builder<'_>) {
    to.set_ballot(ballot.0);
    to.set_renewal(renewal);
}

fn read_lease(from: schema::lease::Reader<'_>) -> Result<LeaseMessage> {
    use schema::lease::Which;
    Ok(match from.which().map_err(malformed)? {
        Which::Prepare(ballot) => LeaseMessage::Prepare { ballot: Epoch(ballot) },
        Which::Promise(ballot) => LeaseMessage::Promise { ballot: Epoch(ballot) },
        Which::Refuse(refuse) => {
            let refuse = refuse.map_err(malformed)?;
            let (ballot, highest) = (Epoch(refuse.get_asked()), Epoch(refuse.get_highest()));
            LeaseMessage::Refuse { ballot, highest }
        }
        Which::Propose(one) => {
            let one = one.map_err(malformed)?;
            LeaseMessage::Propose { ballot: Epoch(one.get_ballot()), renewal: one.get_renewal() }
        }
        Which::Grant(one) => {
            let one = one.map_err(malformed)?;
            LeaseMessage::Grant { ballot: Epoch(one.get_ballot()), renewal: one.get_renewal() }
        }
    })
}

fn write_report(seen: &[Seen], mut to: capnp::struct_list::Builder<'_, schema::sight::Owned>) {
    for (at, one) in (0..).zip(seen) {
        let mut entry = to.reborrow().get(at);
        entry.set_target(one.target.0);
        entry.set_opened(one.sight.opened);
        entry.set_answered(one.sight.answered);
        entry.set_reset(one.sight.reset);
        entry.set_load(one.sight.load.map_or(0, |load| load.saturating_add(1)));
    }
}

fn read_report(from: capnp::struct_list::Reader<'_, schema::sight::Owned>) -> Result<Vec<Seen>> {
    if from.len() > MAX_SEEN {
        return Err(Error::new(Kind::Oversized, "a report has too many targets"));
    }
    let seen = from.iter().map(|entry| Seen {
        target: TargetId(entry.get_target()),
        sight: Sight {
            opened: entry.get_opened(),
            answered: entry.get_answered(),
            reset: entry.get_reset(),
            load: entry.get_load().checked_sub(1),
        },
    });
    Ok(seen.collect())
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::Malformed, format!("a message can't be read: {error}"))
}
