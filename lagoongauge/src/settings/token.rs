//! Operator tokens; the settings store only their salted hashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::path::Path;
use crate::error::{Error, Kind, Result};

const SALT_BYTES: usize = 16;

/// Length of a secret, before hexadecimal encoding.
const SECRET_BYTES: usize = 32;

/// Salted SHA-256 hash of a secret, written as `salt:hash` in hexadecimal.
///
/// A fast hash is sufficient, as secrets are 32 random bytes and can't be found by brute force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenHash {
    salt: [u8; SALT_BYTES],
    hash: [u8; 32],
}

impl TokenHash {
    /// Hashes a secret with a random salt.
    pub fn new(salt: [u8; SALT_BYTES], secret: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update(salt);
        digest.update(secret.as_bytes());
        Self { salt, hash: digest.finalize().into() }
    }

    /// Returns whether `secret` has this hash; compares in constant time.
    pub fn matches(&self, secret: &str) -> bool {
        Self::new(self.salt, secret).hash.ct_eq(&self.hash).into()
    }

    /// Returns whether `secret` has one of the hashes; always compares all of them, so that timing
    /// doesn't reveal which one matches.
    pub fn any_matches(hashes: &[Self], secret: &str) -> bool {
        hashes.iter().fold(false, |found, hash| found | hash.matches(secret))
    }
}

impl TryFrom<&str> for TokenHash {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let parts = text
            .split_once(':')
            .and_then(|(salt, hash)| Some(Self { salt: parse_hex(salt)?, hash: parse_hex(hash)? }));
        parts.ok_or_else(|| {
            Error::new(Kind::InvalidValue, "token hash is not in the format salt:hash")
        })
    }
}

impl TryFrom<String> for TokenHash {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Self::try_from(text.as_str())
    }
}

impl From<TokenHash> for String {
    fn from(hash: TokenHash) -> Self {
        hash.to_string()
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", to_hex(&self.salt), to_hex(&self.hash))
    }
}

/// Token of an operator, written as `PATH:SECRET` with the operator's path.
#[derive(Clone)]
pub struct Token {
    /// The operator's path in the tree.
    pub operator: Path,
    /// The secret, known to the operator only.
    pub secret: String,
}

impl Token {
    /// Builds a token from random bytes.
    pub fn new(operator: Path, secret: [u8; SECRET_BYTES]) -> Self {
        Self { operator, secret: to_hex(&secret) }
    }

    /// Formats the token with its secret, for display to the operator.
    pub fn reveal(&self) -> String {
        format!("{}:{}", self.operator, self.secret)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Token({})", self.operator)
    }
}

impl TryFrom<&str> for Token {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self> {
        let invalid_token = || Error::new(Kind::Unauthenticated, "the token is not PATH:SECRET");
        let (path, secret) = text.split_once(':').ok_or_else(invalid_token)?;
        let operator = Path::try_from(path).map_err(|_| invalid_token())?;
        if secret.is_empty() || secret.len() > 4 * SECRET_BYTES {
            return Err(invalid_token());
        }
        Ok(Self { operator, secret: secret.to_string() })
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_secret_matches_its_hash() {
        let hash = TokenHash::new([7; SALT_BYTES], "secret");
        let parsed = TokenHash::try_from(hash.to_string()).unwrap();
        assert!(parsed.matches("secret"));
        assert!(!parsed.matches("secreu"));
        assert!(TokenHash::any_matches(
            &[TokenHash::new([8; SALT_BYTES], "other"), parsed],
            "secret"
        ));
        assert!(!TokenHash::any_matches(&[], "secret"));
    }

    #[test]
    fn tokens_round_trip_and_debug_hides_the_secret() {
        let token = Token::new(Path::try_from("/a/operators/ann").unwrap(), [3; SECRET_BYTES]);
        let parsed = Token::try_from(token.reveal().as_str()).unwrap();
        assert_eq!(parsed.secret, token.secret);
        assert!(!format!("{token:?}").contains(&token.secret));
    }
}
