//! The main job: callers reach targets through entry hosts while everything around them changes.

mod caller;
mod fabric;
mod stack;
mod target;
mod thin;

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use lagoongauge::flow::{HashKey, Protocol};
use lagoongauge::forward::{Directory, Origin};
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::wire::{Channel, ClusterKey, Session};
use lagoongauged::entry::{Link, Plane, Sockets, View};

use crate::caller::Callers;
use crate::fabric::Fabric;
use crate::target::Target;
use crate::thin::Thin;

const SEED: u64 = 20_261_203;

fn main() -> eyre::Result<()> {
    let fabric = Arc::new(Fabric::new(SEED)?);
    let delivery = fabric.start();
    let services: [(SocketAddr, u16); 2] =
        [("10.99.0.1:443".parse()?, 1), ("[fd00:99::1]:443".parse()?, 2)];
    let targets = targets(&fabric)?;
    let mut directory = Directory::default();
    let mut thin = Thin::default();
    for (address, service) in services {
        directory.add_service(Protocol::Tcp, address, ServiceId(u32::from(service)));
    }
    for (index, (service, target)) in targets.iter().enumerate() {
        let id = TargetId(index as u64 + 1);
        let (address, number) = services[*service];
        let service = ServiceId(u32::from(number));
        directory.add_target(
            Protocol::Tcp,
            target.address,
            Origin { target: id, service, address },
        );
        thin.add(service, id, 100);
    }
    let mut hosts = Vec::new();
    for _ in 0..4 {
        hosts.push(host(&fabric, &thin, &directory)?);
    }
    fabric.set_hosts(hosts.iter().map(|host| host.0).collect());
    let callers: Vec<Callers> = [("192.0.2.1", 0), ("2001:db8::1", 1)]
        .into_iter()
        .map(|(ip, service)| {
            let ip: IpAddr = ip.parse().expect("an address");
            Callers::start(ip, services[service], 150, &fabric)
        })
        .collect();
    std::thread::sleep(Duration::from_secs(8));
    let open: Vec<_> =
        targets.iter().map(|(_, target)| (target.open(), target.accepted())).collect();
    let outcomes: Vec<_> = callers.into_iter().map(Callers::stop).collect();
    for (_, plane, threads) in hosts {
        plane.stop();
        println!("sent {} dropped {}", plane.counters.sent(), plane.counters.all_dropped());
        threads.into_iter().for_each(|thread| thread.join().expect("a data thread panicked"));
    }
    targets.into_iter().for_each(|(_, target)| target.stop());
    fabric.stop();
    delivery.join().expect("the fabric's thread panicked");
    println!("{open:?} {outcomes:?}");
    let failed = outcomes.iter().any(|outcome| outcome.broken + outcome.misrouted > 0);
    if failed {
        eyre::bail!("a flow broke or went astray");
    }
    Ok(())
}

type Host = (SocketAddr, Arc<Plane<Thin>>, Vec<std::thread::JoinHandle<()>>);

fn host(fabric: &Arc<Fabric>, thin: &Thin, directory: &Directory) -> eyre::Result<Host> {
    let data = UdpSocket::bind("127.0.0.1:0")?;
    let address = data.local_addr()?;
    let peer = UdpSocket::bind("127.0.0.1:0")?;
    let channel = Channel::new(HostId(1), Session(1), ClusterKey::new([1; 32]));
    let sockets = Sockets { data, link: Link::new(peer, channel), fabric: fabric.address()? };
    let plane = Arc::new(Plane::new(HashKey([7; 16]), thin.clone(), sockets)?);
    plane.view.store(View { directory: directory.clone(), ..View::default() });
    let threads = plane.start(2)?;
    Ok((address, plane, threads))
}

fn targets(fabric: &Arc<Fabric>) -> eyre::Result<Vec<(usize, Target)>> {
    let addresses = [
        ("10.1.0.1:8443", 0),
        ("10.1.0.2:8443", 0),
        ("10.1.0.3:8443", 0),
        ("[fd00:2::1]:8443", 1),
        ("[fd00:2::2]:8443", 1),
        ("[fd00:2::3]:8443", 1),
    ];
    let mut targets = Vec::new();
    for (index, (address, service)) in addresses.into_iter().enumerate() {
        let number = service as u16 + 1;
        targets.push((service, Target::start(address.parse()?, number, index as u16, fabric)));
    }
    Ok(targets)
}
