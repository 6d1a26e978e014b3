//! Verification of a member's announcement token against the salted hashes in the settings.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Longest token that is hashed; longer ones are refused without hashing.
const MAX_TOKEN_BYTES: usize = 256;

/// Returns whether `token` matches one of the `salt:hash` entries.
///
/// All entries are compared in constant time, even after a match, so that the timing reveals
/// nothing about the hashes.
pub fn matches(entries: &[String], token: &str) -> bool {
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES {
        return false;
    }
    let mut found = subtle::Choice::from(0);
    for entry in entries {
        let Some((salt, hash)) = parse_entry(entry) else { continue };
        found |= digest(&salt, token).ct_eq(&hash);
    }
    found.into()
}

/// Returns the `salt:hash` entry of a token, in hexadecimal.
pub fn salted_hash(salt: &[u8], token: &str) -> String {
    format!("{}:{}", encode_hex(salt), encode_hex(&digest(salt, token)))
}

fn digest(salt: &[u8], token: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(token.as_bytes());
    hasher.finalize().into()
}

fn parse_entry(entry: &str) -> Option<(Vec<u8>, Vec<u8>)> {
    let (salt, hash) = entry.split_once(':')?;
    let hash = decode_hex(hash)?;
    (hash.len() == 32).then_some(())?;
    Some((decode_hex(salt)?, hash))
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_right_token_matches() {
        let entries = vec![salted_hash(b"salt", "first"), salted_hash(b"pepper", "second")];
        assert!(matches(&entries, "first"));
        assert!(matches(&entries, "second"));
        assert!(!matches(&entries, "third"));
        assert!(!matches(&entries, ""));
        assert!(!matches(&["zz:00".to_string(), "nothing".to_string()], "first"));
    }
}
