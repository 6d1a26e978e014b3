//! The control hosts and entry hosts that are measured.

use eyre::{Result, eyre};
use tempfile::TempDir;

use lagoongauge::id::CentreId;
use lagoongauge::settings::{Change, Edit};

use super::{LIMIT, change_of};
use crate::control::Fault;
use crate::control::client::Query;
use crate::control::partition_cluster::{EntrySubscription, PartitionCluster, wait_for};
use crate::store::open_or_format;

/// Data centres, each with a control host.
const CENTRES: [CentreId; 3] = [CentreId(0), CentreId(1), CentreId(2)];

/// Members that own the services.
const MEMBERS: u32 = 2;

/// Edits of one change while the tree is filled.
const FILL: usize = 100;

/// Time without a confirmation that a settled entry host does not exceed, in milliseconds.
const CONFIRMED: u64 = 5000;

/// Control hosts on folders, and entry hosts that follow them.
pub struct Measured {
    /// The control hosts.
    pub cluster: PartitionCluster,
    /// The entry hosts.
    pub entries: Vec<EntrySubscription>,
    version: u64,
    number: u64,
    _folder: TempDir,
}

impl Measured {
    /// Starts all hosts and fills the tree.
    pub fn start(entries: u32, services: u32) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let cluster = PartitionCluster::new(&CENTRES, |site, recovered| {
            let (host, fresh) = (site.identity.host, site.identity.incarnation);
            let place = folder.path().join(host.to_string());
            open_or_format(&place, host, fresh, |_| recovered)
        })?;
        let addresses: Vec<_> =
            (1..=CENTRES.len() as u32).map(|host| cluster.proxy_address(host)).collect();
        let start = |n: u32| {
            let centre = CENTRES[n as usize % CENTRES.len()];
            cluster.start_entry(100 + n, centre, addresses.clone())
        };
        let entries = (0..entries).map(start).collect();
        let mut measured = Self { cluster, entries, version: 1, number: 0, _folder: folder };
        measured.fill(services)?;
        measured.settle()?;
        Ok(measured)
    }

    /// Returns the latest version that this operator knows.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Learns the current version, after changes that others asked for.
    pub fn catch_up(&mut self) -> Result<()> {
        let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
        let reading = self.cluster.client(LIMIT, |_| true).read(query);
        let refused = |fault: Fault| eyre!("a read was refused: {}", fault.error);
        self.version = reading.map_err(refused)?.version;
        Ok(())
    }

    /// Changes a setting and returns the version that has it.
    pub fn change(&mut self) -> Result<u64> {
        self.change_past(0)
    }

    /// Changes a setting without asking one of the control hosts.
    pub fn change_past(&mut self, lost: u32) -> Result<u64> {
        self.number += 1;
        let change = change_of(self.version, self.number);
        self.ask(&change, lost)
    }

    /// Waits until all entry hosts have the latest version and know that it is current.
    pub fn settle(&mut self) -> Result<()> {
        let settled = |entry: &EntrySubscription| {
            let fresh = entry.progress.unconfirmed().0 < CONFIRMED;
            (fresh && entry.progress.version() >= self.version).then_some(())
        };
        let reach = |host: u32| {
            let overview = self.cluster.client(LIMIT, |other| other == host).status().ok()?;
            overview.controls.iter().all(|control| control.reachable).then_some(())
        };
        for entry in &self.entries {
            wait_for(LIMIT, || settled(entry)).ok_or_else(|| eyre!("an entry host lags"))?;
        }
        for host in 1..=CENTRES.len() as u32 {
            wait_for(LIMIT, || reach(host)).ok_or_else(|| eyre!("a control host lags"))?;
        }
        Ok(())
    }

    /// Returns the bytes of each control host, sent and received.
    pub fn controls(&self) -> Vec<u64> {
        self.cluster
            .hosts
            .iter()
            .map(|host| host.traffic.sent_bytes() + host.traffic.received_bytes())
            .collect()
    }

    /// Returns the bytes of all operators' connections.
    pub fn operators(&self) -> u64 {
        self.cluster.hosts.iter().map(|host| host.traffic.operator_bytes()).sum()
    }

    /// Returns the processor time of each control host's thread, in microseconds.
    pub fn processor(&self) -> Vec<u64> {
        self.cluster.hosts.iter().map(|host| host.traffic.cpu_micros()).collect()
    }

    /// Returns the bytes of each entry host, sent and received.
    pub fn received(&self) -> Vec<u64> {
        self.entries
            .iter()
            .map(|entry| entry.traffic.sent_bytes() + entry.traffic.received_bytes())
            .collect()
    }

    fn fill(&mut self, services: u32) -> Result<()> {
        let mut edits: Vec<Edit> = (0..MEMBERS)
            .map(|n| set(format!("/m{n}"), "member_services", services.max(1).to_string()))
            .collect();
        edits.extend((0..services).map(|n| {
            let address = format!("10.{}.{}.1:443", n / 256, n % 256);
            set(format!("/m{}/s{n}", n % MEMBERS), "address", address)
        }));
        edits.extend((0..self.entries.len()).map(|n| {
            set(format!("/hosts/{}", 100 + n), "peer", format!("127.0.0.1:{}", 10_000 + n))
        }));
        for (index, part) in edits.chunks(FILL).enumerate() {
            let request_id = format!("fill{index}");
            let change =
                Change { expected_version: self.version, request_id, edits: part.to_vec() };
            self.ask(&change, 0)?;
        }
        Ok(())
    }

    fn ask(&mut self, change: &Change, lost: u32) -> Result<u64> {
        let client = self.cluster.client(LIMIT, |host| host != lost);
        let refused = |fault: Fault| eyre!("a change was refused: {}", fault.error);
        self.version = client.change(change).map_err(refused)?;
        Ok(self.version)
    }
}

fn set(path: String, key: &str, value: String) -> Edit {
    Edit::Set { path, key: key.to_string(), value }
}
