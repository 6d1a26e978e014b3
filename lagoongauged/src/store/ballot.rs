//! Term and vote, in two slots that are written one after the other in place.
//!
//! The first slot is written and synced, then the second. So the first one, if it reads well, is
//! the latest; if it doesn't, its write was cut off before anybody was told, or it was damaged
//! while the second holds the same. A full disk can't keep a host from voting, as the file never
//! grows.

use lagoongauge::error::Result;
use lagoongauge::replica::store::Ballot;

use super::frame::{self, FrameResult};
use super::volume::{Volume, disk_error};

/// Name of the file.
pub(super) const FILE_NAME: &str = "ballot";

/// Bytes of one slot; each lies in a disk sector of its own.
const SLOT_BYTES: usize = 4096;

/// Creates the file.
pub(super) fn create(volume: &mut impl Volume, ballot: Ballot) -> Result<()> {
    let mut bytes = encode_slot(ballot)?;
    bytes.extend_from_within(..);
    volume
        .append(FILE_NAME, &bytes)
        .map_err(|error| disk_error("ballot can't be created", &error))?;
    volume.sync(FILE_NAME).map_err(|error| disk_error("ballot can't be synced", &error))
}

/// Replaces the ballot.
pub(super) fn write(volume: &mut impl Volume, ballot: Ballot) -> Result<()> {
    let bytes = encode_slot(ballot)?;
    for at in [0, SLOT_BYTES as u64] {
        volume
            .overwrite(FILE_NAME, at, &bytes)
            .and_then(|()| volume.sync(FILE_NAME))
            .map_err(|error| disk_error("ballot can't be written", &error))?;
    }
    Ok(())
}

/// Reads the ballot, and tells whether both slots hold it.
pub(super) fn read(volume: &impl Volume) -> Result<(Ballot, bool)> {
    let bytes =
        volume.read(FILE_NAME).map_err(|error| disk_error("ballot can't be read", &error))?;
    let first = decode_slot(bytes.get(..SLOT_BYTES).unwrap_or_default());
    let second = decode_slot(bytes.get(SLOT_BYTES..2 * SLOT_BYTES).unwrap_or_default());
    match first.or(second) {
        Some(ballot) => Ok((ballot, first == second)),
        None => Err(frame::corrupt(FILE_NAME, 0, "neither slot can be read")),
    }
}

fn encode_slot(ballot: Ballot) -> Result<Vec<u8>> {
    let payload = postcard::to_stdvec(&ballot).expect("a ballot is plain data");
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
