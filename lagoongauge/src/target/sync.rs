//! Synchronization of a group's registries: each heartbeat carries changes and a digest.

use super::announce::State;
use super::entry::{Endpoint, Entry};
use super::gossip::{Gossip, Heartbeat, MAX_ENTRIES, Part};
use super::registry::{OutgoingMessage, Registry};
use crate::id::HostId;
use crate::time::Instant;

/// Consecutive digest mismatches with a home after which a host also sends its entries to the home.
const MAX_DIGEST_MISMATCHES: u8 = 2;

impl Registry {
    pub(super) fn handle_heartbeat(&mut self, now: Instant, from: HostId, heartbeat: Heartbeat) {
        for (endpoint, mut entry) in heartbeat.entries {
            entry.refreshed = now;
            entry.since = now;
            self.merge(endpoint, entry);
        }
        if let Some(part) = heartbeat.part {
            self.handle_part(from, part, heartbeat.synced);
        }
        let Some(digest) = heartbeat.digest else { return };
        if heartbeat.epoch != self.epoch || !self.live_hosts.contains(&from) {
            return;
        }
        if digest == self.digest_of(from) {
            self.digest_mismatches.swap_remove(&from);
            self.refresh_entries_of(now, from);
            return;
        }
        self.outbox.push(OutgoingMessage { to: from, gossip: Gossip::Request { all: false } });
        let count = self.digest_mismatches.entry(from).or_insert(0);
        *count = count.saturating_add(1);
        if *count >= MAX_DIGEST_MISMATCHES {
            self.digest_mismatches.swap_remove(&from);
            self.send_entries_of(from);
        }
    }

    /// Records a part of a response. A host is synchronized after all parts from a synchronized
    /// host, or after the responses of all hosts if none is synchronized, as when a group starts.
    /// The bit mask of received parts has room for 64 parts; longer responses are ignored.
    fn handle_part(&mut self, from: HostId, part: Part, synced: bool) {
        if self.synced || part.index >= part.count || part.count > 64 {
            return;
        }
        let parts = self.received_parts.entry(from).or_insert(0);
        *parts |= 1 << part.index;
        let is_complete = |parts: u64| parts.count_ones() == u32::from(part.count);
        if !is_complete(*parts) {
            return;
        }
        self.received_parts.insert(from, u64::MAX);
        let all_complete =
            self.live_peers().all(|host| self.received_parts.get(&host) == Some(&u64::MAX));
        self.synced = synced || all_complete;
    }

    /// Sends a home this host's entries for the home's endpoints, which the home may have missed.
    fn send_entries_of(&mut self, home: HostId) {
        let entries =
            self.entries_of(home).map(|(endpoint, entry)| (*endpoint, *entry)).collect::<Vec<_>>();
        for chunk in entries.chunks(MAX_ENTRIES) {
            let heartbeat = self.heartbeat_with(chunk.to_vec());
            self.outbox.push(OutgoingMessage { to: home, gossip: Gossip::Heartbeat(heartbeat) });
        }
    }

    fn merge(&mut self, endpoint: Endpoint, entry: Entry) {
        let Some(existing) = self.entries.get_mut(&endpoint) else {
            self.insert_entry(endpoint, entry);
            return;
        };
        if (entry.stamp, entry.target) > (existing.stamp, existing.target) {
            self.insert_entry(endpoint, entry);
        }
    }

    fn refresh_entries_of(&mut self, now: Instant, home: HostId) {
        let (key, live) = (self.setup.key, &self.live_hosts);
        let entries = self.entries.iter_mut().filter(|(_, entry)| entry.state != State::Freed);
        for (_, entry) in entries.filter(|(endpoint, _)| endpoint.home(&key, live) == Some(home)) {
            entry.refreshed = now;
        }
    }

    fn entries_of(&self, home: HostId) -> impl Iterator<Item = (&Endpoint, &Entry)> {
        let key = self.setup.key;
        self.entries
            .iter()
            .filter(move |(endpoint, _)| endpoint.home(&key, &self.live_hosts) == Some(home))
    }

    fn digest_of(&self, home: HostId) -> u64 {
        let live = self.entries_of(home).filter(|(_, entry)| entry.state != State::Freed);
        live.fold(0, |sum, (endpoint, entry)| sum ^ entry.digest(&self.setup.key, endpoint))
    }

    pub(super) fn request_entries(&mut self) {
        if self.live_hosts.len() <= 1 {
            self.synced = self.live_hosts.contains(&self.setup.own);
            return;
        }
        let peers = self.live_peers().collect::<Vec<_>>();
        for to in peers {
            self.outbox.push(OutgoingMessage { to, gossip: Gossip::Request { all: true } });
        }
    }

    pub(super) fn send_entries(&mut self, to: HostId, all: bool) {
        let own = self.setup.own;
        let entries = if all {
            self.entries.iter().map(|(endpoint, entry)| (*endpoint, *entry)).collect::<Vec<_>>()
        } else {
            self.entries_of(own).map(|(endpoint, entry)| (*endpoint, *entry)).collect()
        };
        let count = entries.len().div_ceil(MAX_ENTRIES).max(1);
        for index in 0..count {
            let chunk = entries.iter().skip(index * MAX_ENTRIES).take(MAX_ENTRIES);
            let part = all.then_some(Part { index: index as u8, count: count as u8 });
            let heartbeat = Heartbeat { part, ..self.heartbeat_with(chunk.copied().collect()) };
            self.outbox.push(OutgoingMessage { to, gossip: Gossip::Heartbeat(heartbeat) });
        }
    }

    fn heartbeat_with(&self, entries: Vec<(Endpoint, Entry)>) -> Heartbeat {
        Heartbeat { epoch: self.epoch, digest: None, synced: self.synced, part: None, entries }
    }

    pub(super) fn send_heartbeats(&mut self) {
        let rest = self.changed.split_off(self.changed.len().min(MAX_ENTRIES));
        let changed = std::mem::replace(&mut self.changed, rest);
        let entries =
            changed.iter().filter_map(|endpoint| Some((*endpoint, *self.entries.get(endpoint)?)));
        let digest = self.has_lease.then(|| self.digest_of(self.setup.own));
        let heartbeat = Heartbeat { digest, ..self.heartbeat_with(entries.collect()) };
        // Hosts outside the view also need the entries: they may be joining, leaving or planning.
        for to in self.peers.clone() {
            self.outbox.push(OutgoingMessage { to, gossip: Gossip::Heartbeat(heartbeat.clone()) });
        }
    }
}
