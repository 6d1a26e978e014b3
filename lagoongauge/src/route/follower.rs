//! A host as the planner's follower: heartbeats, its lease to act, and catching up with the plan.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::admit::Admit;
use super::core::Core;
use super::message::{Action, Heartbeat, HoldReport, Message, PlanChunk, Steps};
use super::plan::{Plan, Stamp, Step};
use super::table::mix;
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// How long a host may act after the heartbeat that was answered.
///
/// A drain is clean after two of them at most: one until a silent host can't act any more, one
/// until a host that missed the switch can't.
pub(super) const SERVE_LEASE: Span = Span::millis(1_400);

/// How much longer the planner waits, as clocks may differ in rate by a twentieth.
pub(super) const LEASE_MARGIN: Span = Span::millis(70);

/// Time between two heartbeats.
const BEAT_INTERVAL: Span = Span::millis(450);

/// Time between two heartbeats when the lease has ended or is about to.
const URGENT_INTERVAL: Span = Span::millis(150);

/// Rest of the lease below which heartbeats are urgent.
const URGENT_REST: Span = Span::millis(600);

/// Time between two heartbeats that carry counts.
const COUNT_INTERVAL: Span = Span::seconds(2);

/// Most counts in one heartbeat.
const MAX_COUNTS: usize = 128;

/// Most buckets in one report.
const MAX_REPORT: usize = 256;

/// Time between two reports on one service.
const REPORT_INTERVAL: Span = Span::seconds(2);

/// How long nobody may hold the group's lease until a host counts as cut off; an ordinary change of
/// the planner takes less.
const CUT_OFF: Span = Span::seconds(6);

/// Bytes of a plan that go into one message.
const PART_BYTES: usize = 900;

/// Pieces of a plan that are sent at once.
const PART_WINDOW: usize = 4;

/// Most pieces of a plan.
const MAX_PARTS: u16 = 1024;

/// How long a host waits for pieces before it asks again.
const FETCH_RETRY: Span = Span::millis(300);

/// Most steps that go with a plan, for hosts that lack fewer.
const HISTORY_STEPS: usize = 16;

/// A plan with the steps that led to it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct History {
    pub plan: Plan,
    pub base: Stamp,
    pub steps: Vec<(Stamp, Step)>,
}

/// Pieces of a plan that is being fetched.
#[derive(Debug)]
struct Assembly {
    from: HostId,
    stamp: Stamp,
    parts: Vec<Vec<u8>>,
    asked: Instant,
}

/// What a host remembers as a follower.
#[derive(Debug)]
pub(super) struct Follower {
    pub life: u32,
    pub epoch: u64,
    pub prior: u64,
    pub planner: Option<HostId>,
    pub leased_until: Instant,
    pub leaving: bool,
    /// When the holder of the group's lease was last known.
    pub led_at: Instant,
    /// Whether this host has decided while cut off and not returned yet.
    pub was_alone: bool,
    /// How often it has told the homes of its flows since, and when it does next.
    pub returns: u8,
    pub next_return: Instant,
    next_beat: Instant,
    next_counts: Instant,
    assembly: Option<Assembly>,
    /// The plan as it was encoded last, for hosts that fetch it.
    encoded: Option<(Stamp, Vec<u8>)>,
    reported: IndexMap<(ServiceId, bool), Instant>,
}

impl Follower {
    /// Builds the follower of a host that has just started; `seed` tells its lives apart.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            life: mix(seed, 1) as u32,
            epoch: 0,
            prior: 0,
            planner: None,
            leased_until: Instant::default(),
            leaving: false,
            led_at: now,
            was_alone: false,
            returns: 0,
            next_return: now,
            next_beat: now,
            next_counts: now,
            assembly: None,
            encoded: None,
            reported: IndexMap::new(),
        }
    }

    /// Hears of a planner's epoch; returns whether its messages count.
    pub fn hear(&mut self, epoch: u64) -> bool {
        if epoch > self.epoch {
            self.prior = self.epoch;
            self.epoch = epoch;
        }
        epoch == self.epoch
    }

    /// Follows another planner, to which a heartbeat goes at once.
    pub fn follow(&mut self, now: Instant, planner: Option<HostId>) {
        if self.planner != planner {
            self.planner = planner;
            self.next_beat = now;
        }
    }

    /// Returns whether this host is cut off from a majority of its group.
    pub fn alone(&self, now: Instant) -> bool {
        now >= self.leased_until && now.since(self.led_at) >= CUT_OFF
    }

    /// Builds a report on buckets that need be held no longer, unless one went out just now.
    pub fn report(
        &mut self,
        now: Instant,
        stamp: Stamp,
        service: ServiceId,
        mut buckets: Vec<u32>,
        stray: bool,
    ) -> Option<Message> {
        if buckets.is_empty() {
            return None;
        }
        let last = self.reported.get(&(service, stray)).copied();
        if last.is_some_and(|last| now.since(last) < REPORT_INTERVAL) {
            return None;
        }
        self.reported.insert((service, stray), now);
        buckets.truncate(MAX_REPORT);
        Some(Message::HoldReport(HoldReport { stamp, service, buckets, stray }))
    }

    /// Begins to fetch a plan.
    pub fn fetch(&mut self, now: Instant, from: HostId, stamp: Stamp) -> Option<Action> {
        let same = self.assembly.as_ref().is_some_and(|a| a.from == from && a.stamp == stamp);
        if same {
            return None;
        }
        self.assembly = Some(Assembly { from, stamp, parts: Vec::new(), asked: now });
        Some(Action::Send(from, Message::FetchPlan { stamp, have: 0 }))
    }

    fn retry_fetch(&mut self, now: Instant) -> Option<Action> {
        let assembly = self.assembly.as_mut()?;
        if now.since(assembly.asked) < FETCH_RETRY {
            return None;
        }
        assembly.asked = now;
        let have = assembly.parts.len() as u16;
        Some(Action::Send(assembly.from, Message::FetchPlan { stamp: assembly.stamp, have }))
    }

    /// Adds a piece; returns the next request, or the whole plan.
    fn part(
        &mut self,
        now: Instant,
        from: HostId,
        part: PlanChunk,
    ) -> (Option<Action>, Option<History>) {
        let Some(assembly) = self.assembly.as_mut() else { return (None, None) };
        let expected = assembly.from == from && assembly.stamp == part.stamp;
        if !expected || part.total > MAX_PARTS || usize::from(part.index) != assembly.parts.len() {
            return (None, None);
        }
        assembly.parts.push(part.bytes);
        let have = assembly.parts.len();
        if have < usize::from(part.total) {
            if have % PART_WINDOW != 0 {
                return (None, None);
            }
            assembly.asked = now;
            let fetch = Message::FetchPlan { stamp: part.stamp, have: have as u16 };
            return (Some(Action::Send(from, fetch)), None);
        }
        let bytes = assembly.parts.concat();
        self.assembly = None;
        let history: Option<History> = postcard::from_bytes(&bytes).ok();
        let sound = |history: &History| history.plan.is_sound() && history.plan.stamp == part.stamp;
        let restored = |history: History| History { plan: history.plan.restored(), ..history };
        (None, history.filter(sound).map(restored))
    }
}

impl Core {
    /// Builds a heartbeat to the planner.
    pub fn beat(&mut self, now: Instant) -> Option<Action> {
        let planner = self.follower.planner.filter(|&planner| planner != self.own)?;
        let urgent = self.follower.leased_until.since(now) < URGENT_REST;
        self.follower.next_beat = now + if urgent { URGENT_INTERVAL } else { BEAT_INTERVAL };
        let mut counts = Vec::new();
        if now >= self.follower.next_counts {
            self.follower.next_counts = now + COUNT_INTERVAL;
            counts = self.own_counts();
        }
        let beat = Heartbeat {
            epoch: self.follower.epoch,
            prior: self.follower.prior,
            stamp: self.plan.stamp,
            sent: now,
            life: self.follower.life,
            leaving: self.follower.leaving,
            pending: self.pending(),
            counts,
        };
        Some(Action::Send(planner, Message::Heartbeat(beat)))
    }

    /// Sends the heartbeat and the requests whose time has come.
    pub fn follow_tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.follower.next_beat {
            actions.extend(self.beat(now));
        }
        actions.extend(self.follower.retry_fetch(now));
        actions
    }

    /// Renews the lease to act.
    pub fn granted(&mut self, epoch: u64, sent: Instant, life: u32) {
        if self.follower.hear(epoch) && life == self.follower.life {
            let until = sent + SERVE_LEASE;
            self.follower.leased_until = self.follower.leased_until.max(until);
        }
    }

    /// Applies the steps that this host lacks and answers with a heartbeat.
    pub fn steps(
        &mut self,
        now: Instant,
        from: HostId,
        steps: &Steps,
        limits: &impl Admit,
    ) -> Vec<Action> {
        if !self.follower.hear(steps.epoch) {
            return Vec::new();
        }
        self.follower.follow(now, Some(from));
        let mut actions = Vec::new();
        let mut stamp = steps.after;
        for (epoch, step) in &steps.steps {
            let next = Stamp { epoch: *epoch, number: stamp.number.saturating_add(1) };
            if stamp == self.plan.stamp && self.plan.allows(step) {
                actions.extend(self.apply_step(now, next, step, limits));
            }
            stamp = next;
        }
        actions.extend(self.beat(now));
        actions
    }

    /// Sends pieces of this host's plan.
    pub fn parts(&mut self, to: HostId, stamp: Stamp, have: u16) -> Vec<Action> {
        let cached = self.follower.encoded.as_ref().is_some_and(|(cached, _)| *cached == stamp);
        if !cached && self.plan.stamp == stamp {
            self.keep_encoded();
        }
        let Some((cached, bytes)) = &self.follower.encoded else { return Vec::new() };
        if *cached != stamp {
            return Vec::new();
        }
        let total = bytes.len().div_ceil(PART_BYTES) as u16;
        let epoch = self.follower.epoch;
        let parts = bytes.chunks(PART_BYTES).enumerate().skip(usize::from(have));
        let messages = parts.take(PART_WINDOW).map(|(index, bytes)| {
            let bytes = bytes.to_vec();
            Message::PlanChunk(PlanChunk { epoch, stamp, index: index as u16, total, bytes })
        });
        messages.map(|message| Action::Send(to, message)).collect()
    }

    /// Makes sure that the plan as it is now can be fetched; returns its stamp.
    pub fn keep_encoded(&mut self) -> Stamp {
        let stamp = self.plan.stamp;
        if self.follower.encoded.as_ref().is_none_or(|(cached, _)| *cached != stamp) {
            let skip = self.log.len().saturating_sub(HISTORY_STEPS);
            let base = match skip {
                0 => self.log_base,
                _ => self.log[skip - 1].0,
            };
            let steps = self.log.iter().skip(skip).cloned().collect();
            let history = History { plan: self.plan.clone(), base, steps };
            let bytes = postcard::to_stdvec(&history).unwrap_or_default();
            self.follower.encoded = Some((stamp, bytes));
        }
        stamp
    }

    /// Returns the stamp of the plan that can be fetched.
    pub fn encoded_stamp(&self) -> Option<Stamp> {
        self.follower.encoded.as_ref().map(|(stamp, _)| *stamp)
    }

    /// Takes a piece of a plan, and the plan once it is whole.
    pub fn part(
        &mut self,
        now: Instant,
        from: HostId,
        part: PlanChunk,
        limits: &impl Admit,
    ) -> Vec<Action> {
        if !self.follower.hear(part.epoch) {
            return Vec::new();
        }
        let (request, history) = self.follower.part(now, from, part);
        let mut actions = Vec::from_iter(request);
        if let Some(history) = history.filter(|history| history.plan.stamp > self.plan.stamp) {
            actions.extend(self.adopt_plan(now, history, limits));
            actions.extend(self.beat(now));
        }
        actions
    }

    fn own_counts(&self) -> Vec<(ServiceId, u16, u32)> {
        let mut list = Vec::new();
        for (&service, counts) in &self.counts {
            let open = (0..).zip(counts).filter(|&(_, &count)| count > 0);
            list.extend(open.map(|(index, &count)| (service, index, count)));
        }
        list.truncate(MAX_COUNTS);
        list
    }
}
