//! Where the control hosts listen.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge_schema::control_capnp::address;

/// Most control hosts that are known at a time.
const HOSTS: usize = 32;

/// Where a control host listens and in which data centre it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlEndpoint {
    /// The data centre.
    pub centre: CentreId,
    /// Address and port.
    pub address: SocketAddr,
}

/// The known control hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressBook {
    places: IndexMap<HostId, ControlEndpoint>,
}

impl AddressBook {
    /// Returns where a host listens.
    pub fn get(&self, host: HostId) -> Option<ControlEndpoint> {
        self.places.get(&host).copied()
    }

    /// Returns all hosts with their places.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, ControlEndpoint)> {
        self.places.iter().map(|(host, place)| (*host, *place))
    }

    /// Returns all addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.places.values().map(|place| place.address).collect()
    }

    /// Returns the hosts with their data centres.
    pub fn centres(&self) -> Vec<(HostId, CentreId)> {
        self.iter().map(|(host, place)| (host, place.centre)).collect()
    }

    /// Notes a host's place; tells whether it was new, and passes over hosts beyond the bound.
    pub fn insert(&mut self, host: HostId, place: ControlEndpoint) -> bool {
        if self.places.len() >= HOSTS && !self.places.contains_key(&host) {
            return false;
        }
        self.places.insert(host, place) != Some(place)
    }

    /// Writes the book into a message.
    pub fn write(&self, mut list: capnp::struct_list::Builder<'_, address::Owned>) {
        for (index, (host, place)) in self.iter().enumerate().take(list.len() as usize) {
            write_endpoint(host, place, list.reborrow().get(index as u32));
        }
    }

    /// Notes the places of a message.
    pub fn read(
        &mut self,
        list: capnp::struct_list::Reader<'_, address::Owned>,
    ) -> std::result::Result<(), capnp::Error> {
        for address in list.iter().take(HOSTS) {
            if let Some((host, place)) = read_endpoint(address)? {
                self.insert(host, place);
            }
        }
        Ok(())
    }

    /// Returns a digest of the whole list.
    pub fn digest(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write(self.to_string().as_bytes());
        hasher.finish()
    }

    /// Returns how many hosts are known.
    pub fn len(&self) -> u32 {
        self.places.len() as u32
    }

    /// Tells whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

/// Writes one host's place into a message.
pub fn write_endpoint(host: HostId, place: ControlEndpoint, mut address: address::Builder<'_>) {
    address.set_host(host.0);
    address.set_centre(place.centre.0);
    address.set_address(place.address.to_string());
}

/// Reads one host's place; nothing where the address is none.
pub fn read_endpoint(
    address: address::Reader<'_>,
) -> std::result::Result<Option<(HostId, ControlEndpoint)>, capnp::Error> {
    let listen = address.get_address()?.to_str()?.parse().ok();
    let centre = CentreId(address.get_centre());
    Ok(listen
        .map(|listen| (HostId(address.get_host()), ControlEndpoint { centre, address: listen })))
}

impl TryFrom<&str> for AddressBook {
    type Error = Error;

    /// Reads `ID@CENTRE=ADDRESS:PORT`, separated by commas.
    fn try_from(text: &str) -> Result<Self> {
        let mut book = Self::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (host, place) = parse(part).ok_or_else(|| {
                let detail = format!("{part:?} is not ID@CENTRE=ADDRESS:PORT");
                Error::new(Kind::Usage, detail)
            })?;
            book.insert(host, place);
        }
        Ok(book)
    }
}

impl fmt::Display for AddressBook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (host, place)) in self.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}@{}={}", host.0, place.centre.0, place.address)?;
        }
        Ok(())
    }
}

fn parse(part: &str) -> Option<(HostId, ControlEndpoint)> {
    let (host, address) = part.split_once('=')?;
    let (id, centre) = host.split_once('@')?;
    let centre = CentreId(centre.parse().ok()?);
    Some((HostId(id.parse().ok()?), ControlEndpoint { centre, address: address.parse().ok()? }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn books_come_back_as_written() {
        let text = "1@0=127.0.0.1:7100,2@1=[::1]:7100";
        assert_eq!(AddressBook::try_from(text).unwrap().to_string(), text);
        for wrong in ["1=127.0.0.1:7100", "x@0=127.0.0.1:1", "1@0=localhost:1", "1@999=1.1.1.1:1"] {
            assert_eq!(AddressBook::try_from(wrong).unwrap_err().kind, Kind::Usage, "{wrong}");
        }
    }
}
