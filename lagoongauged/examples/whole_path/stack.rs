//! A smoltcp stack with one address, attached to the fabric.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpCidr};

use crate::fabric::Fabric;

/// A network device that sends to and receives from the fabric.
struct FabricDevice {
    receiver: Receiver<Vec<u8>>,
    pending: Option<Vec<u8>>,
    fabric: Arc<Fabric>,
}

/// A TCP stack with its sockets.
pub struct Stack {
    pub iface: Interface,
    pub sockets: SocketSet<'static>,
    device: FabricDevice,
}

impl Stack {
    /// Attaches a stack with this address to the fabric.
    pub fn new(ip: IpAddr, seed: u64, fabric: &Arc<Fabric>) -> Self {
        let mut device =
            FabricDevice { receiver: fabric.attach(ip), pending: None, fabric: Arc::clone(fabric) };
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut device, Instant::now());
        iface.update_ip_addrs(|addresses| addresses.push(IpCidr::new(ip.into(), 0)).unwrap());
        Self { iface, sockets: SocketSet::new(Vec::new()), device }
    }

    /// Waits up to 1 ms for a packet and processes all sockets.
    pub fn poll(&mut self) {
        self.device.pending = self.device.receiver.recv_timeout(Duration::from_millis(1)).ok();
        self.iface.poll(Instant::now(), &mut self.device, &mut self.sockets);
    }
}

/// Returns a closed socket with small buffers.
pub fn new_socket() -> tcp::Socket<'static> {
    let buffer = || tcp::SocketBuffer::new(vec![0; 2048]);
    let mut socket = tcp::Socket::new(buffer(), buffer());
    socket.set_nagle_enabled(false);
    socket
}

impl Device for FabricDevice {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = &'a Fabric;

    fn receive(&mut self, _: Instant) -> Option<(ReceivedPacket, &Fabric)> {
        let packet = self.pending.take().or_else(|| self.receiver.try_recv().ok())?;
        Some((ReceivedPacket(packet), &*self.fabric))
    }

    fn transmit(&mut self, _: Instant) -> Option<&Fabric> {
        Some(&*self.fabric)
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.max_transmission_unit = 1400;
        capabilities.medium = Medium::Ip;
        capabilities
    }
}

struct ReceivedPacket(Vec<u8>);

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl TxToken for &Fabric {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.spray(&packet);
        result
    }
}
