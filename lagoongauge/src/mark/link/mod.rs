//! This host's own link: how much of it is used, and how many bulk flows may share it.

pub(super) mod bulk;
pub(super) mod meter;

/// Bytes of a packet on the link besides its data: its own header, and those of UDP and IP.
const HEADER_BYTES: u64 = 59;
