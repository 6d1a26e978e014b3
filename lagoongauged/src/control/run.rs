//! Main loop of a control host.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_std::task::sleep;
use cpu_time::ThreadTime;
use futures::executor::LocalPool;
use futures::task::LocalSpawnExt;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Entry, Identity, Payload, Position, Recovered, Setup, Store};
use lagoongauge::settings::{Command, Path, TokenHash};
use lagoongauge::wire::ClusterKey;

use super::address_book::{AddressBook, ControlEndpoint};
use super::cluster_status::collect_status;
use super::host::{Host, SharedHost};
use super::peer_links;
use super::server;
use super::traffic::Traffic;
use crate::daemon::{Clock, Stop};
use crate::engine::Engine;

/// Interval between ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Ticks between a follower's requests to the leader for the current version.
const CONFIRM_TICKS: u32 = 40;

/// Ticks between the leader's requests for the other control hosts' views of the entry hosts.
const STATUS_TICKS: u32 = 400;

/// Configuration of a control host.
#[derive(Debug, Clone)]
pub struct HostConfig {
    /// Host id and incarnation of its disk.
    pub identity: Identity,
    /// The control hosts given by the flags, including this one.
    pub control_hosts: AddressBook,
    /// Addresses at which this host connects to the others, where they differ from the listen
    /// addresses.
    pub dial_addresses: AddressBook,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Traffic counters of the host's connections.
    pub traffic: Traffic,
}

/// Returns the initial state of a new system's first control host; the settings hold one operator.
pub fn bootstrap(identity: Identity, operator: Path, hash: TokenHash) -> Result<Recovered> {
    let mut recovered = Recovered::bootstrap(vec![identity]);
    let payload = Payload::Command(Command::Initialize { operator, hash }.encode()?);
    // Entry 1 holds the configuration.
    let position = Position { term: 0, index: 2 };
    recovered.entries.push(Entry { position, payload });
    recovered.commit = position.index;
    Ok(recovered)
}

/// Binds the listen address of a control host; `Usage` if that fails.
pub fn bind(config: &HostConfig) -> Result<TcpListener> {
    let address = own_endpoint(config)?.address;
    TcpListener::bind(address)
        .map_err(|error| Error::new(Kind::Usage, format!("failed to listen on {address}: {error}")))
}

/// Runs a control host on the calling thread until `stop` is raised.
///
/// Returns `StorageCorrupt` if the store fails.
pub fn run<S: Store + 'static>(
    config: HostConfig,
    store: S,
    listener: TcpListener,
    stop: &Stop,
) -> Result<()> {
    let own = config.identity.host;
    let endpoint = own_endpoint(&config)?;
    let listener = async_std::net::TcpListener::from(listener);
    let host = Rc::new(build_host(config, store, own, endpoint)?);
    let mut pool = LocalPool::new();
    let spawner = pool.spawner();
    pool.run_until(async {
        let _ = spawner.spawn_local(server::serve(Rc::clone(&host), listener, spawner.clone()));
        let _ = spawner.spawn_local(confirm_periodically(Rc::clone(&host)));
        let _ = spawner.spawn_local(collect_status_periodically(Rc::clone(&host)));
        log::info!("control host listens on {}", endpoint.address);
        let cpu_time = ThreadTime::now();
        while !stop.is_raised() {
            host.traffic.record_cpu_time(cpu_time.elapsed());
            peer_links::open_links(&host, &spawner);
            let now = host.clock.now();
            host.engine.borrow_mut().tick(now);
            host.process_effects();
            if let Some(error) = host.engine.borrow().failure() {
                return Err(error.clone());
            }
            sleep(TICK_INTERVAL).await;
        }
        log::info!("control host ends after a stop request");
        Ok(())
    })
}

fn own_endpoint(config: &HostConfig) -> Result<ControlEndpoint> {
    let own = config.identity.host;
    config.control_hosts.get(own).ok_or_else(|| {
        let detail = format!("the list of control hosts does not include host {}", own.0);
        Error::new(Kind::Usage, detail)
    })
}

fn build_host<S: Store + 'static>(
    config: HostConfig,
    store: S,
    own: HostId,
    endpoint: ControlEndpoint,
) -> Result<Host<S>> {
    let clock = Clock::start();
    let seeds: Vec<HostId> = config.control_hosts.iter().map(|(host, _)| host).collect();
    let mut setup = Setup::new(config.identity, rand::random());
    setup.seeds = seeds.iter().copied().filter(|host| *host != own).collect();
    let engine = Engine::new(setup, store, seeds, clock.now())?;
    Ok(Host::new(config, endpoint, clock, engine))
}

/// On the leader, keeps the last known view of each control host fresh, in case it gets isolated.
async fn collect_status_periodically<S: Store + 'static>(host: SharedHost<S>) {
    loop {
        sleep(TICK_INTERVAL * STATUS_TICKS).await;
        let is_leader = host.engine.borrow().is_leader();
        if is_leader {
            let _ = collect_status(&host, &Path::Root).await;
        }
    }
}

/// Keeps a follower's confirmed version fresh for the polls of entry hosts.
async fn confirm_periodically<S: Store + 'static>(host: SharedHost<S>) {
    loop {
        sleep(TICK_INTERVAL * CONFIRM_TICKS).await;
        let _ = host.confirm().await;
    }
}
