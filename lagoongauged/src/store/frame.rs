//! Frames: length, checksums, payload and an end mark.
//!
//! A frame is `length u32 | CRC-32 of the payload u32 | CRC-32 of these 8 bytes u32 | payload |
//! end mark u8`, integers in little-endian order. The header's own checksum tells a damaged length
//! from a frame that was cut off, and the end mark tells a block that never reached the disk, which
//! reads as zeros, from a damaged one.

use lagoongauge::error::{Error, Kind, Result};

/// Bytes before the payload.
const HEADER: usize = 12;

/// Last byte of each frame.
const END: u8 = 0xa5;

/// Bytes that a payload may have.
const MAX_PAYLOAD: usize = 256 << 20;

/// What stands at a place in a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Found<'a> {
    /// The file ends here.
    Nothing,
    /// A whole frame, and where the next one begins.
    Frame(&'a [u8], usize),
    /// The beginning of a frame whose write was cut off.
    Torn,
    /// Damage.
    Damaged(&'static str),
}

/// Encodes a frame; fails with `Oversized`.
pub(super) fn encode(payload: &[u8]) -> Result<Vec<u8>> {
    if payload.len() > MAX_PAYLOAD {
        let detail = format!("a frame of {} bytes is too long to be stored", payload.len());
        return Err(Error::new(Kind::Oversized, detail));
    }
    let mut bytes = Vec::with_capacity(HEADER + payload.len() + 1);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(END);
    Ok(bytes)
}

/// Reads what stands at `offset`.
pub(super) fn find(bytes: &[u8], offset: usize) -> Found<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Found::Nothing;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER) else { return Found::Torn };
    if crc32fast::hash(&header[..8]) != word(header, 8) {
        let blank = body.iter().all(|byte| *byte == 0) && header.last() == Some(&0);
        return if blank { Found::Torn } else { Found::Damaged("the header's checksum differs") };
    }
    let length = word(header, 0) as usize;
    if length > MAX_PAYLOAD {
        return Found::Damaged("the length is out of range");
    }
    if body.len() <= length {
        return Found::Torn;
    }
    let (payload, tail) = body.split_at(length);
    if tail[0] == END && crc32fast::hash(payload) == word(header, 4) {
        return Found::Frame(payload, offset + HEADER + length + 1);
    }
    if tail == [0] {
        return Found::Torn;
    }
    Found::Damaged("the payload's checksum or end mark differs")
}

/// Reads a file that is one whole frame.
pub(super) fn sole(name: &str, bytes: &[u8]) -> Result<Vec<u8>> {
    match find(bytes, 0) {
        Found::Frame(payload, end) if end == bytes.len() => Ok(payload.to_vec()),
        Found::Damaged(reason) => Err(corrupt(name, 0, reason)),
        Found::Frame(_, end) => Err(corrupt(name, end, "bytes follow the only frame")),
        Found::Nothing | Found::Torn => Err(corrupt(name, 0, "the file is cut off")),
    }
}

pub(super) fn corrupt(name: &str, offset: usize, reason: &str) -> Error {
    Error::new(Kind::StorageCorrupt, format!("file {name} at byte {offset}: {reason}"))
}

fn word(bytes: &[u8], at: usize) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(word)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cut_frame_is_torn_and_flipped_one_is_damaged() {
        let mut bytes = encode(b"payload").unwrap();
        assert_eq!(find(&bytes, 0), Found::Frame(b"payload", bytes.len()));
        for length in 1..bytes.len() {
            assert_eq!(find(&bytes[..length], 0), Found::Torn, "cut at {length}");
        }
        for at in 0..bytes.len() {
            bytes[at] ^= 0x10;
            assert!(matches!(find(&bytes, 0), Found::Damaged(_)), "flipped at {at}");
            bytes[at] ^= 0x10;
        }
    }

    #[test]
    fn blocks_that_never_reached_the_disk_are_torn() {
        let whole = encode(&[7; 600]).unwrap();
        let mut bytes = whole.clone();
        bytes[512..].fill(0);
        assert_eq!(find(&bytes, 0), Found::Torn);
        bytes.fill(0);
        assert_eq!(find(&bytes, 0), Found::Torn);
    }
}
