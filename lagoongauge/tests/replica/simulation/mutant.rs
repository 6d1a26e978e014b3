//! Faults that were mended, put back at the boundary of the replicas.

use lagoongauge::replica::{Body, Message};
use lagoongauge::time::Span;

use super::run::Simulation;

/// A fault that was mended and that the simulation has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Hosts end without giving their vote back (review/2), and the vote of a lost disk counts.
    SilentEnd,
    /// The vote of a lost disk counts (review/6).
    LostDiskVotes,
    /// The leader needs no answer from voters that it has proposed to remove (review/11).
    HalfQuorum,
    /// The leader sends nothing to voters that it has proposed to remove (review/12).
    ForsakenVoter,
}

impl Simulation {
    /// Delivers a message as a mutant handles it.
    pub fn receive_with(&mut self, mutant: Mutant, bytes: &[u8]) {
        let message = Message::from_bytes(bytes).unwrap();
        let is_removed = self.is_being_removed(&message);
        match (mutant, &message.body) {
            (Mutant::SilentEnd | Mutant::LostDiskVotes, Body::Join)
                if !self.has_quorum(message.to.host.0 as usize - 1) => {}
            (Mutant::ForsakenVoter, Body::Append { .. }) if is_removed => {}
            (Mutant::HalfQuorum, Body::Append { .. }) if is_removed => {
                self.world.receive(&forged_answer(&message));
            }
            _ => self.world.receive(bytes),
        }
    }

    /// Returns whether a message is to a host that its sender, a leader, has proposed to remove.
    fn is_being_removed(&self, message: &Message) -> bool {
        let sender = &self.world.hosts[message.from.host.0 as usize - 1];
        sender.core.as_ref().is_some_and(|core| !core.configuration().contains(message.to))
    }

    fn has_quorum(&self, host: usize) -> bool {
        let core = self.world.hosts[host].core.as_ref();
        core.is_some_and(|core| core.is_current_within(self.world.now(host), Span::millis(700)))
    }
}

/// Returns the answer of a host that has stored all that it was sent.
fn forged_answer(append: &Message) -> Vec<u8> {
    let Body::Append { previous, round, entries, .. } = &append.body else { return Vec::new() };
    let index = previous.index + entries.len() as u64;
    let body = Body::AppendAnswer { round: *round, matched: true, index };
    Message { from: append.to, to: append.from, term: append.term, body }.to_bytes()
}
