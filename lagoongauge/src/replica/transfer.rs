//! Takes snapshots, and transfers them in chunks to hosts that lag behind the log.

use super::StateMachine;
use super::configuration::{Configuration, Identity};
use super::core::{Core, Role};
use super::entry::Position;
use super::log::Log;
use super::message::{Body, Chunk};
use super::snapshot::Snapshot;
use super::store::Record;
use crate::time::Instant;

/// A snapshot that is being received.
#[derive(Debug, Clone)]
pub(super) struct Incoming {
    position: Position,
    total: u64,
    checksum: u32,
    bytes: Vec<u8>,
}

impl Incoming {
    fn is_same(&self, other: &Self) -> bool {
        self.position == other.position
            && self.total == other.total
            && self.checksum == other.checksum
    }
}

impl<M: StateMachine> Core<M> {
    /// Takes a snapshot if enough entries were applied since the last one.
    pub(super) fn take_snapshot_if_due(&mut self) {
        let limits = self.setup.limits;
        if self.applied < self.snapshot.position().index + limits.snapshot_interval {
            return;
        }
        let Some(term) = self.log.term(self.applied) else { return };
        let position = Position { term, index: self.applied };
        let configuration = self.configuration_at(self.applied).clone();
        self.snapshot = Snapshot::new(position, configuration, &self.machine.snapshot());
        self.outbox.stage(Record::Snapshot(self.snapshot.clone()));
        self.log.compact(self.applied.saturating_sub(limits.kept_entries));
    }

    /// Sends up to `max_bytes` bytes of the latest snapshot. With 0 it only asks for the number of
    /// received bytes, so that a host that is down costs no more than heartbeats.
    pub(super) fn send_chunk(&mut self, to: Identity, max_bytes: usize) {
        let position = self.snapshot.position();
        let total = self.snapshot.bytes().len() as u64;
        let round = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        peer.mark_sent(round);
        let offset = (*peer.snapshot_offset.get_or_insert(0)).min(total);
        let end = (offset as usize + max_bytes).min(total as usize);
        let data = self.snapshot.bytes()[offset as usize..end].to_vec();
        if !data.is_empty() {
            peer.chunk_round = Some(round);
        }
        let checksum = self.snapshot.checksum();
        let chunk = Chunk { position, round, total, checksum, offset, data };
        self.send(to, Body::Chunk(chunk));
    }

    pub(super) fn handle_chunk_answer(
        &mut self,
        from: Identity,
        round: Instant,
        position: Position,
        offset: u64,
    ) {
        let current = self.snapshot.position();
        let total = self.snapshot.bytes().len() as u64;
        let max_bytes = self.setup.limits.chunk_bytes;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&from) else { return };
        peer.record_answer(round);
        let Some(acknowledged) = peer.snapshot_offset else { return };
        let offset = if position == current { offset.min(total) } else { 0 };
        // An answer to a later message without progress means that the last data was lost.
        let lost = peer.chunk_round.is_none_or(|chunk| chunk < round);
        if offset <= acknowledged && !lost {
            return;
        }
        peer.snapshot_offset = Some(offset);
        if offset < total {
            self.send_chunk(from, max_bytes);
            return;
        }
        peer.snapshot_offset = None;
        peer.next = current.index + 1;
        peer.probing = true;
        self.send_heartbeat(from);
    }

    pub(super) fn handle_chunk(&mut self, from: Identity, chunk: Chunk) {
        let (position, round, total) = (chunk.position, chunk.round, chunk.total);
        if position.index <= self.commit {
            let body = Body::AppendAnswer { round, matched: true, index: position.index };
            self.send(from, body);
            return;
        }
        if total > self.setup.limits.snapshot_bytes {
            return;
        }
        let offset = self.collect(chunk);
        if offset == total {
            self.install();
        }
        self.send(from, Body::ChunkAnswer { round, position, offset });
    }

    fn configuration_at(&self, index: u64) -> &Configuration {
        let found = self.configurations.iter().rfind(|(start, _)| *start <= index);
        &found.unwrap_or(&self.configurations[0]).1
    }

    /// Adds a chunk and returns the number of bytes received so far.
    fn collect(&mut self, chunk: Chunk) -> u64 {
        let Chunk { position, total, checksum, offset, data, .. } = chunk;
        let fresh = Incoming { position, total, checksum, bytes: Vec::new() };
        let incoming = self.incoming.get_or_insert_with(|| fresh.clone());
        if !incoming.is_same(&fresh) {
            *incoming = fresh;
        }
        let received = incoming.bytes.len() as u64;
        if offset == received && received + data.len() as u64 <= total {
            incoming.bytes.extend_from_slice(&data);
        }
        let received = incoming.bytes.len() as u64;
        if received == total && crc32fast::hash(&incoming.bytes) != checksum {
            incoming.bytes.clear();
            return 0;
        }
        received
    }

    /// Replaces the log and the state of the state machine with the completely received snapshot.
    fn install(&mut self) {
        let Some(incoming) = self.incoming.take() else { return };
        let Ok(snapshot) = Snapshot::try_from(incoming.bytes) else { return };
        let position = snapshot.position();
        if position != incoming.position || self.machine.restore(snapshot.state()).is_err() {
            return;
        }
        self.outbox.stage(Record::Snapshot(snapshot.clone()));
        if self.log.term(position.index) == Some(position.term) {
            self.log.compact(position.index);
        } else {
            self.log = Log::new(position);
            self.configurations.clear();
            self.outbox.stage(Record::Reset(position));
        }
        self.configurations.retain(|(start, _)| *start > position.index);
        self.configurations.insert(0, (position.index, snapshot.configuration().clone()));
        self.snapshot = snapshot;
        self.commit = position.index;
        self.applied = position.index;
    }
}
