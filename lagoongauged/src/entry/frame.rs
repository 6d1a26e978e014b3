//! Frames between entry hosts.

/// Longest datagram that is read, in bytes.
pub const MAX_DATAGRAM: usize = 65_535;

/// Bytes in front of a relayed packet.
const HEADER: usize = 2;

/// Marks a relayed packet.
const RELAY: u8 = 1;

/// Writes the frame of a packet that `hops` hosts have relayed, this one included.
pub fn write_relay(frame: &mut Vec<u8>, hops: u8, packet: &[u8]) {
    frame.clear();
    frame.extend_from_slice(&[RELAY, hops]);
    frame.extend_from_slice(packet);
}

/// Reads a frame and returns its hops and its packet.
pub fn read_relay(frame: &mut [u8]) -> Option<(u8, &mut [u8])> {
    let (header, packet) = frame.split_at_mut_checked(HEADER)?;
    match header {
        [RELAY, hops] => Some((*hops, packet)),
        _ => None,
    }
}
