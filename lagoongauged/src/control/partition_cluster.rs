//! Control hosts and entry hosts in one process that can be partitioned, for tests and
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

/// Time limit for all control hosts to become voters under a leader.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Control hosts in threads, connected through [`PartitionProxy`] instances.
pub struct PartitionCluster {
    /// Addresses, cluster key and first token.
    pub local: LocalCluster,
    /// The control hosts, in the order of their ids.
    pub hosts: Vec<RunningHost>,
    /// Proxies by the ids of the connecting and the accepting host. Id 0 stands for all entry hosts
    /// and operators.
    proxies: HashMap<(u32, u32), PartitionProxy>,
}

impl PartitionCluster {
    /// Starts a control host per data centre and waits until all vote and one leads.
    ///
    /// `store` creates a host's store from its configuration and initial state.
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

    /// Returns the proxy address at which entry hosts and operators reach a control host.
    pub fn proxy_address(&self, host: u32) -> SocketAddr {
        self.proxies[&(0, host)].address()
    }

    /// Isolates a control host from all other hosts, or reconnects it. Clients of
    /// [`PartitionCluster::client`] still reach it.
    pub fn set_cut(&self, host: u32, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            if *from == host || *to == host {
                proxy.set_cut(cut);
            }
        }
    }

    /// Isolates the data centre of a control host, or reconnects it. All entry hosts count as
    /// inside: they reach only this control host, which reaches no other.
    pub fn set_centre_cut(&self, host: u32, cut: bool) {
        for ((from, to), proxy) in &self.proxies {
            let inside = *from == 0 && *to == host;
            let crosses = *from == 0 || *from == host || *to == host;
            if crosses && !inside {
                proxy.set_cut(cut);
            }
        }
    }

    /// Returns a client of the included control hosts that bypasses all proxies.
    pub fn client(&self, limit: Duration, is_included: impl Fn(u32) -> bool) -> Client {
        let hosts = self.local.address_book.iter().filter(|(host, _)| is_included(host.0));
        let addresses = hosts.map(|(_, endpoint)| endpoint.address).collect();
        Client::new(addresses, self.local.token.reveal(), limit)
    }

    /// Returns the leader; `NoQuorum` if there is none in time.
    pub fn leader(&self) -> Result<u32> {
        let client = self.client(READY_TIMEOUT, |_| true);
        wait_for(READY_TIMEOUT, || {
            let overview = client.status().ok()?;
            overview.controls.iter().find(|control| control.current).map(|control| control.host)
        })
        .ok_or_else(|| Error::new(Kind::NoQuorum, "no control host became leader in time"))
    }

    /// Starts an entry host with these control hosts as seeds.
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

/// An entry host's subscription in its own thread; dropping it stops the thread.
pub struct EntrySubscription {
    /// Progress of the subscription.
    pub progress: Progress,
    /// Traffic counters of the subscription.
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

    /// Returns all applied versions with their times, in order of application.
    pub fn applied_versions(&self) -> Vec<(u64, Instant)> {
        self.applied.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns when this version or a later one was first applied.
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

/// Repeats `check` until it returns a value; `None` after `limit`.
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

/// Returns the proxy addresses of all control hosts; `from` returns the id of the host that
/// connects to a given control host.
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
    Error::new(Kind::Internal, format!("failed to bind a loopback address: {error}"))
}
