//! Messages between the registries of a group, and their encoding.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use lagoongauge_schema::target_capnp as schema;

use super::announce::{Announcement, State};
use super::entry::{Endpoint, Entry, Stamp};
use crate::error::{Error, Kind, Result};
use crate::flow::Protocol;
use crate::id::{CentreId, MemberId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// Maximum number of entries in one heartbeat, so that it fits into a datagram.
pub const MAX_ENTRIES: usize = 16;

/// Confirms the entries of a home and carries changes; see "Target registry" in docs/DESIGN.md.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Epoch of the sender's view.
    pub epoch: u64,
    /// Digest of all entries that the sender is home of, except freed ones; none in responses and
    /// without a lease.
    pub digest: Option<u64>,
    /// Whether the sender has synchronized with the group since it started.
    pub synced: bool,
    /// Position in a response with all entries, if the receiver requested them.
    pub part: Option<Part>,
    /// Changed entries, or those that the receiver requested.
    pub entries: Vec<(Endpoint, Entry)>,
}

/// Position of a heartbeat in a response with all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Index of the part, starting at 0.
    pub index: u8,
    /// Number of parts.
    pub count: u8,
}

/// An announcement forwarded to its home by the host that received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardedAnnouncement {
    /// The announcement, whose token the sender has checked.
    pub announcement: Announcement,
    /// Data centre of the sender.
    pub centre: CentreId,
}

/// Refusal by a home, sent to the host that forwarded the announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The announced endpoint.
    pub endpoint: Endpoint,
    /// The announced service.
    pub service: ServiceId,
    /// The announced generation.
    pub generation: u64,
    /// Why the announcement was refused.
    pub error: Error,
}

/// A message between the registries of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Gossip {
    /// Confirms and changes entries.
    Heartbeat(Heartbeat),
    /// Requests the entries that the receiver is home of, or all that it holds.
    Request {
        /// Whether all entries are requested.
        all: bool,
    },
    /// Forwards an announcement to its home.
    Forward(ForwardedAnnouncement),
    /// Refuses a forwarded announcement.
    Refusal(Refusal),
}

impl Gossip {
    /// Encodes the message.
    pub fn write(&self, mut to: schema::gossip::Builder<'_>) {
        match self {
            Self::Heartbeat(heartbeat) => write_heartbeat(heartbeat, to.init_beat()),
            Self::Request { all } => to.set_ask(*all),
            Self::Forward(forward) => write_forward(forward, to.init_forward()),
            Self::Refusal(refusal) => write_refusal(refusal, to.init_decision()),
        }
    }

    /// Decodes a message and validates every value.
    ///
    /// # Errors
    ///
    /// `Malformed` if the bytes do not follow the schema, `Oversized` if a list is too long.
    pub fn read(from: schema::gossip::Reader<'_>) -> Result<Self> {
        use schema::gossip::Which;
        match from.which().map_err(malformed)? {
            Which::Beat(heartbeat) => {
                Ok(Self::Heartbeat(read_heartbeat(heartbeat.map_err(malformed)?)?))
            }
            Which::Ask(all) => Ok(Self::Request { all }),
            Which::Forward(forward) => {
                Ok(Self::Forward(read_forward(forward.map_err(malformed)?)?))
            }
            Which::Decision(refusal) => {
                Ok(Self::Refusal(read_refusal(refusal.map_err(malformed)?)?))
            }
        }
    }
}

fn write_heartbeat(heartbeat: &Heartbeat, mut to: schema::beat::Builder<'_>) {
    to.set_epoch(heartbeat.epoch);
    to.set_decides(heartbeat.digest.is_some());
    to.set_digest(heartbeat.digest.unwrap_or(0));
    to.set_synced(heartbeat.synced);
    to.set_part(heartbeat.part.map_or(0, |part| part.index));
    to.set_parts(heartbeat.part.map_or(0, |part| part.count));
    let mut list = to.init_entries(heartbeat.entries.len() as u32);
    for (at, (endpoint, entry)) in heartbeat.entries.iter().enumerate() {
        write_entry(endpoint, entry, list.reborrow().get(at as u32));
    }
}

fn read_heartbeat(from: schema::beat::Reader<'_>) -> Result<Heartbeat> {
    let list = from.get_entries().map_err(malformed)?;
    if list.len() as usize > MAX_ENTRIES {
        let detail =
            format!("heartbeat has {} entries, expected at most {MAX_ENTRIES}", list.len());
        return Err(Error::new(Kind::Oversized, detail));
    }
    Ok(Heartbeat {
        epoch: from.get_epoch(),
        digest: from.get_decides().then_some(from.get_digest()),
        synced: from.get_synced(),
        part: (from.get_parts() > 0)
            .then(|| Part { index: from.get_part(), count: from.get_parts() }),
        entries: list.iter().map(read_entry).collect::<Result<_>>()?,
    })
}

fn write_entry(endpoint: &Endpoint, entry: &Entry, mut to: schema::entry::Builder<'_>) {
    write_endpoint(endpoint, to.reborrow().init_spot());
    to.set_target(entry.target.0);
    to.set_service(entry.service.0);
    to.set_member(entry.member.0);
    to.set_centre(entry.centre.0);
    to.set_state(state_number(entry.state));
    to.set_generation(entry.generation);
    to.set_slots(entry.slots);
    to.set_lease(entry.lease.0 as u32);
    to.set_deadline(entry.deadline.map_or(0, |span| span.0 as u32 + 1));
    to.set_epoch(entry.stamp.epoch);
    to.set_count(entry.stamp.count);
}

fn read_entry(from: schema::entry::Reader<'_>) -> Result<(Endpoint, Entry)> {
    let endpoint = read_endpoint(from.get_spot().map_err(malformed)?)?;
    let entry = Entry {
        target: TargetId(from.get_target()),
        service: ServiceId(from.get_service()),
        member: MemberId(from.get_member()),
        centre: CentreId(from.get_centre()),
        state: read_state(from.get_state())?,
        generation: from.get_generation(),
        slots: from.get_slots(),
        lease: Span(u64::from(from.get_lease())),
        deadline: read_deadline(from.get_deadline()),
        stamp: Stamp { epoch: from.get_epoch(), count: from.get_count() },
        refreshed: Instant::default(),
        since: Instant::default(),
    };
    Ok((endpoint, entry))
}

fn write_forward(forward: &ForwardedAnnouncement, mut to: schema::forward::Builder<'_>) {
    let announcement = &forward.announcement;
    let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
    write_endpoint(&endpoint, to.reborrow().init_spot());
    to.set_service(announcement.service.0);
    to.set_state(state_number(announcement.state));
    to.set_generation(announcement.generation);
    to.set_slots(announcement.slots);
    to.set_connections(announcement.connections);
    to.set_load(announcement.load);
    to.set_lease(announcement.lease.0 as u32);
    to.set_deadline(announcement.deadline.map_or(0, |span| span.0 as u32 + 1));
    to.set_centre(forward.centre.0);
}

fn read_forward(from: schema::forward::Reader<'_>) -> Result<ForwardedAnnouncement> {
    let endpoint = read_endpoint(from.get_spot().map_err(malformed)?)?;
    Ok(ForwardedAnnouncement {
        announcement: Announcement {
            service: ServiceId(from.get_service()),
            address: endpoint.address,
            protocol: endpoint.protocol,
            state: read_state(from.get_state())?,
            generation: from.get_generation(),
            slots: from.get_slots(),
            connections: from.get_connections(),
            load: from.get_load(),
            lease: Span(u64::from(from.get_lease())),
            deadline: read_deadline(from.get_deadline()),
        },
        centre: CentreId(from.get_centre()),
    })
}

fn write_refusal(refusal: &Refusal, mut to: schema::decision::Builder<'_>) {
    write_endpoint(&refusal.endpoint, to.reborrow().init_spot());
    to.set_service(refusal.service.0);
    to.set_generation(refusal.generation);
    to.set_kind(refusal.error.kind as u8);
    to.set_detail(refusal.error.detail.as_str());
}

fn read_refusal(from: schema::decision::Reader<'_>) -> Result<Refusal> {
    let number = usize::from(from.get_kind());
    let kind = Kind::ALL.get(number).copied();
    let kind = kind.ok_or_else(|| {
        Error::new(Kind::Malformed, format!("refusal has unknown error kind {number}"))
    })?;
    let detail = from.get_detail().map_err(malformed)?;
    let detail = detail
        .to_string()
        .map_err(|_| Error::new(Kind::Malformed, "detail of a refusal is not valid UTF-8"))?;
    Ok(Refusal {
        endpoint: read_endpoint(from.get_spot().map_err(malformed)?)?,
        service: ServiceId(from.get_service()),
        generation: from.get_generation(),
        error: Error::new(kind, detail),
    })
}

fn write_endpoint(endpoint: &Endpoint, mut to: schema::spot::Builder<'_>) {
    let (high, low) = match endpoint.address.ip() {
        IpAddr::V4(ip) => (0, u64::from(u32::from(ip))),
        IpAddr::V6(ip) => {
            let bits = u128::from(ip);
            ((bits >> 64) as u64, bits as u64)
        }
    };
    to.set_four(endpoint.address.is_ipv4());
    to.set_high(high);
    to.set_low(low);
    to.set_port(endpoint.address.port());
    to.set_udp(endpoint.protocol == Protocol::Udp);
}

fn read_endpoint(from: schema::spot::Reader<'_>) -> Result<Endpoint> {
    let ip = if from.get_four() {
        let bits = u32::try_from(from.get_low());
        IpAddr::V4(
            bits.map_err(|_| Error::new(Kind::Malformed, "IPv4 address exceeds 32 bits"))?.into(),
        )
    } else {
        let bits = u128::from(from.get_high()) << 64 | u128::from(from.get_low());
        IpAddr::V6(Ipv6Addr::from(bits))
    };
    let protocol = if from.get_udp() { Protocol::Udp } else { Protocol::Tcp };
    Ok(Endpoint { address: SocketAddr::new(ip, from.get_port()), protocol })
}

fn state_number(state: State) -> u8 {
    match state {
        State::Ready => 0,
        State::Draining => 1,
        State::Leaving => 2,
        State::Freed => 3,
    }
}

fn read_state(number: u8) -> Result<State> {
    match number {
        0 => Ok(State::Ready),
        1 => Ok(State::Draining),
        2 => Ok(State::Leaving),
        3 => Ok(State::Freed),
        _ => Err(Error::new(Kind::Malformed, format!("unknown target state {number}"))),
    }
}

/// Decodes a deadline, which is sent as its milliseconds plus one, or as 0 for none.
fn read_deadline(number: u32) -> Option<Span> {
    number.checked_sub(1).map(|span| Span(u64::from(span)))
}

fn malformed(error: impl std::fmt::Display) -> Error {
    Error::new(Kind::Malformed, format!("cannot decode registry message: {error}"))
}
