//! Announcements of targets and their validation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind};
use crate::flow::Protocol;
use crate::id::ServiceId;
use crate::time::Span;

/// Shortest lease that a target may request; a shorter one would expire between two heartbeats.
pub const MIN_LEASE: Span = Span::seconds(3);
/// Longest lease that a target may request; it bounds how long a host trusts a stale entry.
pub const MAX_LEASE: Span = Span::seconds(30);
/// Lease of a target that requests none.
pub const DEFAULT_LEASE: Span = Span::seconds(10);
/// Maximum number of slots that a target may announce.
pub const MAX_SLOTS: u16 = 1024;
/// Longest deadline of a drain.
const MAX_DEADLINE_MS: u64 = 7 * 24 * 3600 * 1000;

/// State of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The target accepts new flows.
    Ready,
    /// The target finishes its flows, accepts no new ones and may become ready again.
    Draining,
    /// The target finishes its flows and will not become ready again.
    Leaving,
    /// The target's lease has expired; its address is in quarantine.
    Freed,
}

/// An announcement as received, not yet validated.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawAnnouncement {
    /// Key of the service.
    pub service: u32,
    /// Address and port of the target.
    pub address: String,
    /// `tcp` or `udp`.
    pub protocol: String,
    /// `ready`, `draining` or `leaving`.
    pub state: String,
    /// Generation of the target, increased with each restart at this address.
    pub generation: u64,
    /// Requests that the target handles concurrently.
    pub slots: u64,
    /// Open connections as reported by the target.
    pub connections: u64,
    /// Load as reported by the target, in thousandths of its capacity.
    pub load: u64,
    /// Requested lease, in milliseconds.
    pub lease: Option<u64>,
    /// How long the flows of a draining target may continue, in milliseconds.
    pub deadline: Option<u64>,
}

/// A validated announcement; the registry checks whether its member is authorized to make it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The service that the target serves.
    pub service: ServiceId,
    /// Address and port of the target.
    pub address: SocketAddr,
    /// Transport protocol.
    pub protocol: Protocol,
    /// State of the target.
    pub state: State,
    /// Generation of the target, increased with each restart at this address.
    pub generation: u64,
    /// Requests that the target handles concurrently.
    pub slots: u16,
    /// Open connections as reported by the target.
    pub connections: u32,
    /// Load as reported by the target, in thousandths of its capacity.
    pub load: u16,
    /// How long the announcement is valid.
    pub lease: Span,
    /// How long the flows of a draining target may continue.
    pub deadline: Option<Span>,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = Error;

    fn try_from(raw: RawAnnouncement) -> Result<Self, Error> {
        let address = raw.address.parse::<SocketAddr>().map_err(|_| {
            invalid(format!("address {:?} is not an IP address with port", raw.address))
        })?;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            return Err(invalid(format!("address {address} can't be a target's")));
        }
        let protocol = match raw.protocol.as_str() {
            "tcp" => Protocol::Tcp,
            "udp" => Protocol::Udp,
            other => return Err(invalid(format!("protocol {other:?} is neither tcp nor udp"))),
        };
        let state = match raw.state.as_str() {
            "ready" => State::Ready,
            "draining" => State::Draining,
            "leaving" => State::Leaving,
            other => {
                return Err(invalid(format!("state {other:?} is not a target's")));
            }
        };
        let slots = u16::try_from(raw.slots).unwrap_or(u16::MAX);
        if slots == 0 || slots > MAX_SLOTS {
            return Err(invalid(format!("{} slots are not between 1 and {MAX_SLOTS}", raw.slots)));
        }
        let lease = raw.lease.map_or(DEFAULT_LEASE, Span);
        if lease < MIN_LEASE || lease > MAX_LEASE {
            return Err(invalid(format!(
                "a lease of {} ms is not between {} and {} ms",
                lease.0, MIN_LEASE.0, MAX_LEASE.0
            )));
        }
        if raw.deadline.is_some_and(|deadline| deadline > MAX_DEADLINE_MS) {
            return Err(invalid(format!("the deadline is longer than {MAX_DEADLINE_MS} ms")));
        }
        Ok(Self {
            service: ServiceId(raw.service),
            address,
            protocol,
            state,
            generation: raw.generation,
            slots,
            connections: u32::try_from(raw.connections).unwrap_or(u32::MAX),
            load: u16::try_from(raw.load).unwrap_or(u16::MAX),
            lease,
            deadline: raw.deadline.map(Span),
        })
    }
}

fn invalid(detail: String) -> Error {
    Error::new(Kind::InvalidValue, detail)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn raw() -> RawAnnouncement {
        RawAnnouncement {
            service: 1,
            address: "10.0.0.1:80".to_string(),
            protocol: "tcp".to_string(),
            state: "ready".to_string(),
            generation: 1,
            slots: 2,
            ..RawAnnouncement::default()
        }
    }

    #[test]
    fn invalid_values_are_refused_by_field_name() {
        assert!(Announcement::try_from(raw()).is_ok());
        let cases = [
            (RawAnnouncement { address: "host:80".to_string(), ..raw() }, "address"),
            (RawAnnouncement { address: "0.0.0.0:80".to_string(), ..raw() }, "address"),
            (RawAnnouncement { protocol: "sctp".to_string(), ..raw() }, "protocol"),
            (RawAnnouncement { state: "freed".to_string(), ..raw() }, "state"),
            (RawAnnouncement { slots: 0, ..raw() }, "slots"),
            (RawAnnouncement { slots: 1 << 40, ..raw() }, "slots"),
            (RawAnnouncement { lease: Some(1), ..raw() }, "lease"),
            (RawAnnouncement { lease: Some(u64::MAX), ..raw() }, "lease"),
        ];
        for (case, field) in cases {
            let error = Announcement::try_from(case).unwrap_err();
            assert_eq!(error.kind, Kind::InvalidValue);
            assert!(error.detail.contains(field), "{error}");
        }
    }
}
