//! Raft's rules on a single replica, message by message.

use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{
    Action, BatchId, Body, Core, Entry, Identity, MemoryStore, Message, Payload, Position,
    Recovered, Setup, Store, Timing,
};
use lagoongauge::time::{Instant, Span};

use crate::world::{Journal, identity};

/// One of three voters; the test sends the messages of the others.
struct TestReplica {
    core: Core<Journal>,
    disk: MemoryStore,
    now: Instant,
    unsynced: Vec<BatchId>,
}

impl TestReplica {
    /// Starts host 1 with entries of these terms after the initial configuration.
    fn new(ballot: Ballot, terms: &[u64]) -> Self {
        let mut state = Recovered::bootstrap((1..=3).map(|host| identity(host, 1)).collect());
        state.ballot = ballot;
        for (offset, term) in terms.iter().enumerate() {
            state.entries.push(entry(*term, offset as u64 + 2));
        }
        Self::start(MemoryStore::new(state))
    }

    fn start(disk: MemoryStore) -> Self {
        let setup = Setup::new(identity(1, 1), 1);
        let recovered = disk.recover().unwrap();
        let core = Core::new(setup, recovered, Journal::default(), Instant(0)).unwrap();
        Self { core, disk, now: Instant(0), unsynced: Vec::new() }
    }

    fn advance(&mut self, millis: u64) -> Vec<Message> {
        self.now = self.now + Span(millis);
        self.core.tick(self.now);
        self.sync()
    }

    fn deliver_and_sync(&mut self, host: u32, term: u64, body: Body) -> Vec<Message> {
        self.deliver(host, term, body);
        self.sync()
    }

    fn deliver(&mut self, host: u32, term: u64, body: Body) {
        let message = Message { from: identity(host, 1), to: identity(1, 1), term, body };
        self.core.handle_message(self.now, message);
    }

    /// Syncs all batches and returns the messages sent.
    fn sync(&mut self) -> Vec<Message> {
        let mut sent = Vec::new();
        loop {
            sent.extend(self.take_sent());
            let Some(batch) = self.unsynced.pop() else { return sent };
            self.unsynced.clear();
            self.core.handle_persisted(batch);
        }
    }

    /// Returns the messages that are sent without a further sync.
    fn take_sent(&mut self) -> Vec<Message> {
        let mut sent = Vec::new();
        for action in self.core.take_actions() {
            match action {
                Action::Persist { batch, records } => {
                    self.disk.write(&records).unwrap();
                    self.unsynced.push(batch);
                }
                Action::Send(message) => sent.push(message),
                _ => {}
            }
        }
        sent
    }

    /// Elects the replica with the vote of host 2.
    fn elect(&mut self) -> u64 {
        self.advance(Timing::default().election_max.0);
        let term = self.core.status().term + 1;
        self.deliver_and_sync(2, term, Body::PreVoteAnswer { granted: true });
        self.deliver_and_sync(2, term, Body::VoteAnswer { granted: true });
        assert!(self.core.is_leader());
        term
    }
}

fn entry(term: u64, index: u64) -> Entry {
    let payload = Payload::Command(vec![term as u8]);
    Entry { position: Position { term, index }, payload }
}

fn ballot(term: u64, vote: Option<Identity>) -> Ballot {
    Ballot { term, vote }
}

fn position(term: u64, index: u64) -> Position {
    Position { term, index }
}

fn vote_granted(sent: &[Message]) -> Option<bool> {
    sent.iter().find_map(|message| match message.body {
        Body::VoteAnswer { granted } => Some(granted),
        _ => None,
    })
}

#[test]
fn vote_is_denied_to_an_outdated_log() {
    let vote = |last| {
        let mut replica = TestReplica::new(ballot(5, None), &[4, 5]);
        replica.advance(1499);
        assert!(
            replica.deliver_and_sync(2, 6, Body::Vote { last }).is_empty(),
            "there may have been contact with a leader before the start"
        );
        replica.advance(1);
        vote_granted(&replica.deliver_and_sync(2, 6, Body::Vote { last }))
    };
    assert_eq!(vote(position(5, 2)), Some(false));
    assert_eq!(vote(position(4, 9)), Some(false));
    assert_eq!(vote(position(5, 3)), Some(true));
    assert_eq!(vote(position(6, 2)), Some(true));
}

#[test]
fn one_vote_is_granted_per_term_across_restarts() {
    let last = position(5, 3);
    let mut replica = TestReplica::new(ballot(5, None), &[4, 5]);
    replica.advance(1500);
    assert_eq!(vote_granted(&replica.deliver_and_sync(2, 6, Body::Vote { last })), Some(true));
    assert_eq!(vote_granted(&replica.deliver_and_sync(3, 6, Body::Vote { last })), Some(false));
    let mut restarted = TestReplica::start(replica.disk);
    restarted.advance(1500);
    assert_eq!(vote_granted(&restarted.deliver_and_sync(3, 6, Body::Vote { last })), Some(false));
    assert_eq!(vote_granted(&restarted.deliver_and_sync(2, 6, Body::Vote { last })), Some(true));
}

#[test]
fn vote_is_sent_only_once_it_is_synced() {
    let mut replica = TestReplica::new(ballot(5, None), &[4, 5]);
    replica.advance(1500);
    replica.deliver(2, 6, Body::Vote { last: position(5, 3) });
    assert!(replica.take_sent().is_empty());
    assert_eq!(vote_granted(&replica.sync()), Some(true));
}

#[test]
fn candidate_requests_votes_only_once_its_own_is_synced() {
    let mut replica = TestReplica::new(ballot(5, None), &[4, 5]);
    replica.advance(2500);
    replica.deliver(2, 6, Body::PreVoteAnswer { granted: true });
    assert!(replica.take_sent().is_empty());
    assert_eq!(replica.sync().len(), 2);
}

#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let mut replica = TestReplica::new(ballot(5, None), &[4]);
    let term = replica.elect();
    let answer = |index| Body::AppendAnswer { round: Instant(2500), matched: true, index };
    replica.deliver_and_sync(2, term, answer(2));
    assert_eq!(replica.core.status().commit, 1, "entry 2 is of term 4");
    replica.deliver_and_sync(2, term, answer(3));
    assert_eq!(replica.core.status().commit, 3);
}

#[test]
fn leader_never_resends_entries_known_to_match() {
    let mut replica = TestReplica::new(ballot(5, None), &[4]);
    let term = replica.elect();
    let answer = |matched, index| Body::AppendAnswer { round: Instant(2500), matched, index };
    replica.deliver_and_sync(2, term, answer(true, 2));
    let sent = replica.deliver_and_sync(2, term, answer(false, 2));
    let Body::Append { previous, .. } = &sent[0].body else {
        panic!("expected an append in {sent:?}")
    };
    assert_eq!(*previous, position(4, 2));
}

#[test]
fn single_host_commits_only_synced_batches() {
    let mut replica =
        TestReplica::start(MemoryStore::new(Recovered::bootstrap(vec![identity(1, 1)])));
    replica.advance(2500);
    let first = replica.core.propose(replica.now, b"first".to_vec()).unwrap();
    replica.take_sent();
    replica.core.propose(replica.now, b"second".to_vec()).unwrap();
    replica.take_sent();
    replica.core.handle_persisted(replica.unsynced[0]);
    assert_eq!(replica.core.status().commit, first.index);
}

#[test]
fn entries_are_acknowledged_only_once_they_are_synced() {
    let mut replica = TestReplica::new(ballot(5, None), &[4]);
    let entries = vec![entry(6, 3)];
    let body = Body::Append { previous: position(4, 2), commit: 2, round: Instant(9), entries };
    replica.deliver(2, 6, body);
    assert!(replica.take_sent().is_empty());
    let answer = Body::AppendAnswer { round: Instant(9), matched: true, index: 3 };
    assert_eq!(replica.sync()[0].body, answer);
}

#[test]
fn conflicting_entries_are_replaced_but_committed_ones_never() {
    let mut replica = TestReplica::new(ballot(5, None), &[4, 4, 5]);
    let append =
        |previous, commit, entries| Body::Append { previous, commit, round: Instant(9), entries };
    let sent = replica.deliver_and_sync(2, 6, append(position(6, 9), 0, vec![]));
    assert_eq!(sent[0].body, Body::AppendAnswer { round: Instant(9), matched: false, index: 5 });
    replica.deliver_and_sync(2, 6, append(position(4, 2), 3, vec![entry(6, 3)]));
    assert_eq!(replica.core.status().last, 3);
    assert_eq!(replica.core.status().commit, 3);
    replica.deliver_and_sync(2, 6, append(position(4, 2), 3, vec![entry(7, 3)]));
    assert_eq!(replica.core.machine().commands, [(2, vec![4]), (3, vec![6])]);
    assert_eq!(replica.disk.recover().unwrap().entries.last(), Some(&entry(6, 3)));
}

#[test]
fn message_for_another_incarnation_is_ignored() {
    let mut replica = TestReplica::new(ballot(5, None), &[4]);
    replica.advance(1500);
    let body = Body::Vote { last: position(9, 9) };
    let message = Message { from: identity(2, 1), to: identity(1, 7), term: 9, body };
    replica.core.handle_message(replica.now, message);
    assert!(replica.sync().is_empty());
    assert_eq!(replica.core.status().term, 5);
}

#[test]
fn answers_of_unknown_incarnations_do_not_count() {
    let mut replica = TestReplica::new(ballot(5, None), &[4]);
    replica.advance(2500);
    let unknown = Message {
        from: identity(2, 2),
        to: identity(1, 1),
        term: 6,
        body: Body::PreVoteAnswer { granted: true },
    };
    replica.core.handle_message(replica.now, unknown);
    replica.sync();
    assert_eq!(replica.core.status().term, 5);
}

/// The clock of control hosts counts suspension.
#[test]
fn a_leader_that_was_suspended_holds_no_permission() {
    let mut replica = TestReplica::new(Ballot::default(), &[]);
    replica.elect();
    assert!(replica.core.is_leader());
    replica.now = replica.now + Span::seconds(5);
    let now = replica.now;
    assert!(!replica.core.is_current_within(now, Span::seconds(1)));
    assert!(replica.core.propose(now, vec![1]).is_err(), "its lease has expired");
    assert!(replica.core.read_after(now).is_err());
    replica.advance(0);
    assert!(!replica.core.is_leader());
}
