//! State shared by the tasks of a run.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::net::UdpSocket;
use async_std::task::sleep;
use http_types::{Method, StatusCode};
use indexmap::IndexMap;
use lagoon_ends::READINESS_PATH;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::callers::Flow;
use crate::http_client;
use crate::judge::{Judge, Millis, Promise};
use crate::net::{LoopbackNet, READINESS_PORT};
use crate::process::Process;
use crate::proxy::PathTable;
use crate::targets::Target;

/// Interval of readiness checks of an entry host.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failed checks after which the fabric takes an entry host out of rotation.
const UNHEALTHY_THRESHOLD: u32 = 2;

/// Share of packets that the fabric sends to a random entry host instead of the one that the
/// caller's address determines.
const RANDOM_ENTRY_SHARE: f64 = 0.1;

/// Interval of the checks for exited processes and delays of the test itself.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of the test's own tasks beyond which its time measurements are unreliable.
const STALL_THRESHOLD: Millis = 300;

/// Event counts of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Opened flows.
    pub flows: u64,
    /// Flows that were refused by a reset of their first packet.
    pub refused: u64,
    /// Packets that arrived at their flow's target after the first one.
    pub packets: u64,
    /// Accepted configurations.
    pub configurations: u64,
    /// Accepted orders to evacuate a data centre or to withdraw that.
    pub orders: u64,
    /// Reads of the configuration.
    pub reads: u64,
    /// Targets whose draining was acknowledged.
    pub drains: u64,
    /// Injected faults.
    pub faults: u64,
    /// Delays of the test itself beyond [`STALL_THRESHOLD`].
    pub stalls: u64,
}

/// State shared by the tasks of a run.
pub struct Context {
    /// Loopback addresses of the run.
    pub net: LoopbackNet,
    /// Checks observations and collects findings.
    pub judge: RefCell<Judge>,
    /// Event counts.
    pub counts: RefCell<Counts>,
    /// Faults on the paths between hosts.
    pub paths: Rc<PathTable>,
    /// Processes of the entry hosts.
    pub entry_hosts: RefCell<Vec<Process>>,
    /// Processes of the control hosts.
    pub control_hosts: RefCell<Vec<Process>>,
    /// Running targets, by id.
    pub targets: RefCell<IndexMap<u64, Target>>,
    /// Flows, by the caller's address.
    pub flows: RefCell<IndexMap<SocketAddrV4, Flow>>,
    /// One socket for each caller.
    pub caller_sockets: Vec<UdpSocket>,
    /// Whether the run is over and its tasks should end.
    pub finished: Cell<bool>,
    /// Random numbers of the simulated parties; seeded with the complement of the run's seed, so
    /// that they differ from those of the fault schedule.
    rng: RefCell<ChaCha8Rng>,
    started: Instant,
    /// Consecutive failed checks of each entry host that has been ready once.
    failed_probes: RefCell<IndexMap<Ipv4Addr, u32>>,
}

/// A reference-counted context.
pub type SharedContext = Rc<Context>;

impl Context {
    /// Creates a context without hosts.
    pub fn new(net: LoopbackNet, seed: u64, caller_sockets: Vec<UdpSocket>) -> Self {
        Self {
            net,
            judge: RefCell::default(),
            counts: RefCell::default(),
            paths: Rc::default(),
            entry_hosts: RefCell::default(),
            control_hosts: RefCell::default(),
            targets: RefCell::default(),
            flows: RefCell::default(),
            caller_sockets,
            finished: Cell::new(false),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(!seed)),
            started: Instant::now(),
            failed_probes: RefCell::default(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Draws a random number.
    pub fn random_range(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    /// Returns `true` with the given probability.
    pub fn random_bool(&self, probability: f64) -> bool {
        self.rng.borrow_mut().random_bool(probability)
    }

    /// Draws a random element, unless the slice is empty.
    pub fn choose<T: Copy>(&self, from: &[T]) -> Option<T> {
        from.choose(&mut *self.rng.borrow_mut()).copied()
    }

    /// Records a violated invariant.
    pub fn record_finding(&self, promise: Promise, detail: String) {
        self.judge.borrow_mut().record_finding(self.now(), promise, detail);
    }

    /// Returns the addresses of all control hosts.
    pub fn control_addresses(&self) -> Vec<Ipv4Addr> {
        self.control_hosts.borrow().iter().map(|control| control.address).collect()
    }

    /// Returns the control hosts that are listed as seeds in settings files: the first three.
    pub fn seed_hosts(&self) -> Vec<Ipv4Addr> {
        self.control_addresses().into_iter().take(3).collect()
    }

    /// Returns the entry hosts in rotation: the ready ones, or all if fewer than half are ready.
    pub fn rotation(&self) -> Vec<Ipv4Addr> {
        let all: Vec<Ipv4Addr> =
            self.entry_hosts.borrow().iter().map(|host| host.address).collect();
        let failed_probes = self.failed_probes.borrow();
        let ready = |host: &&Ipv4Addr| {
            failed_probes.get(*host).is_some_and(|failures| *failures < UNHEALTHY_THRESHOLD)
        };
        let ready: Vec<Ipv4Addr> = all.iter().filter(ready).copied().collect();
        if 2 * ready.len() < all.len() { all } else { ready }
    }

    /// Records the result of a readiness check.
    fn record_probe(&self, host: Ipv4Addr, ready: bool) {
        let mut failed_probes = self.failed_probes.borrow_mut();
        if ready {
            failed_probes.insert(host, 0);
        } else if let Some(failures) = failed_probes.get_mut(&host) {
            *failures += 1;
        }
    }

    /// Selects the entry host for a flow's next packet.
    pub fn select_entry(&self, source: SocketAddrV4) -> Option<Ipv4Addr> {
        let rotation = self.rotation();
        if self.random_bool(RANDOM_ENTRY_SHARE) {
            return self.choose(&rotation);
        }
        let hash = usize::from(source.port()) + usize::from(source.ip().octets()[3]);
        rotation.get(hash % rotation.len().max(1)).copied()
    }

    /// Returns whether time bounds hold for all entry hosts.
    pub fn is_stable(&self) -> bool {
        let (now, judge) = (self.now(), self.judge.borrow());
        self.entry_hosts.borrow().iter().all(|host| judge.is_stable(host.address, now))
    }
}

/// Sleeps for a number of milliseconds.
pub async fn sleep_ms(duration: Millis) {
    sleep(Duration::from_millis(duration)).await;
}

/// Checks an entry host's readiness at intervals, as the fabric does.
pub async fn probe_readiness(context: SharedContext, host: Ipv4Addr) {
    let address = SocketAddrV4::new(host, READINESS_PORT);
    while !context.finished.get() {
        let response = http_client::request_once(address, Method::Get, READINESS_PATH, "").await;
        let ready = response.is_some_and(|response| response.status == StatusCode::Ok);
        context.record_probe(host, ready);
        sleep(PROBE_INTERVAL).await;
    }
}

/// Reports processes that exit unexpectedly, and delays of the test itself.
pub async fn monitor(context: SharedContext) {
    let mut last = context.now();
    while !context.finished.get() {
        sleep(POLL_INTERVAL).await;
        let now = context.now();
        if now > last + POLL_INTERVAL.as_millis() as Millis + STALL_THRESHOLD {
            log::warn!("tasks of the soak test did not run for {} ms", now - last);
            context.counts.borrow_mut().stalls += 1;
            context.judge.borrow_mut().record_stall(now);
        }
        last = now;
        for hosts in [&context.entry_hosts, &context.control_hosts] {
            for host in hosts.borrow_mut().iter_mut().filter(|host| !host.disabled) {
                let Some(status) = host.exit_status() else { continue };
                host.disabled = true;
                context.record_finding(
                    Promise::Ended,
                    format!("host {} exited without being asked to: {status}", host.address),
                );
            }
        }
    }
}
