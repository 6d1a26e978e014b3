//! A version of the messages between hosts, and the range of versions that a host speaks.

use std::fmt;
use std::io::{Error, ErrorKind, Result};

use serde::{Deserialize, Serialize};

/// Version of the messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u16);

/// Versions that a host speaks, all from the lowest to the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "(Version, Version)", into = "(Version, Version)")]
pub struct VersionRange {
    lowest: Version,
    highest: Version,
}

impl Version {
    /// Spoken by hosts that don't say which versions they speak.
    pub const FIRST: Self = Self(1);

    /// Hosts say which versions they speak, and skip messages that they don't know.
    pub const NEGOTIATED: Self = Self(2);
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl VersionRange {
    /// Versions that this build speaks.
    pub const OWN: Self = Self { lowest: Version::FIRST, highest: Version::NEGOTIATED };

    /// Versions of a host that doesn't say which ones it speaks.
    pub const UNSAID: Self = Self { lowest: Version::FIRST, highest: Version::FIRST };

    /// Returns the highest version.
    pub fn highest(self) -> Version {
        self.highest
    }

    /// Returns the highest version that both hosts speak, or `None` if they have none in common.
    pub fn highest_common(self, other: Self) -> Option<Version> {
        let highest = self.highest.min(other.highest);
        (highest >= self.lowest.max(other.lowest)).then_some(highest)
    }

    /// Decodes the range from the bytes that follow a message; without any, its sender speaks the
    /// first version only. Fails with `InvalidData` for other bytes.
    pub fn from_trailer(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::UNSAID);
        }
        // A later version may say more of itself after the range.
        let decoded = postcard::take_from_bytes(bytes);
        let invalid =
            |error: postcard::Error| Error::new(ErrorKind::InvalidData, error.to_string());
        decoded.map(|(range, _)| range).map_err(invalid)
    }
}

impl TryFrom<(Version, Version)> for VersionRange {
    type Error = String;

    fn try_from((lowest, highest): (Version, Version)) -> std::result::Result<Self, String> {
        if lowest < Version::FIRST || highest < lowest {
            return Err(format!("versions {lowest} to {highest} are no range"));
        }
        Ok(Self { lowest, highest })
    }
}

impl From<VersionRange> for (Version, Version) {
    fn from(range: VersionRange) -> Self {
        (range.lowest, range.highest)
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.lowest, self.highest)
    }
}
