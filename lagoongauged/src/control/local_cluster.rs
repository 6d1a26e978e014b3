//! Control hosts in threads of one process, for tests, examples and measurements.

use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::{Identity, MemoryStore, Recovered, Store};
use lagoongauge::settings::{Change, Edit, Path, Token, TokenHash};
use lagoongauge::wire::ClusterKey;

use super::address_book::{AddressBook, ControlEndpoint};
use super::client::Client;
use super::run::{HostConfig, bootstrap, run};
use super::traffic::Traffic;
use crate::daemon::Stop;

/// Time limit for calls of [`LocalCluster::client`].
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A control host in its own thread; dropping it stops the thread.
#[derive(Debug)]
pub struct RunningHost {
    /// Traffic counters of its connections.
    pub traffic: Traffic,
    stop: Stop,
    thread: Option<JoinHandle<Result<()>>>,
}

impl RunningHost {
    /// Starts a control host on a bound listener.
    pub fn start<S: Store + Send + 'static>(
        config: HostConfig,
        store: S,
        listener: TcpListener,
    ) -> Self {
        let (stop, traffic) = (Stop::default(), config.traffic.clone());
        let stop_flag = stop.clone();
        let thread = thread::spawn(move || run(config, store, listener, &stop_flag));
        Self { traffic, stop, thread: Some(thread) }
    }

    /// Stops the host and returns its result.
    pub fn stop(mut self) -> Result<()> {
        self.join()
    }

    fn join(&mut self) -> Result<()> {
        self.stop.raise();
        let panicked = |_| Error::new(Kind::Internal, "the thread of the control host panicked");
        self.thread.take().map_or(Ok(()), |thread| thread.join().map_err(panicked)?)
    }
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        let _ = self.join();
    }
}

/// Addresses, cluster key and first token of a set of control hosts in this process.
#[derive(Debug)]
pub struct LocalCluster {
    /// Addresses of the control hosts.
    pub address_book: AddressBook,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Token of the first operator, whose subtree is the root.
    pub token: Token,
    listeners: Vec<(HostId, TcpListener)>,
}

impl LocalCluster {
    /// Binds a loopback listener for one control host per data centre; host ids start at 1.
    pub fn new(centres: &[CentreId]) -> std::io::Result<Self> {
        let mut address_book = AddressBook::default();
        let mut listeners = Vec::new();
        for (index, centre) in centres.iter().enumerate() {
            let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            let host = HostId(index as u32 + 1);
            address_book
                .insert(host, ControlEndpoint { centre: *centre, address: listener.local_addr()? });
            listeners.push((host, listener));
        }
        let operator = Path::Operator(None, "root".to_string());
        let token = Token::new(operator, rand::random());
        Ok(Self { address_book, key: ClusterKey::new(rand::random()), token, listeners })
    }

    /// Returns a host's configuration, and for the first host the bootstrapped state.
    pub fn host_config(&self, host: HostId) -> Result<(HostConfig, Recovered)> {
        let identity = Identity { host, incarnation: rand::random::<u64>() | 1 };
        let (control_hosts, key) = (self.address_book.clone(), self.key.clone());
        let (dial_addresses, traffic) = (AddressBook::default(), Traffic::default());
        let config = HostConfig { identity, control_hosts, dial_addresses, key, traffic };
        if host != HostId(1) {
            return Ok((config, Recovered::default()));
        }
        let hash = TokenHash::new(rand::random(), &self.token.secret);
        let recovered = bootstrap(identity, self.token.operator.clone(), hash)?;
        Ok((config, recovered))
    }

    /// Starts all hosts with in-memory stores.
    pub fn start(&mut self) -> Result<Vec<RunningHost>> {
        let listeners = std::mem::take(&mut self.listeners);
        let start = |(host, listener): (HostId, TcpListener)| {
            let (config, recovered) = self.host_config(host)?;
            Ok(RunningHost::start(config, MemoryStore::new(recovered), listener))
        };
        listeners.into_iter().map(start).collect()
    }

    /// Takes a host's bound listener, for a host that is started separately.
    pub fn take_listener(&mut self, host: HostId) -> Option<TcpListener> {
        let index = self.listeners.iter().position(|(id, _)| *id == host)?;
        Some(self.listeners.remove(index).1)
    }

    /// Returns a client with the first operator's token.
    pub fn client(&self) -> Client {
        Client::new(self.address_book.addresses(), self.token.reveal(), CALL_TIMEOUT)
    }

    /// Sets several keys in one change, based on the current version.
    pub fn set(
        &self,
        request_id: &str,
        values: &[(&str, &str, &str)],
    ) -> super::client::Result<u64> {
        let client = self.client();
        let query = super::client::Query { operation: "get", path: "/", since: 0, wait: 0 };
        let expected_version = client.read(query)?.version;
        let edit = |(path, key, value): &(&str, &str, &str)| Edit::Set {
            path: (*path).to_string(),
            key: (*key).to_string(),
            value: (*value).to_string(),
        };
        let edits = values.iter().map(edit).collect();
        client.change(&Change { expected_version, request_id: request_id.to_string(), edits })
    }

    /// Waits until all hosts are voters and one of them leads with a lease.
    ///
    /// Returns `NoQuorum` if that takes longer than `limit`.
    pub fn wait_ready(&self, limit: Duration) -> Result<()> {
        let start = std::time::Instant::now();
        while start.elapsed() < limit {
            if let Ok(overview) = self.client().status() {
                let controls = &overview.controls;
                let voters = controls.iter().filter(|control| control.role == "voter").count();
                if voters == self.address_book.len() as usize
                    && controls.iter().any(|control| control.current)
                {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(Error::new(
            Kind::NoQuorum,
            "not all control hosts became voters under a leader in time",
        ))
    }
}
