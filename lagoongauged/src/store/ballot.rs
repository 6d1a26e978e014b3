//! Term and vote, stored twice in slots that are overwritten in place.
//!
//! The first slot is written and synced, then the second. The first slot is therefore the latest
//! one if it is valid. If it isn't, either its write was interrupted before the ballot was
//! acknowledged, or it was damaged later and the second slot holds the same ballot. The file never
//! grows, so that a full disk can't keep a host from voting.

use lagoongauge::error::Result;
use lagoongauge::replica::store::Ballot;

use super::frame::{self, FrameResult};
use super::volume::{Volume, disk_error};

/// Name of the ballot file.
pub(super) const FILE_NAME: &str = "ballot";

/// Size of one slot; a multiple of the sector size, so that no sector holds parts of both slots.
const SLOT_BYTES: usize = 4096;

/// Creates the ballot file.
pub(super) fn create(volume: &mut impl Volume, ballot: Ballot) -> Result<()> {
    let mut bytes = encode_slot(ballot)?;
    bytes.extend_from_within(..);
    volume
        .append(FILE_NAME, &bytes)
        .map_err(|error| disk_error("failed to create ballot", &error))?;
    volume.sync(FILE_NAME).map_err(|error| disk_error("failed to sync ballot", &error))
}

/// Overwrites both slots with the ballot.
pub(super) fn write(volume: &mut impl Volume, ballot: Ballot) -> Result<()> {
    let bytes = encode_slot(ballot)?;
    for offset in [0, SLOT_BYTES as u64] {
        volume
            .overwrite(FILE_NAME, offset, &bytes)
            .and_then(|()| volume.sync(FILE_NAME))
            .map_err(|error| disk_error("ballot can't be written", &error))?;
    }
    Ok(())
}

/// Reads the ballot and returns whether both slots hold it.
pub(super) fn read(volume: &impl Volume) -> Result<(Ballot, bool)> {
    let bytes =
        volume.read(FILE_NAME).map_err(|error| disk_error("failed to read ballot", &error))?;
    let first = decode_slot(bytes.get(..SLOT_BYTES).unwrap_or_default());
    let second = decode_slot(bytes.get(SLOT_BYTES..2 * SLOT_BYTES).unwrap_or_default());
    match first.or(second) {
        Some(ballot) => Ok((ballot, first == second)),
        None => Err(frame::corrupt(FILE_NAME, 0, "neither slot holds a valid ballot")),
    }
}

fn encode_slot(ballot: Ballot) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(&ballot).expect("a ballot can always be serialized");
    let mut bytes = frame::encode(&payload)?;
    bytes.resize(SLOT_BYTES, 0);
    Ok(bytes)
}

fn decode_slot(bytes: &[u8]) -> Option<Ballot> {
    match frame::read_at(bytes, 0) {
        FrameResult::Frame(payload, _) => postcard::from_bytes(payload).ok(),
        _ => None,
    }
}
