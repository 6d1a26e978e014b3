//! Refuses new flows while the targets of their service are overloaded; see
//! [`crate::mark::admission::overload`].

use indexmap::IndexMap;

use super::Router;
use crate::mark::admission::contention::Contention;
use crate::mark::admission::late::is_recovering;
use crate::mark::admission::overload::{Answer, Overload, target_room};
use crate::mark::placement::Policy;
use crate::mark::switches::Mechanism;
use crate::mark::{Cause, Segment};
use crate::time::Instant;

/// What this host knows of overloads, by service.
#[derive(Debug, Default)]
pub(super) struct ServiceOverloads {
    overloads: IndexMap<String, Overload>,
    /// Order in which new flows are admitted, of the services that were overloaded.
    orders: IndexMap<String, Contention>,
}

impl ServiceOverloads {
    /// Returns the orders of the services that were overloaded.
    pub(super) fn orders_mut(&mut self) -> impl Iterator<Item = (&String, &mut Contention)> {
        self.orders.iter_mut()
    }

    /// Records an answer to a request at a service.
    pub(super) fn record_answer(&mut self, service: &str, answer: Answer) {
        match self.overloads.get_mut(service) {
            Some(overload) => overload.record_answer(answer),
            None => self.overloads.entry(service.into()).or_default().record_answer(answer),
        }
    }

    fn count_active(&self) -> usize {
        self.overloads.values().filter(|overload| overload.is_active()).count()
    }

    /// Returns whether a service is overloaded now.
    fn is_active(&mut self, now: Instant, service: &str) -> bool {
        let Some(overload) = self.overloads.get_mut(service) else { return false };
        overload.update(now);
        overload.is_active()
    }

    /// Returns whether a flow of this priority may use all of the room.
    fn is_first(&mut self, now: Instant, service: &str, priority: u8) -> bool {
        let order = match self.orders.get_mut(service) {
            Some(order) => order,
            None => self.orders.entry(service.into()).or_default(),
        };
        order.decay(now);
        order.is_first(priority)
    }

    /// Counts whether a flow was admitted.
    fn count(&mut self, service: &str, priority: u8, admitted: bool) {
        if let Some(order) = self.orders.get_mut(service) {
            order.count(priority, admitted);
        }
        if let Some(overload) = self.overloads.get_mut(service).filter(|_| !admitted) {
            overload.record_refusal();
        }
    }
}

impl<P: Policy> Router<P> {
    /// Returns the number of services whose targets are overloaded.
    pub fn overloaded_count(&self) -> usize {
        self.overloads.count_active()
    }

    /// Returns why a new flow must not be placed if the targets of its service are overloaded and all
    /// are full.
    ///
    /// What piles up while the fleet is down ends by itself, and late requests wait for room already. A
    /// copy of a SYN is never refused, as for want of room. A frontend that is hardly used does not make
    /// the crowd, and a reset there would look as if this host did not know the route.
    pub(super) fn refuse_for_overload(&mut self, now: Instant, segment: &Segment) -> Option<Cause> {
        let is_on = self.is_on(Mechanism::OverloadLimit);
        if !is_on || segment.acknowledged > 0 || is_recovering(now, self.status.ready_at) {
            return None;
        }
        let frontend = self.frontends.get(&segment.flow_key.frontend)?;
        let service = frontend.pick_service(self.flow_hash(segment.flow_key))?;
        if !frontend.is_busy() || !self.overloads.is_active(now, service) {
            return None;
        }
        let by_priority = self.is_on(Mechanism::PriorityOrder);
        let priority = if by_priority { frontend.priority } else { 0 };
        let first = self.overloads.is_first(now, service, priority);
        let usable = self.usable_targets(service);
        let admitted = self.targets.any_usable(now, service, usable, |target| {
            target.known_requests() < target_room(target.slots, first)
        });
        self.overloads.count(service, priority, admitted);
        (!admitted).then_some(Cause::Overloaded)
    }
}
