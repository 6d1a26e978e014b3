//! Settings divided into items, so that an update contains only the changed ones.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::error::{Error, Kind, Result};
use crate::id::{HostId, MemberId, ServiceId};
use crate::settings::{Host, Member, Resolved, Service};

/// Largest number of items in an update.
pub const MAX_ITEMS: usize = 65_536;

/// Largest encoded item in bytes.
pub const MAX_ITEM_BYTES: usize = 65_536;

/// Object that an item describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ItemKey {
    /// A member.
    Member(MemberId),
    /// A service with its group.
    Service(ServiceId),
    /// An entry host.
    Host(HostId),
}

/// An item, or the removal of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Object that the item describes.
    pub key: ItemKey,
    /// The encoded description; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// Digest of the items of a version, independent of their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub u128);

/// Update from a version to a later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version to which the update applies; `None` for a full copy.
    pub base: Option<u64>,
    /// Version after the update.
    pub version: u64,
    /// Digest of the items after the update.
    pub digest: Digest,
    /// Changed items.
    pub items: Vec<Item>,
}

/// The settings of a version, divided into items.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    version: u64,
    digest: Digest,
    items: BTreeMap<ItemKey, Vec<u8>>,
}

impl Table {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of the items.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the current state of an item.
    pub fn item(&self, key: ItemKey) -> Item {
        Item { key, value: self.items.get(&key).cloned() }
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.items.iter().map(|(key, value)| Item { key: *key, value: Some(value.clone()) })
    }

    /// Decodes the settings; fails with `Malformed` if an item does not decode.
    pub fn resolved(&self) -> Result<Resolved> {
        let mut resolved = Resolved { version: self.version, ..Resolved::default() };
        for (key, value) in &self.items {
            match key {
                ItemKey::Member(id) => {
                    resolved.members.insert(*id, decode::<Member>(value)?);
                }
                ItemKey::Service(id) => {
                    let (service, group) = decode::<(Service, u16)>(value)?;
                    resolved.services.insert(*id, service);
                    resolved.groups.insert(*id, group);
                }
                ItemKey::Host(id) => {
                    resolved.hosts.insert(*id, decode::<Host>(value)?);
                }
            }
        }
        Ok(resolved)
    }

    /// Replaces the items with those of `resolved` and returns the keys that changed.
    pub fn replace(&mut self, resolved: &Resolved) -> Vec<ItemKey> {
        let next = encode_all(resolved);
        let removed = self.items.keys().filter(|key| !next.contains_key(key));
        let mut changed: Vec<ItemKey> = removed.copied().collect();
        let differs = |(key, value): &(&ItemKey, &Vec<u8>)| self.items.get(key) != Some(value);
        changed.extend(next.iter().filter(differs).map(|(key, _)| *key));
        for key in &changed {
            self.set(*key, next.get(key).cloned());
        }
        self.version = resolved.version;
        changed
    }

    /// Returns the table after an update, or `None` if the digests differ.
    pub fn with_update(&self, update: &Update) -> Option<Self> {
        let mut next = if update.base.is_some() { self.clone() } else { Self::default() };
        for item in &update.items {
            next.set(item.key, item.value.clone());
        }
        next.version = update.version;
        (next.digest == update.digest).then_some(next)
    }

    fn set(&mut self, key: ItemKey, value: Option<Vec<u8>>) {
        let previous = match &value {
            Some(value) => self.items.insert(key, value.clone()),
            None => self.items.remove(&key),
        };
        if let Some(previous) = previous {
            self.digest.0 = self.digest.0.wrapping_sub(item_digest(key, &previous));
        }
        if let Some(value) = value {
            self.digest.0 = self.digest.0.wrapping_add(item_digest(key, &value));
        }
    }
}

impl Update {
    /// Checks the limits of an update; fails with `Oversized` if one is exceeded.
    pub fn check(&self) -> Result<()> {
        if self.items.len() > MAX_ITEMS {
            let detail =
                format!("update has {} items, at most {MAX_ITEMS} are accepted", self.items.len());
            return Err(Error::new(Kind::Oversized, detail));
        }
        let is_oversized =
            |item: &Item| item.value.as_ref().is_some_and(|value| value.len() > MAX_ITEM_BYTES);
        if self.items.iter().any(is_oversized) {
            let detail = format!("update contains an item of more than {MAX_ITEM_BYTES} bytes");
            return Err(Error::new(Kind::Oversized, detail));
        }
        Ok(())
    }

    /// Encodes the update for transmission.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an update; fails with `Malformed`, or with `Oversized` if a limit is exceeded.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let update: Self = decode(bytes)?;
        update.check()?;
        Ok(update)
    }
}

/// Returns the digest of one item; a table's digest is their sum, which does not depend on order.
fn item_digest(key: ItemKey, value: &[u8]) -> u128 {
    let mut digest = Sha256::new();
    digest.update(postcard::to_stdvec(&key).unwrap_or_default());
    digest.update(value);
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest.finalize()[..16]);
    u128::from_le_bytes(bytes)
}

fn encode_all(resolved: &Resolved) -> BTreeMap<ItemKey, Vec<u8>> {
    let encode_member = |(id, member)| (ItemKey::Member(id), encode(member));
    let encode_host = |(id, host)| (ItemKey::Host(id), encode(host));
    let mut items = BTreeMap::new();
    items.extend(resolved.members.iter().map(|(id, member)| encode_member((*id, member))));
    items.extend(resolved.hosts.iter().map(|(id, host)| encode_host((*id, host))));
    for (id, service) in &resolved.services {
        let group = resolved.groups.get(id).copied().unwrap_or_default();
        items.insert(ItemKey::Service(*id), encode(&(service, group)));
    }
    items
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|error| {
        Error::new(Kind::Malformed, format!("failed to decode item or update: {error}"))
    })
}
