//! What all cases share: an installation that runs, with clients, routers and backends.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Identity};
use crate::client::{Clients, Flow, Outcome, Routers};
use crate::http;
use crate::record::Record;
use crate::system::{CLIENT_ENTRIES, Site, System, ZONES};

/// Name of the only service.
const SERVICE: &str = "huvo11a";
/// Version of the first configuration.
pub const FIRST_VERSION: u64 = 7;
/// Time budget of a request.
pub const BUDGET: Duration = Duration::from_secs(3);

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// An installation that runs.
#[derive(Debug)]
pub struct Scene {
    /// The system.
    pub system: System,
    /// The clients.
    pub clients: Arc<Clients>,
    /// The routers.
    pub routers: Arc<Routers>,
    /// Number of SYN+ACKs that the network loses next.
    pub losses: Arc<AtomicUsize>,
    /// The record.
    pub record: Arc<Record>,
    site: Site,
}

impl Scene {
    /// Starts the system, and waits until it has a configuration and is in rotation.
    pub fn start(site: Site, record: &Arc<Record>) -> Option<Self> {
        let system = System::start(site).ok()?;
        let net = system.net;
        if !system.put_config(record, &configuration(FIRST_VERSION)) {
            return None;
        }
        let entries = system.entries.iter().take(CLIENT_ENTRIES);
        let entries: Vec<Ipv4Addr> = entries.map(|host| host.ip).collect();
        let routers = Routers::start(net, entries, record);
        let clients = Arc::new(Clients::start(net, &routers, record).ok()?);
        let (losses, record) = (Arc::default(), Arc::clone(record));
        let scene = Self { system, clients, routers, losses, record, site };
        let ready = || scene.routers.rotation().len() == CLIENT_ENTRIES;
        wait_for(Duration::from_secs(10), ready).then_some(())?;
        Some(scene)
    }

    /// Returns the identity of a lifetime of backend `number`.
    pub fn identity(&self, number: u8, id: u64) -> Identity {
        Identity {
            id,
            address: self.system.net.server(number),
            service: SERVICE.into(),
            zone: ZONES[usize::from(number - 1) % ZONES.len()].into(),
            born: self.site.born,
        }
    }

    /// Starts a lifetime that reports, and calls the nodes of control in the given order.
    pub fn start_backend(&self, number: u8, id: u64, nodes: &[u8]) -> Option<Backend> {
        let backend = self.start_silent(number, id, nodes)?;
        backend.report();
        Some(backend)
    }

    /// Starts a lifetime that does not report by itself.
    pub fn start_silent(&self, number: u8, id: u64, nodes: &[u8]) -> Option<Backend> {
        let nodes = nodes.iter().map(|node| self.system.net.api(*node)).collect();
        let port = self.system.net.datagram;
        Backend::start(self.identity(number, id), nodes, port, &self.losses, &self.record).ok()
    }

    /// Opens flows until `count` of them are answered by `backend`; others are closed by silence.
    pub fn open_on(&self, backend: &Backend, count: usize, limit: Duration) -> Vec<Flow> {
        let deadline = Instant::now() + limit;
        let mut flows = Vec::new();
        let mut tries = 0;
        while flows.len() < count && Instant::now() < deadline {
            tries += 1;
            let Ok(mut flow) = self.clients.open(route()) else { continue };
            let attempt = format!("first-{tries}");
            if self.clients.request(&mut flow, &attempt, BUDGET)
                == Outcome::Answered(backend.name())
            {
                self.record.line(format!(
                    "client {}: flow open at {}",
                    flow.client,
                    backend.name()
                ));
                flows.push(flow);
            }
        }
        flows
    }

    /// Sends a request on each flow; returns the number of resets of the system while the backend
    /// lived and held the flow.
    fn count_broken(&self, backend: &Backend, flows: &mut [Flow], name: &str) -> usize {
        let mut broken = 0;
        for (index, flow) in flows.iter_mut().enumerate() {
            let held = backend.holds(flow.client);
            let outcome = self.clients.recorded(flow, &format!("{name}-{index}"), BUDGET);
            let holds = held && backend.holds(flow.client);
            self.record.line(format!("backend {} holds {}: {holds}", backend.name(), flow.client));
            broken += usize::from(holds && outcome == Outcome::SystemReset);
        }
        broken
    }

    /// Waits until the calm after the last disruption is longer than `StabilityWindowMs`.
    pub fn wait_in_touch(&self) {
        sleep(Duration::from_secs_f64(self.site.stability_s + 1.0));
        self.record.line("all machines are in touch again");
    }

    /// Returns the number of a control host that does not lead.
    pub fn follower(&self) -> Option<u8> {
        let leader = self.system.leader()?;
        (1..=3).rev().find(|number| *number != leader)
    }

    /// Kills all control hosts at the same moment.
    pub fn kill_core(&mut self) {
        self.system.kill_core();
        self.record.line("all control hosts were killed");
    }

    /// Starts all control hosts again.
    pub fn start_core_again(&mut self) -> Option<()> {
        self.record.line("all control hosts start again");
        self.system.start_core_again(self.site).ok()
    }

    /// Asks an entry host to end, and starts it again once it has.
    pub fn restart_entry(&mut self, number: u8) -> Option<()> {
        self.record.line(format!("planned work: entry host {number} gets SIGTERM"));
        let host = &mut self.system.entries[usize::from(number - 1)];
        host.signal("TERM");
        wait_for(Duration::from_secs(6), || host.has_ended());
        sleep(Duration::from_millis(500));
        self.record.line(format!("entry host {number} starts again"));
        self.system.start_entry_again(self.site, number).ok()
    }

    /// Adds a control host with an empty disk; returns its number.
    pub fn add_core(&mut self) -> Option<u8> {
        let number = self.system.add_core(self.site).ok()?;
        self.record.line(format!("control host {number} is added, with an empty disk"));
        Some(number)
    }

    /// Kills a control host.
    pub fn kill(&mut self, number: u8) {
        self.system.kill(number);
        self.record.line(format!("control host {number} was killed"));
    }

    /// Starts a control host again, with an empty disk.
    pub fn start_wiped(&mut self, number: u8) -> Option<()> {
        let _ = std::fs::remove_dir_all(self.system.disk(number));
        self.record.line(format!("control host {number} starts again, with an empty disk"));
        self.system.start_again(self.site, number).ok()
    }

    /// Makes a change with this version, and sends it until it is acknowledged.
    pub fn change(&self, version: u64) -> Option<()> {
        self.system.put_config(&self.record, &configuration(version)).then_some(())
    }

    /// Reads the configuration at these nodes for a while; returns the newest version answered.
    pub fn read_back(&self, nodes: &[u8], limit: Duration) -> Option<u64> {
        let deadline = Instant::now() + limit;
        let mut newest = None;
        while Instant::now() < deadline {
            for number in nodes {
                let node = self.system.net.api(*number);
                let response = http::call_leader(node, "GET", "/lagoongauge/config", "");
                let status = response.as_ref().map(|response| response.status);
                let read = response.filter(|response| response.status == 200);
                let version = read.and_then(|response| version_of(&response.body));
                let line = format!("GET at {node}: answered {status:?}, version {version:?}");
                self.record.line(line);
                newest = newest.max(version);
            }
            sleep(Duration::from_millis(500));
        }
        newest
    }

    /// Freezes a control host.
    pub fn freeze(&self, number: u8) {
        self.record.line(format!("control host {number} freezes"));
        self.system.core[usize::from(number - 1)].signal("STOP");
    }

    /// Wakes a control host again.
    pub fn wake(&self, number: u8) {
        self.record.line(format!("control host {number} wakes again"));
        self.system.core[usize::from(number - 1)].signal("CONT");
    }

    /// Sends a request on each flow; the rule is broken if the system resets one while its backend
    /// lives and holds it.
    pub fn judge_flows(&mut self, backend: &Backend, flows: &mut [Flow]) -> Option<Verdict> {
        let broken = self.count_broken(backend, flows, "second");
        self.record
            .line(format!("{broken} of {} open flows were reset by the system", flows.len()));
        let all_run = self.all_run();
        self.system.clean_up();
        if flows.is_empty() || !all_run {
            return None;
        }
        Some(if broken > 0 { Verdict::Broken } else { Verdict::Held })
    }

    /// Returns whether all processes of the system run.
    fn all_run(&mut self) -> bool {
        let mut hosts = self.system.core.iter_mut().chain(&mut self.system.entries);
        hosts.all(|host| !host.has_ended())
    }
}

/// Returns the address and port of the only route.
pub fn route() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Polls a condition until it holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}

/// Returns the version of a configuration.
fn version_of(body: &str) -> Option<u64> {
    let rest = body.split_once("\"Version\":")?.1;
    rest.split(',').next()?.parse().ok()
}

/// Returns a configuration with the only route.
fn configuration(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-feed\",\"Host\":\"198.18.0.1\",\
         \"PathPrefix\":\"/443/\",\"Type\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":200,\
         \"Priority\":2,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\
         \"{SERVICE}\",\"HealthPath\":\"/health\",\"MaxFlows\":2000,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}
