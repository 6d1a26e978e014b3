//! Fake fabric: sends each packet to a random entry host and delivers what entry hosts send.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use lagoongauge::packet::Packet;
use rand::seq::IndexedRandom;
use rand::{SeedableRng, rngs::StdRng};

/// The fabric: one socket for all entry hosts, one queue for each TCP stack.
pub struct Fabric {
    socket: UdpSocket,
    rng: Mutex<StdRng>,
    hosts: Mutex<Vec<SocketAddr>>,
    stacks: Mutex<HashMap<IpAddr, Sender<Vec<u8>>>>,
}

impl Fabric {
    /// Starts a fabric whose choice of entry hosts is seeded with `seed`.
    pub fn start(address: SocketAddr, seed: u64) -> io::Result<Arc<Self>> {
        let fabric = Arc::new(Self {
            socket: UdpSocket::bind(address)?,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            hosts: Mutex::default(),
            stacks: Mutex::default(),
        });
        let receiver = Arc::clone(&fabric);
        thread::spawn(move || {
            let mut buffer = vec![0; 65_535];
            while let Ok((len, _)) = receiver.socket.recv_from(&mut buffer) {
                receiver.deliver(&buffer[..len]);
            }
        });
        Ok(fabric)
    }

    /// Returns the address that entry hosts send packets to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Replaces the entry hosts that receive packets.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        *self.hosts.lock().unwrap() = hosts;
    }

    /// Attaches a TCP stack; packets to `ip` arrive on the returned queue.
    pub fn attach(&self, ip: IpAddr) -> Receiver<Vec<u8>> {
        let (sender, receiver) = channel();
        self.stacks.lock().unwrap().insert(ip, sender);
        receiver
    }

    /// Sends a stack's packet to a random entry host, as packet spraying does.
    pub fn spray(&self, packet: &[u8]) {
        let hosts = self.hosts.lock().unwrap();
        if let Some(host) = hosts.choose(&mut *self.rng.lock().unwrap()) {
            let _ = self.socket.send_to(packet, host);
        }
    }

    fn deliver(&self, packet: &[u8]) {
        let stacks = self.stacks.lock().unwrap();
        let ip = Packet::parse(packet).ok().map(|packet| packet.destination.ip());
        if let Some(stack) = ip.and_then(|ip| stacks.get(&ip)) {
            let _ = stack.send(packet.to_vec());
        }
    }
}
