//! The planner: the one host of a group that adds steps to the plan.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use super::admit::Admit;
use super::core::Core;
use super::follower::{LEASE_MARGIN, SERVE_LEASE};
use super::message::{Action, Event, Heartbeat, HoldReport, Message, Steps};
use super::plan::{Stamp, Step};
use crate::id::{HostId, ServiceId, TargetId};
use crate::time::{Instant, Span};

/// Most steps in one message.
const MAX_STEPS: usize = 8;

/// First and longest time between two sendings of the same steps.
const RESEND: (Span, Span) = (Span::millis(150), Span::millis(1_200));

/// How long a home without a lease may be silent until it counts as lost.
const SILENCE: Span = Span::millis(2_000);

/// How long a home may be without a lease although it is heard.
const STUCK: Span = Span::seconds(10);

/// How long a fetch of the newest plan may take before another host is asked.
const FETCH_LIMIT: Span = Span::seconds(1);

/// What the planner knows of a host.
#[derive(Debug, Default)]
pub(super) struct Peer {
    pub stamp: Stamp,
    pub prior: u64,
    pub life: u32,
    pub sent: Instant,
    pub heard: Instant,
    pub answered: bool,
    pub granted_until: Instant,
    pub leaving: bool,
    pub pending: u32,
    pub resend_at: Instant,
    pub backoff: Span,
    pub counts: IndexMap<(ServiceId, u16), u32>,
}

impl Peer {
    /// Returns whether the host can't act any more and won't soon.
    pub fn is_lost(&self, now: Instant) -> bool {
        let ended = self.granted_until + LEASE_MARGIN;
        now >= ended && (now.since(self.heard) > SILENCE || now.since(ended) > STUCK)
    }
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
    pub since: Instant,
    next_probe: Instant,
    phase: Phase,
    pub peers: IndexMap<HostId, Peer>,
    /// Stamp of the epoch's first step.
    pub first: Stamp,
    pub prepared: IndexMap<ServiceId, (Stamp, Instant)>,
    pub settled: IndexMap<ServiceId, BTreeSet<u32>>,
    pub stray: IndexMap<ServiceId, BTreeSet<u32>>,
    pub next_release: IndexMap<ServiceId, Instant>,
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
            first: Stamp::default(),
            prepared: IndexMap::new(),
            settled: IndexMap::new(),
            stray: IndexMap::new(),
            next_release: IndexMap::new(),
        }
    }

    /// Returns whether steps may be added.
    pub fn active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Returns whether every host that may act has applied the step.
    pub fn all_applied(&self, now: Instant, stamp: Stamp) -> bool {
        let mut acting = self.peers.values().filter(|p| p.granted_until + LEASE_MARGIN > now);
        acting.all(|peer| peer.stamp >= stamp)
    }

    fn peer(&mut self, host: HostId) -> &mut Peer {
        let since = self.since;
        self.peers.entry(host).or_insert_with(|| Peer {
            granted_until: since + SERVE_LEASE,
            heard: since,
            backoff: RESEND.0,
            ..Peer::default()
        })
    }

    /// Takes note of a heartbeat; returns whether it is newer than what is known.
    fn note(&mut self, now: Instant, host: HostId, beat: &Heartbeat) -> bool {
        let current = beat.epoch == self.epoch;
        let peer = self.peer(host);
        peer.heard = now;
        let again = peer.answered && peer.life == beat.life;
        if !current || again && (beat.sent, beat.stamp) < (peer.sent, peer.stamp) {
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
        peer.leaving = beat.leaving || again && peer.leaving;
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
            self.follower.was_alone |= self.follower.alone(now);
            return;
        };
        self.follower.led_at = now;
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
    pub fn hear_beat(&mut self, now: Instant, from: HostId, beat: &Heartbeat) -> Vec<Action> {
        let Some(planner) = self.planner.as_mut().filter(|planner| planner.until > now) else {
            return Vec::new();
        };
        let stamp = self.plan.stamp;
        if !planner.note(now, from, beat) {
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
    pub fn hear_settled(&mut self, settled: &HoldReport) {
        let Some(planner) = self.planner.as_mut() else { return };
        let Some(layout) = self.plan.services.get(&settled.service) else { return };
        let inside = settled.buckets.iter().copied().filter(|&b| b < 1 << layout.bits);
        if settled.stray {
            planner.stray.entry(settled.service).or_default().extend(inside);
            return;
        }
        let floor = planner.prepared.get(&settled.service).map_or(planner.first, |at| at.0);
        if layout.next.is_some() || settled.stamp < floor || settled.stamp > self.plan.stamp {
            return;
        }
        let held = inside.filter(|&bucket| layout.is_held(bucket));
        planner.settled.entry(settled.service).or_default().extend(held);
    }

    /// Hears this host's own report.
    pub fn hear_own(&mut self, report: &Message) {
        if let Message::HoldReport(settled) = report {
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
        let epoch = planner.epoch;
        planner.first = Stamp { epoch, number: self.plan.stamp.number + 1 };
        let mut actions = self.add(now, Step::Epoch(self.own), limits);
        actions.push(Action::Event(Event::PlanningStarted { epoch }));
        actions
    }

    /// Adds a step to the log and applies it here.
    fn add(&mut self, now: Instant, step: Step, limits: &impl Admit) -> Vec<Action> {
        let Some(planner) = &mut self.planner else { return Vec::new() };
        let stamp = Stamp { epoch: planner.epoch, number: self.plan.stamp.number + 1 };
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
            let message = match self.steps_after(at) {
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

    /// Returns the steps after `stamp`, unless they are too far back.
    fn steps_after(&self, stamp: Stamp) -> Option<Steps> {
        let skip = match stamp == self.log_base {
            true => 0,
            false => self.log.iter().position(|(at, _)| *at == stamp)? + 1,
        };
        let steps = self.log.iter().skip(skip).take(MAX_STEPS);
        let steps = steps.map(|(at, step)| (at.epoch, step.clone())).collect();
        Some(Steps { epoch: self.follower.epoch, after: stamp, steps })
    }

    /// Points a host to a plan that it can fetch and then go on from.
    fn behind(&mut self) -> Message {
        let epoch = self.planner.as_ref().map_or(0, |planner| planner.epoch);
        let kept = self.encoded_stamp();
        let usable =
            kept.filter(|&stamp| stamp.epoch == epoch && self.steps_after(stamp).is_some());
        let stamp = usable.unwrap_or_else(|| self.keep_encoded());
        Message::PlanOffer { epoch, stamp }
    }
}
