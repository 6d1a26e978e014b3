//! The leader: replicates entries, advances the commit index and maintains the lease.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use super::StateMachine;
use super::configuration::{Configuration, Identity};
use super::core::{Core, LeaderState, Role};
use super::entry::{Entry, Payload, Position};
use super::message::Body;
use super::outbox::ProposalId;
use super::store::Record;
use crate::error::{Error, Kind, Result};
use crate::time::{Instant, Span};

/// Replication progress of another voter or learner.
#[derive(Debug)]
pub(super) struct Peer {
    /// Highest index up to which its durable log is known to match.
    pub(super) matched: u64,
    /// Index of the next entry to send.
    pub(super) next: u64,
    /// Whether only heartbeats are sent until the peer answers.
    pub(super) probing: bool,
    /// Number of bytes of the snapshot that the peer has received, during a snapshot transfer.
    pub(super) snapshot_offset: Option<u64>,
    /// Round of the last chunk that contained data.
    pub(super) chunk_round: Option<Instant>,
    /// Latest round that the peer answered.
    pub(super) last_answered: Option<Instant>,
    /// Start of the peer's silence if it has never answered this leader.
    pub(super) silent_since: Instant,
    /// Until when it counts as about to end, as it told this leader.
    pub(super) leaving_until: Option<Instant>,
    /// When the last message was sent.
    last_sent: Option<Instant>,
    /// When a message last included the newest entry.
    all_sent_at: Option<Instant>,
}

impl Peer {
    fn new(next: u64, silent_since: Instant) -> Self {
        let (chunk_round, last_answered, leaving_until, last_sent, all_sent_at) =
            Default::default();
        Self {
            matched: 0,
            next,
            probing: true,
            snapshot_offset: None,
            chunk_round,
            last_answered,
            silent_since,
            leaving_until,
            last_sent,
            all_sent_at,
        }
    }

    /// Returns whether entries up to `last` may be sent now.
    fn can_receive(&self, last: u64, inflight: u64, now: Instant, interval: Span) -> bool {
        let streaming = !self.probing && self.snapshot_offset.is_none();
        let room = self.next <= last && self.next <= self.matched + inflight;
        let due = self.all_sent_at.is_none_or(|sent| now >= sent + interval);
        streaming && room && due
    }

    /// Records that a message is sent now.
    pub(super) fn mark_sent(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }

    pub(super) fn record_answer(&mut self, round: Instant) {
        self.last_answered = self.last_answered.max(Some(round));
    }
}

impl<M: StateMachine> Core<M> {
    /// Returns the end of the lease, or `None` before a quorum has answered.
    pub(super) fn lease_end(&self) -> Option<Instant> {
        let start = self.quorum_round(None)?;
        Some(start + self.setup.timing.lease())
    }

    pub(super) fn check_current(&self, now: Instant) -> Result<()> {
        let Role::Leader(leader) = &self.role else { return Err(self.not_leader()) };
        if !self.setup.lease_reads {
            return Err(not_current("leases are not in use"));
        }
        if self.commit < leader.first_index {
            return Err(not_current("the new leader has not committed an entry yet"));
        }
        if self.lease_end().is_none_or(|end| now.max(self.now) >= end) {
            return Err(not_current("no quorum has answered within the lease"));
        }
        Ok(())
    }

    /// Fails with `NotCurrent` until a quorum has answered a message sent after `arrived`.
    pub(super) fn check_confirmed(&self, arrived: Instant) -> Result<()> {
        let Role::Leader(leader) = &self.role else { return Err(self.not_leader()) };
        if self.commit < leader.first_index {
            return Err(not_current("the new leader has not committed an entry yet"));
        }
        if self.quorum_round(None).is_none_or(|round| round <= arrived) {
            return Err(not_current("no quorum has answered since the request arrived"));
        }
        Ok(())
    }

    pub(super) fn check_lease(&self) -> Result<()> {
        if self.lease_end().is_some_and(|end| self.now < end) {
            return Ok(());
        }
        Err(Error::new(Kind::NoQuorum, "no quorum has answered within the lease"))
    }

    pub(super) fn check_configuration_committed(&self) -> Result<()> {
        let Role::Leader(leader) = &self.role else { return Ok(()) };
        let latest = self.latest_configuration().0;
        if self.commit >= leader.first_index && self.commit >= latest {
            return Ok(());
        }
        Err(Error::new(Kind::NoQuorum, "an earlier configuration is not committed yet"))
    }

    pub(super) fn become_leader(&mut self) {
        let own = self.setup.identity;
        self.leader = Some(own);
        self.had_leader = true;
        self.role = Role::Leader(LeaderState {
            peers: IndexMap::new(),
            elected_at: self.now,
            first_index: self.log.last().index + 1,
            pending: BTreeMap::new(),
        });
        self.sync_peers();
        self.inherit_silence();
        self.append_entry(Payload::Noop);
        self.tick_leader();
    }

    /// Has the silence of the former leader start with its last message: it may be lost for good, and
    /// its removal should not wait for the election as well.
    fn inherit_silence(&mut self) {
        let Some(former) = self.last_leader else { return };
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&former) else { return };
        peer.silent_since = self.leader_contact;
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum() {
            self.step_down();
            return;
        }
        self.update_membership();
        self.finish_own_departure();
        let now = self.now;
        let heartbeat = self.setup.timing.heartbeat;
        let Role::Leader(leader) = &self.role else { return };
        let is_due = |peer: &Peer| peer.last_sent.is_none_or(|sent| now >= sent + heartbeat);
        let due = leader.peers.iter().filter(|(_, peer)| is_due(peer));
        let due: Vec<_> = due.map(|(identity, _)| *identity).collect();
        for peer in due {
            self.send_heartbeat(peer);
        }
    }

    /// Sends a heartbeat to every peer, whether or not one is due.
    pub(super) fn send_heartbeats(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for peer in peers {
            self.send_heartbeat(peer);
        }
    }

    /// Appends an entry whose outcome is reported as an action.
    pub(super) fn append_proposal(&mut self, payload: Payload) -> ProposalId {
        let position = self.append_entry(payload);
        let id = ProposalId { term: position.term, index: position.index };
        if let Role::Leader(leader) = &mut self.role {
            leader.pending.insert(id.index, id);
        }
        id
    }

    /// Updates the list of peers to the active configurations.
    pub(super) fn sync_peers(&mut self) {
        let own = self.setup.identity;
        let next = self.log.last().index + 1;
        let replicas = self.active_configurations().flat_map(Configuration::replicas);
        let replicas: Vec<_> = replicas.filter(|replica| *replica != own).collect();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|identity, _| replicas.contains(identity));
        for replica in replicas {
            leader.peers.entry(replica).or_insert_with(|| Peer::new(next, self.now));
        }
    }

    /// Sends new entries to all peers that can receive them.
    pub(super) fn send_entries(&mut self) {
        let last = self.log.last().index;
        let inflight = self.setup.limits.inflight_entries;
        let interval = self.setup.timing.append_interval;
        let Role::Leader(leader) = &self.role else { return };
        let ready = leader
            .peers
            .iter()
            .filter(|(_, peer)| peer.can_receive(last, inflight, self.now, interval));
        let ready: Vec<_> = ready.map(|(identity, _)| *identity).collect();
        for identity in ready {
            self.send_append(identity, inflight);
        }
    }

    pub(super) fn handle_append_answer(
        &mut self,
        from: Identity,
        round: Instant,
        matched: bool,
        index: u64,
    ) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&from) else { return };
        peer.record_answer(round);
        if matched {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            peer.probing = false;
            peer.snapshot_offset = None;
            self.advance_commit();
            return;
        }
        let next = index.max(peer.matched + 1);
        if next < peer.next {
            peer.next = next;
            peer.probing = true;
            self.send_heartbeat(from);
        }
    }

    /// Commits the entries that a quorum has stored, if the last of them is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let own = self.setup.identity;
        let durable = self.durable;
        let Role::Leader(leader) = &self.role else { return };
        let stored = |voter: &Identity| match leader.peers.get(voter) {
            Some(peer) => peer.matched,
            None if *voter == own => durable,
            None => 0,
        };
        let Some(index) = self.reached(stored) else { return };
        if index <= self.commit || self.log.term(index) != Some(self.ballot.term) {
            return;
        }
        let first = self.commit < leader.first_index;
        let changes_voters = (self.commit + 1..=index).contains(&self.latest_configuration().0);
        self.commit_to(index);
        if first || changes_voters {
            // The followers can't tell before whether their state is current, and who votes.
            self.send_heartbeats();
        }
        if changes_voters {
            self.sync_peers();
        }
        if !self.configuration().is_voter(own) && self.check_configuration_committed().is_ok() {
            self.step_down();
        }
    }

    /// Sends a peer entries or an empty append; during a snapshot transfer, an empty chunk.
    pub(super) fn send_heartbeat(&mut self, to: Identity) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(peer) = leader.peers.get(&to) else { return };
        if peer.snapshot_offset.is_some() || peer.next <= self.log.base().index {
            self.send_chunk(to, 0);
            return;
        }
        let room =
            (peer.matched + self.setup.limits.inflight_entries + 1).saturating_sub(peer.next);
        let count = if peer.probing { 0 } else { room };
        self.send_append(to, count);
    }

    fn append_entry(&mut self, payload: Payload) -> Position {
        let position = Position { term: self.ballot.term, index: self.log.last().index + 1 };
        let entry = Entry { position, payload };
        self.outbox.stage(Record::Entries(vec![entry.clone()]));
        self.push_entry(entry);
        position
    }

    fn send_append(&mut self, to: Identity, count: u64) {
        let bytes = self.setup.limits.message_bytes;
        let (commit, round) = (self.commit, self.now);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        let index = peer.next - 1;
        let Some(term) = self.log.term(index) else { return };
        let entries = self.log.slice(peer.next, count, bytes);
        peer.next += entries.len() as u64;
        peer.mark_sent(round);
        if !entries.is_empty() && peer.next > self.log.last().index {
            peer.all_sent_at = Some(round);
        }
        let previous = Position { term, index };
        self.send(to, Body::Append { previous, commit, round, entries });
    }

    fn has_quorum(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let round = self.quorum_round(Some(leader.elected_at)).unwrap_or(leader.elected_at);
        self.now.since(round) < self.setup.timing.election_max
    }

    /// Returns the latest round that a quorum has answered; silent peers count as `floor`.
    pub(super) fn quorum_round(&self, floor: Option<Instant>) -> Option<Instant> {
        let Role::Leader(leader) = &self.role else { return None };
        let own = self.setup.identity;
        let round = |voter: &Identity| match leader.peers.get(voter) {
            Some(peer) => peer.last_answered.max(floor),
            None if *voter == own => Some(self.now),
            None => floor,
        };
        self.reached(round).flatten()
    }
}

fn not_current(detail: &str) -> Error {
    Error::new(Kind::NotCurrent, detail)
}
