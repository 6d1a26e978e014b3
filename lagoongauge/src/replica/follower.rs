//! The follower: stores entries from the leader.

use super::StateMachine;
use super::configuration::Identity;
use super::core::Core;
use super::entry::{Entry, Position};
use super::message::Body;
use super::store::Record;
use crate::time::Instant;

impl<M: StateMachine> Core<M> {
    pub(super) fn handle_append(
        &mut self,
        from: Identity,
        previous: Position,
        commit: u64,
        round: Instant,
        entries: Vec<Entry>,
    ) {
        if !is_contiguous(previous, &entries) {
            return;
        }
        let end = previous.index + entries.len() as u64;
        if !self.matches(previous) {
            let index = self.resend_index(previous.index);
            self.send(from, Body::AppendAnswer { round, matched: false, index });
            return;
        }
        self.store_entries(entries);
        self.commit_to(commit.min(end));
        self.send(from, Body::AppendAnswer { round, matched: true, index: end });
    }

    /// Returns whether this log contains the entry that precedes the leader's entries; committed
    /// entries always match.
    fn matches(&self, previous: Position) -> bool {
        previous.index <= self.commit || self.log.term(previous.index) == Some(previous.term)
    }

    /// Returns the index from which the leader should resend, as `index` does not match.
    fn resend_index(&self, index: u64) -> u64 {
        let last = self.log.last().index;
        if index > last {
            return last + 1;
        }
        self.log.first_of_term(index).max(self.commit + 1)
    }

    fn store_entries(&mut self, entries: Vec<Entry>) {
        let known = |entry: &Entry| {
            let Position { term, index } = entry.position;
            index <= self.commit || self.log.term(index) == Some(term)
        };
        let fresh: Vec<_> = entries.into_iter().skip_while(known).collect();
        let Some(first) = fresh.first() else { return };
        let index = first.position.index;
        self.log.truncate(index);
        self.configurations.retain(|(start, _)| *start < index);
        self.outbox.stage(Record::Entries(fresh.clone()));
        for entry in fresh {
            self.push_entry(entry);
        }
    }
}

fn is_contiguous(previous: Position, entries: &[Entry]) -> bool {
    let mut last = previous;
    for entry in entries {
        let next = entry.position;
        if next.index != last.index + 1 || next.term < last.term {
            return false;
        }
        last = next;
    }
    true
}
