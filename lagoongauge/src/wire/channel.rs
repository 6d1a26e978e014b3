//! Authenticates datagrams between the hosts of a cluster.

use indexmap::IndexMap;

use super::key::{ClusterKey, TAG_LEN};
use super::window::ReplayWindow;
use crate::error::{Error, Kind, Result};
use crate::id::HostId;

/// Number of bytes that sealing adds to a payload.
pub const OVERHEAD_BYTES: usize = HEADER_LEN + TAG_LEN;

/// Length of the header in bytes: frame type, sender, session, echo, sequence number.
const HEADER_LEN: usize = 1 + 4 + 6 + 6 + 6;

/// Largest number of peers whose state a channel keeps.
const MAX_PEERS: usize = 4096;

/// Incarnation of a process on a host: its start in milliseconds since the Unix epoch, 48 bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Session(pub u64);

/// Type of a datagram's payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameType {
    /// No payload; announces the sender's session.
    Hello,
    /// A message of a protocol between entry hosts.
    Message,
    /// A packet of a caller or target, forwarded to the receiver for a decision.
    Relay,
}

/// An authenticated datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Opened<'a> {
    /// The payload is new and was sent to this process.
    Fresh {
        /// The host that sealed the datagram.
        sender: HostId,
        /// Type of the payload.
        frame: FrameType,
        /// The payload.
        payload: &'a [u8],
    },
    /// The sender does not know this process's session; it has to be sent [`FrameType::Hello`].
    NeedsHello(HostId),
}

/// Authenticated channel of a host to all others; the owner has to synchronise access.
#[derive(Debug)]
pub struct Channel {
    own: HostId,
    session: Session,
    key: ClusterKey,
    peers: IndexMap<HostId, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    session: Session,
    window: ReplayWindow,
    last_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Header {
    frame: FrameType,
    sender: HostId,
    session: Session,
    /// Session of the receiver, as far as the sender knows it.
    echo: Session,
    sequence: u64,
}

impl Channel {
    /// Builds a host's channel; `session` has to be later than that of the host's previous process.
    pub fn new(own: HostId, session: Session, key: ClusterKey) -> Self {
        Self { own, session, key, peers: IndexMap::new() }
    }

    /// Returns whether a host's session is known; the host only accepts datagrams that echo it.
    pub fn has_session(&self, host: HostId) -> bool {
        self.peers.get(&host).is_some_and(|peer| peer.session != Session::default())
    }

    /// Seals a datagram for a host into `out`, which is cleared first.
    pub fn seal(&mut self, to: HostId, frame: FrameType, payload: &[u8], out: &mut Vec<u8>) {
        let peer = self.peers.entry(to).or_default();
        peer.last_sequence += 1;
        let header = Header {
            frame,
            sender: self.own,
            session: self.session,
            echo: peer.session,
            sequence: peer.last_sequence,
        };
        out.clear();
        out.extend_from_slice(&header.to_bytes());
        out.extend_from_slice(payload);
        let tag = self.key.compute_tag(&[&to.0.to_be_bytes(), out]);
        out.extend_from_slice(&tag);
    }

    /// Authenticates a datagram and returns its content.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>> {
        if datagram.len() < OVERHEAD_BYTES {
            let detail = format!(
                "datagram has {} bytes, expected at least {OVERHEAD_BYTES}",
                datagram.len()
            );
            return Err(Error::new(Kind::Malformed, detail));
        }
        let (sealed, tag) = datagram.split_at(datagram.len() - TAG_LEN);
        if !self.key.verify(&[&self.own.0.to_be_bytes(), sealed], tag) {
            return Err(Error::new(
                Kind::Unauthenticated,
                "datagram has a wrong authentication tag",
            ));
        }
        let (head, payload) = sealed.split_at(HEADER_LEN);
        let header = Header::try_from(head)?;
        self.accept(header, payload)
    }

    fn accept<'a>(&mut self, header: Header, payload: &'a [u8]) -> Result<Opened<'a>> {
        let sender = header.sender;
        if !self.peers.contains_key(&sender) && self.peers.len() >= MAX_PEERS {
            let detail =
                format!("no state is kept for {sender}: the limit of {MAX_PEERS} peers is reached");
            return Err(Error::new(Kind::Oversized, detail));
        }
        let peer = self.peers.entry(sender).or_default();
        if header.session < peer.session {
            let detail = format!("datagram of {sender} was sent by an earlier process");
            return Err(Error::new(Kind::Replayed, detail));
        }
        if header.session > peer.session {
            peer.session = header.session;
            peer.window = ReplayWindow::default();
        }
        if header.echo != self.session {
            return Ok(Opened::NeedsHello(sender));
        }
        if !peer.window.insert(header.sequence) {
            let detail = format!("datagram {} of {sender} was received before", header.sequence);
            return Err(Error::new(Kind::Replayed, detail));
        }
        Ok(Opened::Fresh { sender, frame: header.frame, payload })
    }
}

impl Header {
    fn to_bytes(self) -> [u8; HEADER_LEN] {
        let mut bytes = [0; HEADER_LEN];
        bytes[0] = self.frame.number();
        bytes[1..5].copy_from_slice(&self.sender.0.to_be_bytes());
        bytes[5..11].copy_from_slice(&self.session.0.to_be_bytes()[2..]);
        bytes[11..17].copy_from_slice(&self.echo.0.to_be_bytes()[2..]);
        bytes[17..23].copy_from_slice(&self.sequence.to_be_bytes()[2..]);
        bytes
    }
}

impl TryFrom<&[u8]> for Header {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self> {
        let mut sender = [0; 4];
        sender.copy_from_slice(&bytes[1..5]);
        Ok(Self {
            frame: FrameType::try_from(bytes[0])?,
            sender: HostId(u32::from_be_bytes(sender)),
            session: Session(read_u48(&bytes[5..11])),
            echo: Session(read_u48(&bytes[11..17])),
            sequence: read_u48(&bytes[17..23]),
        })
    }
}

impl FrameType {
    const fn number(self) -> u8 {
        match self {
            Self::Hello => 0x10,
            Self::Message => 0x11,
            Self::Relay => 0x12,
        }
    }
}

impl TryFrom<u8> for FrameType {
    type Error = Error;

    fn try_from(number: u8) -> Result<Self> {
        match number {
            0x10 => Ok(Self::Hello),
            0x11 => Ok(Self::Message),
            0x12 => Ok(Self::Relay),
            _ => Err(Error::new(Kind::Malformed, format!("unknown frame type {number:#04x}"))),
        }
    }
}

fn read_u48(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    const A: HostId = HostId(1);
    const B: HostId = HostId(2);

    fn channel(own: HostId, session: u64) -> Channel {
        Channel::new(own, Session(session), ClusterKey::new([7; 32]))
    }

    fn sealed(from: &mut Channel, to: HostId, frame: FrameType, payload: &[u8]) -> Vec<u8> {
        let mut out = Vec::new();
        from.seal(to, frame, payload, &mut out);
        out
    }

    /// Exchanges the sessions of two channels.
    fn exchange_hellos(a: &mut Channel, b: &mut Channel) {
        let first = sealed(a, B, FrameType::Hello, &[]);
        assert_eq!(b.open(&first).unwrap(), Opened::NeedsHello(A));
        let answer = sealed(b, A, FrameType::Hello, &[]);
        assert!(matches!(a.open(&answer).unwrap(), Opened::Fresh { frame: FrameType::Hello, .. }));
    }

    fn kind(result: Result<Opened<'_>>) -> Kind {
        result.expect_err("the datagram has to be rejected").kind
    }

    #[test]
    fn delivers_a_payload_once() {
        let (mut a, mut b) = (channel(A, 10), channel(B, 20));
        exchange_hellos(&mut a, &mut b);
        let datagram = sealed(&mut a, B, FrameType::Message, b"table");
        let fresh = Opened::Fresh { sender: A, frame: FrameType::Message, payload: b"table" };
        assert_eq!(b.open(&datagram).unwrap(), fresh);
        assert_eq!(kind(b.open(&datagram)), Kind::Replayed);
    }

    #[test]
    fn rejects_datagrams_for_another_host_or_under_another_key() {
        let (mut a, mut b) = (channel(A, 10), channel(B, 20));
        let mut c = channel(HostId(3), 30);
        exchange_hellos(&mut a, &mut b);
        let datagram = sealed(&mut a, B, FrameType::Message, b"table");
        assert_eq!(kind(c.open(&datagram)), Kind::Unauthenticated);
        let mut other = Channel::new(B, Session(20), ClusterKey::new([8; 32]));
        assert_eq!(kind(other.open(&datagram)), Kind::Unauthenticated);
    }

    #[test]
    fn a_restarted_receiver_rejects_datagrams_for_its_previous_process() {
        let (mut a, mut b) = (channel(A, 10), channel(B, 20));
        exchange_hellos(&mut a, &mut b);
        let datagram = sealed(&mut a, B, FrameType::Message, b"table");
        let mut b = channel(B, 21);
        assert_eq!(b.open(&datagram).unwrap(), Opened::NeedsHello(A));
    }

    #[test]
    fn rejects_datagrams_of_a_senders_previous_process() {
        let (mut a, mut b) = (channel(A, 10), channel(B, 20));
        exchange_hellos(&mut a, &mut b);
        let outdated = sealed(&mut a, B, FrameType::Message, b"old");
        let mut a = channel(A, 11);
        exchange_hellos(&mut a, &mut b);
        assert_eq!(kind(b.open(&outdated)), Kind::Replayed);
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut channel = channel(A, 10);
            prop_assert!(channel.open(&bytes).is_err());
        }

        #[test]
        fn one_changed_byte_is_detected(at in 0usize..40, change in 1u8..=255) {
            let (mut a, mut b) = (channel(A, 10), channel(B, 20));
            exchange_hellos(&mut a, &mut b);
            let mut datagram = sealed(&mut a, B, FrameType::Message, b"tables");
            let at = at % datagram.len();
            datagram[at] ^= change;
            prop_assert_eq!(kind(b.open(&datagram)), Kind::Unauthenticated);
        }
    }
}
