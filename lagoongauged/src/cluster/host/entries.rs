//! The entry hosts that control hosts feed, and those that they fed before this host started.

use std::cell::RefMut;

use indexmap::IndexMap;
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;
use lagoongauge::time::{Instant, Span};

use super::Host;
use crate::cluster::message::Neighbour;

/// Time for which an entry host remains listed after it was last reported as fed.
const ENTRY_HOST_TTL: Span = Span::seconds(4);

/// Entry host fed by a control host.
#[derive(Debug, Clone)]
pub(super) struct EntryHost {
    centre: String,
    last_heard: Instant,
}

impl<S: Store + 'static> Host<S> {
    /// Returns the entry hosts fed by any control host, with their data centres.
    pub fn entry_hosts(&self) -> Vec<(HostId, String)> {
        let entry_hosts = self.live_entry_hosts();
        entry_hosts.iter().map(|(host, entry)| (*host, entry.centre.clone())).collect()
    }

    /// Returns the entry hosts with which an entry host shares its load counts.
    pub(in crate::cluster) fn neighbours(&self, of: HostId, centre: &str) -> Vec<Neighbour> {
        let entry_hosts = self.live_entry_hosts();
        let centres = entry_hosts.iter().map(|(host, entry)| (*host, entry.centre.as_str()));
        Neighbour::choose(centres, of, centre)
    }

    /// Returns the entry hosts that were fed before this host started.
    pub(in crate::cluster) fn former_entries(&self) -> Vec<HostId> {
        self.former_entries.borrow().clone()
    }

    /// Returns the entry hosts to store for the next process, in the order of their ids. The former ones
    /// are kept for a while, as this host may end again before they are all fed.
    pub(in crate::cluster) fn stored_entries(&self) -> Vec<HostId> {
        let mut entries = self.former_entries();
        entries.extend(self.live_entry_hosts().keys());
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    /// Forgets the entry hosts that were fed before this host started.
    pub(in crate::cluster) fn forget_former_entries(&self) {
        self.former_entries.borrow_mut().clear();
    }

    /// Records that an entry host is being fed.
    pub(in crate::cluster) fn record_entry_host(&self, host: HostId, centre: String) {
        let last_heard = self.clock.now();
        self.entry_hosts.borrow_mut().insert(host, EntryHost { centre, last_heard });
    }

    fn live_entry_hosts(&self) -> RefMut<'_, IndexMap<HostId, EntryHost>> {
        let now = self.clock.now();
        let mut entry_hosts = self.entry_hosts.borrow_mut();
        entry_hosts.retain(|_, entry| now.since(entry.last_heard) < ENTRY_HOST_TTL);
        entry_hosts
    }
}
