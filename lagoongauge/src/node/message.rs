//! Messages between the nodes of a group and their encoding.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use lagoongauge_schema::target_capnp as schema;

use crate::balance::TargetStats;
use crate::error::{Error, Kind, Result};
use crate::group::{Epoch, LeaseMessage};
use crate::id::TargetId;
use crate::target::Gossip;

/// First byte of a routing message, see `peer.capnp`.
const ROUTE_SCHEMA: u8 = 1;
/// First byte of a lease, registry or report message, see `target.capnp`.
const GROUP_SCHEMA: u8 = 2;
/// Maximum number of targets in one report.
const MAX_REPORT_TARGETS: u32 = 1024;
/// Cap'n Proto traversal limit of a message.
const MAX_TRAVERSAL_WORDS: usize = 1 << 16;

/// Statistics of one host for one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// The target.
    pub target: TargetId,
    /// The statistics.
    pub stats: TargetStats,
}

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Message of the lease protocol.
    Lease(LeaseMessage),
    /// Routing message: views, tables and records.
    Route(crate::route::Message),
    /// Message of the target registry.
    Gossip(Gossip),
    /// Target statistics of a host, for the planner.
    Report(Vec<TargetReport>),
}

impl Message {
    /// Encodes the message: a schema byte, then packed Cap'n Proto.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut message = Builder::new_default();
        let root = message.init_root::<schema::message::Builder<'_>>();
        match self {
            Self::Route(route) => {
                bytes.push(ROUTE_SCHEMA);
                bytes.extend(route.encode());
                return bytes;
            }
            Self::Lease(lease) => write_lease(lease, root.init_lease()),
            Self::Gossip(gossip) => gossip.write(root.init_gossip()),
            Self::Report(reports) => write_report(reports, root.init_report(reports.len() as u32)),
        }
        bytes.push(GROUP_SCHEMA);
        serialize_packed::write_message(&mut bytes, &message)
            .expect("writing to a vector does not fail");
        bytes
    }

    /// Decodes and validates a message.
    ///
    /// # Errors
    ///
    /// `Malformed` if the bytes do not match the schema, `Oversized` if a list is too long.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&ROUTE_SCHEMA, rest)) => crate::route::Message::decode(rest).map(Self::Route),
            Some((&GROUP_SCHEMA, rest)) => read_group_message(rest),
            _ => Err(Error::new(
                Kind::Malformed,
                format!("peer message has unknown schema byte: {:?}", bytes.first()),
            )),
        }
    }
}

fn read_group_message(bytes: &[u8]) -> Result<Message> {
    use schema::message::Which;
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TRAVERSAL_WORDS));
    let message = serialize_packed::read_message(bytes, options).map_err(malformed)?;
    let root = message.get_root::<schema::message::Reader<'_>>().map_err(malformed)?;
    match root.which().map_err(malformed)? {
        Which::Lease(lease) => read_lease(lease.map_err(malformed)?).map(Message::Lease),
        Which::Gossip(gossip) => Gossip::read(gossip.map_err(malformed)?).map(Message::Gossip),
        Which::Report(report) => read_report(report.map_err(malformed)?).map(Message::Report),
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
        Which::Propose(renewal) => {
            let renewal = renewal.map_err(malformed)?;
            LeaseMessage::Propose {
                ballot: Epoch(renewal.get_ballot()),
                renewal: renewal.get_renewal(),
            }
        }
        Which::Grant(renewal) => {
            let renewal = renewal.map_err(malformed)?;
            LeaseMessage::Grant {
                ballot: Epoch(renewal.get_ballot()),
                renewal: renewal.get_renewal(),
            }
        }
    })
}

fn write_report(
    reports: &[TargetReport],
    mut to: capnp::struct_list::Builder<'_, schema::sight::Owned>,
) {
    for (index, report) in (0..).zip(reports) {
        let mut entry = to.reborrow().get(index);
        entry.set_target(report.target.0);
        entry.set_opened(report.stats.opened);
        entry.set_answered(report.stats.answered);
        entry.set_reset(report.stats.reset);
        entry.set_load(report.stats.load.map_or(0, |load| load.saturating_add(1)));
    }
}

fn read_report(
    from: capnp::struct_list::Reader<'_, schema::sight::Owned>,
) -> Result<Vec<TargetReport>> {
    if from.len() > MAX_REPORT_TARGETS {
        let detail =
            format!("report has {} targets, expected at most {MAX_REPORT_TARGETS}", from.len());
        return Err(Error::new(Kind::Oversized, detail));
    }
    let reports = from.iter().map(|entry| TargetReport {
        target: TargetId(entry.get_target()),
        stats: TargetStats {
            opened: entry.get_opened(),
            answered: entry.get_answered(),
            reset: entry.get_reset(),
            load: entry.get_load().checked_sub(1),
        },
    });
    Ok(reports.collect())
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::Malformed, format!("cannot decode peer message: {error}"))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::flow::Protocol;
    use crate::id::{CentreId, MemberId, ServiceId};
    use crate::target::{
        Announcement, Endpoint, Entry, ForwardedAnnouncement, Heartbeat, Part, Refusal, Stamp,
        State,
    };
    use crate::time::{Instant, Span};

    fn endpoint(address: &str) -> Endpoint {
        Endpoint { address: address.parse().unwrap(), protocol: Protocol::Udp }
    }

    fn entry() -> Entry {
        Entry {
            target: TargetId(u64::MAX),
            service: ServiceId(3),
            member: MemberId(4),
            centre: CentreId(5),
            state: State::Leaving,
            generation: 1 << 60,
            slots: 3,
            lease: Span::seconds(10),
            deadline: Some(Span(0)),
            stamp: Stamp { epoch: 1 << 50, count: 7 },
            refreshed: Instant::default(),
            since: Instant::default(),
        }
    }

    fn messages() -> Vec<Message> {
        let ballot = Epoch(1 << 59);
        let highest = Epoch(77);
        let renewal = 9;
        let announcement = Announcement {
            service: ServiceId(1),
            address: "[2001:db8::1]:80".parse().unwrap(),
            protocol: Protocol::Tcp,
            state: State::Draining,
            generation: 3,
            slots: 2,
            connections: 1,
            load: 1000,
            lease: Span::seconds(5),
            deadline: None,
        };
        let heartbeat = Heartbeat {
            epoch: 4,
            digest: Some(0),
            synced: true,
            part: Some(Part { index: 1, count: 3 }),
            entries: vec![
                (endpoint("10.0.0.1:80"), entry()),
                (endpoint("[2001:db8::2]:1"), entry()),
            ],
        };
        let refusal = Refusal {
            endpoint: endpoint("10.0.0.1:80"),
            service: ServiceId(1),
            generation: 2,
            error: Error::new(Kind::AddressTaken, "10.0.0.1:80 belongs to another service"),
        };
        let stats = TargetStats { opened: 1, answered: 2, reset: 3, load: Some(0) };
        let gossips = [
            Gossip::Heartbeat(heartbeat),
            Gossip::Request { all: true },
            Gossip::Forward(ForwardedAnnouncement { announcement, centre: CentreId(1) }),
            Gossip::Refusal(refusal),
        ];
        let leases = [
            LeaseMessage::Prepare { ballot },
            LeaseMessage::Promise { ballot },
            LeaseMessage::Refuse { ballot, highest },
            LeaseMessage::Propose { ballot, renewal },
            LeaseMessage::Grant { ballot, renewal },
        ];
        let mut all = gossips.map(Message::Gossip).to_vec();
        all.extend(leases.map(Message::Lease));
        all.push(Message::Report(vec![TargetReport { target: TargetId(1), stats }]));
        all
    }

    #[test]
    fn every_message_round_trips() {
        for message in messages() {
            assert_eq!(Message::from_bytes(&message.to_bytes()), Ok(message));
        }
    }

    proptest! {
        #[test]
        fn damaged_bytes_never_panic(at in 0usize..200, change in 1u8..=255, cut in 0usize..200) {
            for message in messages() {
                let mut bytes = message.to_bytes();
                let position = at % bytes.len();
                bytes[position] ^= change;
                let _ = Message::from_bytes(&bytes);
                bytes.truncate(cut);
                let _ = Message::from_bytes(&bytes);
            }
        }
    }
}
