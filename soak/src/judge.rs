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
pub const STABILIZATION_TIME: Millis = 4000;

/// Time in which an accepted configuration is in force.
pub const APPLY_DEADLINE: Millis = 3000;

/// Time after which a target that is acknowledged to drain takes no new flow.
pub const DRAIN_DEADLINE: Millis = 3000;

/// Time for which packets that were on their way may still show an older configuration.
const IN_FLIGHT_TIME: Millis = 250;

/// The same where the host was held up.
const UNSTABLE_IN_FLIGHT_TIME: Millis = 8 * IN_FLIGHT_TIME;

/// Time in which a process has to end once it is asked to.
pub const STOP_TIMEOUT: Millis = 6000;

/// Time after the last fault in which service is whole again.
pub const RECOVERY_TIME: Millis = 12_000;

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
pub struct FirstPacket {
    /// The entry host that sent it on or refused it.
    pub host: Ipv4Addr,
    /// When the flow's first packet was sent.
    pub sent_at: Millis,
    /// When this was seen.
    pub seen_at: Millis,
}

/// What a front port stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frontend {
    /// A route that every configuration has, to the service of this number.
    Permanent(usize),
    /// The route that only this version has, to the first service.
    Versioned(u64),
    /// No route ever.
    Unrouted,
}

/// Faults on one host or on the control hosts as a whole.
#[derive(Debug, Default)]
struct FaultStatus {
    active: u32,
    last_end: Option<Millis>,
}

impl FaultStatus {
    fn is_stable(&self, now: Millis) -> bool {
        self.active == 0
            && self.last_end.is_none_or(|last_end| now >= last_end + STABILIZATION_TIME)
    }
}

/// Judges a run.
#[derive(Debug, Default)]
pub struct Judge {
    entry_faults: IndexMap<Ipv4Addr, FaultStatus>,
    control_faults: FaultStatus,
    /// Accepted versions with the time of the acknowledgement.
    accepted_versions: Vec<(u64, Millis)>,
    /// The highest version that was ever sent.
    highest_sent: u64,
    /// The highest version that each process has shown, with the time; lost when it starts anew.
    observed_versions: IndexMap<Ipv4Addr, (u64, Millis)>,
    /// Targets whose end was acknowledged.
    drained_targets: IndexMap<u64, Millis>,
    /// When a target last ended without a word.
    last_crash: Option<Millis>,
    findings: Vec<Finding>,
}

impl Judge {
    /// Returns what was found.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Tells whether bounds hold for an entry host.
    pub fn is_stable(&self, host: Ipv4Addr, now: Millis) -> bool {
        self.control_faults.is_stable(now)
            && self.entry_faults.get(&host).is_none_or(|host| host.is_stable(now))
    }

    /// Tells whether nothing is wrong with the control hosts.
    pub fn is_control_stable(&self, now: Millis) -> bool {
        self.control_faults.is_stable(now)
    }

    /// Returns the highest version that was accepted at least this long ago.
    pub fn accepted_version(&self, now: Millis, min_age: Millis) -> Option<u64> {
        let earlier = self.accepted_versions.iter().filter(|(_, at)| at + min_age <= now);
        earlier.map(|(version, _)| *version).max()
    }

    /// Notes that a fault on an entry host begins.
    pub fn begin_entry_fault(&mut self, host: Ipv4Addr) {
        self.entry_faults.entry(host).or_default().active += 1;
    }

    /// Notes that a fault on an entry host has ended.
    pub fn end_entry_fault(&mut self, host: Ipv4Addr, now: Millis) {
        let status = self.entry_faults.entry(host).or_default();
        status.active -= 1;
        status.last_end = Some(now);
    }

    /// Notes that a fault on a control host, or between two of them, begins.
    pub fn begin_control_fault(&mut self) {
        self.control_faults.active += 1;
    }

    /// Notes that it has ended; one that took most of them counts for twice the time.
    pub fn end_control_fault(&mut self, now: Millis, majority: bool) {
        self.control_faults.active -= 1;
        let last_end = if majority { now + STABILIZATION_TIME } else { now };
        self.control_faults.last_end = self.control_faults.last_end.max(Some(last_end));
    }

    /// Notes that the soak itself was held up, so that nothing that it saw is in time.
    pub fn record_stall(&mut self, now: Millis) {
        self.control_faults.last_end = self.control_faults.last_end.max(Some(now));
    }

    /// Notes that an entry host's process starts.
    pub fn record_start(&mut self, host: Ipv4Addr) {
        self.observed_versions.shift_remove(&host);
    }

    /// Notes that a version is sent for the first time.
    pub fn record_sent(&mut self, version: u64) {
        self.highest_sent = self.highest_sent.max(version);
    }

    /// Notes that a version was accepted.
    pub fn record_accepted(&mut self, version: u64, now: Millis) {
        self.accepted_versions.push((version, now));
    }

    /// Notes that a target's end was acknowledged.
    pub fn record_drained(&mut self, target: u64, now: Millis) {
        self.drained_targets.entry(target).or_insert(now);
    }

    /// Notes that a target ended without a word.
    pub fn record_crash(&mut self, now: Millis) {
        self.last_crash = Some(now);
    }

    /// Judges a flow's first packet that a target of this service took.
    pub fn check_opened(
        &mut self,
        packet: FirstPacket,
        frontend: Frontend,
        target: u64,
        service: usize,
    ) {
        let FirstPacket { host, sent_at, seen_at } = packet;
        let expected = match frontend {
            Frontend::Permanent(service) => Some(service),
            Frontend::Versioned(_) => Some(0),
            Frontend::Unrouted => None,
        };
        if expected != Some(service) {
            let detail =
                format!("{host} sent {frontend:?} to target {target:x} of service {service}");
            self.record_finding(seen_at, Promise::Route, detail);
        }
        if let Frontend::Versioned(version) = frontend {
            self.check_version(packet, version);
        }
        let drained_at = self.drained_targets.get(&target).copied();
        let late = drained_at.is_some_and(|at| sent_at > at && seen_at > at + DRAIN_DEADLINE);
        if late && self.is_stable(host, seen_at) {
            let detail =
                format!("{host} opened a flow at {target:x}, which drains since {drained_at:?}");
            self.record_finding(seen_at, Promise::Drain, detail);
        }
    }

    /// Judges that a host showed a version.
    fn check_version(&mut self, packet: FirstPacket, version: u64) {
        let FirstPacket { host, sent_at, seen_at } = packet;
        let newest = self.accepted_version(sent_at, APPLY_DEADLINE).unwrap_or(0);
        if newest > version && self.is_stable(host, seen_at) {
            let detail = format!("{host} serves version {version}, {newest} is accepted");
            self.record_finding(seen_at, Promise::Applied, detail);
        }
        let in_flight_time = self.in_flight_time(host, seen_at);
        let observed = self.observed_versions.entry(host).or_insert((version, seen_at));
        if observed.0 > version && sent_at > observed.1 + in_flight_time {
            let detail = format!("{host} serves version {version} after {observed:?}");
            self.record_finding(seen_at, Promise::Backward, detail);
        } else if version > observed.0 {
            *observed = (version, seen_at);
        }
    }

    /// Judges a flow's first packet that was refused; `open` tells whether its service has targets.
    pub fn check_refused(&mut self, packet: FirstPacket, frontend: Frontend, has_target: bool) {
        let FirstPacket { host, sent_at, seen_at } = packet;
        let stable = self.is_stable(host, seen_at);
        match frontend {
            Frontend::Versioned(version) if version == self.highest_sent => {
                let observed = self
                    .observed_versions
                    .get(&host)
                    .copied()
                    .filter(|observed| observed.0 == version);
                if observed.is_some_and(|(_, at)| sent_at > at + self.in_flight_time(host, seen_at))
                    && has_target
                {
                    let detail = format!("{host} refuses version {version} after {observed:?}");
                    self.record_finding(seen_at, Promise::Backward, detail);
                }
                if stable
                    && has_target
                    && self.accepted_version(sent_at, APPLY_DEADLINE) == Some(version)
                {
                    let detail = format!("{host} refuses version {version}, which is accepted");
                    self.record_finding(seen_at, Promise::Applied, detail);
                }
            }
            Frontend::Permanent(service) if stable && has_target => {
                let detail = format!("{host} refuses a flow to service {service}");
                self.record_finding(seen_at, Promise::Served, detail);
            }
            _ => {}
        }
    }

    /// Judges a first packet that nobody answered, through hosts that were all asked in vain.
    pub fn check_unanswered(
        &mut self,
        hosts: &[Ipv4Addr],
        sent_at: Millis,
        now: Millis,
        frontend: Frontend,
    ) {
        let crashed = self.last_crash.is_some_and(|at| sent_at < at + 2 * STABILIZATION_TIME);
        let stable =
            hosts.iter().all(|host| self.is_stable(*host, sent_at) && self.is_stable(*host, now));
        if stable && !crashed && matches!(frontend, Frontend::Permanent(_)) {
            let detail = format!("nobody answered {frontend:?} through {hosts:?}");
            self.record_finding(now, Promise::Served, detail);
        }
    }

    /// Judges what a read showed.
    pub fn check_read(&mut self, host: Ipv4Addr, sent_at: Millis, now: Millis, version: u64) {
        let newest = self.accepted_version(sent_at, APPLY_DEADLINE).unwrap_or(0);
        if version < newest {
            let detail = format!("{host} shows version {version}, {newest} is accepted");
            self.record_finding(now, Promise::Read, detail);
        }
    }

    /// Notes a broken promise that was judged elsewhere.
    pub fn record_finding(&mut self, at: Millis, promise: Promise, detail: String) {
        self.findings.push(Finding { at, promise, detail });
    }

    fn in_flight_time(&self, host: Ipv4Addr, now: Millis) -> Millis {
        if self.is_stable(host, now) { IN_FLIGHT_TIME } else { UNSTABLE_IN_FLIGHT_TIME }
    }
}
