//! The cluster of control hosts and entry hosts that is measured.

use eyre::{Result, eyre};
use tempfile::TempDir;

use lagoongauge::id::CentreId;
use lagoongauge::settings::{Change, Edit};

use super::{WAIT_TIMEOUT, build_change};
use crate::control::Fault;
use crate::control::client::Query;
use crate::control::partition_cluster::{EntrySubscription, PartitionCluster, wait_for};
use crate::store::open_or_format;

/// Data centres, each with a control host.
const CENTRES: [CentreId; 3] = [CentreId(0), CentreId(1), CentreId(2)];

/// Number of members that own the services.
const MEMBERS: u32 = 2;

/// Edits per change while the settings tree is filled.
const EDITS_PER_CHANGE: usize = 100;

/// Maximum time since the last confirmation of the version on a settled entry host.
const MAX_UNCONFIRMED_MS: u64 = 5000;

/// Control hosts with stores on disk, and entry hosts that subscribe to them.
pub struct MeasuredCluster {
    /// The control hosts.
    pub control_cluster: PartitionCluster,
    /// The entry hosts.
    pub entry_hosts: Vec<EntrySubscription>,
    version: u64,
    change_count: u64,
    _folder: TempDir,
}

impl MeasuredCluster {
    /// Starts all hosts and fills the settings tree.
    pub fn start(entry_hosts: u32, services: u32) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let control_cluster = PartitionCluster::new(&CENTRES, |config, recovered| {
            let (host, incarnation) = (config.identity.host, config.identity.incarnation);
            let path = folder.path().join(host.to_string());
            open_or_format(&path, host, incarnation, |_| recovered)
        })?;
        let addresses: Vec<_> =
            (1..=CENTRES.len() as u32).map(|host| control_cluster.proxy_address(host)).collect();
        let start = |n: u32| {
            let centre = CENTRES[n as usize % CENTRES.len()];
            control_cluster.start_entry(100 + n, centre, addresses.clone())
        };
        let entry_hosts = (0..entry_hosts).map(start).collect();
        let mut cluster =
            Self { control_cluster, entry_hosts, version: 1, change_count: 0, _folder: folder };
        cluster.fill_tree(services)?;
        cluster.wait_settled()?;
        Ok(cluster)
    }

    /// Returns the latest version known to this operator.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Reads the current version from the control hosts after changes by other operators.
    pub fn refresh_version(&mut self) -> Result<()> {
        let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
        let result = self.control_cluster.client(WAIT_TIMEOUT, |_| true).read(query);
        let read_error = |fault: Fault| eyre!("cannot read the current version: {}", fault.error);
        self.version = result.map_err(read_error)?.version;
        Ok(())
    }

    /// Changes a setting and returns the resulting version.
    pub fn change(&mut self) -> Result<u64> {
        self.change_without(0)
    }

    /// Changes a setting through the control hosts other than `excluded`.
    pub fn change_without(&mut self, excluded: u32) -> Result<u64> {
        self.change_count += 1;
        let change = build_change(self.version, self.change_count);
        self.submit_change(&change, excluded)
    }

    /// Waits until all entry hosts have applied and confirmed the latest version and all control
    /// hosts reach each other.
    pub fn wait_settled(&mut self) -> Result<()> {
        let is_settled = |entry: &EntrySubscription| {
            let confirmed = entry.progress.unconfirmed().0 < MAX_UNCONFIRMED_MS;
            (confirmed && entry.progress.version() >= self.version).then_some(())
        };
        let reaches_all = |host: u32| {
            let overview =
                self.control_cluster.client(WAIT_TIMEOUT, |other| other == host).status().ok()?;
            overview.controls.iter().all(|control| control.reachable).then_some(())
        };
        for entry in &self.entry_hosts {
            wait_for(WAIT_TIMEOUT, || is_settled(entry)).ok_or_else(|| {
                eyre!("an entry host did not confirm the latest version within {WAIT_TIMEOUT:?}")
            })?;
        }
        for host in 1..=CENTRES.len() as u32 {
            wait_for(WAIT_TIMEOUT, || reaches_all(host)).ok_or_else(|| {
                eyre!("control host {host} did not reach all control hosts within {WAIT_TIMEOUT:?}")
            })?;
        }
        Ok(())
    }

    /// Returns the bytes sent and received by each control host.
    pub fn control_bytes(&self) -> Vec<u64> {
        self.control_cluster
            .hosts
            .iter()
            .map(|host| host.traffic.sent_bytes() + host.traffic.received_bytes())
            .collect()
    }

    /// Returns the bytes of all operator connections.
    pub fn operator_bytes(&self) -> u64 {
        self.control_cluster.hosts.iter().map(|host| host.traffic.operator_bytes()).sum()
    }

    /// Returns the CPU time of each control host's thread in microseconds.
    pub fn control_cpu_micros(&self) -> Vec<u64> {
        self.control_cluster.hosts.iter().map(|host| host.traffic.cpu_micros()).collect()
    }

    /// Returns the bytes sent and received by each entry host.
    pub fn entry_bytes(&self) -> Vec<u64> {
        self.entry_hosts
            .iter()
            .map(|entry| entry.traffic.sent_bytes() + entry.traffic.received_bytes())
            .collect()
    }

    fn fill_tree(&mut self, services: u32) -> Result<()> {
        let mut edits: Vec<Edit> = (0..MEMBERS)
            .map(|n| set_edit(format!("/m{n}"), "member_services", services.max(1).to_string()))
            .collect();
        edits.extend((0..services).map(|n| {
            let address = format!("10.{}.{}.1:443", n / 256, n % 256);
            set_edit(format!("/m{}/s{n}", n % MEMBERS), "address", address)
        }));
        edits.extend((0..self.entry_hosts.len()).map(|n| {
            set_edit(format!("/hosts/{}", 100 + n), "peer", format!("127.0.0.1:{}", 10_000 + n))
        }));
        for (index, part) in edits.chunks(EDITS_PER_CHANGE).enumerate() {
            let request_id = format!("fill{index}");
            let change =
                Change { expected_version: self.version, request_id, edits: part.to_vec() };
            self.submit_change(&change, 0)?;
        }
        Ok(())
    }

    fn submit_change(&mut self, change: &Change, excluded: u32) -> Result<u64> {
        let client = self.control_cluster.client(WAIT_TIMEOUT, |host| host != excluded);
        let change_error = |fault: Fault| eyre!("cannot change a setting: {}", fault.error);
        self.version = client.change(change).map_err(change_error)?;
        Ok(self.version)
    }
}

fn set_edit(path: String, key: &str, value: String) -> Edit {
    Edit::Set { path, key: key.to_string(), value }
}
