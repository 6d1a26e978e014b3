//! Committed entries, applied to the machine in their order.

use super::StateMachine;
use super::core::{Core, Role};
use super::entry::Payload;
use super::outbox::Action;
use super::store::Record;

impl<M: StateMachine> Core<M> {
    /// Moves the commit index up and applies.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last().index);
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            self.apply_next();
        }
        self.forget_configurations();
        self.consider_snapshot();
    }

    /// Stores the commit index now and then, so that a restart applies what was known.
    pub(super) fn note_commit(&mut self) {
        if self.commit <= self.noted || self.now < self.next_note || !self.outbox.settled() {
            return;
        }
        self.next_note = self.now + self.setup.timing.heartbeat;
        self.noted = self.commit;
        self.outbox.stage(Record::Commit(self.commit));
    }

    fn apply_next(&mut self) {
        let index = self.applied + 1;
        let entry = self.log.get(index).expect("committed entries are in the log");
        let position = entry.position;
        let answer = match &entry.payload {
            Payload::Command(command) => self.machine.apply(index, command),
            Payload::Noop | Payload::Configuration(_) => Vec::new(),
        };
        self.applied = index;
        let Role::Leading(lead) = &mut self.role else { return };
        let Some(id) = lead.pending.remove(&index) else { return };
        debug_assert_eq!(id.term, position.term);
        self.outbox.tell(Action::Applied { id, answer });
    }

    fn forget_configurations(&mut self) {
        let commit = self.commit;
        let settled = self.configurations.iter().rposition(|(index, _)| *index <= commit);
        self.configurations.drain(..settled.unwrap_or(0));
    }
}
