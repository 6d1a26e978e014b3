//! Control hosts and entry hosts of one process whose connections can be cut; for tests and
//! measurements.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::{Recovered, Store};

use super::address_book::{AddressBook, ControlEndpoint};
use super::client::Client;
use super::local_cluster::{LocalCluster, RunningHost};
use super::partition_proxy::PartitionProxy;
use super::run::HostConfig;
use super::subscribe::{Progress, Subscriber, subscribe};
use super::traffic::Traffic;
use crate::daemon::Stop;

/// Longest time in which the control hosts have to come together.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two looks at a state that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Control hosts in threads, connected by proxies.
pub struct PartitionCluster {
    /// Addresses, key and first token.
    pub local: LocalCluster,
    /// The control hosts, in the order of their keys.
    pub hosts: Vec<RunningHost>,
    proxies: HashMap<(u32, u32), PartitionProxy>,
}

impl PartitionCluster {
    /// Starts a control host for each data centre given and waits until one leads.
    ///
    /// `store` makes a host's store from its site and what it recovers at first.
    pub fn new<S, F>(centres: &[CentreId], store: F) -> Result<Self>
    where
        S: Store + Send + 'static,
        F: Fn(&HostConfig, Recovered) -> Result<S>,
    {
        let mut local = LocalCluster::new(centres).map_err(|error| bind_error(&error))?;
        let mut proxies = HashMap::new();
        for (to, endpoint) in local.address_book.iter() {
            for from in (0..=centres.len() as u32).filter(|from| *from != to.0) {
                let proxy =
                    PartitionProxy::new(endpoint.address).map_err(|error| bind_error(&error))?;
                proxies.insert((from, to.0), proxy);
            }
        }
        let mut hosts = Vec::new();
        for (own, _) in local.address_book.clone().iter() {
            let (mut config, recovered) = local.host_config(own)?;
            config.control_hosts = proxied_addresses(&local.address_book, &proxies, |_| 0);
            config.dial_addresses = proxied_addresses(&local.address_book, &proxies, |to| {
                if to == own.0 { 0 } else { own.0 }
            });
            let listener = local
                .take_listener(own)
                .ok_or_else(|| Error::new(Kind::Internal, format!("{own} has no listener")))?;
            let store = store(&config, recovered)?;
            hosts.push(RunningHost::start(config, store, listener));
        }
        local.wait_ready(READY_TIMEOUT)?;
        Ok(Self { local, hosts, proxies })
    }

    /// Returns the near end of the proxy on which hosts and operators reach a control host.
    pub fn proxy_address(&self, host: u32) -> SocketAddr {
        self.proxies[&(0, host)].address()
    }

    /// Cuts a control host off from all but operators right next to it, or joins it again.
    pub fn set_cut(&self, host: u32, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *from == host || *to == host {
                proxy.set_cut(cut);
            }
        }
    }

    /// Cuts a data centre off, or joins it again: its control host from the others, and the entry
    /// hosts, which all stand in it then, from all but that one.
    pub fn set_centre_cut(&self, host: u32, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            let inside = *from == 0 && *to == host;
            let crosses = *from == 0 || *from == host || *to == host;
            if crosses && !inside {
                proxy.set_cut(cut);
            }
        }
    }

    /// Returns a client of some control hosts that goes past all proxies.
    pub fn client(&self, limit: Duration, is_included: impl Fn(u32) -> bool) -> Client {
        let hosts = self.local.address_book.iter().filter(|(host, _)| is_included(host.0));
        let addresses = hosts.map(|(_, endpoint)| endpoint.address).collect();
        Client::new(addresses, self.local.token.reveal(), limit)
    }

    /// Returns the control host that leads; `NoQuorum` if there is none in time.
    pub fn leader(&self) -> Result<u32> {
        let client = self.client(READY_TIMEOUT, |_| true);
        wait_for(READY_TIMEOUT, || {
            let overview = client.status().ok()?;
            overview.controls.iter().find(|control| control.current).map(|control| control.host)
        })
        .ok_or_else(|| Error::new(Kind::NoQuorum, "no control host leads"))
    }

    /// Starts an entry host that knows these addresses of control hosts.
    pub fn start_entry(
        &self,
        id: u32,
        centre: CentreId,
        seeds: Vec<SocketAddr>,
    ) -> EntrySubscription {
        let (key, progress) = (self.local.key.clone(), Progress::default());
        let (host_id, traffic) = (HostId(id), Traffic::default());
        EntrySubscription::new(Subscriber { host_id, centre, seeds, key, traffic, progress })
    }
}

/// An entry host's subscription in a thread; dropping it ends the thread.
pub struct EntrySubscription {
    /// How far it has got.
    pub progress: Progress,
    /// Counts its bytes.
    pub traffic: Traffic,
    applied: Arc<Mutex<Vec<(u64, Instant)>>>,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl EntrySubscription {
    fn new(subscriber: Subscriber) -> Self {
        let (progress, traffic) = (subscriber.progress.clone(), subscriber.traffic.clone());
        let (applied, stop) = (Arc::new(Mutex::new(Vec::new())), Stop::default());
        let (log, stop_flag) = (Arc::clone(&applied), stop.clone());
        let thread = thread::spawn(move || {
            let deliver = |resolved: lagoongauge::settings::Resolved| {
                let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                log.push((resolved.version, Instant::now()));
            };
            subscribe(subscriber, &stop_flag, deliver, || "{}".to_string());
        });
        Self { progress, traffic, applied, stop, thread: Some(thread) }
    }

    /// Returns all versions that were put in force, in that order, with the time.
    pub fn applied_versions(&self) -> Vec<(u64, Instant)> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns when this version or a later one was put in force.
    pub fn applied_at(&self, version: u64) -> Option<Instant> {
        let applied = self.applied.lock().unwrap_or_else(PoisonError::into_inner);
        applied.iter().find(|(applied_version, _)| *applied_version >= version).map(|(_, at)| *at)
    }
}

impl Drop for EntrySubscription {
    fn drop(&mut self) {
        self.stop.raise();
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Looks again and again until there is a value; nothing after `limit`.
pub fn wait_for<T>(limit: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(value) = check() {
            return Some(value);
        }
        thread::sleep(CHECK_INTERVAL);
    }
    None
}

/// Returns the near ends of the proxies to all control hosts.
fn proxied_addresses(
    addresses: &AddressBook,
    proxies: &HashMap<(u32, u32), PartitionProxy>,
    from: impl Fn(u32) -> u32,
) -> AddressBook {
    let mut book = AddressBook::default();
    for (to, endpoint) in addresses.iter() {
        let address = proxies[&(from(to.0), to.0)].address();
        book.insert(to, ControlEndpoint { address, ..endpoint });
    }
    book
}

fn bind_error(error: &std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("no loopback address can be bound: {error}"))
}
