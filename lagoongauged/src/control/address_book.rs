//! Addresses of the control hosts.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge_schema::control_capnp::address;

/// Maximum number of control hosts in an address book.
const MAX_HOSTS: usize = 32;

/// Listen address and data centre of a control host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlEndpoint {
    /// The data centre.
    pub centre: CentreId,
    /// Listen address and port.
    pub address: SocketAddr,
}

/// The known control hosts and their endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressBook {
    endpoints: IndexMap<HostId, ControlEndpoint>,
}

impl AddressBook {
    /// Returns the endpoint of a host.
    pub fn get(&self, host: HostId) -> Option<ControlEndpoint> {
        self.endpoints.get(&host).copied()
    }

    /// Returns all hosts with their endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, ControlEndpoint)> {
        self.endpoints.iter().map(|(host, endpoint)| (*host, *endpoint))
    }

    /// Returns all addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.endpoints.values().map(|endpoint| endpoint.address).collect()
    }

    /// Returns the hosts with their data centres.
    pub fn centres(&self) -> Vec<(HostId, CentreId)> {
        self.iter().map(|(host, endpoint)| (host, endpoint.centre)).collect()
    }

    /// Inserts a host's endpoint and returns whether it changed; ignores new hosts when full.
    pub fn insert(&mut self, host: HostId, endpoint: ControlEndpoint) -> bool {
        if self.endpoints.len() >= MAX_HOSTS && !self.endpoints.contains_key(&host) {
            return false;
        }
        self.endpoints.insert(host, endpoint) != Some(endpoint)
    }

    /// Encodes the address book into a message.
    pub fn write(&self, mut list: capnp::struct_list::Builder<'_, address::Owned>) {
        for (index, (host, endpoint)) in self.iter().enumerate().take(list.len() as usize) {
            write_endpoint(host, endpoint, list.reborrow().get(index as u32));
        }
    }

    /// Inserts the endpoints of a message.
    pub fn read(
        &mut self,
        list: capnp::struct_list::Reader<'_, address::Owned>,
    ) -> std::result::Result<(), capnp::Error> {
        for address in list.iter().take(MAX_HOSTS) {
            if let Some((host, endpoint)) = read_endpoint(address)? {
                self.insert(host, endpoint);
            }
        }
        Ok(())
    }

    /// Returns a digest of the whole address book.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(self.to_string().as_bytes());
        hasher.finish()
    }

    /// Returns the number of known hosts.
    pub fn len(&self) -> u32 {
        self.endpoints.len() as u32
    }

    /// Returns whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// Encodes one host's endpoint into a message.
pub fn write_endpoint(host: HostId, endpoint: ControlEndpoint, mut address: address::Builder<'_>) {
    address.set_host(host.0);
    address.set_centre(endpoint.centre.0);
    address.set_address(endpoint.address.to_string());
}

/// Decodes one host's endpoint; `None` if its address does not parse.
pub fn read_endpoint(
    address: address::Reader<'_>,
) -> std::result::Result<Option<(HostId, ControlEndpoint)>, capnp::Error> {
    let socket_address = address.get_address()?.to_str()?.parse().ok();
    let centre = CentreId(address.get_centre());
    Ok(socket_address.map(|socket_address| {
        (HostId(address.get_host()), ControlEndpoint { centre, address: socket_address })
    }))
}

impl TryFrom<&str> for AddressBook {
    type Error = Error;

    /// Parses a comma-separated list of `ID@CENTRE=ADDRESS:PORT`.
    fn try_from(text: &str) -> Result<Self> {
        let mut book = Self::default();
        for entry in text.split(',').map(str::trim).filter(|entry| !entry.is_empty()) {
            let (host, endpoint) = parse_entry(entry).ok_or_else(|| {
                let detail = format!("expected ID@CENTRE=ADDRESS:PORT, found {entry:?}");
                Error::new(Kind::Usage, detail)
            })?;
            book.insert(host, endpoint);
        }
        Ok(book)
    }
}

impl fmt::Display for AddressBook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (host, endpoint)) in self.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}@{}={}", host.0, endpoint.centre.0, endpoint.address)?;
        }
        Ok(())
    }
}

fn parse_entry(entry: &str) -> Option<(HostId, ControlEndpoint)> {
    let (host, address) = entry.split_once('=')?;
    let (id, centre) = host.split_once('@')?;
    let centre = CentreId(centre.parse().ok()?);
    Some((HostId(id.parse().ok()?), ControlEndpoint { centre, address: address.parse().ok()? }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn address_books_round_trip_through_text() {
        let text = "1@0=127.0.0.1:7100,2@1=[::1]:7100";
        assert_eq!(AddressBook::try_from(text).unwrap().to_string(), text);
        for wrong in ["1=127.0.0.1:7100", "x@0=127.0.0.1:1", "1@0=localhost:1", "1@999=1.1.1.1:1"] {
            assert_eq!(AddressBook::try_from(wrong).unwrap_err().kind, Kind::Usage, "{wrong}");
        }
    }
}
