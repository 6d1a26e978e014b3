//! The authenticated datagrams between entry hosts: messages and relayed packets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, MutexGuard, PoisonError};

use lagoongauge::id::HostId;
use lagoongauge::wire::{Channel, FrameType, Opened};

use super::Counters;

/// Longest datagram that is read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_535;

/// The peer socket with the channel that seals and opens its datagrams.
#[derive(Debug)]
pub struct Link {
    socket: UdpSocket,
    channel: Mutex<Channel>,
}

/// What a genuine datagram of a peer carries.
#[derive(Debug, PartialEq, Eq)]
pub enum Received<'a> {
    /// A message for the decisions.
    Message(HostId, &'a [u8]),
    /// A packet that so many hosts have relayed.
    Packet(u8, &'a [u8]),
    /// The peer does not know this process yet and has to be greeted.
    NeedsHello(HostId),
}

impl Link {
    /// Joins a socket and a channel.
    pub fn new(socket: UdpSocket, channel: Channel) -> Self {
        Self { socket, channel: Mutex::new(channel) }
    }

    /// Returns the socket.
    pub fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Tells whether the peer takes this process's datagrams.
    pub fn has_session(&self, host: HostId) -> bool {
        self.channel().has_session(host)
    }

    /// Checks a datagram; one that is not genuine or was seen before is dropped.
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
                log::debug!("A datagram of a peer was dropped: {error}.");
                None
            }
        }
    }

    /// Sends a message; its bytes count as control traffic.
    pub fn send_message(&self, to: (HostId, SocketAddr), payload: &[u8], counters: &Counters) {
        let sent = self.send(to, FrameType::Message, payload);
        counters.count_control(sent);
    }

    /// Greets a peer, so that it learns this process's session.
    pub fn send_hello(&self, to: (HostId, SocketAddr), counters: &Counters) {
        let sent = self.send(to, FrameType::Hello, &[]);
        counters.count_control(sent);
    }

    /// Relays a packet that `hops` hosts have relayed, this one included; tells whether it was sent.
    pub fn relay_packet(&self, to: (HostId, SocketAddr), hops: u8, packet: &[u8]) -> bool {
        let mut payload = Vec::with_capacity(packet.len() + 1);
        payload.push(hops);
        payload.extend_from_slice(packet);
        self.send(to, FrameType::Relay, &payload) > 0
    }

    /// Seals and sends a datagram, and returns the bytes sent.
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
