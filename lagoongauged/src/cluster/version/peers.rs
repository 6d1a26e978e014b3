//! What a host knows of the versions that other hosts speak.

use std::fmt;
use std::io::{Error, ErrorKind};

use indexmap::IndexMap;
use lagoongauge::id::HostId;

use super::range::{Version, VersionRange};

/// Maximum number of hosts that are remembered; beyond it the oldest is forgotten.
const MAX_HOSTS: usize = 4096;

/// Versions that other hosts speak, and the messages of theirs that this host doesn't know.
#[derive(Debug, Default)]
pub struct PeerVersions {
    ranges: IndexMap<HostId, VersionRange>,
    unknown: IndexMap<HostId, u64>,
}

/// Another host speaks no version that this one speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incompatible {
    /// The other host.
    pub host: HostId,
    /// Versions that it speaks.
    pub versions: VersionRange,
}

impl PeerVersions {
    /// Returns the lowest of the highest versions that the other hosts speak, or this host's own if it
    /// knows none.
    pub fn lowest(&self) -> Version {
        let highest = self.ranges.values().map(|range| range.highest());
        highest.min().unwrap_or_else(|| VersionRange::OWN.highest())
    }

    /// Returns the number of hosts that speak no version of this one.
    pub fn incompatible_count(&self) -> usize {
        let is_incompatible =
            |range: &&VersionRange| range.highest_common(VersionRange::OWN).is_none();
        self.ranges.values().filter(is_incompatible).count()
    }

    /// Iterates over the hosts that sent unknown messages, with their number.
    pub fn unknown_messages(&self) -> impl Iterator<Item = (HostId, u64)> + '_ {
        self.unknown.iter().map(|(host, count)| (*host, *count))
    }

    /// Records the versions of a host and logs them if they are new; returns the highest version in
    /// common.
    pub fn record(
        &mut self,
        host: HostId,
        versions: VersionRange,
    ) -> Result<Version, Incompatible> {
        let common = versions.highest_common(VersionRange::OWN);
        if insert_bounded(&mut self.ranges, host, versions) != Some(versions) {
            log_versions(host, versions, common);
        }
        common.ok_or(Incompatible { host, versions })
    }

    /// Forgets a host whose connection was lost. One without a common version is kept, as its
    /// connections end at once.
    pub fn remove(&mut self, host: HostId) {
        let range = self.ranges.get(&host);
        if range.is_some_and(|range| range.highest_common(VersionRange::OWN).is_some()) {
            self.ranges.shift_remove(&host);
        }
    }

    /// Counts a message that was skipped, and logs the first one of a host.
    pub fn count_unknown(&mut self, host: HostId, variant: u32) {
        let count = self.unknown.get(&host).copied().unwrap_or_default();
        insert_bounded(&mut self.unknown, host, count + 1);
        if count == 0 {
            log::warn!(
                belief = "versions", peer = host.to_string().as_str(), variant = variant;
                "host {host} sends messages of a later version, which are skipped"
            );
        }
    }
}

impl fmt::Display for Incompatible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { host, versions } = self;
        let own = VersionRange::OWN;
        write!(f, "host {host} speaks versions {versions}, this one {own}: none in common")
    }
}

impl std::error::Error for Incompatible {}

impl From<Incompatible> for Error {
    fn from(incompatible: Incompatible) -> Self {
        Self::new(ErrorKind::Unsupported, incompatible)
    }
}

fn log_versions(host: HostId, versions: VersionRange, common: Option<Version>) {
    let (name, range) = (host.to_string(), versions.to_string());
    match common {
        Some(common) => log::info!(
            belief = "versions", peer = name.as_str(), versions = range.as_str(),
            common = common.0;
            "host {host} speaks versions {versions}, version {common} is used"
        ),
        None => log::error!(
            belief = "versions", peer = name.as_str(), versions = range.as_str();
            "{}", Incompatible { host, versions }
        ),
    }
}

/// Inserts a value and returns the former one; makes room for a new host by forgetting the oldest.
fn insert_bounded<T>(map: &mut IndexMap<HostId, T>, host: HostId, value: T) -> Option<T> {
    if map.len() >= MAX_HOSTS && !map.contains_key(&host) {
        map.shift_remove_index(0);
    }
    map.insert(host, value)
}
