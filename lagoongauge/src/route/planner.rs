//! The planner: the one host of a group that adds steps to the plan.

use std::collections::{BTreeSet, VecDeque};

use indexmap::IndexMap;

use super::admit::Admit;
use super::core::Core;
use super::follower::{LEASE_MARGIN, SERVE_LEASE};
use super::message::{Action, Beat, Event, Message, Settled, Steps};
use super::plan::{Stamp, Step};
use super::table::Table;
use crate::id::{HostId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// Most steps kept for hosts that have missed them.
const LOG_STEPS: usize = 128;

/// Most steps in one message.
const MAX_STEPS: usize = 8;

/// First and longest time between two sendings of the same steps.
const RESEND: (Span, Span) = (Span::millis(150), Span::millis(1_200));

/// Time between two changes of one service's weights; drains don't wait.
const WEIGHT_INTERVAL: Span = Span::seconds(1);

/// Time between two releases of one service's buckets.
const RELEASE_INTERVAL: Span = Span::seconds(2);

/// Most buckets in one release.
const MAX_RELEASE: usize = 256;

/// How long after the end of its lease a home counts as lost.
const LOST_GRACE: Span = Span::millis(300);

/// How long a group's first view may wait for hosts that have answered.
const FIRST_VIEW_WAIT: Span = Span::seconds(3);

/// How long a fetch of the newest plan may take before another host is asked.
const FETCH_LIMIT: Span = Span::seconds(1);

/// What the planner knows of a host.
#[derive(Debug, Default)]
pub(super) struct Peer {
    stamp: Stamp,
    prior: u64,
    life: u32,
    sent: Instant,
    answered: bool,
    granted_until: Instant,
    leaving: bool,
    pending: u32,
    resend_at: Instant,
    backoff: Span,
    pub counts: IndexMap<(ServiceId, u16), u32>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Hosts are asked for the newest plan.
    Gather,
    /// The newest plan is fetched from this host.
    Fetch(HostId, Stamp, Instant),
    /// Steps are added.
    Active,
}

/// State of a planner.
#[derive(Debug)]
pub(super) struct Planner {
    pub epoch: u64,
    pub until: Instant,
    since: Instant,
    next_probe: Instant,
    phase: Phase,
    pub peers: IndexMap<HostId, Peer>,
    base: Stamp,
    log: VecDeque<(Stamp, Step)>,
    prepared: IndexMap<ServiceId, (Stamp, Instant)>,
    settled: IndexMap<ServiceId, BTreeSet<u32>>,
    next_release: IndexMap<ServiceId, Instant>,
}

impl Planner {
    /// Builds the planner of an epoch that begins now.
    pub fn new(now: Instant, epoch: u64, until: Instant) -> Self {
        Self {
            epoch,
            until,
            since: now,
            next_probe: now,
            phase: Phase::Gather,
            peers: IndexMap::new(),
            base: Stamp::default(),
            log: VecDeque::new(),
            prepared: IndexMap::new(),
            settled: IndexMap::new(),
            next_release: IndexMap::new(),
        }
    }

    /// Returns whether steps may be added.
    pub fn active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Returns whether every host that may act has applied the step.
    fn all_applied(&self, now: Instant, stamp: Stamp) -> bool {
        let mut acting = self.peers.values().filter(|p| p.granted_until + LEASE_MARGIN > now);
        acting.all(|peer| peer.stamp >= stamp)
    }

    /// Returns the steps after `stamp`, unless they are too far back.
    fn steps_after(&self, stamp: Stamp) -> Option<Steps> {
        let skip = match stamp == self.base {
            true => 0,
            false => self.log.iter().position(|(at, _)| *at == stamp)? + 1,
        };
        let steps =
            self.log.iter().skip(skip).take(MAX_STEPS).map(|(at, step)| (at.epoch, step.clone()));
        Some(Steps { epoch: self.epoch, after: stamp, steps: steps.collect() })
    }

    fn peer(&mut self, host: HostId) -> &mut Peer {
        let fallback = self.since + SERVE_LEASE;
        self.peers.entry(host).or_insert_with(|| Peer {
            granted_until: fallback,
            backoff: RESEND.0,
            ..Peer::default()
        })
    }

    /// Takes note of a heartbeat; returns whether it is newer than what is known.
    fn note(&mut self, host: HostId, beat: &Beat) -> bool {
        let current = beat.epoch == self.epoch;
        let peer = self.peer(host);
        if !current || (peer.answered && peer.life == beat.life && beat.sent < peer.sent) {
            return false;
        }
        if peer.stamp != beat.stamp {
            peer.resend_at = Instant::default();
            peer.backoff = RESEND.0;
        }
        peer.answered = true;
        peer.prior = beat.prior;
        peer.stamp = beat.stamp;
        peer.life = beat.life;
        peer.sent = beat.sent;
        peer.leaving = beat.leaving;
        peer.pending = beat.pending;
        if !beat.counts.is_empty() {
            let counts = beat.counts.iter();
            peer.counts = counts.map(|&(service, i, n)| ((service, i), n)).collect();
        }
        true
    }
}

impl Core {
    /// Takes in who holds the group's lease; `until` is its end where this host holds it.
    pub fn elect(&mut self, now: Instant, holder: Option<(HostId, u64)>, until: Instant) {
        let Some((host, epoch)) = holder else {
            self.planner = None;
            return;
        };
        if host != self.own {
            self.planner = None;
            if epoch >= self.follower.epoch {
                self.follower.follow(now, Some(host));
            }
            return;
        }
        if !self.follower.hear(epoch) {
            self.planner = None;
            return;
        }
        self.follower.follow(now, Some(host));
        match &mut self.planner {
            Some(planner) if planner.epoch == epoch => planner.until = until,
            _ => self.planner = Some(Planner::new(now, epoch, until)),
        }
    }

    /// Hears a host's heartbeat.
    pub fn hear_beat(&mut self, now: Instant, from: HostId, beat: &Beat) -> Vec<Action> {
        let Some(planner) = self.planner.as_mut().filter(|planner| planner.until > now) else {
            return Vec::new();
        };
        let stamp = self.plan.stamp;
        if !planner.note(from, beat) {
            let probe = Message::Probe { epoch: planner.epoch };
            return if beat.epoch < planner.epoch {
                vec![Action::Send(from, probe)]
            } else {
                Vec::new()
            };
        }
        if !planner.active() {
            return Vec::new();
        }
        if beat.stamp == stamp {
            let peer = planner.peer(from);
            peer.granted_until = now + SERVE_LEASE;
            peer.backoff = RESEND.0;
            let (sent, life) = (beat.sent, beat.life);
            let grant = Message::Grant { epoch: planner.epoch, sent, life };
            return vec![Action::Send(from, grant)];
        }
        Vec::new()
    }

    /// Hears of buckets that need be held no longer.
    pub fn hear_settled(&mut self, settled: &Settled) {
        let Some(planner) = self.planner.as_mut() else { return };
        let Some(layout) = self.plan.services.get(&settled.service) else { return };
        let floor = planner.prepared.get(&settled.service).map_or(planner.base, |at| at.0);
        if layout.next.is_some() || settled.stamp < floor || settled.stamp > self.plan.stamp {
            return;
        }
        let held = settled.buckets.iter().copied();
        let held = held.filter(|&bucket| bucket < 1 << layout.bits && layout.is_held(bucket));
        planner.settled.entry(settled.service).or_default().extend(held);
    }

    /// Hears this host's own report.
    pub fn hear_own(&mut self, report: &Message) {
        if let Message::Settled(settled) = report {
            self.hear_settled(settled);
        }
    }

    /// Adds the steps whose time has come and sends hosts what they lack.
    pub fn plan_tick(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        if planner.until <= now {
            self.planner = None;
            return Vec::new();
        }
        let peers = &self.peers;
        planner
            .peers
            .retain(|host, peer| peers.contains(host) || peer.granted_until + LEASE_MARGIN > now);
        for &host in peers {
            planner.peer(host);
        }
        match planner.phase {
            Phase::Gather => self.gather(now, limits),
            Phase::Fetch(_, stamp, since) => {
                if self.plan.stamp == stamp {
                    return self.activate(now, limits);
                }
                if now.since(since) > FETCH_LIMIT {
                    planner.phase = Phase::Gather;
                }
                Vec::new()
            }
            Phase::Active => {
                self.follower.leased_until = self.follower.leased_until.max(planner.until);
                let mut actions = self.add_steps(now, limits);
                actions.extend(self.push(now));
                actions
            }
        }
    }

    /// Returns the open flows of a service by target, as the hosts of the view counted them.
    pub fn group_counts(&self, service: ServiceId) -> Vec<(TargetId, u32)> {
        let Some(layout) = self.plan.services.get(&service) else { return Vec::new() };
        let mut totals = vec![0u32; layout.names.len()];
        for (total, count) in totals.iter_mut().zip(self.counts.get(&service).into_iter().flatten())
        {
            *total += count;
        }
        let planner = self.planner.iter();
        let peers = planner.flat_map(|p| &p.peers).filter(|(host, _)| self.plan.view.knows(**host));
        for (&(of, index), &count) in peers.flat_map(|(_, peer)| &peer.counts) {
            if of == service && usize::from(index) < totals.len() {
                totals[usize::from(index)] += count;
            }
        }
        let named = layout.names.iter().copied().zip(totals);
        named.filter(|&(name, count)| count > 0 || layout.table.weight(name).is_some()).collect()
    }

    fn gather(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let answers = planner.peers.iter().filter(|(_, peer)| peer.answered);
        let best =
            answers.max_by_key(|(_, peer)| peer.stamp).map(|(&host, peer)| (host, peer.stamp));
        let over = now >= planner.since + SERVE_LEASE + LEASE_MARGIN;
        let former = self.plan.planner.filter(|_| {
            let mut priors = planner.peers.values().filter(|peer| peer.answered);
            self.plan.stamp.epoch >= self.follower.prior
                && priors.all(|peer| peer.prior.max(peer.stamp.epoch) <= self.plan.stamp.epoch)
        });
        let silent = |(host, peer): (&HostId, &Peer)| !peer.answered && Some(*host) != former;
        if !over && planner.peers.iter().any(silent) {
            if now < planner.next_probe {
                return Vec::new();
            }
            planner.next_probe = now + RESEND.0;
            let silent = planner.peers.iter().filter(|(_, peer)| !peer.answered);
            let probe = |host| Action::Send(host, Message::Probe { epoch: planner.epoch });
            return silent.map(|(&host, _)| probe(host)).collect();
        }
        // The former planner acts under its planning lease alone, which has ended.
        if let Some(peer) = former.and_then(|host| planner.peers.get_mut(&host))
            && !peer.answered
        {
            peer.granted_until = Instant::default();
        }
        match best {
            Some((host, stamp)) if stamp > self.plan.stamp => {
                planner.phase = Phase::Fetch(host, stamp, now);
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
        planner.base = self.plan.stamp;
        let epoch = planner.epoch;
        let mut actions = self.add(now, Step::Epoch(self.own), limits);
        actions.push(Action::Event(Event::Planning { epoch }));
        actions
    }

    /// Adds a step to the log and applies it here.
    fn add(&mut self, now: Instant, step: Step, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let stamp = Stamp { epoch: planner.epoch, number: self.plan.stamp.number + 1 };
        planner.log.push_back((stamp, step.clone()));
        if planner.log.len() > LOG_STEPS
            && let Some((first, _)) = planner.log.pop_front()
        {
            planner.base = first;
        }
        if let Step::Prepare { service, .. } = &step {
            planner.prepared.insert(*service, (stamp, now));
            planner.settled.shift_remove(service);
        }
        for peer in planner.peers.values_mut() {
            peer.resend_at = now;
            peer.backoff = RESEND.0;
        }
        self.apply_step(now, stamp, &step, limits)
    }

    fn add_steps(&mut self, now: Instant, limits: &impl Admit) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(step) = self.next_step(now) {
            actions.extend(self.add(now, step, limits));
        }
        actions
    }

    fn next_step(&mut self, now: Instant) -> Option<Step> {
        self.next_switch(now)
            .or_else(|| self.next_prepare(now))
            .or_else(|| self.next_view(now))
            .or_else(|| self.next_release(now))
    }

    fn next_switch(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        if !self.plan.settled
            && !self.plan.view.hosts.is_empty()
            && planner.all_applied(now, self.plan.view.stamp)
        {
            return Some(Step::Settle);
        }
        let mut prepared = self.plan.services.iter().filter(|(_, layout)| layout.next.is_some());
        let ready = prepared.find(|(service, _)| {
            let stamp = planner.prepared.get(*service).map_or_else(|| planner.first(), |at| at.0);
            planner.all_applied(now, stamp)
        });
        ready.map(|(&service, _)| Step::Switch { service })
    }

    fn next_prepare(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        if self.plan.view.hosts.is_empty() {
            return None;
        }
        for (&service, wanted) in &self.wanted {
            let Some(served) = self.served.get(&service) else { continue };
            let Some(layout) = self.plan.services.get(&service) else {
                if wanted.entries.is_empty() {
                    continue;
                }
                let (bits, table) = (served.bits, wanted.clone());
                return Some(Step::Prepare { service, bits, table });
            };
            if layout.next.is_some() || layout.table == *wanted {
                continue;
            }
            let last = planner.prepared.get(&service).map(|at| at.1);
            let early = last.is_some_and(|last| now.since(last) < WEIGHT_INTERVAL);
            if early && !withdraws(&layout.table, wanted) {
                continue;
            }
            return Some(Step::Prepare { service, bits: layout.bits, table: wanted.clone() });
        }
        None
    }

    fn next_view(&self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_ref()?;
        let view = &self.plan.view;
        let mut hosts: Vec<_> =
            view.hosts.iter().copied().zip(view.lives.iter().copied()).collect();
        let mut leaving = view.leaving.clone();
        hosts.retain(|&(host, life)| !self.is_lost(now, planner, host, life));
        leaving.retain(|&host| !self.is_lost_leaver(now, planner, host));
        if hosts.len() < view.hosts.len() || leaving.len() < view.leaving.len() {
            return Some(Step::View { hosts, leaving });
        }
        if !self.plan.settled && !view.hosts.is_empty() || !self.handed_over(planner) {
            return None;
        }
        if view.hosts.is_empty() && now.since(planner.since) < FIRST_VIEW_WAIT {
            let mut peers = planner.peers.values().filter(|peer| peer.answered);
            if peers.any(|peer| peer.stamp != self.plan.stamp) {
                return None;
            }
        }
        let life = self.follower.life;
        if !self.follower.leaving && view.life(self.own).is_none() {
            hosts.push((self.own, life));
        }
        let joining = planner.peers.iter().filter(|(host, peer)| {
            peer.granted_until > now
                && peer.stamp == self.plan.stamp
                && !peer.leaving
                && !view.hosts.contains(host)
        });
        hosts.extend(joining.map(|(&host, peer)| (host, peer.life)));
        let goes = |host: HostId| match host == self.own {
            true => self.follower.leaving,
            false => planner.peers.get(&host).is_some_and(|peer| peer.leaving),
        };
        let leavers: Vec<_> = hosts.iter().map(|&(host, _)| host).filter(|&h| goes(h)).collect();
        if leavers.len() < hosts.len() {
            hosts.retain(|(host, _)| !leavers.contains(host));
            leaving = leavers;
        }
        let same = hosts.iter().map(|&(host, _)| host).eq(view.hosts.iter().copied());
        (!same).then_some(Step::View { hosts, leaving })
    }

    fn is_lost(&self, now: Instant, planner: &Planner, host: HostId, life: u32) -> bool {
        if host == self.own {
            return life != self.follower.life;
        }
        let Some(peer) = planner.peers.get(&host) else { return true };
        let reborn = peer.answered && peer.life != life;
        reborn || now >= peer.granted_until + LEASE_MARGIN + LOST_GRACE
    }

    fn is_lost_leaver(&self, now: Instant, planner: &Planner, host: HostId) -> bool {
        if host == self.own {
            return !self.follower.leaving;
        }
        let Some(peer) = planner.peers.get(&host) else { return true };
        let reborn = peer.answered && !peer.leaving;
        reborn || now >= peer.granted_until + LEASE_MARGIN + LOST_GRACE
    }

    /// Returns whether all handovers that the view asked for are done.
    fn handed_over(&self, planner: &Planner) -> bool {
        let view = &self.plan.view;
        let mut known = view.hosts.iter().chain(&view.leaving);
        known.all(|&host| match planner.peers.get(&host) {
            _ if host == self.own => self.pending() == 0,
            Some(peer) => peer.answered && peer.stamp >= view.stamp && peer.pending == 0,
            None => false,
        })
    }

    fn next_release(&mut self, now: Instant) -> Option<Step> {
        let planner = self.planner.as_mut()?;
        for (&service, buckets) in &mut planner.settled {
            let due = planner.next_release.get(&service).is_none_or(|&at| now >= at);
            let Some(layout) = self.plan.services.get(&service) else { continue };
            buckets.retain(|&bucket| layout.is_held(bucket));
            if !due || buckets.is_empty() || layout.next.is_some() {
                continue;
            }
            planner.next_release.insert(service, now + RELEASE_INTERVAL);
            let released: Vec<_> = buckets.iter().copied().take(MAX_RELEASE).collect();
            buckets.retain(|bucket| !released.contains(bucket));
            return Some(Step::Release { service, buckets: released });
        }
        None
    }

    /// Sends the steps that hosts lack, again and again with growing pauses.
    fn push(&mut self, now: Instant) -> Vec<Action> {
        let stamp = self.plan.stamp;
        let Some(planner) = &self.planner else { return Vec::new() };
        let due = planner
            .peers
            .iter()
            .filter(|(_, peer)| peer.answered && peer.stamp != stamp && now >= peer.resend_at);
        let due: Vec<_> = due.map(|(&host, peer)| (host, peer.stamp)).collect();
        let mut actions = Vec::new();
        for (host, at) in due {
            let Some(planner) = &self.planner else { break };
            let message = match planner.steps_after(at) {
                Some(steps) => Message::Steps(steps),
                None => self.behind(),
            };
            actions.push(Action::Send(host, message));
            if let Some(peer) = self.planner.as_mut().and_then(|p| p.peers.get_mut(&host)) {
                peer.resend_at = now + peer.backoff;
                peer.backoff = Span(peer.backoff.0 * 2).min(RESEND.1);
            }
        }
        actions
    }

    /// Points a host to a plan that it can fetch and then go on from.
    fn behind(&mut self) -> Message {
        let epoch = self.planner.as_ref().map_or(0, |planner| planner.epoch);
        let kept = self.encoded_stamp();
        let usable = kept.filter(|&stamp| {
            self.planner.as_ref().is_some_and(|planner| planner.steps_after(stamp).is_some())
        });
        let stamp = usable.unwrap_or_else(|| self.keep_encoded());
        Message::Behind { epoch, stamp }
    }
}

impl Planner {
    /// Returns the stamp of the epoch's first step.
    fn first(&self) -> Stamp {
        self.log.front().map_or(self.base, |(stamp, _)| *stamp)
    }
}

/// Returns whether a wanted table takes new flows away from a target.
fn withdraws(table: &Table, wanted: &Table) -> bool {
    let taking = table.entries.iter().filter(|(_, weight)| *weight > 0);
    taking.map(|&(target, _)| wanted.weight(target)).any(|weight| weight.is_none_or(|w| w == 0))
}
