//! Elections: pre-vote, vote, and stepping down.
//!
//! Load pattern: after a loss of power hosts start one after the other, and all that run could win as soon
//! as there is a quorum of them. If several stood, they would split the vote. Hosts therefore have an order of
//! precedence, by the newest log and then by the lowest identity: who hears of a candidate without
//! precedence stands in its place, and who hears of one with precedence leaves it a short time.

use std::cmp::Reverse;

use super::StateMachine;
use super::configuration::Identity;
use super::core::{Core, Role, unknown_outcome};
use super::entry::Position;
use super::message::{Body, Message};
use super::outbox::Action;
use super::store::{Ballot, Record};
use crate::time::Span;

impl<M: StateMachine> Core<M> {
    pub(super) fn dispatch(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        match body {
            Body::PreVote { last } => return self.handle_pre_vote(from, term, last),
            Body::PreVoteAnswer { granted: true } => return self.count_pre_vote(from, term),
            Body::Leave => return self.handle_leave(from),
            Body::LeaveAnswer => return self.handle_leave_answer(from),
            Body::Vote { .. } if self.has_recent_leader() => return,
            _ => {}
        }
        if term > self.ballot.term {
            self.enter_term(term);
        }
        let from_leader = matches!(body, Body::Append { .. } | Body::Chunk(_));
        if from_leader && !self.accept_leader(from, term) {
            return;
        }
        match body {
            Body::Vote { last } => self.handle_vote(from, term, last),
            Body::VoteAnswer { granted } => self.handle_vote_answer(from, term, granted),
            Body::Append { previous, commit, round, entries } => {
                self.handle_append(from, previous, commit, round, entries);
            }
            Body::AppendAnswer { round, matched, index } if term == self.ballot.term => {
                self.handle_append_answer(from, round, matched, index);
            }
            Body::Chunk(chunk) => self.handle_chunk(from, chunk),
            Body::ChunkAnswer { round, position, offset } if term == self.ballot.term => {
                self.handle_chunk_answer(from, round, position, offset);
            }
            _ => {}
        }
    }

    pub(super) fn tick_follower(&mut self) {
        self.request_join_if_due();
        self.request_leave_if_due();
        if self.now < self.election_deadline {
            return;
        }
        if self.is_active_voter(self.setup.identity) {
            if self.has_pre_votes() {
                self.start_election();
                return;
            }
            self.start_pre_vote();
        }
        self.reset_election_deadline();
    }

    /// Becomes a follower in the same term; pending proposals are rejected with `UnknownOutcome`.
    pub(super) fn step_down(&mut self) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.reset_election_deadline();
        let Role::Leader(leader) = role else { return };
        self.leader = None;
        for id in leader.pending.into_values() {
            self.outbox.push(Action::Rejected { id, error: unknown_outcome() });
        }
    }

    /// Counts the vote for itself once it is durable.
    pub(super) fn count_own_vote(&mut self) {
        let own = self.setup.identity;
        let durable = self.outbox.durable();
        let Role::Candidate(votes, batch) = &mut self.role else { return };
        if *batch <= durable && !votes.contains(&own) {
            votes.push(own);
            self.check_votes();
        }
    }

    /// Returns whether contact with a leader is so recent that no vote may be granted.
    ///
    /// With lease reads this also holds right after a start, as the previous process may have had
    /// contact with a leader.
    fn has_recent_leader(&self) -> bool {
        let may_follow = self.had_leader || self.setup.lease_reads;
        let recent = self.now < self.leader_contact + self.setup.timing.election_min;
        self.holds_lease() || (may_follow && recent)
    }

    fn holds_lease(&self) -> bool {
        self.is_leader() && self.lease_end().is_some_and(|end| self.now < end)
    }

    fn enter_term(&mut self, term: u64) {
        self.set_ballot(Ballot { term, vote: None });
        self.leader = None;
        self.step_down();
    }

    fn set_ballot(&mut self, ballot: Ballot) {
        self.ballot = ballot;
        self.outbox.stage(Record::Ballot(ballot));
    }

    /// Returns whether a message of this term is from the current leader and follows it; answers a
    /// deposed leader with the current term, so that it steps down.
    fn accept_leader(&mut self, from: Identity, term: u64) -> bool {
        if term < self.ballot.term {
            let body = Body::AppendAnswer { round: Default::default(), matched: false, index: 0 };
            self.send(from, body);
            return false;
        }
        if self.is_leader() {
            return false;
        }
        self.role = Role::Follower;
        self.leader = Some(from);
        self.last_leader = Some(from);
        self.leader_contact = self.now;
        self.had_leader = true;
        self.reset_election_deadline();
        true
    }

    fn start_pre_vote(&mut self) {
        self.leader = None;
        self.role = Role::PreCandidate(vec![self.setup.identity]);
        let body = Body::PreVote { last: self.log.last() };
        self.send_to_voters(self.ballot.term + 1, &body);
        self.check_pre_votes();
    }

    fn start_election(&mut self) {
        let own = self.setup.identity;
        self.set_ballot(Ballot { term: self.ballot.term + 1, vote: Some(own) });
        self.role = Role::Candidate(Vec::new(), self.outbox.pending_batch());
        self.reset_election_deadline();
        let body = Body::Vote { last: self.log.last() };
        self.send_to_voters(self.ballot.term, &body);
    }

    fn send_to_voters(&mut self, term: u64, body: &Body) {
        let own = self.setup.identity;
        for voter in self.active_voters() {
            if voter != own {
                self.send_in_term(term, voter, body.clone());
            }
        }
    }

    fn handle_pre_vote(&mut self, from: Identity, term: u64, last: Position) {
        let eligible =
            !self.has_recent_leader() && term > self.ballot.term && last >= self.log.last();
        let replaced = eligible && self.stands_in_place_of(from, last);
        let granted = eligible && !replaced;
        let answer_term = if granted { term } else { self.ballot.term };
        self.send_in_term(answer_term, from, Body::PreVoteAnswer { granted });
        if replaced {
            self.start_pre_vote();
            self.reset_election_deadline();
        }
    }

    /// Returns whether this host stands in place of a candidate over which it has precedence. If it
    /// did so lately, the candidate gets its vote, as this host may not reach a quorum itself.
    fn stands_in_place_of(&mut self, from: Identity, last: Position) -> bool {
        if (last, Reverse(from)) > (self.log.last(), Reverse(self.setup.identity)) {
            self.rival_seen = Some(self.now);
            return false;
        }
        let (now, pause) = (self.now, Span(2 * self.setup.timing.heartbeat.0));
        self.replaced.retain(|_, at| now.since(*at) < pause);
        let may_stand = !self.setup.lease_reads
            && self.is_active_voter(self.setup.identity)
            && self.is_active_voter(from)
            && !matches!(self.role, Role::Candidate(..) | Role::Leader(_));
        if !may_stand || self.replaced.contains_key(&from) {
            return false;
        }
        self.replaced.insert(from, now);
        true
    }

    fn count_pre_vote(&mut self, from: Identity, term: u64) {
        if term != self.ballot.term + 1 {
            return;
        }
        let Role::PreCandidate(votes) = &mut self.role else { return };
        if !votes.contains(&from) {
            votes.push(from);
        }
        self.check_pre_votes();
    }

    fn check_pre_votes(&mut self) {
        if !self.has_pre_votes() {
            return;
        }
        if self.has_rival() {
            let yielded_until = self.now + self.yield_period();
            self.election_deadline = self.election_deadline.min(yielded_until);
        } else {
            self.start_election();
        }
    }

    /// Returns whether a quorum would vote for this host.
    fn has_pre_votes(&self) -> bool {
        matches!(&self.role, Role::PreCandidate(votes) if self.is_quorum(votes))
    }

    /// Returns whether a candidate with precedence was heard within a heartbeat interval, in which it
    /// would have tried again.
    fn has_rival(&self) -> bool {
        let heartbeat = self.setup.timing.heartbeat;
        self.rival_seen.is_some_and(|seen| self.now.since(seen) <= heartbeat)
    }

    fn handle_vote(&mut self, from: Identity, term: u64, last: Position) {
        let may_vote = self.ballot.vote.is_none_or(|vote| vote == from);
        let granted = term == self.ballot.term && may_vote && last >= self.log.last();
        if granted && self.ballot.vote.is_none() {
            self.set_ballot(Ballot { term, vote: Some(from) });
            self.step_down();
        }
        self.send(from, Body::VoteAnswer { granted });
    }

    fn handle_vote_answer(&mut self, from: Identity, term: u64, granted: bool) {
        if term != self.ballot.term {
            return;
        }
        if !granted {
            self.retry_election_soon();
            return;
        }
        let Role::Candidate(votes, _) = &mut self.role else { return };
        if !votes.contains(&from) {
            votes.push(from);
        }
        self.check_votes();
    }

    /// Has a candidate whose vote was refused retry within a heartbeat interval, as another one
    /// probably got that vote and neither may win.
    fn retry_election_soon(&mut self) {
        let is_candidate = matches!(self.role, Role::Candidate(..));
        let is_soon = self.election_deadline <= self.now + self.setup.timing.heartbeat;
        if is_candidate && !is_soon && !self.setup.lease_reads {
            self.election_deadline = self.draw_retry();
        }
    }

    fn check_votes(&mut self) {
        let Role::Candidate(votes, _) = &self.role else { return };
        if self.is_quorum(votes) {
            self.become_leader();
        }
    }
}
