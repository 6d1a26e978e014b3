//! What the threads of an entry host share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use lagoongauge::catalog::{Catalog, Document};
use lagoongauge::error::Result;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::Router;
use lagoongauge::roster::{Entry, FeedStatuses, MergeOutcome, Roster, TargetRecord};
use lagoongauge::time::{Instant, Span};

use super::counters::Counters;
use super::decision_log::DecisionLog;
use super::metrics::Metrics;
use crate::cluster::message::Neighbour;
use crate::daemon::Clock;

/// Control hosts that feed an entry host at a time.
pub(super) const FEED_COUNT: usize = 2;

/// Time after the start in which only what a quorum confirms is put in force; a group of control
/// hosts that starts at the same time has a leader by then.
const STARTUP_GRACE: Span = Span::millis(1500);

/// Changed targets of one message that are logged each.
const MAX_LOGGED_CHANGES: usize = 20;

/// Reads an operator's document.
pub trait Decode: Send + 'static {
    /// Returns the checked meaning of a document.
    fn decode(&self, document: &Document) -> Result<Catalog>;
}

/// What an entry host knows of control hosts, targets and other entry hosts.
#[derive(Debug)]
struct ClusterState {
    roster: Roster,
    feed_statuses: FeedStatuses<FEED_COUNT>,
    controls: Vec<HostId>,
    neighbours: Vec<Neighbour>,
    /// Whether a feed has sent all that its control host knows.
    synced: bool,
}

impl ClusterState {
    /// Returns the targets that count as silent.
    fn silent_targets(&self) -> IndexSet<TargetId> {
        let targets = self.roster.iter().map(|record| record.entry.target);
        targets.filter(|target| self.feed_statuses.is_silent(*target)).collect()
    }
}

/// An entry host's state.
#[derive(Debug)]
pub struct State {
    /// The process's clock.
    pub clock: Clock,
    /// Counters of the data path.
    pub counters: Counters,
    /// Log lines for decisions.
    pub decisions: DecisionLog,
    metrics: Metrics,
    router: Mutex<Router>,
    cluster: Mutex<ClusterState>,
    start_time: Instant,
    stopping: AtomicBool,
}

/// A state as the threads hold it.
pub(super) type SharedState = Arc<State>;

impl State {
    pub(super) fn new(
        clock: Clock,
        router: Router,
        decisions: DecisionLog,
        metrics: Metrics,
        interval: Span,
        seeds: Vec<HostId>,
    ) -> Self {
        let cluster = ClusterState {
            roster: Roster::new(interval),
            feed_statuses: FeedStatuses::default(),
            controls: seeds,
            neighbours: Vec::new(),
            synced: false,
        };
        Self {
            clock,
            counters: Counters::default(),
            decisions,
            metrics,
            router: Mutex::new(router),
            cluster: Mutex::new(cluster),
            start_time: clock.now(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Tells whether the fabric may send packets here.
    pub fn is_ready(&self) -> bool {
        if self.stopping.load(Ordering::Acquire) {
            return false;
        }
        let synced = self.cluster().synced;
        synced && self.router().version() > 0
    }

    /// Returns the version of the catalog in force.
    pub fn version(&self) -> u64 {
        self.router().version()
    }

    /// Returns remembered flows and targets that take new ones.
    pub fn counts(&self) -> (usize, usize) {
        let router = self.router();
        (router.flow_count(), router.serving_count())
    }

    pub(super) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all control hosts that are known.
    pub(super) fn controls(&self) -> Vec<HostId> {
        self.cluster().controls.clone()
    }

    /// Adds control hosts that the settings name.
    pub fn add_controls(&self, hosts: &[HostId]) {
        let mut cluster = self.cluster();
        for host in hosts {
            if !cluster.controls.contains(host) {
                cluster.controls.push(*host);
            }
        }
    }

    /// Returns the entry hosts to share load counts with, of this data centre and of others.
    pub(super) fn neighbours(&self) -> (Vec<HostId>, Vec<HostId>) {
        let cluster = self.cluster();
        let (local, remote): (Vec<&Neighbour>, Vec<_>) =
            cluster.neighbours.iter().partition(|entry| entry.near);
        let hosts = |entries: Vec<&Neighbour>| entries.into_iter().map(|it| it.host).collect();
        (hosts(local), hosts(remote))
    }

    /// Makes the fabric send packets elsewhere.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Puts a catalog in force if it is later than the one in force.
    ///
    /// A host that has just started takes it only from a control host in touch with a quorum, or
    /// after some seconds without one, so as not to begin with an older one than was in force.
    pub(super) fn set_catalog(&self, feed: usize, catalog: &Catalog) -> bool {
        let now = self.clock.now();
        let current = self.cluster().feed_statuses.is_current_feed(feed);
        let mut router = self.router();
        let early = router.version() == 0 && now.since(self.start_time) < STARTUP_GRACE;
        if (early && !current) || catalog.version() <= router.version() {
            return false;
        }
        router.set_catalog(catalog);
        true
    }

    /// Takes targets of a feed in.
    pub(super) fn set_targets(&self, feed: usize, targets: Vec<(Entry, bool)>) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
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
        // A changed target may have ended another one, whose address it took over.
        changed.extend(cluster.roster.changed_since(revision).map(|record| record.entry.target));
        self.update_targets(now, &cluster, &changed);
    }

    /// Takes a feed's status in.
    pub(super) fn set_status(
        &self,
        feed: usize,
        current: bool,
        controls: Vec<HostId>,
        entries: Vec<Neighbour>,
    ) {
        let mut cluster = self.cluster();
        cluster.feed_statuses.set_current(feed, current);
        let early = self.clock.now().since(self.start_time) < STARTUP_GRACE;
        cluster.synced |= current || !early;
        if current {
            cluster.controls = controls;
        }
        cluster.neighbours = entries;
        let confirmed = cluster.feed_statuses.is_current();
        drop(cluster);
        self.router().set_current(self.clock.now(), confirmed);
    }

    /// Notes that a feed was opened or lost.
    pub(super) fn set_connected(&self, feed: usize, connected: bool) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
        let silent_before = cluster.silent_targets();
        cluster.feed_statuses.set_connected(feed, connected);
        let changed: Vec<TargetId> =
            silent_before.symmetric_difference(&cluster.silent_targets()).copied().collect();
        self.update_targets(now, &cluster, &changed);
        let confirmed = cluster.feed_statuses.is_current();
        drop(cluster);
        self.router().set_current(self.clock.now(), confirmed);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render(self).unwrap_or_else(|error| {
            log::error!("the metrics can't be rendered: {error}");
            String::new()
        })
    }

    /// Lets time pass; `waits` is room for the times that requests have waited.
    pub(super) fn tick(&self, response_times: &mut Vec<Span>) {
        let mut router = self.router();
        router.tick(self.clock.now());
        router.take_response_times(response_times);
        drop(router);
        self.metrics.observe_response_times(response_times);
    }

    /// Takes changed targets over into the router, and logs some of them once that is unlocked.
    fn update_targets(&self, now: Instant, cluster: &ClusterState, changed: &[TargetId]) {
        let records = || changed.iter().filter_map(|target| cluster.roster.get(*target));
        let silent = |record: &TargetRecord| cluster.feed_statuses.is_silent(record.entry.target);
        let mut router = self.router();
        for record in records() {
            router.set_target(now, &record.entry, silent(record));
        }
        drop(router);
        let confirmed = cluster.feed_statuses.is_current();
        for record in records().take(MAX_LOGGED_CHANGES) {
            let (name, phase) =
                (record.entry.target.to_string(), format!("{:?}", record.entry.phase));
            log::info!(
                belief = "target", target = name.as_str(), phase = phase.as_str(),
                silent = silent(record), sequence = record.entry.sequence, confirmed = confirmed;
                "a target is known otherwise than before"
            );
        }
        let more = changed.len().saturating_sub(MAX_LOGGED_CHANGES);
        if more > 0 {
            log::info!(belief = "target", more = more; "more targets are known otherwise than before");
        }
    }

    fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
