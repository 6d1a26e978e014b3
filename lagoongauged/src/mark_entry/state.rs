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
pub(super) const FEEDS: usize = 2;

/// Time after the start in which only what a quorum confirms is put in force; a group of control
/// hosts that starts at the same time has a leader by then.
const CAUTIOUS: Span = Span::millis(1500);

/// Changed targets of one message that are logged each.
const CHANGES: usize = 20;

/// Reads an operator's document.
pub trait Decode: Send + 'static {
    /// Returns the checked meaning of a document.
    fn decode(&self, document: &Document) -> Result<Catalog>;
}

/// What an entry host knows of control hosts, targets and other entry hosts.
#[derive(Debug)]
struct Known {
    roster: Roster,
    opinions: FeedStatuses<FEEDS>,
    controls: Vec<HostId>,
    entries: Vec<Neighbour>,
    /// Whether a feed has sent all that its control host knows.
    whole: bool,
}

impl Known {
    /// Returns the targets that count as silent.
    fn silent(&self) -> IndexSet<TargetId> {
        let targets = self.roster.iter().map(|held| held.entry.target);
        targets.filter(|target| self.opinions.is_silent(*target)).collect()
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
    known: Mutex<Known>,
    started: Instant,
    stopping: AtomicBool,
}

/// A state as the threads hold it.
pub(super) type Shared = Arc<State>;

impl State {
    pub(super) fn new(
        clock: Clock,
        router: Router,
        decisions: DecisionLog,
        metrics: Metrics,
        interval: Span,
        seeds: Vec<HostId>,
    ) -> Self {
        let known = Known {
            roster: Roster::new(interval),
            opinions: FeedStatuses::default(),
            controls: seeds,
            entries: Vec::new(),
            whole: false,
        };
        Self {
            clock,
            counters: Counters::default(),
            decisions,
            metrics,
            router: Mutex::new(router),
            known: Mutex::new(known),
            started: clock.now(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Tells whether the fabric may send packets here.
    pub fn is_ready(&self) -> bool {
        if self.stopping.load(Ordering::Acquire) {
            return false;
        }
        let whole = self.known().whole;
        whole && self.router().version() > 0
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
        self.known().controls.clone()
    }

    /// Adds control hosts that the settings name.
    pub fn add_controls(&self, hosts: &[HostId]) {
        let mut known = self.known();
        for host in hosts {
            if !known.controls.contains(host) {
                known.controls.push(*host);
            }
        }
    }

    /// Returns the entry hosts to share load counts with, of this data centre and of others.
    pub(super) fn entries(&self) -> (Vec<HostId>, Vec<HostId>) {
        let known = self.known();
        let (near, far): (Vec<&Neighbour>, Vec<_>) =
            known.entries.iter().partition(|entry| entry.near);
        let hosts = |entries: Vec<&Neighbour>| entries.into_iter().map(|it| it.host).collect();
        (hosts(near), hosts(far))
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
        let current = self.known().opinions.is_current_feed(feed);
        let mut router = self.router();
        let early = router.version() == 0 && now.since(self.started) < CAUTIOUS;
        if (early && !current) || catalog.version() <= router.version() {
            return false;
        }
        router.set_catalog(catalog);
        true
    }

    /// Takes targets of a feed in.
    pub(super) fn set_targets(&self, feed: usize, targets: Vec<(Entry, bool)>) {
        let now = self.clock.now();
        let mut known = self.known();
        let stamp = known.roster.revision();
        let mut changed = Vec::new();
        for (entry, silent) in targets {
            let target = entry.target;
            let was = known.opinions.is_silent(target);
            known.opinions.set_silent(feed, target, silent);
            let merged = known.roster.merge(now, entry);
            if merged != MergeOutcome::Changed && known.opinions.is_silent(target) != was {
                changed.push(target);
            }
        }
        // A changed target may have ended another one, whose address it took over.
        changed.extend(known.roster.changed_since(stamp).map(|held| held.entry.target));
        self.renew(now, &known, &changed);
    }

    /// Takes a feed's status in.
    pub(super) fn set_status(
        &self,
        feed: usize,
        current: bool,
        controls: Vec<HostId>,
        entries: Vec<Neighbour>,
    ) {
        let mut known = self.known();
        known.opinions.set_current(feed, current);
        let early = self.clock.now().since(self.started) < CAUTIOUS;
        known.whole |= current || !early;
        if current {
            known.controls = controls;
        }
        known.entries = entries;
        let confirmed = known.opinions.is_current();
        drop(known);
        self.router().set_current(self.clock.now(), confirmed);
    }

    /// Notes that a feed was opened or lost.
    pub(super) fn set_connected(&self, feed: usize, connected: bool) {
        let now = self.clock.now();
        let mut known = self.known();
        let before = known.silent();
        known.opinions.set_connected(feed, connected);
        let changed: Vec<TargetId> =
            before.symmetric_difference(&known.silent()).copied().collect();
        self.renew(now, &known, &changed);
        let confirmed = known.opinions.is_current();
        drop(known);
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
    pub(super) fn tick(&self, waits: &mut Vec<Span>) {
        let mut router = self.router();
        router.tick(self.clock.now());
        router.take_response_times(waits);
        drop(router);
        self.metrics.observe(waits);
    }

    /// Takes changed targets over into the router, and logs some of them once that is unlocked.
    fn renew(&self, now: Instant, known: &Known, changed: &[TargetId]) {
        let held = || changed.iter().filter_map(|target| known.roster.get(*target));
        let silent = |held: &TargetRecord| known.opinions.is_silent(held.entry.target);
        let mut router = self.router();
        for held in held() {
            router.set_target(now, &held.entry, silent(held));
        }
        drop(router);
        let confirmed = known.opinions.is_current();
        for held in held().take(CHANGES) {
            let (name, phase) = (held.entry.target.to_string(), format!("{:?}", held.entry.phase));
            log::info!(
                belief = "target", target = name.as_str(), phase = phase.as_str(),
                silent = silent(held), sequence = held.entry.sequence, confirmed = confirmed;
                "a target is known otherwise than before"
            );
        }
        let more = changed.len().saturating_sub(CHANGES);
        if more > 0 {
            log::info!(belief = "target", more = more; "more targets are known otherwise than before");
        }
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
