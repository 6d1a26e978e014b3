//! Choice of the planner's next step, and the conditions for it.

use super::plan::Step;
use super::planner::Planner;
use super::state::RouterState;
use super::table::Table;
use crate::id::HostId;
use crate::time::{Instant, Span};

/// Minimum time between two weight changes of a service; a drain is not delayed.
const WEIGHT_CHANGE_INTERVAL: Span = Span::seconds(1);

/// Minimum time between two releases of buckets of a service.
const RELEASE_INTERVAL: Span = Span::seconds(2);

/// Maximum number of buckets in one hold or release step.
const MAX_STEP_BUCKETS: usize = 256;

/// Maximum delay of a group's first view while answering hosts still catch up with the plan.
const FIRST_VIEW_WAIT: Span = Span::seconds(3);

impl RouterState {
    /// Returns the next step that is due.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.next_completion(now)
            .or_else(|| self.next_prepare(now))
            .or_else(|| self.next_view(now))
            .or_else(|| self.next_hold())
            .or_else(|| self.next_release(now))
    }

    /// Returns the step that completes a view or a prepared table, once all leased hosts have it.
    fn next_completion(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        if !self.plan.confirmed
            && !self.plan.view.hosts.is_empty()
            && planner.all_applied(now, self.plan.view.stamp)
        {
            return Some(Step::ConfirmView);
        }
        let mut prepared =
            self.plan.services.iter().filter(|(_, layout)| layout.prepared.is_some());
        let ready = prepared.find(|(service, _)| {
            let stamp = planner.prepared.get(*service).map_or(planner.first_stamp, |at| at.0);
            planner.all_applied(now, stamp)
        });
        ready.map(|(&service, _)| Step::Switch { service })
    }

    fn next_prepare(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        if self.plan.view.hosts.is_empty() {
            return None;
        }
        for (&service, desired) in &self.desired_tables {
            let Some(settings) = self.service_settings.get(&service) else { continue };
            let Some(layout) = self.plan.services.get(&service) else {
                if desired.entries.is_empty() {
                    continue;
                }
                let (bits, table) = (settings.bits, desired.clone());
                return Some(Step::Prepare { service, bits, table });
            };
            if layout.prepared.is_some() || layout.table == *desired {
                continue;
            }
            let last_change = planner.prepared.get(&service).map(|at| at.1);
            let early = last_change.is_some_and(|last| now.since(last) < WEIGHT_CHANGE_INTERVAL);
            if early && !withdraws_target(&layout.table, desired) {
                continue;
            }
            return Some(Step::Prepare { service, bits: layout.bits, table: desired.clone() });
        }
        None
    }

    /// Returns the next view: lost hosts are removed at once, whereas joining and leaving hosts
    /// wait until the current view is confirmed and its transfers are finished.
    fn next_view(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        let view = &self.plan.view;
        let mut hosts: Vec<_> =
            view.hosts.iter().copied().zip(view.incarnations.iter().copied()).collect();
        let mut leaving = view.leaving.clone();
        hosts.retain(|&(host, incarnation)| !self.is_lost(now, planner, host, incarnation));
        leaving.retain(|&host| !self.is_lost_leaver(now, planner, host));
        if hosts.len() < view.hosts.len() || leaving.len() < view.leaving.len() {
            return Some(Step::View { hosts, leaving });
        }
        if !self.plan.confirmed && !view.hosts.is_empty() || !self.handovers_done(planner) {
            return None;
        }
        if view.hosts.is_empty() && now.since(planner.started_at) < FIRST_VIEW_WAIT {
            let mut peers = planner.peers.values().filter(|peer| peer.answered);
            if peers.any(|peer| peer.stamp != self.plan.stamp) {
                return None;
            }
        }
        let incarnation = self.follower.incarnation;
        if !self.follower.leaving && view.incarnation(self.own).is_none() {
            hosts.push((self.own, incarnation));
        }
        let joining = planner.peers.iter().filter(|(host, peer)| {
            peer.granted_until > now
                && peer.stamp == self.plan.stamp
                && !peer.leaving
                && !view.hosts.contains(host)
        });
        hosts.extend(joining.map(|(&host, peer)| (host, peer.incarnation)));
        let is_leaving = |host: HostId| match host == self.own {
            true => self.follower.leaving,
            false => planner.peers.get(&host).is_some_and(|peer| peer.leaving),
        };
        let leavers: Vec<_> =
            hosts.iter().map(|&(host, _)| host).filter(|&h| is_leaving(h)).collect();
        if leavers.len() < hosts.len() {
            hosts.retain(|(host, _)| !leavers.contains(host));
            leaving = leavers;
        }
        let unchanged = hosts.iter().map(|&(host, _)| host).eq(view.hosts.iter().copied());
        (!unchanged).then_some(Step::View { hosts, leaving })
    }

    fn is_lost(&self, now: Instant, planner: &Planner, host: HostId, incarnation: u32) -> bool {
        if host == self.own {
            return incarnation != self.follower.incarnation;
        }
        let Some(peer) = planner.peers.get(&host) else { return true };
        peer.answered && peer.incarnation != incarnation || peer.is_lost(now)
    }

    fn is_lost_leaver(&self, now: Instant, planner: &Planner, host: HostId) -> bool {
        if host == self.own {
            return !self.follower.leaving;
        }
        let Some(peer) = planner.peers.get(&host) else { return true };
        peer.answered && !peer.leaving || peer.is_lost(now)
    }

    /// Returns whether all transfers due to the view are finished.
    fn handovers_done(&self, planner: &Planner) -> bool {
        let view = &self.plan.view;
        let mut hosts = view.hosts.iter().chain(&view.leaving);
        hosts.all(|&host| match planner.peers.get(&host) {
            _ if host == self.own => self.pending() == 0,
            Some(peer) => peer.answered && peer.stamp >= view.stamp && peer.pending == 0,
            None => false,
        })
    }

    fn next_hold(&mut self) -> Option<Step> {
        let planner = self.planner.as_mut()?;
        for (&service, buckets) in &mut planner.to_hold {
            let Some(layout) = self.plan.services.get(&service) else { continue };
            buckets.retain(|&bucket| {
                !layout.is_held(bucket) && layout.target(layout.choice(bucket)).is_some()
            });
            let held: Vec<_> = buckets.iter().copied().take(MAX_STEP_BUCKETS).collect();
            if !held.is_empty() {
                buckets.clear();
                return Some(Step::Hold { service, buckets: held });
            }
        }
        None
    }

    fn next_release(&mut self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_mut()?;
        for (&service, buckets) in &mut planner.to_release {
            let due = planner.next_release.get(&service).is_none_or(|&at| now >= at);
            let Some(layout) = self.plan.services.get(&service) else { continue };
            buckets.retain(|&bucket| layout.is_held(bucket));
            if !due || buckets.is_empty() || layout.prepared.is_some() {
                continue;
            }
            planner.next_release.insert(service, now + RELEASE_INTERVAL);
            let released: Vec<_> = buckets.iter().copied().take(MAX_STEP_BUCKETS).collect();
            buckets.retain(|bucket| !released.contains(bucket));
            return Some(Step::Release { service, buckets: released });
        }
        None
    }
}

/// Returns whether `desired` stops new flows to a target that gets some under `table`.
fn withdraws_target(table: &Table, desired: &Table) -> bool {
    let accepting = table.entries.iter().filter(|(_, weight)| *weight > 0);
    accepting.map(|&(target, _)| desired.weight(target)).any(|weight| weight.is_none_or(|w| w == 0))
}
