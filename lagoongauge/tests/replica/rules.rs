//! The rules of a single replica, message by message.

use lagoongauge::replica::store::Ballot;
use lagoongauge::replica::{
    Action, BatchId, Body, Core, Entry, Identity, MemoryStore, Message, Payload, Position,
    Recovered, Setup, Store, Timing,
};
use lagoongauge::time::{Instant, Span};

use crate::world::{Journal, identity};

/// One replica of three voters; the test plays the others.
struct One {
    core: Core<Journal>,
    disk: MemoryStore,
    now: Instant,
    unsynced: Vec<BatchId>,
}

impl One {
    /// Starts host 1 with entries of these terms behind the first configuration.
    fn new(ballot: Ballot, terms: &[u64]) -> Self {
        let mut state = Recovered::bootstrap((1..=3).map(|host| identity(host, 1)).collect());
        state.ballot = ballot;
        for (place, term) in terms.iter().enumerate() {
            state.entries.push(entry(*term, place as u64 + 2));
        }
        Self::start(MemoryStore::new(state))
    }

    fn start(disk: MemoryStore) -> Self {
        let setup = Setup::new(identity(1, 1), 1);
        let recovered = disk.recover().unwrap();
        let core = Core::new(setup, recovered, Journal::default(), Instant(0)).unwrap();
        Self { core, disk, now: Instant(0), unsynced: Vec::new() }
    }

    fn wait(&mut self, millis: u64) -> Vec<Message> {
        self.now = self.now + Span(millis);
        self.core.tick(self.now);
        self.settle()
    }

    fn hear(&mut self, host: u32, term: u64, body: Body) -> Vec<Message> {
        self.tell(host, term, body);
        self.settle()
    }

    fn tell(&mut self, host: u32, term: u64, body: Body) {
        let message = Message { from: identity(host, 1), to: identity(1, 1), term, body };
        self.core.handle_message(self.now, message);
    }

    /// Syncs all and returns what is sent.
    fn settle(&mut self) -> Vec<Message> {
        let mut sent = Vec::new();
        loop {
            sent.extend(self.step());
            let Some(batch) = self.unsynced.pop() else { return sent };
            self.unsynced.clear();
            self.core.handle_persisted(batch);
        }
    }

    /// Returns what is sent before anything more is synced.
    fn step(&mut self) -> Vec<Message> {
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

    /// Lets the replica be elected by host 2.
    fn elect(&mut self) -> u64 {
        self.wait(Timing::default().election_max.0);
        let term = self.core.status().term + 1;
        self.hear(2, term, Body::PreVoteAnswer { granted: true });
        self.hear(2, term, Body::VoteAnswer { granted: true });
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

fn at(term: u64, index: u64) -> Position {
    Position { term, index }
}

fn granted(sent: &[Message]) -> Option<bool> {
    sent.iter().find_map(|message| match message.body {
        Body::VoteAnswer { granted } => Some(granted),
        _ => None,
    })
}

#[test]
fn vote_is_refused_to_a_log_that_is_behind() {
    let vote = |last| {
        let mut one = One::new(ballot(5, None), &[4, 5]);
        one.wait(1499);
        assert!(one.hear(2, 6, Body::Vote { last }).is_empty(), "a leader may have been heard");
        one.wait(1);
        granted(&one.hear(2, 6, Body::Vote { last }))
    };
    assert_eq!(vote(at(5, 2)), Some(false));
    assert_eq!(vote(at(4, 9)), Some(false));
    assert_eq!(vote(at(5, 3)), Some(true));
    assert_eq!(vote(at(6, 2)), Some(true));
}

#[test]
fn vote_is_given_once_a_term_also_after_a_restart() {
    let last = at(5, 3);
    let mut one = One::new(ballot(5, None), &[4, 5]);
    one.wait(1500);
    assert_eq!(granted(&one.hear(2, 6, Body::Vote { last })), Some(true));
    assert_eq!(granted(&one.hear(3, 6, Body::Vote { last })), Some(false));
    let mut again = One::start(one.disk);
    again.wait(1500);
    assert_eq!(granted(&again.hear(3, 6, Body::Vote { last })), Some(false));
    assert_eq!(granted(&again.hear(2, 6, Body::Vote { last })), Some(true));
}

#[test]
fn vote_is_told_only_once_it_is_synced() {
    let mut one = One::new(ballot(5, None), &[4, 5]);
    one.wait(1500);
    one.tell(2, 6, Body::Vote { last: at(5, 3) });
    assert!(one.step().is_empty());
    assert_eq!(granted(&one.settle()), Some(true));
}

#[test]
fn candidate_asks_only_once_its_own_vote_is_synced() {
    let mut one = One::new(ballot(5, None), &[4, 5]);
    one.wait(2500);
    one.tell(2, 6, Body::PreVoteAnswer { granted: true });
    assert!(one.step().is_empty());
    assert_eq!(one.settle().len(), 2);
}

#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut one = One::new(ballot(5, None), &[4]);
    let term = one.elect();
    let answer = |index| Body::AppendAnswer { round: Instant(2500), matched: true, index };
    one.hear(2, term, answer(2));
    assert_eq!(one.core.status().commit, 1, "entry 2 is of term 4");
    one.hear(2, term, answer(3));
    assert_eq!(one.core.status().commit, 3);
}

#[test]
fn leader_goes_back_to_what_is_known_to_match() {
    let mut one = One::new(ballot(5, None), &[4]);
    let term = one.elect();
    let answer = |matched, index| Body::AppendAnswer { round: Instant(2500), matched, index };
    one.hear(2, term, answer(true, 2));
    let sent = one.hear(2, term, answer(false, 2));
    let Body::Append { previous, .. } = &sent[0].body else { panic!("entries are sent again") };
    assert_eq!(*previous, at(4, 2));
}

#[test]
fn single_host_commits_no_more_than_the_synced_batches() {
    let mut one = One::start(MemoryStore::new(Recovered::bootstrap(vec![identity(1, 1)])));
    one.wait(2500);
    let first = one.core.propose(one.now, b"first".to_vec()).unwrap();
    one.step();
    one.core.propose(one.now, b"second".to_vec()).unwrap();
    one.step();
    one.core.handle_persisted(one.unsynced[0]);
    assert_eq!(one.core.status().commit, first.index);
}

#[test]
fn entries_are_acknowledged_only_once_they_are_synced() {
    let mut one = One::new(ballot(5, None), &[4]);
    let entries = vec![entry(6, 3)];
    let body = Body::Append { previous: at(4, 2), commit: 2, round: Instant(9), entries };
    one.tell(2, 6, body);
    assert!(one.step().is_empty());
    let answer = Body::AppendAnswer { round: Instant(9), matched: true, index: 3 };
    assert_eq!(one.settle()[0].body, answer);
}

#[test]
fn conflicting_entries_are_replaced_and_committed_ones_never() {
    let mut one = One::new(ballot(5, None), &[4, 4, 5]);
    let append =
        |previous, commit, entries| Body::Append { previous, commit, round: Instant(9), entries };
    let sent = one.hear(2, 6, append(at(6, 9), 0, vec![]));
    assert_eq!(sent[0].body, Body::AppendAnswer { round: Instant(9), matched: false, index: 5 });
    one.hear(2, 6, append(at(4, 2), 3, vec![entry(6, 3)]));
    assert_eq!(one.core.status().last, 3);
    assert_eq!(one.core.status().commit, 3);
    one.hear(2, 6, append(at(4, 2), 3, vec![entry(7, 3)]));
    assert_eq!(one.core.machine().commands, [(2, vec![4]), (3, vec![6])]);
    assert_eq!(one.disk.recover().unwrap().entries.last(), Some(&entry(6, 3)));
}

#[test]
fn message_for_a_former_incarnation_is_ignored() {
    let mut one = One::new(ballot(5, None), &[4]);
    one.wait(1500);
    let body = Body::Vote { last: at(9, 9) };
    let message = Message { from: identity(2, 1), to: identity(1, 7), term: 9, body };
    one.core.handle_message(one.now, message);
    assert!(one.settle().is_empty());
    assert_eq!(one.core.status().term, 5);
}

#[test]
fn answers_of_strangers_do_not_count() {
    let mut one = One::new(ballot(5, None), &[4]);
    one.wait(2500);
    let stranger = Message {
        from: identity(2, 2),
        to: identity(1, 1),
        term: 6,
        body: Body::PreVoteAnswer { granted: true },
    };
    one.core.handle_message(one.now, stranger);
    one.settle();
    assert_eq!(one.core.status().term, 5);
}
