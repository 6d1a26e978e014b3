//! The router, which decides on each packet from a caller.

mod admission;
mod continuation;
mod evacuation;
mod evidence;
mod link;
mod losses;
mod opening;
mod overload;
mod placing;
mod status;
mod warmup;

pub use self::evidence::{EjectionChange, EvidenceCounts};

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use self::admission::RoomState;
use self::evidence::EvidencePool;
use self::link::OwnLink;
use self::overload::ServiceOverloads;
use self::status::HostStatus;
use crate::catalog::Catalog;
use crate::flow::HashKey;
use crate::id::{HostId, TargetId};
use crate::mark::admission::warmup::WarmupBudget;
use crate::mark::evidence::centre::Centres;
use crate::mark::features::Features;
use crate::mark::flow::Flow;
use crate::mark::flow::table::FlowTable;
use crate::mark::frontend::Frontend;
use crate::mark::key::CentreKey;
use crate::mark::key::TargetKey;
use crate::mark::load::{LoadCount, LoadReport};
use crate::mark::loss::{LossLedger, RequestCounts, RequestKind};
use crate::mark::placement::{Candidate, LeastCost, Policy};
use crate::mark::switches::{Mechanism, Switches};
use crate::mark::target::Target;
use crate::mark::target::table::TargetTable;
use crate::mark::verdict::{Cause, LostTarget, Verdict};
use crate::mark::{FlowKey, PacketTimes, Segment, SegmentKind};
use crate::roster::{Entry, Phase};
use crate::time::{Instant, Span};

/// Configuration of a router.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Name of the entry host's data centre.
    pub centre: String,
    /// Key of the hash that distributes flows.
    pub hash_key: HashKey,
    /// Maximum number of tracked flows.
    pub max_flows: usize,
    /// Optional parts that are switched on.
    pub features: Features,
}

/// Decides on each packet from a caller; see the module's documentation.
#[derive(Debug)]
pub struct Router<P = LeastCost> {
    config: RouterConfig,
    policy: P,
    frontends: IndexMap<SocketAddrV4, Frontend>,
    targets: TargetTable,
    centres: Centres,
    /// The data centre of this host.
    own_centre: CentreKey,
    /// Evacuated data centres.
    evacuated: Vec<CentreKey>,
    flows: FlowTable,
    /// Flows begun here whose SYN may have reached two targets.
    contested_flows: u64,
    candidates: Vec<(TargetKey, Candidate)>,
    response_times: Vec<Span>,
    losses: LossLedger,
    /// The latest flow that was reset as its target seemed unreachable.
    lost_target: Option<LostTarget>,
    warmup: WarmupBudget,
    evidence: EvidencePool,
    version: u64,
    /// Whether the settings or the catalog ask for the parts for contended deployments.
    contended: bool,
    /// Room in each data centre, and the order in which it is given away.
    room: RoomState,
    /// Services whose targets are overloaded.
    overloads: ServiceOverloads,
    /// This host's link, if it is limited and the deployment is contended.
    link: Option<OwnLink>,
    /// Other entry hosts of this data centre, as far as they are known.
    local_hosts: u32,
    status: HostStatus,
}

impl Router {
    /// Creates a router without routes and targets.
    pub fn new(config: RouterConfig) -> Self {
        Self::with_policy(config, LeastCost)
    }
}

impl<P: Policy> Router<P> {
    /// Creates a router with the given placement policy.
    pub fn with_policy(config: RouterConfig, policy: P) -> Self {
        let mut centres = Centres::default();
        let own_centre = centres.key(&config.centre);
        let flows = FlowTable::new(config.max_flows);
        let contended = config.features.contended;
        Self {
            config,
            policy,
            frontends: IndexMap::new(),
            targets: TargetTable::default(),
            centres,
            own_centre,
            evacuated: Vec::new(),
            flows,
            contested_flows: 0,
            candidates: Vec::new(),
            response_times: Vec::new(),
            losses: LossLedger::default(),
            lost_target: None,
            warmup: WarmupBudget::default(),
            evidence: EvidencePool::default(),
            version: 0,
            contended,
            link: None,
            overloads: ServiceOverloads::default(),
            room: RoomState::default(),
            local_hosts: 0,
            status: HostStatus::default(),
        }
    }

    /// Returns the version of the active catalog; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of flows begun here whose SYN may have reached two targets.
    pub fn contested_flows(&self) -> u64 {
        self.contested_flows
    }

    /// Returns the number of tracked flows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of targets that accept new flows.
    pub fn serving_count(&self, now: Instant) -> usize {
        let serves = |target: &&Target| {
            target.accepts_flows() && !target.is_silent(now) && !self.is_evacuated(target.centre)
        };
        self.targets.iter().filter(serves).count()
    }

    /// Returns the time since a target's last activity, or `None` for an unknown target.
    pub fn time_since_activity(&self, now: Instant, target: TargetId) -> Option<Span> {
        let key = self.targets.key(target)?;
        Some(self.targets[key].time_since_activity(now))
    }

    /// Returns this host's load report for the other entry hosts.
    pub fn report(&self) -> LoadReport {
        let open = self.targets.iter().filter(|target| target.own_load != LoadCount::default());
        let counts = open.map(|target| (target.mark, target.own_load)).collect();
        LoadReport { counts, pressures: self.pressures() }
    }

    /// Moves the response times recorded since the last call to `response_times`.
    ///
    /// A response time runs from a request to the caller's acknowledgement of the first answer.
    pub fn take_response_times(&mut self, response_times: &mut Vec<Span>) {
        response_times.append(&mut self.response_times);
    }

    /// Returns how the requests ended since the last call.
    pub fn take_losses(&mut self) -> IndexMap<RequestKind, RequestCounts> {
        self.losses.take()
    }

    /// Returns what the latest reset with [`Cause::TargetLost`] was decided on, once.
    pub fn take_lost_target(&mut self) -> Option<LostTarget> {
        self.lost_target.take()
    }

    /// Activates a catalog; one that is not newer than the active one is ignored.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        if catalog.version() <= self.version {
            return;
        }
        self.version = catalog.version();
        self.flows.set_idle_timeout(catalog.idle_timeout());
        self.contended = self.config.features.contended || catalog.has_bulk_routes();
        let warmup_limit = self.config.features.warmup_limit.as_ref();
        let warmup_limit = warmup_limit.filter(|_| self.is_on(Mechanism::WarmupLimit));
        self.warmup.set_catalog(warmup_limit, catalog);
        self.protect_link();
        let mut kept: IndexMap<SocketAddrV4, Frontend> = IndexMap::new();
        for (address, route) in catalog.routes() {
            let frontend = match self.frontends.swap_remove(&address) {
                Some(mut frontend) => {
                    frontend.update(catalog, route);
                    frontend
                }
                None => Frontend::new(catalog, route),
            };
            kept.insert(address, frontend);
        }
        for (address, mut frontend) in self.frontends.drain(..) {
            frontend.remove();
            kept.insert(address, frontend);
        }
        self.frontends = kept;
    }

    /// Sets the number of other entry hosts in this data centre, which share its targets.
    pub fn set_local_hosts(&mut self, count: u32) {
        self.local_hosts = count;
    }

    /// Returns which mechanisms are switched off.
    pub fn switches(&self) -> Switches {
        self.config.features.switches
    }

    /// Returns whether a mechanism is switched on.
    fn is_on(&self, mechanism: Mechanism) -> bool {
        self.switches().is_on(mechanism)
    }

    /// Applies a target's latest announcement, and whether the target is silent.
    pub fn set_target(&mut self, now: Instant, entry: &Entry, silent: bool) {
        let centre = self.centres.key(&entry.centre);
        let location = (centre, centre == self.own_centre);
        self.targets.set(now, entry, location, silent);
    }

    /// Stores the load report of another entry host.
    pub fn set_report(&mut self, now: Instant, host: HostId, report: LoadReport) {
        self.room.pressures.merge(now, &self.config.centre, &report.pressures);
        if !self.is_on(Mechanism::LoadReports) {
            return;
        }
        self.targets.set_report(now, host, report);
    }

    /// Handles a stall that has just ended: queued SYNs are stale, and this host saw no answers
    /// during it, which counts against no target.
    fn handle_stall(&mut self, now: Instant) {
        if !self.status.end_stall(now) {
            return;
        }
        self.warmup.record_disturbance(now);
        let running = self.targets.iter_mut().filter(|target| target.phase != Phase::Gone);
        running.for_each(|target| target.excuse_until(self.status.stale_until));
        self.evidence.clear();
    }

    /// Advances time: removes expired flows, reports and targets.
    ///
    /// Must be called several times per second, as a long pause counts as a stall.
    pub fn tick(&mut self, now: Instant) {
        self.handle_stall(now);
        self.status.last_tick = Some(now);
        self.record_returns(now);
        let unopened = self.flows.remove_expired(now, &mut self.targets);
        self.record_unopened(now, &unopened);
        let overdue = self.flows.end_overdue_requests(now, &mut self.targets, &self.frontends);
        self.record_overdue(now, &overdue);
        self.targets.sum_reports(now);
        self.remove_gone_targets(now);
        self.expire_bulk(now);
        if self.is_link_busy(now) || !self.is_on(Mechanism::CentreSuspicion) {
            self.centres.set_reachable();
        } else {
            self.centres.update(now, self.own_centre, self.targets.iter());
        }
        if self.contended {
            self.measure_pressure(now);
        }
    }

    /// Decides on a packet that has just arrived.
    pub fn decide(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.decide_held(now, now, segment)
    }

    /// Decides on a packet that arrived at `arrived` and has been held since.
    pub fn decide_held(&mut self, now: Instant, arrived: Instant, segment: &Segment) -> Verdict {
        self.handle_stall(now);
        if self.version == 0 {
            let holds = self.is_on(Mechanism::HeldPackets);
            return if holds { Verdict::Hold } else { Verdict::Drop(Cause::Starting) };
        }
        if let Some(link) = &mut self.link
            && now == arrived
        {
            link.meter.record_packet(now, segment.length);
        }
        let idempotency = match self.frontends.get(&segment.flow_key.frontend) {
            None if self.status.is_current(now) && segment.kind == SegmentKind::Syn => {
                return Verdict::Reset(Cause::NoRoute);
            }
            None => return Verdict::Drop(Cause::NoRoute),
            Some(frontend) if frontend.is_removed() => return Verdict::Reset(Cause::RouteRemoved),
            Some(frontend) => frontend.idempotency,
        };
        self.status.ready_at.get_or_insert(now);
        let times = PacketTimes { now, arrived };
        match segment.kind {
            SegmentKind::Syn if now < self.status.stale_until => Verdict::Drop(Cause::Stale),
            SegmentKind::Syn => self.open_flow(times, segment),
            _ => self.continue_flow(times, segment, idempotency),
        }
    }

    /// Tracks a flow that this host sees for the first time, or at another target than before.
    fn insert_flow(&mut self, flow_key: FlowKey, flow: Flow) {
        self.contested_flows += u64::from(flow.contested);
        self.flows.insert(&mut self.targets, flow_key, flow);
    }

    fn forward(&self, key: TargetKey, new_flow: bool) -> Verdict {
        let target = &self.targets[key];
        Verdict::Forward { target: target.id, address: target.address, mark: target.mark, new_flow }
    }

    fn remove_gone_targets(&mut self, now: Instant) {
        for key in self.targets.expired(now) {
            self.flows.remove_of_target(&mut self.targets, key);
            self.targets.remove(key);
        }
    }
}
