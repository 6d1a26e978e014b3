//! The control hosts and entry hosts, in threads of this process over loopback.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::thread::sleep;
use std::time::{Duration, Instant};

use eyre::{OptionExt, bail};
use indexmap::IndexMap;
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::packet::DropReason;
use lagoongauge::settings::TokenHash;
use lagoongauge::time::Span;
use lagoongauged::control::local_cluster::{LocalCluster, RunningHost};
use lagoongauged::daemon::LogLevel;
use lagoongauged::entry::{BoundSockets, EntryHost, Settings};

/// Time within which an awaited condition has to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Id of the first entry host.
const FIRST_HOST: u32 = 11;

/// Path and address of each service.
const SERVICES: [(&str, &str); 2] =
    [("/tsenkher/booking", "10.99.0.1:443"), ("/columbia/queue", "[fd00:99::1]:443")];

/// Token that authorizes the announcements of each service's targets.
pub const TOKENS: [&str; 2] = ["token of tsenkher's targets", "token of columbia's targets"];

/// Running control hosts and entry hosts.
pub struct TestCluster {
    /// Address and key of each service.
    pub services: Vec<(SocketAddr, u32)>,
    control_cluster: LocalCluster,
    controls: Vec<RunningHost>,
    /// Entry hosts, with the addresses at which they receive packets from the fabric and accept
    /// announcements.
    hosts: Vec<(EntryHost, SocketAddr, SocketAddr)>,
}

impl TestCluster {
    /// Starts three control hosts, and one entry host for each item of `centres`.
    pub fn start(centres: &[CentreId], fabric: SocketAddr) -> eyre::Result<Self> {
        let mut control_cluster = LocalCluster::new(&[1, 1, 2].map(CentreId))?;
        let controls = control_cluster.start()?;
        control_cluster.wait_ready(WAIT_TIMEOUT)?;
        let mut cluster =
            Self { services: Vec::new(), control_cluster, controls, hosts: Vec::new() };
        let mut values = Vec::new();
        for (index, centre) in centres.iter().enumerate() {
            let host = HostId(FIRST_HOST + index as u32);
            let peer = cluster.start_host(host, *centre, fabric)?;
            let path = format!("/hosts/{}", host.0);
            values.push((path.clone(), "centre", centre.0.to_string()));
            values.push((path, "peer", peer.to_string()));
        }
        for (index, networks) in ["10.1.0.0/16", "fd00:2::/64"].into_iter().enumerate() {
            let (path, address) = SERVICES[index];
            let hash = TokenHash::new([7; 16], TOKENS[index]).to_string();
            let member = path.rsplit_once('/').map_or("", |(member, _)| member);
            values.push((member.to_owned(), "networks", networks.to_owned()));
            values.push((member.to_owned(), "target_tokens", hash));
            values.push((member.to_owned(), "slow_start", "2s".to_owned()));
            values.push((path.to_owned(), "address", address.to_owned()));
        }
        let values: Vec<_> = values.iter().map(|(a, b, c)| (a.as_str(), *b, c.as_str())).collect();
        cluster.set("begin", &values)?;
        let services = cluster.hosts[0].0.services();
        for (path, address) in SERVICES {
            let (_, key) =
                services.iter().find(|service| service.0 == path).ok_or_eyre("no such service")?;
            cluster.services.push((address.parse()?, key.0));
        }
        wait_until("the entry hosts are ready", || {
            cluster.hosts.iter().all(|host| host.0.is_ready())
        })?;
        Ok(cluster)
    }

    /// Returns the addresses at which entry hosts receive packets from the fabric.
    pub fn data_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.1).collect()
    }

    /// Returns the addresses at which entry hosts accept announcements.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.2).collect()
    }

    /// Returns whether every entry host knows exactly `count` targets.
    pub fn has_targets(&self, count: usize) -> bool {
        self.hosts.iter().all(|host| host.0.target_count() == count)
    }

    /// Returns the bytes of control traffic of all entry hosts so far.
    pub fn control_bytes(&self) -> u64 {
        self.hosts.iter().map(|host| host.0.control_bytes()).sum()
    }

    /// Returns the numbers of sent and of relayed packets.
    pub fn packet_counts(&self) -> (u64, u64) {
        self.hosts
            .iter()
            .map(|host| &host.0.plane().counters)
            .fold((0, 0), |sum, counters| (sum.0 + counters.sent(), sum.1 + counters.relayed()))
    }

    /// Returns the number of dropped packets by reason.
    pub fn dropped_packets(&self) -> IndexMap<&'static str, u64> {
        let counters = || self.hosts.iter().map(|host| &host.0.plane().counters);
        let counts = DropReason::all().map(|reason| {
            (reason.name(), counters().map(|counters| counters.dropped(reason)).sum())
        });
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Sets values and waits until every entry host has applied them.
    pub fn set(&self, request: &str, values: &[(&str, &str, &str)]) -> eyre::Result<()> {
        let version = self.control_cluster.set(request, values).map_err(|fault| fault.error)?;
        wait_until("the settings are applied", || {
            self.hosts.iter().all(|host| host.0.version() >= version)
        })
    }

    /// Removes the last entry host from the list and starts to drain it.
    pub fn remove_last_host(&mut self) -> EntryHost {
        let (host, ..) = self.hosts.pop().expect("there is an entry host");
        host.leave();
        host
    }

    /// Stops all hosts.
    pub fn stop(self) {
        self.hosts.into_iter().for_each(|host| host.0.stop());
        drop(self.controls);
    }

    fn start_host(
        &mut self,
        host: HostId,
        centre: CentreId,
        fabric: SocketAddr,
    ) -> eyre::Result<SocketAddr> {
        let bound = BoundSockets {
            data: UdpSocket::bind("127.0.0.1:0")?,
            peer: UdpSocket::bind("127.0.0.1:0")?,
            http: TcpListener::bind("127.0.0.1:0")?,
        };
        let (data, peer) = (bound.data.local_addr()?, bound.peer.local_addr()?);
        let http = bound.http.local_addr()?;
        let settings = Settings {
            host,
            centre,
            data,
            fabric,
            peer,
            http,
            control: self.control_cluster.address_book.addresses(),
            cluster_key: self.control_cluster.key.clone(),
            threads: 2,
            drain_limit: Span::seconds(20),
            log_level: LogLevel(log::LevelFilter::Off),
        };
        self.hosts.push((EntryHost::start(&settings, bound)?, data, http));
        Ok(peer)
    }
}

/// Waits until `condition` holds; fails after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if condition() {
            return Ok(());
        }
        sleep(Duration::from_millis(20));
    }
    bail!("timed out after {WAIT_TIMEOUT:?} waiting until {what}")
}
