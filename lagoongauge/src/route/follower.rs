//! A host as the planner's follower: heartbeats, its serving lease, and catching up with the plan.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::admit::Admit;
use super::message::{Action, Heartbeat, HoldReport, Message, PlanChunk, Steps};
use super::plan::{Plan, Stamp, Step};
use super::state::RouterState;
use super::table::mix;
use crate::id::{HostId, ServiceId};
use crate::time::{Instant, Span};

/// Duration of a serving lease, from the time at which the granted heartbeat was sent.
///
/// A drain takes effect after two leases at most: one until the lease of an unresponsive host has
/// ended, one until that of a host that missed the switch has.
pub(super) const SERVING_LEASE: Span = Span::millis(1_400);

/// Time that the planner adds to a lease, as clock rates may differ by a twentieth.
pub(super) const LEASE_MARGIN: Span = Span::millis(70);

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Span = Span::millis(450);

/// Interval between two heartbeats when the lease has ended or is about to end.
const URGENT_HEARTBEAT_INTERVAL: Span = Span::millis(150);

/// Remaining lease below which heartbeats are sent at the urgent interval.
const URGENT_LEASE: Span = Span::millis(600);

/// Interval between two heartbeats that carry flow counts.
const COUNT_INTERVAL: Span = Span::seconds(2);

/// Maximum number of flow counts in one heartbeat.
const MAX_COUNTS: usize = 128;

/// Maximum number of buckets in one report.
const MAX_REPORT_BUCKETS: usize = 256;

/// Minimum time between two reports of the same kind on a service.
const REPORT_INTERVAL: Span = Span::seconds(2);

/// Time without a known holder of the group's lease after which a host counts as isolated; an
/// ordinary change of the planner takes less.
const ISOLATION_DELAY: Span = Span::seconds(6);

/// Maximum number of plan bytes in one message.
const CHUNK_BYTES: usize = 900;

/// Number of chunks of a plan that are sent at once.
const CHUNK_WINDOW: usize = 4;

/// Maximum number of chunks of a plan.
const MAX_CHUNKS: u16 = 1024;

/// Time after which a host requests missing chunks again.
const FETCH_RETRY_INTERVAL: Span = Span::millis(300);

/// Maximum number of steps sent with a plan; a receiver that becomes the planner sends them to
/// hosts that lack no more than these.
const HISTORY_STEPS: usize = 16;

/// A plan with the last steps that led to it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct History {
    pub plan: Plan,
    /// Stamp of the step before the first one in `steps`.
    pub base: Stamp,
    pub steps: Vec<(Stamp, Step)>,
}

/// A fetch of a plan in progress.
#[derive(Debug)]
struct PlanFetch {
    from: HostId,
    stamp: Stamp,
    chunks: Vec<Vec<u8>>,
    requested_at: Instant,
}

/// State of a host as a follower.
#[derive(Debug)]
pub(super) struct Follower {
    pub incarnation: u32,
    pub epoch: u64,
    pub prior_epoch: u64,
    pub planner: Option<HostId>,
    pub leased_until: Instant,
    pub leaving: bool,
    /// Time at which the holder of the group's lease was last known.
    pub holder_seen: Instant,
    /// Whether this host was isolated and has not yet sent its flows to their homes.
    pub was_isolated: bool,
    /// Number of times that it has sent them since.
    pub resync_rounds: u8,
    /// When it sends them next.
    pub next_resync: Instant,
    next_heartbeat: Instant,
    next_counts: Instant,
    plan_fetch: Option<PlanFetch>,
    /// The plan that was encoded last, for hosts that fetch it.
    encoded_plan: Option<(Stamp, Vec<u8>)>,
    last_reports: IndexMap<(ServiceId, bool), Instant>,
}

impl Follower {
    /// Builds the follower of a host that has just started; its incarnation is derived from `seed`.
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

    /// Adopts a higher epoch; returns whether messages of `epoch` are current.
    pub fn accept_epoch(&mut self, epoch: u64) -> bool {
        if epoch > self.epoch {
            self.prior_epoch = self.epoch;
            self.epoch = epoch;
        }
        epoch == self.epoch
    }

    /// Follows a planner; a new one gets a heartbeat at the next tick.
    pub fn follow(&mut self, now: Instant, planner: Option<HostId>) {
        if self.planner != planner {
            self.planner = planner;
            self.next_heartbeat = now;
        }
    }

    /// Returns whether this host is isolated from a majority of its group.
    pub fn is_isolated(&self, now: Instant) -> bool {
        now >= self.leased_until && now.since(self.holder_seen) >= ISOLATION_DELAY
    }

    /// Builds a report on buckets to release or to hold, unless the last one is too recent.
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

    /// Starts to fetch a plan unless this fetch is already in progress.
    pub fn fetch(&mut self, now: Instant, from: HostId, stamp: Stamp) -> Option<Action> {
        let already_fetching = self
            .plan_fetch
            .as_ref()
            .is_some_and(|fetch| fetch.from == from && fetch.stamp == stamp);
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

    /// Adds a chunk; returns the next request, or the complete plan.
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
        let valid =
            |history: &History| history.plan.is_valid() && history.plan.stamp == chunk.stamp;
        let restored = |history: History| History { plan: history.plan.restored(), ..history };
        (None, history.filter(valid).map(restored))
    }
}

impl RouterState {
    /// Builds a heartbeat to the planner, unless this host is the planner.
    pub fn build_heartbeat(&mut self, now: Instant) -> Option<Action> {
        let planner = self.follower.planner.filter(|&planner| planner != self.own)?;
        let urgent = self.follower.leased_until.since(now) < URGENT_LEASE;
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

    /// Sends the heartbeat and the fetch request that are due.
    pub fn tick_follower(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.follower.next_heartbeat {
            actions.extend(self.build_heartbeat(now));
        }
        actions.extend(self.follower.retry_fetch(now));
        actions
    }

    /// Handles a grant, which renews the serving lease.
    pub fn handle_grant(&mut self, epoch: u64, sent: Instant, incarnation: u32) {
        if self.follower.accept_epoch(epoch) && incarnation == self.follower.incarnation {
            let until = sent + SERVING_LEASE;
            self.follower.leased_until = self.follower.leased_until.max(until);
        }
    }

    /// Applies the steps that this host lacks and responds with a heartbeat.
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

    /// Returns the next chunks of the requested plan, if this host has it.
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

    /// Encodes the current plan for fetching unless it is cached; returns its stamp.
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

    /// Handles a chunk of a plan; adopts the plan once it is complete.
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
