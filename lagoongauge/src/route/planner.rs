//! The planner: the host of a group that holds the group's lease and appends steps to the plan.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::admit::Admit;
use super::follower::{LEASE_MARGIN, SERVING_LEASE};
use super::message::{Action, Event, Heartbeat, HoldReport, Message, Steps};
use super::peer::Peer;
use super::plan::{Stamp, Step};
use super::state::RouterState;
use crate::id::{HostId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// Maximum number of steps in one message.
const MAX_MESSAGE_STEPS: usize = 8;

/// First and longest retransmission interval of steps.
const RESEND_INTERVALS: (Span, Span) = (Span::millis(150), Span::millis(1_200));

/// Time after which an unfinished fetch of the newest plan is abandoned for another host.
const FETCH_TIMEOUT: Span = Span::seconds(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Collecting heartbeats to find the host with the newest plan.
    Gather,
    /// Fetching the plan of this stamp from this host, since this instant.
    Fetch(HostId, Stamp, Instant),
    /// Appending steps.
    Active,
}

/// State of this host as the planner.
#[derive(Debug)]
pub(super) struct Planner {
    pub epoch: u64,
    pub lease_end: Instant,
    pub started_at: Instant,
    next_probe: Instant,
    phase: Phase,
    pub peers: IndexMap<HostId, Peer>,
    /// Stamp of the first step of this epoch.
    pub first_stamp: Stamp,
    /// Stamp and time of the last prepared table of each service.
    pub prepared: IndexMap<ServiceId, (Stamp, Instant)>,
    /// Reported buckets that need no longer be held.
    pub to_release: IndexMap<ServiceId, BTreeSet<u32>>,
    /// Reported buckets that have to be held.
    pub to_hold: IndexMap<ServiceId, BTreeSet<u32>>,
    pub next_release: IndexMap<ServiceId, Instant>,
}

impl Planner {
    /// Builds the planner of an epoch that starts now.
    pub fn new(now: Instant, epoch: u64, lease_end: Instant) -> Self {
        Self {
            epoch,
            lease_end,
            started_at: now,
            next_probe: now,
            phase: Phase::Gather,
            peers: IndexMap::new(),
            first_stamp: Stamp::default(),
            prepared: IndexMap::new(),
            to_release: IndexMap::new(),
            to_hold: IndexMap::new(),
            next_release: IndexMap::new(),
        }
    }

    /// Returns whether this planner has the newest plan and may append steps.
    pub fn active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Returns whether every host that may hold a serving lease has applied the step.
    pub fn all_applied(&self, now: Instant, stamp: Stamp) -> bool {
        let mut leased = self.peers.values().filter(|p| p.granted_until + LEASE_MARGIN > now);
        leased.all(|peer| peer.stamp >= stamp)
    }

    fn peer_entry(&mut self, host: HostId) -> &mut Peer {
        let started_at = self.started_at;
        self.peers.entry(host).or_insert_with(|| Peer {
            // The host may hold a serving lease from the former planner.
            granted_until: started_at + SERVING_LEASE,
            last_heard: started_at,
            backoff: RESEND_INTERVALS.0,
            ..Peer::default()
        })
    }

    /// Records a heartbeat; returns whether it is of this epoch and not outdated.
    fn record_heartbeat(&mut self, now: Instant, host: HostId, heartbeat: &Heartbeat) -> bool {
        let same_epoch = heartbeat.epoch == self.epoch;
        let peer = self.peer_entry(host);
        peer.last_heard = now;
        let same_incarnation = peer.answered && peer.incarnation == heartbeat.incarnation;
        if !same_epoch
            || same_incarnation && (heartbeat.sent, heartbeat.stamp) < (peer.last_sent, peer.stamp)
        {
            return false;
        }
        if peer.stamp != heartbeat.stamp {
            peer.resend_at = Instant::default();
            peer.backoff = RESEND_INTERVALS.0;
        }
        peer.answered = true;
        peer.prior_epoch = heartbeat.prior_epoch;
        peer.stamp = heartbeat.stamp;
        peer.incarnation = heartbeat.incarnation;
        peer.last_sent = heartbeat.sent;
        peer.leaving = heartbeat.leaving || same_incarnation && peer.leaving;
        peer.pending = heartbeat.pending;
        if !heartbeat.counts.is_empty() {
            let counts = heartbeat.counts.iter();
            peer.counts = counts.map(|&(service, i, n)| ((service, i), n)).collect();
        }
        true
    }
}

impl RouterState {
    /// Sets the holder of the group's lease; `lease_end` is valid if this host is the holder.
    pub fn set_lease_holder(
        &mut self,
        now: Instant,
        holder: Option<(HostId, u64)>,
        lease_end: Instant,
    ) {
        let Some((host, epoch)) = holder else {
            self.planner = None;
            self.follower.was_isolated |= self.follower.is_isolated(now);
            return;
        };
        self.follower.holder_seen = now;
        if host != self.own {
            self.planner = None;
            if epoch >= self.follower.epoch {
                self.follower.follow(now, Some(host));
            }
            return;
        }
        if !self.follower.accept_epoch(epoch) {
            self.planner = None;
            return;
        }
        self.follower.follow(now, Some(host));
        match &mut self.planner {
            Some(planner) if planner.epoch == epoch => planner.lease_end = lease_end,
            _ => self.planner = Some(Planner::new(now, epoch, lease_end)),
        }
    }

    /// Handles a heartbeat; grants a lease if the host has applied every step.
    pub fn handle_heartbeat(
        &mut self,
        now: Instant,
        from: HostId,
        heartbeat: &Heartbeat,
    ) -> Vec<Action> {
        let Some(planner) = self.planner.as_mut().filter(|planner| planner.lease_end > now) else {
            return Vec::new();
        };
        let stamp = self.plan.stamp;
        if !planner.record_heartbeat(now, from, heartbeat) {
            let probe = Message::Probe { epoch: planner.epoch };
            return if heartbeat.epoch < planner.epoch {
                vec![Action::Send(from, probe)]
            } else {
                Vec::new()
            };
        }
        if !planner.active() {
            return Vec::new();
        }
        if heartbeat.stamp == stamp {
            let peer = planner.peer_entry(from);
            peer.granted_until = now + SERVING_LEASE;
            peer.backoff = RESEND_INTERVALS.0;
            let (sent, incarnation) = (heartbeat.sent, heartbeat.incarnation);
            let grant = Message::Grant { epoch: planner.epoch, sent, incarnation };
            return vec![Action::Send(from, grant)];
        }
        Vec::new()
    }

    /// Handles a home's report on buckets to release or to hold.
    pub fn handle_hold_report(&mut self, report: &HoldReport) {
        let Some(planner) = self.planner.as_mut() else { return };
        let Some(layout) = self.plan.services.get(&report.service) else { return };
        let valid = report.buckets.iter().copied().filter(|&b| b < 1 << layout.bits);
        if report.hold {
            planner.to_hold.entry(report.service).or_default().extend(valid);
            return;
        }
        let min_stamp =
            planner.prepared.get(&report.service).map_or(planner.first_stamp, |at| at.0);
        if layout.prepared.is_some() || report.stamp < min_stamp || report.stamp > self.plan.stamp {
            return;
        }
        let held = valid.filter(|&bucket| layout.is_held(bucket));
        planner.to_release.entry(report.service).or_default().extend(held);
    }

    /// Handles this host's own report.
    pub fn handle_own_report(&mut self, report: &Message) {
        if let Message::HoldReport(report) = report {
            self.handle_hold_report(report);
        }
    }

    /// Appends the steps that are due and sends hosts the steps that they lack.
    pub fn tick_planner(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        if planner.lease_end <= now {
            self.planner = None;
            return Vec::new();
        }
        let peers = &self.peers;
        planner
            .peers
            .retain(|host, peer| peers.contains(host) || peer.granted_until + LEASE_MARGIN > now);
        for &host in peers {
            planner.peer_entry(host);
        }
        match planner.phase {
            Phase::Gather => self.gather(now, limits),
            Phase::Fetch(_, stamp, fetch_start) => {
                if self.plan.stamp == stamp {
                    return self.activate(now, limits);
                }
                if now.since(fetch_start) > FETCH_TIMEOUT {
                    planner.phase = Phase::Gather;
                }
                Vec::new()
            }
            Phase::Active => {
                self.follower.leased_until = self.follower.leased_until.max(planner.lease_end);
                let mut actions = self.append_due_steps(now, limits);
                actions.extend(self.send_steps(now));
                actions
            }
        }
    }

    /// Returns the number of open flows per target of a service, summed over the hosts of the view.
    pub fn group_counts(&self, service: ServiceId) -> Vec<(TargetId, u32)> {
        let Some(layout) = self.plan.services.get(&service) else { return Vec::new() };
        let mut totals = vec![0u32; layout.targets.len()];
        for (total, count) in
            totals.iter_mut().zip(self.open_counts.get(&service).into_iter().flatten())
        {
            *total += count;
        }
        let planner = self.planner.iter();
        let peers =
            planner.flat_map(|p| &p.peers).filter(|(host, _)| self.plan.view.contains(**host));
        for (&(counted, index), &count) in peers.flat_map(|(_, peer)| &peer.counts) {
            if counted == service && usize::from(index) < totals.len() {
                totals[usize::from(index)] += count;
            }
        }
        let by_target = layout.targets.iter().copied().zip(totals);
        by_target
            .filter(|&(target, count)| count > 0 || layout.table.weight(target).is_some())
            .collect()
    }

    fn gather(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let answers = planner.peers.iter().filter(|(_, peer)| peer.answered);
        let newest =
            answers.max_by_key(|(_, peer)| peer.stamp).map(|(&host, peer)| (host, peer.stamp));
        let timed_out = now >= planner.started_at + SERVING_LEASE + LEASE_MARGIN;
        // The former planner, if no host that answered knows of an epoch between its and this one.
        let former = self.plan.planner.filter(|_| {
            let mut priors = planner.peers.values().filter(|peer| peer.answered);
            self.plan.stamp.epoch >= self.follower.prior_epoch
                && priors
                    .all(|peer| peer.prior_epoch.max(peer.stamp.epoch) <= self.plan.stamp.epoch)
        });
        let unanswered = |(host, peer): (&HostId, &Peer)| !peer.answered && Some(*host) != former;
        if !timed_out && planner.peers.iter().any(unanswered) {
            if now < planner.next_probe {
                return Vec::new();
            }
            planner.next_probe = now + RESEND_INTERVALS.0;
            let unanswered = planner.peers.iter().filter(|(_, peer)| !peer.answered);
            let probe = |host| Action::Send(host, Message::Probe { epoch: planner.epoch });
            return unanswered.map(|(&host, _)| probe(host)).collect();
        }
        // The former planner serves under the group's lease only, which has ended.
        if let Some(peer) = former.and_then(|host| planner.peers.get_mut(&host))
            && !peer.answered
        {
            peer.granted_until = Instant::default();
        }
        match newest {
            Some((host, stamp)) if stamp > self.plan.stamp => {
                planner.phase = Phase::Fetch(host, stamp, now);
                // If the fetch times out, another host is chosen unless this one answers again.
                if let Some(peer) = planner.peers.get_mut(&host) {
                    peer.answered = false;
                }
                Vec::from_iter(self.follower.fetch(now, host, stamp))
            }
            _ => self.activate(now, limits),
        }
    }

    fn activate(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        planner.phase = Phase::Active;
        let epoch = planner.epoch;
        planner.first_stamp = Stamp { epoch, number: self.plan.stamp.number + 1 };
        let mut actions = self.append(now, Step::Epoch(self.own), limits);
        actions.push(Action::Event(Event::PlanningStarted { epoch }));
        actions
    }

    /// Appends a step and applies it to this host.
    fn append(&mut self, now: Instant, step: Step, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let stamp = Stamp { epoch: planner.epoch, number: self.plan.stamp.number + 1 };
        if let Step::Prepare { service, .. } = &step {
            planner.prepared.insert(*service, (stamp, now));
            planner.to_release.shift_remove(service);
        }
        for peer in planner.peers.values_mut() {
            peer.resend_at = now;
            peer.backoff = RESEND_INTERVALS.0;
        }
        self.apply_step(now, stamp, &step, limits)
    }

    fn append_due_steps(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(step) = self.next_step(now) {
            actions.extend(self.append(now, step, limits));
        }
        actions
    }

    /// Sends hosts the steps that they lack, with exponential back-off.
    fn send_steps(&mut self, now: Instant) -> Vec<Action> {
        let stamp = self.plan.stamp;
        let Some(planner) = &self.planner else { return Vec::new() };
        let due = planner
            .peers
            .iter()
            .filter(|(_, peer)| peer.answered && peer.stamp != stamp && now >= peer.resend_at);
        let due: Vec<_> = due.map(|(&host, peer)| (host, peer.stamp)).collect();
        let mut actions = Vec::new();
        for (host, applied) in due {
            let message = match self.steps_after(applied) {
                Some(steps) => Message::Steps(steps),
                None => self.offer_plan(),
            };
            actions.push(Action::Send(host, message));
            if let Some(peer) = self.planner.as_mut().and_then(|p| p.peers.get_mut(&host)) {
                peer.resend_at = now + peer.backoff;
                peer.backoff = Span(peer.backoff.0 * 2).min(RESEND_INTERVALS.1);
            }
        }
        actions
    }

    /// Returns the steps after `stamp`, or `None` if the log no longer contains them.
    fn steps_after(&self, stamp: Stamp) -> Option<Steps> {
        let skip = match stamp == self.log_base {
            true => 0,
            false => self.step_log.iter().position(|(at, _)| *at == stamp)? + 1,
        };
        let steps = self.step_log.iter().skip(skip).take(MAX_MESSAGE_STEPS);
        let steps = steps.map(|(at, step)| (at.epoch, step.clone())).collect();
        Some(Steps { epoch: self.follower.epoch, after: stamp, steps })
    }

    /// Offers a plan that can be fetched and that the logged steps continue.
    fn offer_plan(&mut self) -> Message {
        let epoch = self.planner.as_ref().map_or(0, |planner| planner.epoch);
        let cached = self.cached_stamp();
        let usable =
            cached.filter(|&stamp| stamp.epoch == epoch && self.steps_after(stamp).is_some());
        let stamp = usable.unwrap_or_else(|| self.cache_plan());
        Message::PlanOffer { epoch, stamp }
    }
}
