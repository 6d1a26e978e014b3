//! What an entry host learns from its feeds: catalogs, evacuated data centres, and targets.

use indexmap::IndexSet;
use lagoongauge::catalog::{Catalog, EvacuatedCentres};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::admission::warmup::HostGroup;
use lagoongauge::roster::{Entry, FeedStatuses, MergeOutcome, TargetRecord};
use lagoongauge::time::{Instant, Span};

use super::{ClusterState, FEED_COUNT, PRIMARY_FEED, State};
use crate::cluster::message::Neighbour;

/// Time after startup during which only control hosts in contact with a quorum are trusted; a group
/// of control hosts that starts at the same time has a leader by then.
const STARTUP_GRACE: Span = Span::millis(1500);

/// Maximum number of changed targets of one message that are logged individually.
const MAX_LOGGED_CHANGES: usize = 20;

impl ClusterState {
    /// Returns the targets that count as silent.
    fn silent_targets(&self) -> IndexSet<TargetId> {
        let targets = self.roster.iter().map(|record| record.entry.target);
        targets.filter(|target| self.feed_statuses.is_silent(*target)).collect()
    }
}

impl State {
    /// Applies a catalog if it is newer than the active one; returns whether it was applied.
    ///
    /// A host that has just started applies its first catalog only from a control host in contact
    /// with a quorum, or once `STARTUP_GRACE` has passed. Otherwise it might start with an older
    /// version than was active before.
    pub(in crate::mark_entry) fn set_catalog(&self, feed: usize, catalog: &Catalog) -> bool {
        let current = self.cluster().feed_statuses.is_current_feed(feed);
        let mut router = self.router();
        let early = router.version() == 0 && self.is_early();
        if (early && !current) || catalog.version() <= router.version() {
            return false;
        }
        router.set_catalog(catalog);
        drop(router);
        self.wake_releaser();
        true
    }

    /// Replaces the evacuated data centres if they are newer than those in force.
    ///
    /// A host that has just started applies them under the same conditions as a catalog, see
    /// [`Self::set_catalog`].
    pub(in crate::mark_entry) fn set_evacuated(&self, feed: usize, evacuated: &EvacuatedCentres) {
        let mut cluster = self.cluster();
        let early = self.is_early() && cluster.evacuated.revision == 0;
        let trusted = !early || cluster.feed_statuses.is_current_feed(feed);
        if !trusted || evacuated.revision <= cluster.evacuated.revision {
            return;
        }
        let former = std::mem::replace(&mut cluster.evacuated, evacuated.clone());
        let mut router = self.router();
        router.set_evacuated(&evacuated.centres);
        router.set_returned(self.clock.now(), &evacuated.returned);
        drop(router);
        drop(cluster);
        if former.centres != evacuated.centres {
            log::info!(
                belief = "evacuated", revision = evacuated.revision,
                centres = evacuated.centres.join(" ").as_str();
                "evacuated data centres changed"
            );
        }
    }

    /// Returns whether the host has just started, so that only control hosts in contact with a quorum
    /// are trusted.
    fn is_early(&self) -> bool {
        self.clock.now().since(self.start_time) < STARTUP_GRACE
    }

    /// Merges targets received from a feed.
    pub(in crate::mark_entry) fn set_targets(&self, feed: usize, targets: Vec<(Entry, bool)>) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
        cluster.has_targets[feed] = true;
        let revision = cluster.roster.revision();
        let mut changed = Vec::new();
        for (entry, silent) in targets {
            let target = entry.target;
            let was_silent = cluster.feed_statuses.is_silent(target);
            cluster.feed_statuses.set_silent(feed, target, silent);
            let merged = cluster.roster.merge(now, entry);
            if merged != MergeOutcome::Changed
                && cluster.feed_statuses.is_silent(target) != was_silent
            {
                changed.push(target);
            }
        }
        // A changed target may also have ended another target whose address it took over.
        changed.extend(cluster.roster.changed_since(revision).map(|record| record.entry.target));
        self.update_targets(now, &cluster, &changed);
    }

    /// Applies the status received from a feed.
    pub(in crate::mark_entry) fn set_status(
        &self,
        feed: usize,
        current: bool,
        controls: Vec<HostId>,
        neighbours: Vec<Neighbour>,
    ) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
        if cluster.feed_statuses.is_current_feed(feed) != current {
            self.update_silent(now, &mut cluster, |statuses| statuses.set_current(feed, current));
        }
        let early = self.is_early();
        // The secondary feed reports its status before it sends the targets.
        let complete = feed == PRIMARY_FEED || cluster.has_targets[feed];
        cluster.synced |= complete && (current || !early);
        if current {
            cluster.controls = controls;
        }
        cluster.neighbours = neighbours;
        let confirmed = cluster.feed_statuses.is_current();
        let local = cluster.neighbours.iter().filter(|neighbour| neighbour.local);
        let others: Vec<HostId> = local.map(|neighbour| neighbour.host).collect();
        let local_hosts = others.len();
        // A full list may leave out hosts.
        let complete = local_hosts < Neighbour::MAX_COUNT;
        let group = complete.then_some(HostGroup { own: self.host, others });
        drop(cluster);
        let mut router = self.router();
        router.set_current(self.clock.now(), confirmed);
        router.set_local_hosts(local_hosts as u32);
        router.set_host_group(group);
    }

    /// Records that a feed was connected or lost.
    pub(in crate::mark_entry) fn set_connected(&self, feed: usize, connected: bool) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
        self.update_silent(now, &mut cluster, |statuses| statuses.set_connected(feed, connected));
        let confirmed = cluster.feed_statuses.is_current();
        drop(cluster);
        self.router().set_current(self.clock.now(), confirmed);
    }

    /// Changes the statuses of the feeds, and updates the targets that are silent only before or only
    /// after that.
    fn update_silent(
        &self,
        now: Instant,
        cluster: &mut ClusterState,
        change: impl FnOnce(&mut FeedStatuses<FEED_COUNT>),
    ) {
        let silent_before = cluster.silent_targets();
        change(&mut cluster.feed_statuses);
        let changed: Vec<TargetId> =
            silent_before.symmetric_difference(&cluster.silent_targets()).copied().collect();
        self.update_targets(now, cluster, &changed);
    }

    /// Updates changed targets in the router, then logs some of them after unlocking it. What a host learns
    /// at its start changes nothing that it believed, and is only counted: the lines of a whole roster
    /// would take processor time that callers wait for.
    fn update_targets(&self, now: Instant, cluster: &ClusterState, changed: &[TargetId]) {
        let records = || changed.iter().filter_map(|target| cluster.roster.get(*target));
        let silent = |record: &TargetRecord| cluster.feed_statuses.is_silent(record.entry.target);
        let mut router = self.router();
        for record in records() {
            router.set_target(now, &record.entry, silent(record));
        }
        drop(router);
        let confirmed = cluster.feed_statuses.is_current();
        let logged = if cluster.synced { MAX_LOGGED_CHANGES } else { 0 };
        for record in records().take(logged) {
            let (name, phase) =
                (record.entry.target.to_string(), format!("{:?}", record.entry.phase));
            log::info!(
                belief = "target", target = name.as_str(), phase = phase.as_str(),
                silent = silent(record), sequence = record.entry.sequence, confirmed = confirmed;
                "target changed"
            );
        }
        let more = changed.len().saturating_sub(logged);
        if more > 0 {
            log::info!(belief = "target", more = more; "more targets changed");
        }
    }
}
