//! Authenticated datagrams between entry hosts: messages and relayed packets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};

use lagoongauge::id::HostId;
use lagoongauge::wire::{Channel, FrameType, Opened};

use super::Counters;

/// Maximum size of a received datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// The socket to peers and the channel that seals and opens its datagrams.
#[derive(Debug)]
pub struct Link {
    socket: UdpSocket,
    channel: Mutex<Channel>,
}

/// Content of an authenticated datagram from a peer.
#[derive(Debug, PartialEq, Eq)]
pub enum Received<'a> {
    /// A message for the node, with its sender.
    Message(HostId, &'a [u8]),
    /// A relayed packet, with the number of hosts that have relayed it.
    Packet(u8, &'a [u8]),
    /// The peer has no session for this process and needs a hello message.
    NeedsHello(HostId),
}

impl Link {
    /// Returns a link over this socket and channel.
    pub fn new(socket: UdpSocket, channel: Channel) -> Self {
        Self { socket, channel: Mutex::new(channel) }
    }

    /// Returns the socket.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Returns whether the peer has a session for this process and accepts its datagrams.
    pub fn has_session(&self, host: HostId) -> bool {
        self.channel().has_session(host)
    }

    /// Authenticates and opens a datagram. Returns `None` for a hello message, which only sets up the
    /// session, and for a datagram that is forged, replayed or malformed.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<Received<'a>> {
        match self.channel().open(datagram) {
            Ok(Opened::NeedsHello(host)) => Some(Received::NeedsHello(host)),
            Ok(Opened::Fresh { frame: FrameType::Hello, .. }) => None,
            Ok(Opened::Fresh { sender, frame: FrameType::Message, payload }) => {
                Some(Received::Message(sender, payload))
            }
            Ok(Opened::Fresh { frame: FrameType::Relay, payload, .. }) => {
                let (hops, packet) = payload.split_first()?;
                Some(Received::Packet(*hops, packet))
            }
            Err(error) => {
                log::debug!("datagram from a peer dropped: {error}");
                None
            }
        }
    }

    /// Sends a message and counts its bytes as control traffic.
    pub fn send_message(&self, to: (HostId, SocketAddr), payload: &[u8], counters: &Counters) {
        let sent = self.send(to, FrameType::Message, payload);
        counters.count_peer_bytes(sent);
    }

    /// Sends a hello message to a peer, which tells it this process's session.
    pub fn send_hello(&self, to: (HostId, SocketAddr), counters: &Counters) {
        let sent = self.send(to, FrameType::Hello, &[]);
        counters.count_peer_bytes(sent);
    }

    /// Relays a packet; `hops` counts the relaying hosts, this one included. Returns whether it was
    /// sent.
    pub fn relay_packet(&self, to: (HostId, SocketAddr), hops: u8, packet: &[u8]) -> bool {
        let mut payload = Vec::with_capacity(packet.len() + 1);
        payload.push(hops);
        payload.extend_from_slice(packet);
        self.send(to, FrameType::Relay, &payload) > 0
    }

    /// Seals and sends a datagram; returns the bytes sent, zero on failure.
    fn send(
        &self,
        (host, address): (HostId, SocketAddr),
        frame: FrameType,
        payload: &[u8],
    ) -> usize {
        let mut datagram = Vec::new();
        self.channel().seal(host, frame, payload, &mut datagram);
        self.socket.send_to(&datagram, address).unwrap_or(0)
    }

    fn channel(&self) -> MutexGuard<'_, Channel> {
        self.channel.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
