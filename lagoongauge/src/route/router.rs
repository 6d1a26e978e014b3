//! The router: what the data path asks and what messages and time change.

use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use super::admit::{Admit, Unlimited};
use super::core::Core;
use super::duty::Duty;
use super::message::{Action, Message};
use super::plan::Stamp;
use super::table::Table;
use super::{Direction, PacketFacts, Route, Verdict};
use crate::error::Kind;
use crate::flow::{HashKey, Signal};
use crate::id::{HostId, ServiceId, TargetId};
use crate::settings::Resolved;
use crate::time::Instant;

/// Most entry hosts that relay one packet.
pub const MAX_HOPS: u8 = 2;

/// Whether a target may have flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateState {
    /// It may get new flows, as its weight says.
    New,
    /// It keeps its established flows and gets no new ones.
    Established,
    /// It is gone, and its flows with it.
    Gone,
}

/// A target as the policy weighs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Share of new flows against the other targets' weights.
    pub weight: u16,
    /// Whether it may have flows.
    pub state: CandidateState,
}

/// Who holds the group's lease, as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Election {
    /// The holder and its epoch, where this host has granted it the lease or holds it itself.
    pub holder: Option<(HostId, u64)>,
    /// When the lease ends, where this host holds it.
    pub until: Instant,
}

/// A router's state for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The last step that the host has applied.
    pub stamp: Stamp,
    /// Whether the host may act.
    pub leased: bool,
    /// Whether the host plans for its group.
    pub planning: bool,
    /// The homes of the view.
    pub hosts: Vec<HostId>,
    /// Records held.
    pub records: usize,
    /// Bytes that the records take.
    pub record_bytes: usize,
    /// Held buckets of all services.
    pub held: usize,
    /// Buckets whose handover is under way.
    pub pending: u32,
}

/// What other parts of a host need to know of its routing at each tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Epoch of the planner that added the last step.
    pub epoch: u64,
    /// Whether the host may act.
    pub leased: bool,
    /// Whether the host plans for its group.
    pub planning: bool,
    /// The homes of the view.
    pub hosts: Vec<HostId>,
}

/// Routing of one entry host; `A` are the limits that it asks before it opens a flow.
#[derive(Debug)]
pub struct Router<A = Unlimited> {
    key: HashKey,
    core: RwLock<Core>,
    limits: A,
}

impl Router {
    /// Builds the router of a host that has just started, without limits.
    ///
    /// `seed` has to differ from that of the host's earlier processes.
    pub fn new(own: HostId, key: HashKey, seed: u64, now: Instant) -> Self {
        Self::with_limits(own, key, seed, now, Unlimited)
    }
}

impl<A: Admit> Router<A> {
    /// Builds the router of a host that has just started.
    pub fn with_limits(own: HostId, key: HashKey, seed: u64, now: Instant, limits: A) -> Self {
        Self { key, core: RwLock::new(Core::new(own, seed, now)), limits }
    }

    /// Returns the key that flows are hashed with.
    pub fn key(&self) -> &HashKey {
        &self.key
    }

    /// Returns the limits.
    pub fn limits(&self) -> &A {
        &self.limits
    }

    /// Returns the open flows of a service by target; only the planner knows the group's.
    pub fn flow_counts(&self, service: ServiceId) -> Vec<(TargetId, u32)> {
        self.read().group_counts(service)
    }

    /// Returns the weights that new flows of a service follow.
    pub fn table(&self, service: ServiceId) -> Vec<(TargetId, u16)> {
        let core = self.read();
        core.plan.services.get(&service).map_or_else(Vec::new, |one| one.table.entries.clone())
    }

    /// Returns whether a host that wanted to leave has handed over everything.
    pub fn has_left(&self) -> bool {
        let core = self.read();
        let view = &core.plan.view;
        let out = !view.hosts.contains(&core.own);
        let known = view.hosts.is_empty() || core.plan.settled;
        core.follower.leaving && out && known && !core.giving() && !core.handover.busy()
    }

    /// Returns what other parts of the host need to know at each tick.
    pub fn summary(&self, now: Instant) -> Summary {
        let core = self.read();
        Summary {
            epoch: core.plan.stamp.epoch,
            leased: core.leased(now),
            planning: core.planner.as_ref().is_some_and(|p| p.active() && p.until > now),
            hosts: core.plan.view.hosts.clone(),
        }
    }

    /// Returns the router's state for operators.
    pub fn status(&self, now: Instant) -> Status {
        let core = self.read();
        Status {
            stamp: core.plan.stamp,
            leased: core.leased(now),
            planning: core.planner.as_ref().is_some_and(|p| p.active() && p.until > now),
            hosts: core.plan.view.hosts.clone(),
            records: core.ledgers.values().map(|ledger| ledger.len()).sum(),
            record_bytes: core.ledgers.values().map(|ledger| ledger.bytes()).sum(),
            held: core.plan.services.values().map(|layout| layout.held_count()).sum(),
            pending: core.pending(),
        }
    }

    /// Takes new settings.
    pub fn apply(&self, _now: Instant, resolved: &Resolved) {
        self.write().apply_settings(resolved);
    }

    /// Takes the targets of a service as the policy weighs them; they count at the planner.
    pub fn set_targets(&self, _now: Instant, service: ServiceId, candidates: &[Candidate]) {
        let present = candidates.iter().filter(|c| c.state != CandidateState::Gone);
        let weight = |c: &Candidate| match c.state {
            CandidateState::New => c.weight,
            _ => 0,
        };
        let entries = present.map(|c| (c.target, weight(c))).collect();
        self.write().wanted.insert(service, Table::new(entries));
    }

    /// Takes in who holds the group's lease; to be told at least as often as the host ticks.
    pub fn set_election(&self, now: Instant, election: Election) {
        self.write().elect(now, election.holder, election.until);
    }

    /// Asks to be no home any more; see [`Router::left`].
    pub fn leave(&self, now: Instant) -> Vec<Action> {
        let mut core = self.write();
        core.follower.leaving = true;
        Vec::from_iter(core.beat(now))
    }

    /// Takes a peer's message in.
    pub fn handle_message(&self, now: Instant, from: HostId, message: Message) -> Vec<Action> {
        let mut core = self.write();
        if !core.peers.contains(&from) {
            return Vec::new();
        }
        let limits = &self.limits;
        match message {
            Message::Heartbeat(beat) => {
                let mut actions = core.hear_beat(now, from, &beat);
                actions.extend(core.plan_tick(now, limits));
                actions
            }
            Message::Grant { epoch, sent, life } => {
                core.granted(epoch, sent, life);
                Vec::new()
            }
            Message::Probe { epoch } => {
                if !core.follower.hear(epoch) {
                    return Vec::new();
                }
                core.follower.follow(now, Some(from));
                Vec::from_iter(core.beat(now))
            }
            Message::Steps(steps) => core.steps(now, from, &steps, limits),
            Message::PlanOffer { epoch, stamp } => {
                if !core.follower.hear(epoch) || stamp <= core.plan.stamp {
                    return Vec::new();
                }
                Vec::from_iter(core.follower.fetch(now, from, stamp))
            }
            Message::FetchPlan { stamp, have } => core.parts(from, stamp, have),
            Message::PlanChunk(part) => core.part(now, from, part, limits),
            Message::HoldReport(settled) => {
                core.hear_settled(&settled);
                Vec::new()
            }
            Message::Transfers(gifts) => core.take_gifts(now, from, gifts, limits),
            Message::TransferAck { number, .. } => {
                core.gifts_taken(from, number, limits);
                core.hand_over(now)
            }
            Message::Replication(pins) => core.take_pins(now, from, pins, limits),
            Message::ReplicationAck { number } => {
                core.pins_taken(from, number);
                Vec::new()
            }
        }
    }

    /// Lets time pass; to be called about ten times a second.
    pub fn tick(&self, now: Instant) -> Vec<Action> {
        let mut core = self.write();
        let mut actions = Vec::new();
        for report in core.sweep(now, &self.limits) {
            match core.follower.planner {
                Some(planner) if planner != core.own => {
                    actions.push(Action::Send(planner, report));
                }
                _ => core.hear_own(&report),
            }
        }
        actions.extend(core.plan_tick(now, &self.limits));
        actions.extend(core.follow_tick(now));
        core.return_tick(now, &self.limits);
        actions.extend(core.hand_over(now));
        actions
    }

    fn read(&self) -> RwLockReadGuard<'_, Core> {
        self.core.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Core> {
        self.core.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Admit> Route for Router<A> {
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict {
        let core = self.read();
        let layout = core.plan.services.get(&facts.service);
        let (Some(layout), Some(ledger)) = (layout, core.ledgers.get(&facts.service)) else {
            return unplanned(facts);
        };
        let bucket = facts.flow.bucket(layout.bits);
        let leased = core.leased(now);
        let duty = ledger.duty(bucket);
        if facts.direction == Direction::Outward && !ends(facts.signal) {
            return Verdict::ToCaller;
        }
        if core.follower.alone(now)
            && let Some(reached) = core.wanted.get(&facts.service)
        {
            return ledger.decide_alone(now, facts, layout, reached, &self.limits);
        }
        if leased && duty.decides() {
            return ledger.decide(now, facts, layout, &self.limits);
        }
        if facts.direction == Direction::Outward {
            return relay(&core, facts, bucket, duty).unwrap_or(Verdict::ToCaller);
        }
        let plain = facts.signal == Signal::Middle && !layout.is_held(bucket);
        if leased
            && plain
            && core.follower.was_alone
            && let Some(target) = ledger.target_alone(facts, layout)
        {
            return Verdict::Forward(target);
        }
        if leased && plain {
            let target = layout.name(layout.choice(bucket));
            return target.map_or(Verdict::Drop(Kind::Unroutable), Verdict::Forward);
        }
        relay(&core, facts, bucket, duty).unwrap_or(Verdict::Drop(Kind::NotCurrent))
    }
}

/// Returns the relay to the host that decides on a bucket, unless this host or nobody does.
fn relay(core: &Core, facts: &PacketFacts, bucket: u32, duty: Duty) -> Option<Verdict> {
    if facts.hops >= MAX_HOPS {
        return None;
    }
    let host = match duty {
        Duty::Wait(source) => source,
        Duty::Own | Duty::Pause => return None,
        Duty::Other | Duty::Give | Duty::Given => core.plan.view.home(facts.service, bucket)?,
    };
    (host != core.own).then_some(Verdict::Relay(host))
}

/// Returns the verdict on a packet of a service that has no table yet.
fn unplanned(facts: &PacketFacts) -> Verdict {
    match facts.direction {
        Direction::Outward => Verdict::ToCaller,
        Direction::Inward => Verdict::Drop(Kind::NoTarget),
    }
}

const fn ends(signal: Signal) -> bool {
    matches!(signal, Signal::Finish | Signal::Reset)
}
