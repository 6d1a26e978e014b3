//! A host as the planner's follower: heartbeats, its lease to act, and catching up with the plan.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::admit::Admit;
use super::message::{Action, Heartbeat, HoldReport, Message, PlanChunk, Steps};
use super::plan::{Plan, Stamp, Step};
use super::state::RouterState;
use super::table::mix;
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// How long a host may act after the heartbeat that was answered.
///
/// A drain is clean after two of them at most: one until a silent host can't act any more, one
/// until a host that missed the switch can't.
pub(super) const SERVING_LEASE: Span = Span::millis(1_400);

/// How much longer the planner waits, as clocks may differ in rate by a twentieth.
pub(super) const LEASE_MARGIN: Span = Span::millis(70);

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Span = Span::millis(450);

/// Time between two heartbeats when the lease has ended or is about to.
const URGENT_HEARTBEAT_INTERVAL: Span = Span::millis(150);

/// Rest of the lease below which heartbeats are urgent.
const URGENT_LEASE_REST: Span = Span::millis(600);

/// Time between two heartbeats that carry counts.
const COUNT_INTERVAL: Span = Span::seconds(2);

/// Most counts in one heartbeat.
const MAX_COUNTS: usize = 128;

/// Most buckets in one report.
const MAX_REPORT_BUCKETS: usize = 256;

/// Time between two reports on one service.
const REPORT_INTERVAL: Span = Span::seconds(2);

/// How long nobody may hold the group's lease until a host counts as cut off; an ordinary change of
/// the planner takes less.
const ISOLATION_DELAY: Span = Span::seconds(6);

/// Bytes of a plan that go into one message.
const CHUNK_BYTES: usize = 900;

/// Pieces of a plan that are sent at once.
const CHUNK_WINDOW: usize = 4;

/// Most pieces of a plan.
const MAX_CHUNKS: u16 = 1024;

/// How long a host waits for pieces before it asks again.
const FETCH_RETRY_INTERVAL: Span = Span::millis(300);

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
struct PlanFetch {
    from: HostId,
    stamp: Stamp,
    chunks: Vec<Vec<u8>>,
    requested_at: Instant,
}

/// What a host remembers as a follower.
#[derive(Debug)]
pub(super) struct Follower {
    pub incarnation: u32,
    pub epoch: u64,
    pub prior_epoch: u64,
    pub planner: Option<HostId>,
    pub leased_until: Instant,
    pub leaving: bool,
    /// When the holder of the group's lease was last known.
    pub holder_seen: Instant,
    /// Whether this host has decided while cut off and not returned yet.
    pub was_isolated: bool,
    /// How often it has told the homes of its flows since, and when it does next.
    pub resync_rounds: u8,
    pub next_resync: Instant,
    next_heartbeat: Instant,
    next_counts: Instant,
    plan_fetch: Option<PlanFetch>,
    /// The plan as it was encoded last, for hosts that fetch it.
    encoded_plan: Option<(Stamp, Vec<u8>)>,
    last_reports: IndexMap<(ServiceId, bool), Instant>,
}

impl Follower {
    /// Builds the follower of a host that has just started; `seed` tells its lives apart.
    pub fn new(seed: u64, now: Instant) -> Self {
        Self {
            incarnation: mix(seed, 1) as u32,
            epoch: 0,
            prior_epoch: 0,
            planner: None,
            leased_until: Instant::default(),
            leaving: false,
            holder_seen: now,
            was_isolated: false,
            resync_rounds: 0,
            next_resync: now,
            next_heartbeat: now,
            next_counts: now,
            plan_fetch: None,
            encoded_plan: None,
            last_reports: IndexMap::new(),
        }
    }

    /// Hears of a planner's epoch; returns whether its messages count.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch > self.epoch {
            self.prior_epoch = self.epoch;
            self.epoch = epoch;
        }
        epoch == self.epoch
    }

    /// Follows another planner, to which a heartbeat goes at once.
    pub fn follow(&mut self, now: Instant, planner: Option<HostId>) {
        if self.planner != planner {
            self.planner = planner;
            self.next_heartbeat = now;
        }
    }

    /// Returns whether this host is cut off from a majority of its group.
    pub fn is_isolated(&self, now: Instant) -> bool {
        now >= self.leased_until && now.since(self.holder_seen) >= ISOLATION_DELAY
    }

    /// Builds a report on buckets that need be held no longer, unless one went out just now.
    pub fn report(
        &mut self,
        now: Instant,
        stamp: Stamp,
        service: ServiceId,
        mut buckets: Vec<u32>,
        hold: bool,
    ) -> Option<Message> {
        if buckets.is_empty() {
            return None;
        }
        let last = self.last_reports.get(&(service, hold)).copied();
        if last.is_some_and(|last| now.since(last) < REPORT_INTERVAL) {
            return None;
        }
        self.last_reports.insert((service, hold), now);
        buckets.truncate(MAX_REPORT_BUCKETS);
        Some(Message::HoldReport(HoldReport { stamp, service, buckets, hold }))
    }

    /// Begins to fetch a plan.
    pub fn fetch(&mut self, now: Instant, from: HostId, stamp: Stamp) -> Option<Action> {
        let already_fetching =
            self.plan_fetch.as_ref().is_some_and(|a| a.from == from && a.stamp == stamp);
        if already_fetching {
            return None;
        }
        self.plan_fetch = Some(PlanFetch { from, stamp, chunks: Vec::new(), requested_at: now });
        Some(Action::Send(from, Message::FetchPlan { stamp, received: 0 }))
    }

    fn retry_fetch(&mut self, now: Instant) -> Option<Action> {
        let fetch = self.plan_fetch.as_mut()?;
        if now.since(fetch.requested_at) < FETCH_RETRY_INTERVAL {
            return None;
        }
        fetch.requested_at = now;
        let received = fetch.chunks.len() as u16;
        Some(Action::Send(fetch.from, Message::FetchPlan { stamp: fetch.stamp, received }))
    }

    /// Adds a piece; returns the next request, or the whole plan.
    fn add_chunk(
        &mut self,
        now: Instant,
        from: HostId,
        chunk: PlanChunk,
    ) -> (Option<Action>, Option<History>) {
        let Some(fetch) = self.plan_fetch.as_mut() else { return (None, None) };
        let expected = fetch.from == from && fetch.stamp == chunk.stamp;
        if !expected || chunk.total > MAX_CHUNKS || usize::from(chunk.index) != fetch.chunks.len() {
            return (None, None);
        }
        fetch.chunks.push(chunk.bytes);
        let received = fetch.chunks.len();
        if received < usize::from(chunk.total) {
            if received % CHUNK_WINDOW != 0 {
                return (None, None);
            }
            fetch.requested_at = now;
            let request = Message::FetchPlan { stamp: chunk.stamp, received: received as u16 };
            return (Some(Action::Send(from, request)), None);
        }
        let bytes = fetch.chunks.concat();
        self.plan_fetch = None;
        let history: Option<History> = postcard::from_bytes(&bytes).ok();
        let sound =
            |history: &History| history.plan.is_valid() && history.plan.stamp == chunk.stamp;
        let restored = |history: History| History { plan: history.plan.restored(), ..history };
        (None, history.filter(sound).map(restored))
    }
}

impl RouterState {
    /// Builds a heartbeat to the planner.
    pub fn build_heartbeat(&mut self, now: Instant) -> Option<Action> {
        let planner = self.follower.planner.filter(|&planner| planner != self.own)?;
        let urgent = self.follower.leased_until.since(now) < URGENT_LEASE_REST;
        self.follower.next_heartbeat =
            now + if urgent { URGENT_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        let mut counts = Vec::new();
        if now >= self.follower.next_counts {
            self.follower.next_counts = now + COUNT_INTERVAL;
            counts = self.own_counts();
        }
        let heartbeat = Heartbeat {
            epoch: self.follower.epoch,
            prior_epoch: self.follower.prior_epoch,
            stamp: self.plan.stamp,
            sent: now,
            incarnation: self.follower.incarnation,
            leaving: self.follower.leaving,
            pending: self.pending(),
            counts,
        };
        Some(Action::Send(planner, Message::Heartbeat(heartbeat)))
    }

    /// Sends the heartbeat and the requests whose time has come.
    pub fn tick_follower(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.follower.next_heartbeat {
            actions.extend(self.build_heartbeat(now));
        }
        actions.extend(self.follower.retry_fetch(now));
        actions
    }

    /// Renews the lease to act.
    pub fn handle_grant(&mut self, epoch: u64, sent: Instant, incarnation: u32) {
        if self.follower.accept_epoch(epoch) && incarnation == self.follower.incarnation {
            let until = sent + SERVING_LEASE;
            self.follower.leased_until = self.follower.leased_until.max(until);
        }
    }

    /// Applies the steps that this host lacks and answers with a heartbeat.
    pub fn handle_steps(
        &mut self,
        now: Instant,
        from: HostId,
        steps: &Steps,
        limits: &impl Admit,
    ) -> Vec<Action> {
        if !self.follower.accept_epoch(steps.epoch) {
            return Vec::new();
        }
        self.follower.follow(now, Some(from));
        let mut actions = Vec::new();
        let mut stamp = steps.after;
        for (epoch, step) in &steps.steps {
            let next = Stamp { epoch: *epoch, number: stamp.number.saturating_add(1) };
            if stamp == self.plan.stamp && self.plan.accepts(step) {
                actions.extend(self.apply_step(now, next, step, limits));
            }
            stamp = next;
        }
        actions.extend(self.build_heartbeat(now));
        actions
    }

    /// Sends pieces of this host's plan.
    pub fn plan_chunks(&mut self, to: HostId, stamp: Stamp, received: u16) -> Vec<Action> {
        let cached =
            self.follower.encoded_plan.as_ref().is_some_and(|(cached, _)| *cached == stamp);
        if !cached && self.plan.stamp == stamp {
            self.cache_plan();
        }
        let Some((cached, bytes)) = &self.follower.encoded_plan else { return Vec::new() };
        if *cached != stamp {
            return Vec::new();
        }
        let total = bytes.len().div_ceil(CHUNK_BYTES) as u16;
        let epoch = self.follower.epoch;
        let chunks = bytes.chunks(CHUNK_BYTES).enumerate().skip(usize::from(received));
        let messages = chunks.take(CHUNK_WINDOW).map(|(index, bytes)| {
            let bytes = bytes.to_vec();
            Message::PlanChunk(PlanChunk { epoch, stamp, index: index as u16, total, bytes })
        });
        messages.map(|message| Action::Send(to, message)).collect()
    }

    /// Makes sure that the plan as it is now can be fetched; returns its stamp.
    pub fn cache_plan(&mut self) -> Stamp {
        let stamp = self.plan.stamp;
        if self.follower.encoded_plan.as_ref().is_none_or(|(cached, _)| *cached != stamp) {
            let skip = self.step_log.len().saturating_sub(HISTORY_STEPS);
            let base = match skip {
                0 => self.log_base,
                _ => self.step_log[skip - 1].0,
            };
            let steps = self.step_log.iter().skip(skip).cloned().collect();
            let history = History { plan: self.plan.clone(), base, steps };
            let bytes = postcard::to_stdvec(&history).unwrap_or_default();
            self.follower.encoded_plan = Some((stamp, bytes));
        }
        stamp
    }

    /// Returns the stamp of the plan that can be fetched.
    pub fn cached_stamp(&self) -> Option<Stamp> {
        self.follower.encoded_plan.as_ref().map(|(stamp, _)| *stamp)
    }

    /// Takes a piece of a plan, and the plan once it is whole.
    pub fn handle_plan_chunk(
        &mut self,
        now: Instant,
        from: HostId,
        chunk: PlanChunk,
        limits: &impl Admit,
    ) -> Vec<Action> {
        if !self.follower.accept_epoch(chunk.epoch) {
            return Vec::new();
        }
        let (request, history) = self.follower.add_chunk(now, from, chunk);
        let mut actions = Vec::from_iter(request);
        if let Some(history) = history.filter(|history| history.plan.stamp > self.plan.stamp) {
            actions.extend(self.adopt_plan(now, history, limits));
            actions.extend(self.build_heartbeat(now));
        }
        actions
    }

    fn own_counts(&self) -> Vec<(ServiceId, u16, u32)> {
        let mut list = Vec::new();
        for (&service, counts) in &self.open_counts {
            let open = (0..).zip(counts).filter(|&(_, &count)| count > 0);
            list.extend(open.map(|(index, &count)| (service, index, count)));
        }
        list.truncate(MAX_COUNTS);
        list
    }
}
