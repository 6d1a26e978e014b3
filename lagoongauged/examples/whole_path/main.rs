//! The main job: callers reach targets through entry hosts while everything around them changes.
//!
//! Three control hosts, four entry hosts in two data centres, and targets of two members run in
//! threads of this process over loopback. The fabric, the callers and the targets are fakes on a
//! TCP stack of its own. One JSON line tells what happened; the exit code is not zero if a flow
//! broke or went astray.

mod caller;
mod fabric;
mod site;
mod stack;
mod target;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use eyre::ensure;
use indexmap::IndexMap;
use lagoongauge::id::CentreId;
use serde::Serialize;

use crate::caller::{Callers, Outcome};
use crate::fabric::Fabric;
use crate::site::{Site, wait};
use crate::target::Target;

/// Seed of the order in which the fabric sprays.
const SEED: u64 = 20_261_203;

/// Callers of each service at a time.
const CALLERS: usize = 150;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_secs(4);

/// How long a drained target may still get new flows.
const DRAIN_DELAY: Duration = Duration::from_secs(5);

/// Targets at the start, three for each service; the last one of the first service joins later.
const TARGETS: [(usize, &str); 7] = [
    (0, "10.1.0.1:8443"),
    (0, "10.1.0.2:8443"),
    (0, "10.1.0.3:8443"),
    (1, "[fd00:2::1]:8443"),
    (1, "[fd00:2::2]:8443"),
    (1, "[fd00:2::3]:8443"),
    (0, "10.1.0.4:8443"),
];

/// What happened.
#[derive(Debug, Default, Serialize)]
struct Report {
    flows: u64,
    answers: u64,
    broken: u64,
    misrouted: u64,
    imbalance: f64,
    imbalance_before_changes: f64,
    control_bytes_per_host_per_second: f64,
    flows_of_added_target: usize,
    late_flows_of_drained_target: usize,
    setting_in_force_ms: u128,
    host_left_clean: bool,
    host_left_after_ms: u128,
    packets: u64,
    relayed: u64,
    dropped: IndexMap<&'static str, u64>,
    seconds: f64,
}

fn main() -> eyre::Result<()> {
    let begun = Instant::now();
    let fabric = Fabric::start(SocketAddr::from(([127, 0, 0, 1], 0)), SEED)?;
    let centres = [1, 1, 2, 2].map(CentreId);
    let mut site = Site::start(&centres, fabric.address()?)?;
    fabric.set_hosts(site.data());
    let targets: Vec<_> = TARGETS[..6].iter().map(|one| start(one, &site, &fabric)).collect();
    wait("the targets are known", || site.knows(6))?;
    sleep(PAUSE / 2);

    let callers: Vec<Callers> = [("192.0.2.1", 0), ("2001:db8::1", 1)]
        .into_iter()
        .map(|(ip, service)| {
            let ip: IpAddr = ip.parse().expect("the address is well-formed");
            Callers::start(ip, site.services[service], CALLERS, &fabric)
        })
        .collect();
    let (start_bytes, start_time) = (site.control_bytes(), Instant::now());
    sleep(PAUSE);
    let mut report = Report { imbalance_before_changes: imbalance(&targets), ..Report::default() };
    report.change(&mut site, &fabric, targets)?;
    let elapsed = start_time.elapsed().as_secs_f64();
    let bytes = site.control_bytes() - start_bytes;
    report.control_bytes_per_host_per_second = bytes as f64 / elapsed / centres.len() as f64;
    for callers in callers {
        report.count(callers.stop());
    }
    (report.packets, report.relayed) = site.packets();
    report.dropped = site.dropped();
    site.stop();
    report.seconds = begun.elapsed().as_secs_f64();
    println!("{}", serde_json::to_string(&report)?);
    ensure!(report.broken + report.misrouted == 0, "a flow broke or went astray");
    Ok(())
}

impl Report {
    /// Adds a target, drains one, stops an entry host and changes a setting.
    fn change(
        &mut self,
        site: &mut Site,
        fabric: &Arc<Fabric>,
        mut targets: Vec<Arc<Target>>,
    ) -> eyre::Result<()> {
        let added = start(&TARGETS[6], site, fabric);
        targets.push(Arc::clone(&added));
        sleep(PAUSE);

        let drained = targets.remove(4);
        *drained.state.lock().expect("no thread panicked") = "draining";
        sleep(DRAIN_DELAY);
        let accepted = drained.accepted.load(Ordering::Relaxed);

        let leaver = site.leave();
        fabric.set_hosts(site.data());
        let leaving = Instant::now();
        self.host_left_clean = leaver.shut_down();
        self.host_left_after_ms = leaving.elapsed().as_millis();
        sleep(PAUSE);

        let changed = Instant::now();
        site.set("rate", &[("/tsenkher/booking", "max_rate", "5000")])?;
        self.setting_in_force_ms = changed.elapsed().as_millis();
        sleep(PAUSE);
        self.imbalance = imbalance(&targets);
        self.flows_of_added_target = added.accepted.load(Ordering::Relaxed);
        self.late_flows_of_drained_target = drained.accepted.load(Ordering::Relaxed) - accepted;
        Ok(())
    }

    fn count(&mut self, outcome: Outcome) {
        self.flows += outcome.flows;
        self.answers += outcome.answers;
        self.broken += outcome.broken;
        self.misrouted += outcome.misrouted;
    }
}

fn start((service, address): &(usize, &str), site: &Site, fabric: &Arc<Fabric>) -> Arc<Target> {
    let address: SocketAddr = address.parse().expect("the address is well-formed");
    let name = TARGETS.iter().position(|one| one.1.parse() == Ok(address)).unwrap_or(0) as u32;
    let key = site.services[*service].1;
    Target::start(address, (key, name), site::TOKENS[*service], fabric, &site.http())
}

/// Returns the worst ratio of the fullest target's open flows to the mean over the services.
fn imbalance(targets: &[Arc<Target>]) -> f64 {
    let ratio = |service: u32| {
        let own = targets.iter().filter(|target| target.service == service);
        let open: Vec<usize> = own.map(|one| one.open.load(Ordering::Relaxed)).collect();
        let most = open.iter().max().copied().unwrap_or(0);
        (most * open.len()) as f64 / open.iter().sum::<usize>().max(1) as f64
    };
    targets.iter().map(|target| ratio(target.service)).fold(0.0, f64::max)
}
