//! Judges the promises from what callers, targets and operators see.
//!
//! The bounds are the platform's, see `Bounds` in its settings. A bound holds for a host that has
//! been calm for [`WINDOW`]: nothing was done to it, to its links or to the control hosts. What
//! holds at any time is judged at any time.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use serde::Serialize;

/// Milliseconds since the start of a run.
pub type Millis = u64;

/// Time without faults after which bounds hold again.
pub const WINDOW: Millis = 4000;

/// Time in which an accepted configuration is in force.
pub const APPLY: Millis = 3000;

/// Time after which a target that is acknowledged to drain takes no new flow.
pub const DRAIN: Millis = 3000;

/// Time for which packets that were on their way may still show an older configuration.
const ROLLBACK: Millis = 250;

/// The same where the host was held up.
const ROLLBACK_SLOW: Millis = 8 * ROLLBACK;

/// Time in which a process has to end once it is asked to.
pub const GRACE: Millis = 6000;

/// Time after the last fault in which service is whole again.
pub const RECOVERY: Millis = 12_000;

/// A promise that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A flow goes to a service that its route names.
    Route,
    /// A target that drains takes no new flow.
    Drain,
    /// An accepted configuration is in force in time.
    Applied,
    /// A host never goes back to an older configuration.
    Backward,
    /// A read never shows an older configuration than what was accepted.
    Read,
    /// What is invalid is refused, what was accepted is not.
    Answer,
    /// A flow of a living target is not reset.
    Reset,
    /// A flow's packets go to its target.
    Astray,
    /// A flow goes on while nothing is wrong.
    Stuck,
    /// A new flow is served while nothing is wrong.
    Served,
    /// A process ends only when it is asked to, and then in time.
    Ended,
    /// What was accepted outlives all faults.
    Kept,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// When it was seen.
    pub at: Millis,
    /// What was broken.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

/// How a first packet went through the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Passage {
    /// The entry host that sent it on or refused it.
    pub host: Ipv4Addr,
    /// When the flow's first packet was sent.
    pub sent: Millis,
    /// When this was seen.
    pub now: Millis,
}

/// What a front port stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// A route that every configuration has, to the service of this number.
    Steady(usize),
    /// The route that only this version has, to the first service.
    Version(u64),
    /// No route ever.
    Never,
}

/// Faults on one host or on the control hosts as a whole.
#[derive(Debug, Default)]
struct Trouble {
    open: u32,
    last: Option<Millis>,
}

impl Trouble {
    fn is_calm(&self, now: Millis) -> bool {
        self.open == 0 && self.last.is_none_or(|last| now >= last + WINDOW)
    }
}

/// Judges a run.
#[derive(Debug, Default)]
pub struct Judge {
    hosts: IndexMap<Ipv4Addr, Trouble>,
    core: Trouble,
    /// Accepted versions with the time of the acknowledgement.
    accepted: Vec<(u64, Millis)>,
    /// The highest version that was ever sent.
    sent: u64,
    /// The highest version that each process has shown, with the time; lost when it starts anew.
    shown: IndexMap<Ipv4Addr, (u64, Millis)>,
    /// Targets whose end was acknowledged.
    drained: IndexMap<u64, Millis>,
    /// When a target last ended without a word.
    crashed: Option<Millis>,
    findings: Vec<Finding>,
}

impl Judge {
    /// Returns what was found.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Tells whether bounds hold for an entry host.
    pub fn is_calm(&self, host: Ipv4Addr, now: Millis) -> bool {
        self.core.is_calm(now) && self.hosts.get(&host).is_none_or(|host| host.is_calm(now))
    }

    /// Tells whether nothing is wrong with the control hosts.
    pub fn is_core_calm(&self, now: Millis) -> bool {
        self.core.is_calm(now)
    }

    /// Returns the highest version that was accepted at least this long ago.
    pub fn accepted(&self, now: Millis, ago: Millis) -> Option<u64> {
        let earlier = self.accepted.iter().filter(|(_, at)| at + ago <= now);
        earlier.map(|(version, _)| *version).max()
    }

    /// Notes that a fault on an entry host begins.
    pub fn begin(&mut self, host: Ipv4Addr) {
        self.hosts.entry(host).or_default().open += 1;
    }

    /// Notes that a fault on an entry host has ended.
    pub fn end(&mut self, host: Ipv4Addr, now: Millis) {
        let trouble = self.hosts.entry(host).or_default();
        trouble.open -= 1;
        trouble.last = Some(now);
    }

    /// Notes that a fault on a control host, or between two of them, begins.
    pub fn begin_core(&mut self) {
        self.core.open += 1;
    }

    /// Notes that it has ended; one that took most of them counts for twice the time.
    pub fn end_core(&mut self, now: Millis, most: bool) {
        self.core.open -= 1;
        let last = if most { now + WINDOW } else { now };
        self.core.last = self.core.last.max(Some(last));
    }

    /// Notes that the soak itself was held up, so that nothing that it saw is in time.
    pub fn stalled(&mut self, now: Millis) {
        self.core.last = self.core.last.max(Some(now));
    }

    /// Notes that an entry host's process starts.
    pub fn started(&mut self, host: Ipv4Addr) {
        self.shown.shift_remove(&host);
    }

    /// Notes that a version is sent for the first time.
    pub fn offered(&mut self, version: u64) {
        self.sent = self.sent.max(version);
    }

    /// Notes that a version was accepted.
    pub fn took(&mut self, version: u64, now: Millis) {
        self.accepted.push((version, now));
    }

    /// Notes that a target's end was acknowledged.
    pub fn drained(&mut self, target: u64, now: Millis) {
        self.drained.entry(target).or_insert(now);
    }

    /// Notes that a target ended without a word.
    pub fn crashed(&mut self, now: Millis) {
        self.crashed = Some(now);
    }

    /// Judges a flow's first packet that a target of this service took.
    pub fn opened(&mut self, passage: Passage, front: Front, target: u64, service: usize) {
        let Passage { host, sent, now } = passage;
        let meant = match front {
            Front::Steady(service) => Some(service),
            Front::Version(_) => Some(0),
            Front::Never => None,
        };
        if meant != Some(service) {
            let detail = format!("{host} sent {front:?} to target {target:x} of service {service}");
            self.find(now, Promise::Route, detail);
        }
        if let Front::Version(version) = front {
            self.showed(passage, version);
        }
        let drained = self.drained.get(&target).copied();
        let late = drained.is_some_and(|at| sent > at && now > at + DRAIN);
        if late && self.is_calm(host, now) {
            let detail =
                format!("{host} opened a flow at {target:x}, which drains since {drained:?}");
            self.find(now, Promise::Drain, detail);
        }
    }

    /// Judges that a host showed a version.
    fn showed(&mut self, passage: Passage, version: u64) {
        let Passage { host, sent, now } = passage;
        let newest = self.accepted(sent, APPLY).unwrap_or(0);
        if newest > version && self.is_calm(host, now) {
            let detail = format!("{host} serves version {version}, {newest} is accepted");
            self.find(now, Promise::Applied, detail);
        }
        let slack = self.slack(host, now);
        let shown = self.shown.entry(host).or_insert((version, now));
        if shown.0 > version && sent > shown.1 + slack {
            let detail = format!("{host} serves version {version} after {shown:?}");
            self.find(now, Promise::Backward, detail);
        } else if version > shown.0 {
            *shown = (version, now);
        }
    }

    /// Judges a flow's first packet that was refused; `open` tells whether its service has targets.
    pub fn refused(&mut self, passage: Passage, front: Front, open: bool) {
        let Passage { host, sent, now } = passage;
        let calm = self.is_calm(host, now);
        match front {
            Front::Version(version) if version == self.sent => {
                let shown = self.shown.get(&host).copied().filter(|shown| shown.0 == version);
                if shown.is_some_and(|(_, at)| sent > at + self.slack(host, now)) && open {
                    let detail = format!("{host} refuses version {version} after {shown:?}");
                    self.find(now, Promise::Backward, detail);
                }
                if calm && open && self.accepted(sent, APPLY) == Some(version) {
                    let detail = format!("{host} refuses version {version}, which is accepted");
                    self.find(now, Promise::Applied, detail);
                }
            }
            Front::Steady(service) if calm && open => {
                let detail = format!("{host} refuses a flow to service {service}");
                self.find(now, Promise::Served, detail);
            }
            _ => {}
        }
    }

    /// Judges a first packet that nobody answered, through hosts that were all asked in vain.
    pub fn unanswered(&mut self, hosts: &[Ipv4Addr], sent: Millis, now: Millis, front: Front) {
        let crashed = self.crashed.is_some_and(|at| sent < at + 2 * WINDOW);
        let calm = hosts.iter().all(|host| self.is_calm(*host, sent) && self.is_calm(*host, now));
        if calm && !crashed && matches!(front, Front::Steady(_)) {
            let detail = format!("nobody answered {front:?} through {hosts:?}");
            self.find(now, Promise::Served, detail);
        }
    }

    /// Judges what a read showed.
    pub fn read(&mut self, host: Ipv4Addr, sent: Millis, now: Millis, version: u64) {
        let newest = self.accepted(sent, APPLY).unwrap_or(0);
        if version < newest {
            let detail = format!("{host} shows version {version}, {newest} is accepted");
            self.find(now, Promise::Read, detail);
        }
    }

    /// Notes a broken promise that was judged elsewhere.
    pub fn find(&mut self, at: Millis, promise: Promise, detail: String) {
        self.findings.push(Finding { at, promise, detail });
    }

    fn slack(&self, host: Ipv4Addr, now: Millis) -> Millis {
        if self.is_calm(host, now) { ROLLBACK } else { ROLLBACK_SLOW }
    }
}
