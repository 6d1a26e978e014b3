//! Fabric fake: sprays each packet to a random live entry host and delivers what they send.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{SeedableRng, rngs::StdRng};

/// The fabric: one socket towards all entry hosts, one queue towards each TCP stack.
pub struct Fabric {
    socket: UdpSocket,
    rng: Mutex<StdRng>,
    hosts: Mutex<Vec<SocketAddr>>,
    stacks: Mutex<HashMap<IpAddr, Sender<Vec<u8>>>>,
    stopped: AtomicBool,
}

impl Fabric {
    /// Opens the fabric's socket and sprays in an order that follows from `seed`.
    pub fn new(seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(Duration::from_millis(20)))?;
        Ok(Self {
            socket,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            hosts: Mutex::default(),
            stacks: Mutex::default(),
            stopped: AtomicBool::new(false),
        })
    }

    /// Returns where entry hosts send packets to.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Names the entry hosts that get packets from now on.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        *self.hosts.lock().unwrap() = hosts;
    }

    /// Attaches a TCP stack.
    pub fn attach(&self, ip: IpAddr) -> Receiver<Vec<u8>> {
        let (sender, receiver) = channel();
        self.stacks.lock().unwrap().insert(ip, sender);
        receiver
    }

    /// Hands a stack's packet to a random live entry host.
    pub fn spray(&self, packet: &[u8]) {
        let hosts = self.hosts.lock().unwrap();
        let host = hosts.choose(&mut *self.rng.lock().unwrap()).copied();
        if let Some(host) = host {
            let _ = self.socket.send_to(packet, host);
        }
    }

    /// Delivers what the entry hosts send until [`Fabric::stop`].
    pub fn start(self: &Arc<Self>) -> JoinHandle<()> {
        let fabric = Arc::clone(self);
        std::thread::spawn(move || {
            let mut buffer = vec![0; 65_535];
            while !fabric.stopped.load(Ordering::Acquire) {
                if let Ok((len, _)) = fabric.socket.recv_from(&mut buffer) {
                    fabric.deliver(&buffer[..len]);
                }
            }
        })
    }

    /// Ends the delivery.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn deliver(&self, packet: &[u8]) {
        let Some(ip) = destination(packet) else {
            return;
        };
        if let Some(stack) = self.stacks.lock().unwrap().get(&ip) {
            let _ = stack.send(packet.to_vec());
        }
    }
}

fn destination(packet: &[u8]) -> Option<IpAddr> {
    match packet.first()? >> 4 {
        4 => Some(Ipv4Addr::from(*packet.get(16..20)?.first_chunk()?).into()),
        6 => Some(Ipv6Addr::from(*packet.get(24..40)?.first_chunk::<16>()?).into()),
        _ => None,
    }
}
