//! Framing of stored records: length, checksums, payload and an end mark.
//!
//! A frame is `length u32 | CRC-32 of the payload u32 | CRC-32 of these 8 bytes u32 | payload |
//! end mark u8`, integers in little-endian order. The header has its own checksum to distinguish a
//! corrupt length from a torn frame. The end mark distinguishes a block that never reached the
//! disk, and reads as zeros, from a corrupt one.

use lagoongauge::error::{Error, Kind, Result};

/// Size of the header before the payload.
const HEADER_BYTES: usize = 12;

/// Last byte of every frame.
const END_MARK: u8 = 0xa5;

/// Maximum size of a payload.
const MAX_PAYLOAD_BYTES: usize = 256 << 20;

/// Result of reading a frame at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameResult<'a> {
    /// The file ends at the offset.
    End,
    /// Payload of a complete frame, and the offset of the next one.
    Frame(&'a [u8], usize),
    /// The start of a frame whose write was interrupted.
    Torn,
    /// A corrupt frame, with the reason.
    Damaged(&'static str),
}

/// Encodes a frame; fails with `Oversized` if the payload is too large.
pub(super) fn encode(payload: &[u8]) -> Result<Vec<u8>> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        let detail = format!("payload of {} bytes is too large for a stored frame", payload.len());
        return Err(Error::new(Kind::Oversized, detail));
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len() + 1);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(END_MARK);
    Ok(bytes)
}

/// Reads the frame at `offset`.
pub(super) fn read_at(bytes: &[u8], offset: usize) -> FrameResult<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return FrameResult::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return FrameResult::Torn;
    };
    if crc32fast::hash(&header[..8]) != read_u32(header, 8) {
        // All zeros from the end of the header on: these blocks never reached the disk.
        let ends_in_zeros = body.iter().all(|byte| *byte == 0) && header.last() == Some(&0);
        return if ends_in_zeros {
            FrameResult::Torn
        } else {
            FrameResult::Damaged("header checksum mismatch")
        };
    }
    let length = read_u32(header, 0) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return FrameResult::Damaged("payload length out of range");
    }
    if body.len() <= length {
        return FrameResult::Torn;
    }
    let (payload, trailer) = body.split_at(length);
    if trailer[0] == END_MARK && crc32fast::hash(payload) == read_u32(header, 4) {
        return FrameResult::Frame(payload, offset + HEADER_BYTES + length + 1);
    }
    if trailer == [0] {
        return FrameResult::Torn;
    }
    FrameResult::Damaged("payload checksum or end mark mismatch")
}

/// Returns the payload of a file that consists of exactly one frame.
pub(super) fn decode_single(name: &str, bytes: &[u8]) -> Result<Vec<u8>> {
    match read_at(bytes, 0) {
        FrameResult::Frame(payload, end) if end == bytes.len() => Ok(payload.to_vec()),
        FrameResult::Damaged(reason) => Err(corrupt(name, 0, reason)),
        FrameResult::Frame(_, end) => Err(corrupt(name, end, "unexpected bytes after the frame")),
        FrameResult::End | FrameResult::Torn => Err(corrupt(name, 0, "file is truncated")),
    }
}

pub(super) fn corrupt(name: &str, offset: usize, reason: &str) -> Error {
    Error::new(Kind::StorageCorrupt, format!("file {name} at byte {offset}: {reason}"))
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(value)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn truncated_frame_is_torn_and_flipped_one_is_damaged() {
        let mut bytes = encode(b"payload").unwrap();
        assert_eq!(read_at(&bytes, 0), FrameResult::Frame(b"payload", bytes.len()));
        for length in 1..bytes.len() {
            assert_eq!(
                read_at(&bytes[..length], 0),
                FrameResult::Torn,
                "truncated to {length} bytes"
            );
        }
        for at in 0..bytes.len() {
            bytes[at] ^= 0x10;
            assert!(matches!(read_at(&bytes, 0), FrameResult::Damaged(_)), "flipped at {at}");
            bytes[at] ^= 0x10;
        }
    }

    #[test]
    fn blocks_that_never_reached_the_disk_are_torn() {
        let complete = encode(&[7; 600]).unwrap();
        let mut bytes = complete.clone();
        bytes[512..].fill(0);
        assert_eq!(read_at(&bytes, 0), FrameResult::Torn);
        bytes.fill(0);
        assert_eq!(read_at(&bytes, 0), FrameResult::Torn);
    }
}
