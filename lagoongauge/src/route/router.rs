//! The router: routing decisions for the data path, and handling of messages and ticks.

use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use super::admit::{Admit, Unlimited};
use super::message::{Action, Message};
use super::plan::Stamp;
use super::role::BucketRole;
use super::state::RouterState;
use super::table::Table;
use super::{Direction, PacketFacts, Route, Verdict};
use crate::error::Kind;
use crate::flow::{HashKey, Signal};
use crate::id::{HostId, ServiceId, TargetId};
use crate::settings::Resolved;
use crate::time::Instant;

/// Maximum number of entry hosts that relay one packet.
pub const MAX_HOPS: u8 = 2;

/// Whether a target may have new or established flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateState {
    /// It gets new flows according to its weight.
    New,
    /// It keeps its established flows but gets no new ones.
    Established,
    /// It is gone, which ends its flows.
    Gone,
}

/// A target with the weight that the policy gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Share of new flows, relative to the other targets' weights.
    pub weight: u16,
    /// Whether it may have new or established flows.
    pub state: CandidateState,
}

/// Holder of the group's lease, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Election {
    /// The holder and its epoch, if this host has granted it the lease or is the holder.
    pub holder: Option<(HostId, u64)>,
    /// End of the lease, if this host is the holder.
    pub until: Instant,
}

/// Router status for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The last step that the host has applied.
    pub stamp: Stamp,
    /// Whether the host holds a serving lease.
    pub leased: bool,
    /// Whether the host is the active planner of its group.
    pub planning: bool,
    /// The homes of the view.
    pub hosts: Vec<HostId>,
    /// Number of flow records.
    pub records: usize,
    /// Memory that the records take, in bytes.
    pub record_bytes: usize,
    /// Number of held buckets of all services.
    pub held: usize,
    /// Number of buckets in transfer from or to the host.
    pub pending: u32,
}

/// Routing state that other parts of the host use at each tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Epoch of the planner that appended the last step.
    pub epoch: u64,
    /// Whether the host holds a serving lease.
    pub leased: bool,
    /// Whether the host is the active planner of its group.
    pub planning: bool,
    /// The homes of the view.
    pub hosts: Vec<HostId>,
}

/// Router of one entry host; `A` are the limits that it checks before it opens a flow.
#[derive(Debug)]
pub struct Router<A = Unlimited> {
    key: HashKey,
    state: RwLock<RouterState>,
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
        Self { key, state: RwLock::new(RouterState::new(own, seed, now)), limits }
    }

    /// Returns the key that flows are hashed with.
    pub fn key(&self) -> &HashKey {
        &self.key
    }

    /// Returns the limits.
    pub fn limits(&self) -> &A {
        &self.limits
    }

    /// Returns the number of open flows of a service by target; the planner sums up its group's.
    pub fn flow_counts(&self, service: ServiceId) -> Vec<(TargetId, u32)> {
        self.read().group_counts(service)
    }

    /// Returns the targets of a service with their weights for new flows.
    pub fn table(&self, service: ServiceId) -> Vec<(TargetId, u16)> {
        let state = self.read();
        state
            .plan
            .services
            .get(&service)
            .map_or_else(Vec::new, |layout| layout.table.entries.clone())
    }

    /// Returns whether a leaving host has transferred all its buckets.
    pub fn has_left(&self) -> bool {
        let state = self.read();
        let view = &state.plan.view;
        let is_no_home = !view.hosts.contains(&state.own);
        let confirmed = view.hosts.is_empty() || state.plan.confirmed;
        state.follower.leaving
            && is_no_home
            && confirmed
            && !state.has_outgoing()
            && !state.handover.has_messages()
    }

    /// Returns the routing state that other parts of the host use at each tick.
    pub fn summary(&self, now: Instant) -> Summary {
        let state = self.read();
        Summary {
            epoch: state.plan.stamp.epoch,
            leased: state.leased(now),
            planning: state.planner.as_ref().is_some_and(|p| p.active() && p.lease_end > now),
            hosts: state.plan.view.hosts.clone(),
        }
    }

    /// Returns the router's status for operators.
    pub fn status(&self, now: Instant) -> Status {
        let state = self.read();
        Status {
            stamp: state.plan.stamp,
            leased: state.leased(now),
            planning: state.planner.as_ref().is_some_and(|p| p.active() && p.lease_end > now),
            hosts: state.plan.view.hosts.clone(),
            records: state.flow_tables.values().map(|flows| flows.len()).sum(),
            record_bytes: state.flow_tables.values().map(|flows| flows.bytes()).sum(),
            held: state.plan.services.values().map(|layout| layout.held_count()).sum(),
            pending: state.pending(),
        }
    }

    /// Applies new settings.
    pub fn apply(&self, _now: Instant, resolved: &Resolved) {
        self.write().apply_settings(resolved);
    }

    /// Sets the targets of a service with their weights, as used by the planner and isolated hosts.
    pub fn set_targets(&self, _now: Instant, service: ServiceId, candidates: &[Candidate]) {
        let present = candidates.iter().filter(|c| c.state != CandidateState::Gone);
        let weight = |c: &Candidate| match c.state {
            CandidateState::New => c.weight,
            _ => 0,
        };
        let entries = present.map(|c| (c.target, weight(c))).collect();
        self.write().desired_tables.insert(service, Table::new(entries));
    }

    /// Sets the holder of the group's lease; to be called at least once per tick.
    pub fn set_election(&self, now: Instant, election: Election) {
        self.write().set_lease_holder(now, election.holder, election.until);
    }

    /// Starts to leave; [`Router::has_left`] tells when all buckets are transferred.
    pub fn leave(&self, now: Instant) -> Vec<Action> {
        let mut state = self.write();
        state.follower.leaving = true;
        Vec::from_iter(state.build_heartbeat(now))
    }

    /// Handles a message from a peer.
    pub fn handle_message(&self, now: Instant, from: HostId, message: Message) -> Vec<Action> {
        let mut state = self.write();
        if !state.peers.contains(&from) {
            return Vec::new();
        }
        let limits = &self.limits;
        match message {
            Message::Heartbeat(heartbeat) => {
                let mut actions = state.handle_heartbeat(now, from, &heartbeat);
                actions.extend(state.tick_planner(now, limits));
                actions
            }
            Message::Grant { epoch, sent, incarnation } => {
                state.handle_grant(epoch, sent, incarnation);
                Vec::new()
            }
            Message::Probe { epoch } => {
                if !state.follower.accept_epoch(epoch) {
                    return Vec::new();
                }
                state.follower.follow(now, Some(from));
                Vec::from_iter(state.build_heartbeat(now))
            }
            Message::Steps(steps) => state.handle_steps(now, from, &steps, limits),
            Message::PlanOffer { epoch, stamp } => {
                if !state.follower.accept_epoch(epoch) || stamp <= state.plan.stamp {
                    return Vec::new();
                }
                Vec::from_iter(state.follower.fetch(now, from, stamp))
            }
            Message::FetchPlan { stamp, received } => state.plan_chunks(from, stamp, received),
            Message::PlanChunk(chunk) => state.handle_plan_chunk(now, from, chunk, limits),
            Message::HoldReport(report) => {
                state.handle_hold_report(&report);
                Vec::new()
            }
            Message::Transfers(transfers) => state.handle_transfers(now, from, transfers, limits),
            Message::TransferAck { number, .. } => {
                state.handle_transfer_ack(from, number, limits);
                state.tick_handover(now)
            }
            Message::Replication(replication) => {
                state.handle_replication(now, from, replication, limits)
            }
            Message::ReplicationAck { number } => {
                state.handle_replication_ack(from, number);
                Vec::new()
            }
        }
    }

    /// Runs timers; to be called about ten times per second.
    pub fn tick(&self, now: Instant) -> Vec<Action> {
        let mut state = self.write();
        let mut actions = Vec::new();
        for report in state.sweep(now, &self.limits) {
            match state.follower.planner {
                Some(planner) if planner != state.own => {
                    actions.push(Action::Send(planner, report));
                }
                _ => state.handle_own_report(&report),
            }
        }
        actions.extend(state.tick_planner(now, &self.limits));
        actions.extend(state.tick_follower(now));
        state.tick_resync(now, &self.limits);
        actions.extend(state.tick_handover(now));
        actions
    }

    fn read(&self) -> RwLockReadGuard<'_, RouterState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, RouterState> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<A: Admit> Route for Router<A> {
    fn route(&self, now: Instant, facts: &PacketFacts) -> Verdict {
        let state = self.read();
        let layout = state.plan.services.get(&facts.service);
        let (Some(layout), Some(flows)) = (layout, state.flow_tables.get(&facts.service)) else {
            return no_table_verdict(facts);
        };
        let bucket = facts.flow.bucket(layout.bits);
        let leased = state.leased(now);
        let role = flows.role(bucket);
        if facts.direction == Direction::Outward && !closes(facts.signal) {
            return Verdict::ToCaller;
        }
        if state.follower.is_isolated(now)
            && let Some(reachable) = state.desired_tables.get(&facts.service)
        {
            return flows.decide_isolated(now, facts, layout, reachable, &self.limits);
        }
        if leased && role.decides() {
            return flows.decide(now, facts, layout, &self.limits);
        }
        if facts.direction == Direction::Outward {
            return relay(&state, facts, bucket, role).unwrap_or(Verdict::ToCaller);
        }
        let by_table = facts.signal == Signal::Middle && !layout.is_held(bucket);
        if leased
            && by_table
            && state.follower.was_isolated
            && let Some(target) = flows.detached_target(facts, layout)
        {
            return Verdict::Forward(target);
        }
        if leased && by_table {
            let target = layout.target(layout.choice(bucket));
            return target.map_or(Verdict::Drop(Kind::Unroutable), Verdict::Forward);
        }
        relay(&state, facts, bucket, role).unwrap_or(Verdict::Drop(Kind::NotCurrent))
    }
}

/// Returns a relay to the host that decides on a bucket, unless it is this host or there is none.
fn relay(
    state: &RouterState,
    facts: &PacketFacts,
    bucket: u32,
    role: BucketRole,
) -> Option<Verdict> {
    if facts.hops >= MAX_HOPS {
        return None;
    }
    let host = match role {
        BucketRole::Incoming(source) => source,
        BucketRole::Owner | BucketRole::Unconfirmed => return None,
        BucketRole::NotOwner | BucketRole::Outgoing | BucketRole::InTransit => {
            state.plan.view.home(facts.service, bucket)?
        }
    };
    (host != state.own).then_some(Verdict::Relay(host))
}

/// Returns the verdict on a packet of a service that has no table yet.
fn no_table_verdict(facts: &PacketFacts) -> Verdict {
    match facts.direction {
        Direction::Outward => Verdict::ToCaller,
        Direction::Inward => Verdict::Drop(Kind::NoTarget),
    }
}

/// Returns whether a signal closes a flow.
const fn closes(signal: Signal) -> bool {
    matches!(signal, Signal::Finish | Signal::Reset)
}
