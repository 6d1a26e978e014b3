//! Flows of one service with their packets and addresses.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use etherparse::PacketBuilder;
use lagoongauge::flow::{FlowHash, HashKey, Protocol, Signal, Tuple};
use lagoongauge::forward::{Directory, Origin};
use lagoongauge::id::{ServiceId, TargetId};
use lagoongauge::route::{Direction, PacketFacts};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Key of the flow hash in the measurements.
pub const HASH_KEY: HashKey = HashKey([9; 16]);

/// The service of all flows.
pub const SERVICE: ServiceId = ServiceId(1);

/// Number of targets of the service.
pub const TARGETS: u8 = 14;

/// Payload size of each packet.
const DATA_BYTES: usize = 64;

/// A caller's address and port, in network byte order.
#[derive(Debug, Clone, Copy)]
pub struct Caller([u8; 6]);

/// Flows in random order, with a packet buffer that they share.
#[derive(Debug)]
pub struct Flows {
    callers: Vec<Caller>,
    template: Vec<u8>,
    /// Packet of the flow last passed to [`Flows::fill_packet`].
    pub packet: Vec<u8>,
}

/// Returns the address of the service.
pub fn service_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 99, 0, 1), 443))
}

/// Returns the address of a target.
pub fn target_address(index: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, index + 1), 8443))
}

/// Returns the id of a target.
pub fn target_id(index: u8) -> TargetId {
    TargetId(u64::from(index) + 1)
}

/// Returns the addresses of the service and its targets, along with those of other services.
pub fn directory() -> Directory {
    let mut directory = Directory::default();
    for number in 0..32 {
        let address = SocketAddr::from((Ipv4Addr::new(10, 99, 1, number), 443));
        directory.add_service(Protocol::Tcp, address, ServiceId(100 + u32::from(number)));
    }
    directory.add_service(Protocol::Tcp, service_address(), SERVICE);
    for index in 0..TARGETS {
        let origin =
            Origin { target: target_id(index), service: SERVICE, address: service_address() };
        directory.add_target(Protocol::Tcp, target_address(index), origin);
    }
    directory
}

impl Caller {
    fn address(self) -> SocketAddrV4 {
        let [a, b, c, d, high, low] = self.0;
        SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]))
    }
}

impl Flows {
    /// Builds `count` flows of distinct callers.
    pub fn new(count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut callers: Vec<Caller> = (0..count as u32)
            .map(|number| {
                let [_, b, c, d] = number.to_be_bytes();
                let [high, low] = rng.random_range(1024..=u16::MAX).to_be_bytes();
                Caller([100, b, c, d, high, low])
            })
            .collect();
        callers.shuffle(&mut rng);
        let (from, to) = ([100, 0, 0, 0], [10, 99, 0, 1]);
        let mut template = Vec::new();
        PacketBuilder::ipv4(from, to, 64)
            .tcp(1, 443, 1, 512)
            .ack(1)
            .write(&mut template, &[0; DATA_BYTES])
            .expect("writing to a vector cannot fail");
        let packet = template.clone();
        Self { callers, template, packet }
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns the addresses of the callers.
    pub fn callers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.callers.iter().map(|caller| caller.address())
    }

    /// Returns the facts that the router gets about the SYN of each flow.
    pub fn syn_facts(&self) -> impl Iterator<Item = PacketFacts> + '_ {
        self.callers.iter().map(|caller| {
            let tuple = Tuple {
                protocol: Protocol::Tcp,
                caller: caller.address().into(),
                service: service_address(),
            };
            PacketFacts {
                service: SERVICE,
                flow: FlowHash::new(&HASH_KEY, &tuple),
                signal: Signal::Open,
                direction: Direction::Inward,
                source: None,
                hops: 0,
            }
        })
    }

    /// Fills the packet buffer with the packet of flow `index`, which undoes any rewriting.
    pub fn fill_packet(&mut self, index: usize) {
        let headers = self.template.len() - DATA_BYTES;
        self.packet[..headers].copy_from_slice(&self.template[..headers]);
        let Caller([a, b, c, d, high, low]) = self.callers[index];
        self.packet[12..16].copy_from_slice(&[a, b, c, d]);
        self.packet[20..22].copy_from_slice(&[high, low]);
    }
}
