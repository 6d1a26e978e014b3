//! Checks the invariants of the system from what callers, targets and operators observe.
//!
//! The time bounds are those of the platform, see `Bounds` in its settings. They are checked for
//! hosts that are stable: for [`STABILIZATION_TIME`] no fault has affected the host, its links or
//! the control hosts. Invariants without a time bound are checked at any time.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use serde::Serialize;

/// Milliseconds since the start of a run.
pub type Millis = u64;

/// Fault-free time after which time bounds hold again.
pub const STABILIZATION_TIME: Millis = 4000;

/// Time within which an accepted configuration is active.
pub const APPLY_DEADLINE: Millis = 3000;

/// Time after which a target whose draining was acknowledged receives no new flow.
pub const DRAIN_DEADLINE: Millis = 3000;

/// Time after which no target in an evacuated data centre receives a new flow.
pub const EVACUATION_DEADLINE: Millis = 5000;

/// Time for which packets in flight may still be routed by an older configuration.
const IN_FLIGHT_TIME: Millis = 250;

/// As [`IN_FLIGHT_TIME`], for a host that is not stable and may have been suspended.
const UNSTABLE_IN_FLIGHT_TIME: Millis = 8 * IN_FLIGHT_TIME;

/// Time within which a process has to exit after it was asked to stop.
pub const STOP_TIMEOUT: Millis = 6000;

/// Time after the last fault within which service is fully restored.
pub const RECOVERY_TIME: Millis = 12_000;

/// An invariant of the system that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A flow reaches a target of the service that its route names.
    Route,
    /// A draining target receives no new flow.
    Drain,
    /// No target in an evacuated data centre receives a new flow.
    Evacuated,
    /// An accepted configuration becomes active in time.
    Applied,
    /// A host never returns to an older configuration.
    Backward,
    /// A read returns the content of a version unchanged, and never a version older than one that
    /// was accepted at least [`APPLY_DEADLINE`] earlier, nor another state than an accepted order's.
    Read,
    /// Invalid configurations are rejected; valid ones and orders are accepted in time, and not
    /// rejected when they are repeated.
    Answer,
    /// A flow is not reset while its target is alive.
    Reset,
    /// The packets of a flow reach its target.
    Astray,
    /// An open flow makes progress while the system is stable.
    Stuck,
    /// A new flow is served while the system is stable.
    Served,
    /// A process exits only when it is asked to, and then in time and with success.
    Ended,
    /// Accepted configurations and orders survive all faults.
    Kept,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// When the violation was observed.
    pub at: Millis,
    /// The invariant.
    pub promise: Promise,
    /// Description of the violation.
    pub detail: String,
}

/// How the first packet of a flow passed through the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstPacket {
    /// The entry host that forwarded or refused it.
    pub host: Ipv4Addr,
    /// When the packet was first sent.
    pub sent_at: Millis,
    /// When the result was observed.
    pub seen_at: Millis,
}

/// The route to which a frontend port belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frontend {
    /// A route to the service of this index, present in every configuration.
    Permanent(usize),
    /// The route to the first service that is present only in this version.
    Versioned(u64),
    /// No configuration has a route for the port.
    Unrouted,
}

/// Faults that affect one entry host, or the control hosts as a group.
#[derive(Debug, Default)]
struct FaultStatus {
    /// Number of faults in progress.
    active: u32,
    /// Time from which [`STABILIZATION_TIME`] is counted.
    last_end: Option<Millis>,
}

impl FaultStatus {
    fn is_stable(&self, now: Millis) -> bool {
        self.active == 0
            && self.last_end.is_none_or(|last_end| now >= last_end + STABILIZATION_TIME)
    }
}

/// The newest order about the data centre that operators evacuate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    evacuated: bool,
    sent_at: Millis,
    accepted_at: Option<Millis>,
}

/// Collects the observations of a run and reports violated invariants.
#[derive(Debug, Default)]
pub struct Judge {
    entry_faults: IndexMap<Ipv4Addr, FaultStatus>,
    control_faults: FaultStatus,
    /// Accepted versions, with the time of the response.
    accepted_versions: Vec<(u64, Millis)>,
    /// The highest version that was sent.
    highest_sent: u64,
    /// The highest version that each process has used, with the time; cleared at its restart.
    observed_versions: IndexMap<Ipv4Addr, (u64, Millis)>,
    /// Targets whose draining was acknowledged, with the time.
    drained_targets: IndexMap<u64, Millis>,
    order: Option<Order>,
    /// When a target last crashed.
    last_crash: Option<Millis>,
    findings: Vec<Finding>,
}

impl Judge {
    /// Returns the violations found so far.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns whether time bounds hold for an entry host.
    pub fn is_stable(&self, host: Ipv4Addr, now: Millis) -> bool {
        self.control_faults.is_stable(now)
            && self.entry_faults.get(&host).is_none_or(|host| host.is_stable(now))
    }

    /// Returns whether time bounds hold for the control hosts.
    pub fn is_control_stable(&self, now: Millis) -> bool {
        self.control_faults.is_stable(now)
    }

    /// Returns the highest version that was accepted at least `min_age` ago.
    pub fn accepted_version(&self, now: Millis, min_age: Millis) -> Option<u64> {
        let earlier = self.accepted_versions.iter().filter(|(_, at)| at + min_age <= now);
        earlier.map(|(version, _)| *version).max()
    }

    /// Records the start of a fault that affects an entry host.
    pub fn begin_entry_fault(&mut self, host: Ipv4Addr) {
        self.entry_faults.entry(host).or_default().active += 1;
    }

    /// Records the end of a fault that affects an entry host.
    pub fn end_entry_fault(&mut self, host: Ipv4Addr, now: Millis) {
        let status = self.entry_faults.entry(host).or_default();
        status.active -= 1;
        status.last_end = Some(now);
    }

    /// Records the start of a fault of a control host or of a link between control hosts.
    pub fn begin_control_fault(&mut self) {
        self.control_faults.active += 1;
    }

    /// Records the end of such a fault; if it took a majority, the stabilization time is doubled.
    pub fn end_control_fault(&mut self, now: Millis, majority: bool) {
        self.control_faults.active -= 1;
        let last_end = if majority { now + STABILIZATION_TIME } else { now };
        self.control_faults.last_end = self.control_faults.last_end.max(Some(last_end));
    }

    /// Records that the test itself was delayed, which makes its time measurements unreliable.
    pub fn record_stall(&mut self, now: Millis) {
        self.control_faults.last_end = self.control_faults.last_end.max(Some(now));
    }

    /// Records that a host's process is about to start.
    pub fn record_start(&mut self, host: Ipv4Addr) {
        self.observed_versions.shift_remove(&host);
    }

    /// Records that a version is sent for the first time.
    pub fn record_sent(&mut self, version: u64) {
        self.highest_sent = self.highest_sent.max(version);
    }

    /// Records that a version was accepted.
    pub fn record_accepted(&mut self, version: u64, now: Millis) {
        self.accepted_versions.push((version, now));
    }

    /// Records that a target's draining was acknowledged.
    pub fn record_drained(&mut self, target: u64, now: Millis) {
        self.drained_targets.entry(target).or_insert(now);
    }

    /// Records that an order to evacuate the data centre, or to withdraw that, is sent.
    pub fn record_order_sent(&mut self, evacuated: bool, now: Millis) {
        self.order = Some(Order { evacuated, sent_at: now, accepted_at: None });
    }

    /// Records that the order sent last was accepted.
    pub fn record_order_accepted(&mut self, now: Millis) {
        if let Some(order) = &mut self.order {
            order.accepted_at.get_or_insert(now);
        }
    }

    /// Returns whether the data centre is evacuated, or `None` while that is uncertain.
    pub fn is_evacuated(&self) -> Option<bool> {
        match self.order {
            None => Some(false),
            Some(order) => order.accepted_at.map(|_| order.evacuated),
        }
    }

    /// Returns the order sent last.
    pub fn order(&self) -> Option<Order> {
        self.order
    }

    /// Checks what a read of the data centre returned; `order` is the one sent last before the read.
    pub fn check_order_read(
        &mut self,
        host: Ipv4Addr,
        order: Option<Order>,
        now: Millis,
        evacuated: bool,
    ) {
        let wanted = self.is_evacuated();
        if order == self.order && wanted.is_some_and(|wanted| wanted != evacuated) {
            let detail =
                format!("control host {host} returned evacuated {evacuated} after {order:?}");
            self.record_finding(now, Promise::Read, detail);
        }
    }

    /// Returns whether all entry hosts may use the targets of that data centre.
    pub fn takes_flows(&self, now: Millis) -> bool {
        self.order.is_none_or(|order| {
            let settled = order.accepted_at.is_some_and(|at| at + EVACUATION_DEADLINE <= now);
            !order.evacuated && settled
        })
    }

    /// Checks a flow whose first packet reached a target in that data centre.
    pub fn check_evacuated(&mut self, packet: FirstPacket) {
        let FirstPacket { host, sent_at, seen_at } = packet;
        let Some(Order { evacuated: true, accepted_at: Some(at), .. }) = self.order else {
            return;
        };
        let late = sent_at > at && seen_at > at + EVACUATION_DEADLINE;
        if late && self.is_stable(host, seen_at) {
            let detail =
                format!("entry host {host} opened a flow in a data centre evacuated at {at}");
            self.record_finding(seen_at, Promise::Evacuated, detail);
        }
    }

    /// Records that a target crashed.
    pub fn record_crash(&mut self, now: Millis) {
        self.last_crash = Some(now);
    }

    /// Checks a flow whose first packet reached a target of this service.
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
            let detail = format!(
                "entry host {host} sent {frontend:?} to target {target:x} of service {service}, \
                 expected {expected:?}"
            );
            self.record_finding(seen_at, Promise::Route, detail);
        }
        if let Frontend::Versioned(version) = frontend {
            self.check_version(packet, version);
        }
        let drained_at = self.drained_targets.get(&target).copied();
        let late = drained_at.is_some_and(|at| sent_at > at && seen_at > at + DRAIN_DEADLINE);
        if late && self.is_stable(host, seen_at) {
            let detail = format!(
                "entry host {host} opened a flow at target {target:x}, \
                 draining since {drained_at:?}"
            );
            self.record_finding(seen_at, Promise::Drain, detail);
        }
    }

    /// Checks a version that a host used to route a packet.
    fn check_version(&mut self, packet: FirstPacket, version: u64) {
        let FirstPacket { host, sent_at, seen_at } = packet;
        let newest = self.accepted_version(sent_at, APPLY_DEADLINE).unwrap_or(0);
        if newest > version && self.is_stable(host, seen_at) {
            let detail = format!(
                "entry host {host} serves version {version}, but version {newest} was accepted \
                 at least {APPLY_DEADLINE} ms earlier"
            );
            self.record_finding(seen_at, Promise::Applied, detail);
        }
        let in_flight_time = self.in_flight_time(host, seen_at);
        let observed = self.observed_versions.entry(host).or_insert((version, seen_at));
        if observed.0 > version && sent_at > observed.1 + in_flight_time {
            let detail = format!(
                "entry host {host} serves version {version} after version and time {observed:?}"
            );
            self.record_finding(seen_at, Promise::Backward, detail);
        } else if version > observed.0 {
            *observed = (version, seen_at);
        }
    }

    /// Checks a flow whose first packet was refused; `has_target` is whether its service has an
    /// open target. Of the versioned routes, only that of the highest version sent must be served:
    /// once a higher version is sent, it may be active, and it does not have the route.
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
                    let detail = format!(
                        "entry host {host} refuses version {version} \
                         after version and time {observed:?}"
                    );
                    self.record_finding(seen_at, Promise::Backward, detail);
                }
                if stable
                    && has_target
                    && self.accepted_version(sent_at, APPLY_DEADLINE) == Some(version)
                {
                    let detail = format!(
                        "entry host {host} refuses version {version}, \
                         accepted at least {APPLY_DEADLINE} ms earlier"
                    );
                    self.record_finding(seen_at, Promise::Applied, detail);
                }
            }
            Frontend::Permanent(service) if stable && has_target => {
                let detail = format!("entry host {host} refuses a flow to service {service}");
                self.record_finding(seen_at, Promise::Served, detail);
            }
            _ => {}
        }
    }

    /// Checks a first packet that stayed unanswered through all these hosts; this is permitted for
    /// twice the [`STABILIZATION_TIME`] after a target crashed.
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
            let detail = format!("no answer from {frontend:?} through entry hosts {hosts:?}");
            self.record_finding(now, Promise::Served, detail);
        }
    }

    /// Checks the version that a read returned.
    pub fn check_read(&mut self, host: Ipv4Addr, sent_at: Millis, now: Millis, version: u64) {
        let newest = self.accepted_version(sent_at, APPLY_DEADLINE).unwrap_or(0);
        if version < newest {
            let detail = format!(
                "control host {host} returned version {version}, but version {newest} was accepted \
                 at least {APPLY_DEADLINE} ms earlier"
            );
            self.record_finding(now, Promise::Read, detail);
        }
    }

    /// Records a violation that was detected elsewhere.
    pub fn record_finding(&mut self, at: Millis, promise: Promise, detail: String) {
        self.findings.push(Finding { at, promise, detail });
    }

    fn in_flight_time(&self, host: Ipv4Addr, now: Millis) -> Millis {
        if self.is_stable(host, now) { IN_FLIGHT_TIME } else { UNSTABLE_IN_FLIGHT_TIME }
    }
}
