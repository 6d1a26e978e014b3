//! Decides which requests wait at this host, and which are refused; see [`crate::mark::admission::late`]
//! and [`crate::mark::admission::contention`].

use indexmap::IndexMap;

use super::Router;
use crate::mark::admission::contention::{AdmissionCounts, Contention, LOWER_REQUESTS_PER_SLOT};
use crate::mark::admission::late::{Demand, is_late, is_recovering};
use crate::mark::admission::moves::MoveDetector;
use crate::mark::admission::room::{CentreDemand, OWN_CENTRE_PERCENT, PressureTable, even_percent};
use crate::mark::flow::syn_copy_delay;
use crate::mark::key::CentreKey;
use crate::mark::key::TargetKey;
use crate::mark::placement::Policy;
use crate::mark::switches::Mechanism;
use crate::mark::target::table::UsableTargets;
use crate::mark::{Cause, Segment, ServicePressure};
use crate::time::{Instant, Span};

/// Interval at which the requests that take no room are counted.
const COUNT_INTERVAL: Span = Span::millis(40);

/// Room in each data centre, and the order in which it is given away.
#[derive(Debug, Default)]
pub(super) struct RoomState {
    /// Order by service, where callers compete for room.
    contention: IndexMap<String, Contention>,
    pub(super) pressures: PressureTable,
    pub(super) moves: MoveDetector,
    /// When the requests that take no room were last counted.
    counted_at: Instant,
    /// Demand in each data centre at the decision on the current flow; a reused buffer.
    pub(super) demands: Vec<CentreDemand>,
}

impl<P: Policy> Router<P> {
    /// Returns whether a SYN has to wait: its request is late, and there is no room for it.
    pub(super) fn must_yield_syn(&self, now: Instant, arrived: Instant, segment: &Segment) -> bool {
        if self.status.stopping
            || !is_recovering(now, self.status.ready_at)
            || !self.is_on(Mechanism::LateWait)
        {
            return false;
        }
        let Some(frontend) = self.frontends.get(&segment.flow_key.frontend) else { return false };
        let age = now.since(arrived) + syn_copy_delay(segment.acknowledged);
        if !is_late(age, frontend.objective()) {
            return false;
        }
        let service = frontend.pick_service(self.flow_hash(segment.flow_key));
        service.is_some_and(|service| !self.demand(now, service).has_room())
    }

    /// Returns whether data of a flow that this host did not know has to wait: it arrived before the
    /// first catalog, and there is no room for a late request at the service of its target. Of data
    /// that arrives later nobody can tell whether it was repeated.
    pub(super) fn must_yield_data(&self, now: Instant, arrived: Instant, key: TargetKey) -> bool {
        let held_since_start = self.status.ready_at.is_some_and(|ready_at| arrived < ready_at);
        let may_wait = held_since_start && !self.status.stopping && self.is_on(Mechanism::LateWait);
        may_wait && !self.demand(now, &self.targets[key].service).has_room()
    }

    /// Returns why a new flow must not be placed, if there is no room for it. Otherwise
    /// [`Self::has_room_in`] tells where there is.
    ///
    /// A copy of a SYN is never refused: the first may have opened the flow through another host, and
    /// then a reset would break it and would not say truly that nothing ran.
    pub(super) fn refuse_for_room(&mut self, now: Instant, segment: &Segment) -> Option<Cause> {
        if !self.contended || !self.is_on(Mechanism::Admission) || segment.acknowledged > 0 {
            return None;
        }
        let frontend = self.frontends.get(&segment.flow_key.frontend)?;
        let service = frontend.pick_service(self.flow_hash(segment.flow_key))?;
        let priority = frontend.priority;
        let mut demands = std::mem::take(&mut self.room.demands);
        if now.since(self.room.counted_at) >= COUNT_INTERVAL {
            self.room.counted_at = now;
            let moved_at = self.room.moves.moved_at();
            self.flows.count_overstayed(now, moved_at, &mut self.targets, &self.frontends);
        }
        self.collect_demands(now, service, &mut demands);
        self.room.demands = demands;
        let by_priority = self.is_on(Mechanism::PriorityOrder);
        let contention = match self.room.contention.get_mut(service) {
            Some(contention) => contention,
            None => self.room.contention.entry(service.into()).or_default(),
        };
        let saturated = self.room.pressures.is_saturated(&self.config.centre, service);
        let rank = if by_priority { priority } else { 0 };
        let requests_per_slot = contention.requests_per_slot(rank, saturated);
        let hosts = self.local_hosts + 1;
        for demand in &mut self.room.demands {
            demand.open = demand.has_room(requests_per_slot, hosts);
        }
        let has_slots = self.room.demands.iter().any(|demand| demand.slots > 0);
        let admitted = !has_slots || self.room.demands.iter().any(|demand| demand.open);
        contention.count(priority, admitted);
        (!admitted).then_some(Cause::Overloaded)
    }

    /// Returns whether the flow that is being placed has room in a data centre.
    pub(super) fn has_room_in(&self, centre: CentreKey) -> bool {
        self.room.demands.get(centre.index()).is_none_or(|demand| demand.open)
    }

    /// Updates the pressure in this host's data centre that it reports to others, for the services
    /// that callers ask for here or elsewhere.
    pub(super) fn measure_pressure(&mut self, now: Instant) {
        self.room.pressures.expire(now);
        self.room.contention.retain(|_, contention| !contention.is_idle());
        self.room.contention.values_mut().for_each(|contention| contention.decay(now));
        let (own, hosts) = (self.own_centre.index(), self.local_hosts + 1);
        for service in self.targets.services() {
            let asked_elsewhere =
                self.room.pressures.is_asked_elsewhere(&self.config.centre, service);
            if !asked_elsewhere && !self.room.contention.contains_key(service) {
                continue;
            }
            let mut demands = std::mem::take(&mut self.room.demands);
            self.sum_demand(now, service, &mut demands);
            self.room.demands = demands;
            let demand = self.room.demands.get(own).copied().unwrap_or_default();
            let pressure = demand.pressure_percent(LOWER_REQUESTS_PER_SLOT, hosts);
            self.room.pressures.measure(now, &self.config.centre, service, pressure);
        }
    }

    /// Returns the pressures that this host reports to others.
    pub(super) fn pressures(&self) -> Vec<ServicePressure> {
        self.room.pressures.report(self.status.last_tick.unwrap_or_default())
    }

    /// Returns the flows that were admitted and refused since the last call, by service and
    /// priority, where callers compete for room.
    pub fn take_admissions(&mut self) -> Vec<(String, IndexMap<u8, AdmissionCounts>)> {
        let services = self.room.contention.iter_mut().chain(self.overloads.orders_mut());
        services.map(|(service, contention)| (service.clone(), contention.take_counts())).collect()
    }

    /// Returns how much of this host's part of the room is taken, in percent, at the service where
    /// it is fullest.
    pub fn pressure(&self) -> u8 {
        self.room.pressures.highest_pressure(&self.config.centre)
    }

    /// Collects the demand of a service in each data centre, and the part of it that this host may
    /// use.
    fn collect_demands(&self, now: Instant, service: &str, demands: &mut Vec<CentreDemand>) {
        self.sum_demand(now, service, demands);
        let (own, centres) = (self.own_centre.index(), demands.len());
        // Callers of a data centre without slots get an even part of the others without a report, too.
        let is_displaced = demands.get(own).is_none_or(|demand| demand.slots == 0);
        let least_percent = if is_displaced { even_percent(100, centres + 1) } else { 0 };
        for ((centre, name), demand) in self.centres.iter().zip(demands) {
            demand.usable_percent = if centre == self.own_centre {
                OWN_CENTRE_PERCENT
            } else {
                let spare = if self.is_on(Mechanism::SpareRoom) {
                    self.room.pressures.spare_percent(now, name, service)
                } else {
                    0
                };
                even_percent(spare, centres).max(least_percent)
            };
        }
    }

    /// Sums up the demand of a service in each data centre; those that are out of reach have no
    /// slots.
    fn sum_demand(&self, now: Instant, service: &str, demands: &mut Vec<CentreDemand>) {
        demands.clear();
        demands.resize(self.centres.iter().len(), CentreDemand::default());
        self.targets.sum_demand(now, service, self.usable_targets(service), demands);
        for ((centre, _), demand) in self.centres.iter().zip(demands) {
            if self.centres.is_unreachable(centre) {
                demand.slots = 0;
            }
        }
    }

    /// Returns the slots of a service in this host's data centre, and this host's requests there.
    pub(super) fn demand(&self, now: Instant, service: &str) -> Demand {
        let (slots, waiting) =
            self.targets.slots_and_waiting(now, service, self.usable_targets(service));
        Demand { slots, waiting, hosts: self.local_hosts + 1 }
    }

    /// Returns which targets of a service new flows may use now.
    pub(super) fn usable_targets(&self, service: &str) -> UsableTargets<'_> {
        let warm_only = self.warmup.limit(service).is_some();
        UsableTargets { evacuated: &self.evacuated, warm_only }
    }
}
