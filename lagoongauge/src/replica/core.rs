//! The state of a replica and the interface of its driver.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::StateMachine;
use super::configuration::{Change, Configuration, Identity};
use super::departure::Departure;
use super::entry::{Entry, Payload, Position};
use super::leader::Peer;
use super::log::Log;
use super::message::{Body, Message};
use super::outbox::{Action, BatchId, Outbox, ProposalId};
use super::setup::{Setup, Timing};
use super::snapshot::Snapshot;
use super::store::{Ballot, Recovered};
use super::transfer::Incoming;
use crate::error::{Error, Kind, Result};
use crate::id::HostId;
use crate::time::{Instant, Span};

/// Raft role of a replica.
#[derive(Debug)]
pub(super) enum Role {
    /// Accepts entries from the leader, if there is one.
    Follower,
    /// Collects pre-votes.
    PreCandidate(Vec<Identity>),
    /// Collects votes; its own vote counts once the batch is durable.
    Candidate(Vec<Identity>, BatchId),
    /// Leads the term.
    Leader(LeaderState),
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: IndexMap<Identity, Peer>,
    pub(super) elected_at: Instant,
    /// Index of the first entry of its term.
    pub(super) first_index: u64,
    /// Proposals that are not applied yet, by log index.
    pub(super) pending: BTreeMap<u64, ProposalId>,
}

/// A replica of the log; see the [module documentation](super).
#[derive(Debug)]
pub struct Core<M> {
    pub(super) setup: Setup,
    pub(super) machine: M,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Instant,
    pub(super) ballot: Ballot,
    pub(super) log: Log,
    pub(super) snapshot: Snapshot,
    /// The latest committed configuration and all later ones, each with the log index from which it
    /// applies.
    pub(super) configurations: Vec<(u64, Configuration)>,
    pub(super) commit: u64,
    /// Commit index in the last commit record.
    pub(super) stored_commit: u64,
    pub(super) applied: u64,
    /// Index up to which this host has synced its log.
    pub(super) durable: u64,
    pub(super) role: Role,
    pub(super) leader: Option<Identity>,
    /// The leader that was heard last.
    pub(super) last_leader: Option<Identity>,
    pub(super) leader_contact: Instant,
    /// Whether there was contact with a leader since the start.
    pub(super) had_leader: bool,
    pub(super) election_deadline: Instant,
    /// When another candidate that has precedence over this host was heard last.
    pub(super) rival_seen: Option<Instant>,
    /// Candidates over which this host has precedence, and when it last stood in their place.
    pub(super) replaced: IndexMap<Identity, Instant>,
    pub(super) next_join: Instant,
    /// Voters whose hosts asked to join with another disk, see [`super::lost_disk`].
    pub(super) lost_disks: Vec<Identity>,
    /// Whether this host is about to end.
    pub(super) departure: Departure,
    pub(super) next_commit_record: Instant,
    pub(super) incoming: Option<Incoming>,
    pub(super) outbox: Outbox,
}

impl<M: StateMachine> Core<M> {
    /// Starts a replica from its recovered state; `machine` has to be in its initial state.
    ///
    /// Fails with `StorageCorrupt` if the recovered parts are inconsistent.
    pub fn new(setup: Setup, recovered: Recovered, mut machine: M, now: Instant) -> Result<Self> {
        let (snapshot, fresh) = match recovered.snapshot {
            Some(snapshot) => (snapshot, false),
            None => (Snapshot::new(Position::default(), Configuration::default(), &[]), true),
        };
        if !fresh {
            machine.restore(snapshot.state())?;
        }
        let base = snapshot.position();
        let mut core = Self {
            rng: ChaCha8Rng::seed_from_u64(setup.rng_seed),
            now,
            ballot: recovered.ballot,
            log: Log::new(base),
            configurations: vec![(base.index, snapshot.configuration().clone())],
            commit: base.index,
            stored_commit: recovered.commit,
            applied: base.index,
            durable: base.index,
            role: Role::Follower,
            leader: None,
            last_leader: None,
            leader_contact: now,
            had_leader: false,
            election_deadline: now,
            rival_seen: None,
            replaced: IndexMap::new(),
            next_join: now,
            lost_disks: Vec::new(),
            departure: Departure::default(),
            next_commit_record: now,
            incoming: None,
            outbox: Outbox::default(),
            setup,
            machine,
            snapshot,
        };
        for entry in recovered.entries {
            core.check_follows(&entry)?;
            core.push_entry(entry);
        }
        core.durable = core.log.last().index;
        if recovered.commit > core.durable {
            let (commit, last) = (recovered.commit, core.durable);
            let detail = format!("commit index is {commit}, but the log ends at {last}");
            return Err(Error::new(Kind::StorageCorrupt, detail));
        }
        core.commit_to(recovered.commit);
        if core.setup.lease_reads {
            core.reset_election_deadline();
        }
        Ok(core)
    }

    /// Returns the state machine, which may lag behind the committed entries.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the host of the leader, if it is known.
    pub fn leader(&self) -> Option<HostId> {
        self.leader.map(|leader| leader.host)
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the latest configuration, which may not be committed.
    pub fn configuration(&self) -> &Configuration {
        self.latest_configuration().1
    }

    /// Returns the latest configuration with the log index from which it applies.
    pub(super) fn latest_configuration(&self) -> (u64, &Configuration) {
        let (start, configuration) =
            self.configurations.last().expect("there is always a configuration");
        (*start, configuration)
    }

    /// Returns the state machine for a linearizable read under the leader's lease.
    ///
    /// `now` has to be taken after the request arrived. Fails with `NotLeader`, or with
    /// `NotCurrent` if the lease has expired, the leader has not committed an entry of its term or
    /// lease reads are disabled.
    pub fn read(&self, now: Instant) -> Result<&M> {
        self.check_current(now)?;
        Ok(&self.machine)
    }

    /// Sends heartbeats at once; their answers confirm the reads that arrived before.
    pub fn confirm_leadership(&mut self, now: Instant) {
        self.advance(now);
        self.send_heartbeats();
    }

    /// Returns the state machine for a linearizable read without a lease; `arrived` has to be taken
    /// after the request arrived.
    ///
    /// A quorum has to have answered a message that was sent after `arrived`. This depends on no
    /// clock: a deposed leader that was suspended in the meantime serves no stale reads. Fails with
    /// `NotLeader`, or with `NotCurrent` until the quorum has answered and the leader has committed
    /// an entry of its term.
    pub fn read_after(&self, arrived: Instant) -> Result<&M> {
        self.check_confirmed(arrived)?;
        Ok(&self.machine)
    }

    /// Replaces the hosts to which requests to join are sent.
    pub fn set_seeds(&mut self, seeds: Vec<HostId>) {
        self.setup.seeds = seeds;
    }

    /// Returns whether the state machine is as new as a leader knew it within `limit`: this replica
    /// had contact with the leader then, or on the leader, a quorum answered it; and an entry of the
    /// leader's term is committed here, so that all entries that were committed before are.
    pub fn is_current_within(&self, now: Instant, limit: Span) -> bool {
        if self.log.term(self.commit) != Some(self.ballot.term) {
            return false;
        }
        if self.is_leader() {
            return self.quorum_round(None).is_some_and(|round| now.since(round) < limit);
        }
        self.leader.is_some() && now.since(self.leader_contact) < limit
    }

    /// Proposes a command; the answer is delivered as an action.
    ///
    /// Fails with `NotLeader`, `NoQuorum` or `Oversized`; the command is then never applied.
    pub fn propose(&mut self, now: Instant, command: Vec<u8>) -> Result<ProposalId> {
        if command.len() > self.setup.limits.command_bytes {
            let (len, limit) = (command.len(), self.setup.limits.command_bytes);
            let detail = format!("command has {len} bytes, at most {limit} are taken");
            return Err(Error::new(Kind::Oversized, detail));
        }
        self.advance(now);
        self.check_leader()?;
        self.check_lease()?;
        Ok(self.append_proposal(Payload::Command(command)))
    }

    /// Proposes a change of the configuration; the answer is empty.
    ///
    /// Fails with `NotLeader`, with `NoQuorum` (also while an earlier change is not committed), or
    /// with `InvalidValue`.
    pub fn propose_change(&mut self, now: Instant, change: Change) -> Result<ProposalId> {
        self.advance(now);
        self.check_leader()?;
        self.check_lease()?;
        self.check_configuration_committed()?;
        let next = self.configuration().with_change(change)?;
        let id = self.append_proposal(Payload::Configuration(next));
        self.sync_peers();
        Ok(id)
    }

    /// Handles a message from another replica; one with numbers out of range is ignored.
    pub fn handle_message(&mut self, now: Instant, message: Message) {
        self.advance(now);
        let own = self.setup.identity;
        let addressed = message.to.host == own.host && message.from.host != own.host;
        if !addressed || !message.is_plausible() {
            return;
        }
        if matches!(message.body, Body::Join) {
            self.handle_join(message.from);
            return;
        }
        if message.to != own {
            return;
        }
        self.forget_lost_disk(message.from);
        self.dispatch(message);
    }

    /// Handles timeouts; has to be called several times per heartbeat interval.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
        match self.role {
            Role::Leader(_) => self.tick_leader(),
            _ => self.tick_follower(),
        }
        self.record_commit();
    }

    /// Records that all batches up to `batch` are synced.
    pub fn handle_persisted(&mut self, batch: BatchId) {
        if let Some(index) = self.outbox.handle_persisted(batch) {
            self.durable = index;
        }
        match &mut self.role {
            Role::Candidate(..) => self.count_own_vote(),
            Role::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    /// Returns the actions that the driver has to execute now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.send_entries();
        self.outbox.take(self.log.last().index)
    }

    /// Ends this replica after its store failed, and answers the pending proposals.
    ///
    /// The driver then starts a new replica from the store. Entries that were not synced were not
    /// sent to any host, so if the store is full they are rejected with its error; the outcome of
    /// all others is `UnknownOutcome`.
    pub fn abort(mut self, error: &Error) -> Vec<Action> {
        let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) else {
            return self.outbox.take(0).into_iter().filter(is_answer).collect();
        };
        let mut answers: Vec<_> = self.outbox.take(0).into_iter().filter(is_answer).collect();
        for (index, id) in leader.pending {
            let rejected = index > self.durable && error.kind == Kind::StorageFull;
            let error = if rejected { error.clone() } else { unknown_outcome() };
            answers.push(Action::Rejected { id, error });
        }
        answers
    }

    pub(super) fn advance(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    /// Sets the election deadline to a random time.
    ///
    /// Without lease reads, a replica tries at once when it starts, and again within a heartbeat interval while it had
    /// no leader since, as most hosts can't reach each other when a whole group starts, and after
    /// failed pre-votes, which cost no sync and disturb no leader.
    pub(super) fn reset_election_deadline(&mut self) {
        let Timing { election_min, election_max, .. } = self.setup.timing;
        let is_retry = matches!(self.role, Role::PreCandidate(_)) || !self.had_leader;
        if is_retry && !self.setup.lease_reads {
            self.election_deadline = self.draw_retry();
            return;
        }
        let timeout = self.rng.random_range(election_min.0..=election_max.0);
        self.election_deadline = self.now + Span(timeout);
    }

    /// Returns how long a candidate that could win leaves the election to one with precedence.
    pub(super) fn yield_period(&self) -> Span {
        Span(self.setup.timing.heartbeat.0 / 4)
    }

    /// Returns a random time within a heartbeat interval.
    pub(super) fn draw_retry(&mut self) -> Instant {
        let heartbeat = self.setup.timing.heartbeat.0;
        self.now + Span(self.rng.random_range(heartbeat / 4..=heartbeat))
    }

    pub(super) fn send(&mut self, to: Identity, body: Body) {
        self.send_in_term(self.ballot.term, to, body);
    }

    pub(super) fn send_in_term(&mut self, term: u64, to: Identity, body: Body) {
        let from = self.setup.identity;
        self.outbox.send(Message { from, to, term, body });
    }

    /// Appends an entry to the log in memory, without staging a record for the store.
    pub(super) fn push_entry(&mut self, entry: Entry) {
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configurations.push((entry.position.index, configuration.clone()));
        }
        self.log.push(entry);
    }

    fn check_follows(&self, entry: &Entry) -> Result<()> {
        let last = self.log.last();
        let next = entry.position;
        if next.index == last.index + 1 && next.term >= last.term {
            return Ok(());
        }
        let detail = format!(
            "entry {} of term {} does not follow entry {} of term {}",
            next.index, next.term, last.index, last.term
        );
        Err(Error::new(Kind::StorageCorrupt, detail))
    }

    fn check_leader(&self) -> Result<()> {
        if self.is_leader() { Ok(()) } else { Err(self.not_leader()) }
    }

    pub(super) fn not_leader(&self) -> Error {
        let detail = match self.leader {
            Some(leader) => format!("{} leads", leader.host),
            None => "no leader is known".into(),
        };
        Error::new(Kind::NotLeader, detail)
    }
}

pub(super) fn unknown_outcome() -> Error {
    Error::new(
        Kind::UnknownOutcome,
        "the leader stepped down before the entry was known to be committed",
    )
}

fn is_answer(action: &Action) -> bool {
    matches!(action, Action::Applied { .. } | Action::Rejected { .. })
}
