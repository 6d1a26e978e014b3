//! The key that the hosts of a cluster share.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::error::{Error, Kind, Result};
use crate::flow::HashKey;

/// Length of a cluster key in bytes.
const KEY_LEN: usize = 32;

/// Length of an authentication tag in bytes.
pub const TAG_LEN: usize = 12;

/// Secret shared by all hosts of the cluster, with which they authenticate their datagrams.
#[derive(Clone, PartialEq, Eq)]
pub struct ClusterKey([u8; KEY_LEN]);

impl TryFrom<&str> for ClusterKey {
    type Error = Error;

    /// Parses a key of 64 hexadecimal digits, ignoring surrounding whitespace.
    fn try_from(text: &str) -> Result<Self> {
        let digits = text.trim().as_bytes();
        if digits.len() != 2 * KEY_LEN {
            let detail =
                format!("cluster key has {} characters, expected {}", digits.len(), 2 * KEY_LEN);
            return Err(Error::new(Kind::InvalidValue, detail));
        }
        let mut key = [0; KEY_LEN];
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = nibble(pair[0])? << 4 | nibble(pair[1])?;
        }
        Ok(Self(key))
    }
}

impl ClusterKey {
    /// Builds a key from its bytes.
    pub const fn new(key: [u8; KEY_LEN]) -> Self {
        Self(key)
    }

    /// Derives the key of the flow hash, which is the same on all entry hosts.
    pub fn hash_key(&self) -> HashKey {
        let derived = self.derive(b"flow hash");
        let mut key = [0; 16];
        key.copy_from_slice(&derived[..16]);
        HashKey(key)
    }

    /// Derives a secret for the purpose that `label` names, so that no two purposes share a key.
    pub fn derive(&self, label: &[u8]) -> [u8; 32] {
        let mut mac = self.mac();
        mac.update(b"lagoongauge derive ");
        mac.update(label);
        mac.finalize().into_bytes().into()
    }

    /// Computes the authentication tag of the concatenated parts.
    pub fn compute_tag(&self, parts: &[&[u8]]) -> [u8; TAG_LEN] {
        let mut mac = self.mac();
        for part in parts {
            mac.update(part);
        }
        let digest = mac.finalize().into_bytes();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&digest[..TAG_LEN]);
        tag
    }

    /// Verifies an authentication tag in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        self.compute_tag(parts).ct_eq(tag).into()
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::new_from_slice(&self.0).expect("HMAC accepts keys of any length")
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

fn nibble(digit: u8) -> Result<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8).ok_or_else(|| {
        Error::new(
            Kind::InvalidValue,
            "cluster key contains a character that is not a hexadecimal digit",
        )
    })
}
