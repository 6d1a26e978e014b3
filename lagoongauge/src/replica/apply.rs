//! Applies committed entries to the state machine in log order.

use super::StateMachine;
use super::core::{Core, Role};
use super::entry::Payload;
use super::outbox::Action;
use super::store::Record;

impl<M: StateMachine> Core<M> {
    /// Advances the commit index and applies the newly committed entries.
    pub(super) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.log.last().index);
        if index <= self.commit {
            return;
        }
        self.commit = index;
        while self.applied < self.commit {
            self.apply_next();
        }
        self.prune_configurations();
        self.take_snapshot_if_due();
    }

    /// Stores the commit index at most once per heartbeat interval, so that a restarted replica
    /// applies the entries that were known to be committed.
    pub(super) fn record_commit(&mut self) {
        if self.commit <= self.stored_commit
            || self.now < self.next_commit_record
            || !self.outbox.is_synced()
        {
            return;
        }
        self.next_commit_record = self.now + self.setup.timing.heartbeat;
        self.stored_commit = self.commit;
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
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(id) = leader.pending.remove(&index) else { return };
        debug_assert_eq!(id.term, position.term);
        self.outbox.push(Action::Applied { id, answer });
    }

    fn prune_configurations(&mut self) {
        let commit = self.commit;
        let newest = self.configurations.iter().rposition(|(index, _)| *index <= commit);
        self.configurations.drain(..newest.unwrap_or(0));
    }
}
