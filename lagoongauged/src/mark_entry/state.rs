//! State shared by the threads of an entry host.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::mpsc;
use indexmap::{IndexMap, IndexSet};
use lagoongauge::catalog::{Catalog, Document, EvacuatedCentres};
use lagoongauge::error::Result;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::admission::contention::AdmissionCounts;
use lagoongauge::mark::admission::warmup::HostGroup;
use lagoongauge::mark::flow::held::HeldPackets;
use lagoongauge::mark::{EvidenceCounts, LinkUse, Router};
use lagoongauge::roster::{Entry, FeedStatuses, MergeOutcome, Roster, TargetRecord};
use lagoongauge::time::{Instant, Span};

use super::counters::Counters;
use super::decision_log::DecisionLog;
use super::metrics::Metrics;
use crate::cluster::message::Neighbour;
use crate::cluster::version::PeerVersions;
use crate::daemon::Clock;

/// Number of control hosts that an entry host subscribes to at a time.
pub(super) const FEED_COUNT: usize = 2;

/// Feed that delivers targets and catalogs at once; the others do if it does not.
pub(super) const PRIMARY_FEED: usize = 0;

/// Time after startup during which only control hosts in contact with a quorum are trusted; a group
/// of control hosts that starts at the same time has a leader by then.
const STARTUP_GRACE: Span = Span::millis(1500);

/// Maximum number of known control hosts up to which invitations are accepted.
const MAX_INVITED_CONTROLS: usize = 32;

/// Maximum number of changed targets of one message that are logged individually.
const MAX_LOGGED_CHANGES: usize = 20;

/// Decoder of an operator's document.
pub trait Decode: Send + 'static {
    /// Decodes and validates a document.
    fn decode(&self, document: &Document) -> Result<Catalog>;
}

/// State of control hosts, targets and other entry hosts, as received from the feeds.
#[derive(Debug)]
struct ClusterState {
    roster: Roster,
    feed_statuses: FeedStatuses<FEED_COUNT>,
    controls: Vec<HostId>,
    neighbours: Vec<Neighbour>,
    evacuated: EvacuatedCentres,
    /// Whether each feed has delivered targets.
    has_targets: [bool; FEED_COUNT],
    /// Whether a feed has delivered the full state of its control host. During `STARTUP_GRACE` only
    /// a control host in contact with a quorum counts.
    synced: bool,
}

impl ClusterState {
    /// Returns the targets that count as silent.
    fn silent_targets(&self) -> IndexSet<TargetId> {
        let targets = self.roster.iter().map(|record| record.entry.target);
        targets.filter(|target| self.feed_statuses.is_silent(*target)).collect()
    }
}

/// State of an entry host.
#[derive(Debug)]
pub struct State {
    /// Id of this host.
    host: HostId,
    /// Clock of the process.
    pub clock: Clock,
    /// Packet counters of the data path.
    pub counters: Counters,
    /// Log of decisions on packets.
    pub decisions: DecisionLog,
    metrics: Metrics,
    router: Mutex<Router>,
    cluster: Mutex<ClusterState>,
    held: Mutex<HeldPackets>,
    versions: Mutex<PeerVersions>,
    /// Tell the feeds of control hosts that invite this host.
    invitations: Mutex<Vec<mpsc::Sender<HostId>>>,
    /// Wakes the thread that releases held packets.
    releaser: SyncSender<()>,
    start_time: Instant,
    stopping: AtomicBool,
}

/// Shared reference to the state, as held by the threads.
pub(super) type SharedState = Arc<State>;

impl State {
    /// Creates the state, and the receiver of the wake-ups to release held packets.
    pub(super) fn new(
        host: HostId,
        clock: Clock,
        router: Router,
        decisions: DecisionLog,
        metrics: Metrics,
        announce_interval: Span,
        seeds: Vec<HostId>,
    ) -> (Self, Receiver<()>) {
        let (releaser, wakeups) = sync_channel(1);
        let cluster = ClusterState {
            roster: Roster::new(announce_interval),
            feed_statuses: FeedStatuses::default(),
            controls: seeds,
            neighbours: Vec::new(),
            evacuated: EvacuatedCentres::default(),
            has_targets: [false; FEED_COUNT],
            synced: false,
        };
        let state = Self {
            host,
            clock,
            counters: Counters::default(),
            decisions,
            metrics,
            router: Mutex::new(router),
            cluster: Mutex::new(cluster),
            held: Mutex::default(),
            versions: Mutex::default(),
            invitations: Mutex::default(),
            releaser,
            start_time: clock.now(),
            stopping: AtomicBool::new(false),
        };
        (state, wakeups)
    }

    /// Returns whether the fabric may send packets here.
    pub fn is_ready(&self) -> bool {
        if self.stopping.load(Ordering::Acquire) {
            return false;
        }
        let synced = self.cluster().synced;
        synced && self.router().version() > 0
    }

    /// Returns whether only the control host of the secondary feed is in contact with a quorum.
    pub(super) fn is_primary_behind(&self) -> bool {
        let cluster = self.cluster();
        let statuses = &cluster.feed_statuses;
        statuses.is_current() && !statuses.is_current_feed(PRIMARY_FEED)
    }

    /// Returns the version of the active catalog.
    pub fn version(&self) -> u64 {
        self.router().version()
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated_count(&self) -> usize {
        self.cluster().evacuated.centres.len()
    }

    /// Returns the revision of the evacuated data centres in force.
    pub(super) fn evacuated_revision(&self) -> u64 {
        self.cluster().evacuated.revision
    }

    /// Returns the numbers of tracked flows and of targets that accept new flows.
    pub fn counts(&self) -> (usize, usize) {
        let router = self.router();
        (router.flow_count(), router.serving_count(self.clock.now()))
    }

    /// Returns the number of flows whose SYN may have reached two targets.
    pub fn contested_flows(&self) -> u64 {
        self.router().contested_flows()
    }

    /// Returns how much of this host's part of the room is taken, in percent.
    pub fn pressure(&self) -> u8 {
        self.router().pressure()
    }

    /// Returns the number of mechanisms that are switched off.
    pub fn disabled_count(&self) -> usize {
        self.router().switches().off().count()
    }

    /// Returns the number of services whose targets are overloaded.
    pub fn overloaded_count(&self) -> usize {
        self.router().overloaded_count()
    }

    /// Returns the flows that were admitted and refused since the last call, by service and
    /// priority, and adds them to the metrics.
    pub(super) fn take_admissions(&self) -> Vec<(String, IndexMap<u8, AdmissionCounts>)> {
        let admissions = self.router().take_admissions();
        for (_, counts) in &admissions {
            self.metrics.count_admissions(counts);
        }
        admissions
    }

    /// Returns the counts of pooled evidence, and the number of ejected targets.
    pub fn evidence(&self) -> (EvidenceCounts, usize) {
        let router = self.router();
        (router.evidence_counts(), router.ejected_count())
    }

    /// Returns the use of this host's link; nothing if it is not measured.
    pub fn link_use(&self) -> LinkUse {
        self.router().link_use().unwrap_or_default()
    }

    pub(super) fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn held(&self) -> MutexGuard<'_, HeldPackets> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the versions that control hosts speak.
    pub(super) fn versions(&self) -> MutexGuard<'_, PeerVersions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns all known control hosts.
    pub(super) fn controls(&self) -> Vec<HostId> {
        self.cluster().controls.clone()
    }

    /// Adds control hosts named in the settings.
    pub fn add_controls(&self, hosts: &[HostId]) {
        let mut cluster = self.cluster();
        for host in hosts {
            if !cluster.controls.contains(host) {
                cluster.controls.push(*host);
            }
        }
    }

    /// Adds a control host that invites this host, and has the feeds try it at once. A host that knows
    /// control hosts in contact with a quorum has their list instead.
    pub(super) fn handle_invitation(&self, control: HostId) {
        let mut cluster = self.cluster();
        let known = cluster.controls.contains(&control) || cluster.feed_statuses.is_current();
        if known || cluster.controls.len() >= MAX_INVITED_CONTROLS {
            return;
        }
        cluster.controls.push(control);
        drop(cluster);
        log::info!("invited by control host {control}");
        // If the channel is full, the feed has other control hosts to try.
        self.invitations().iter_mut().for_each(|feed| drop(feed.try_send(control)));
    }

    /// Returns a receiver of the control hosts that invite this host from now on.
    pub(super) fn watch_invitations(&self) -> mpsc::Receiver<HostId> {
        let (sender, receiver) = mpsc::channel(MAX_INVITED_CONTROLS);
        self.invitations().push(sender);
        receiver
    }

    fn invitations(&self) -> MutexGuard<'_, Vec<mpsc::Sender<HostId>>> {
        self.invitations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the entry hosts that receive load reports: those of this data centre, then others.
    pub(super) fn neighbours(&self) -> (Vec<HostId>, Vec<HostId>) {
        let cluster = self.cluster();
        let (local, remote): (Vec<&Neighbour>, Vec<_>) =
            cluster.neighbours.iter().partition(|entry| entry.local);
        let hosts =
            |entries: Vec<&Neighbour>| entries.into_iter().map(|entry| entry.host).collect();
        (hosts(local), hosts(remote))
    }

    /// Returns the entry hosts of this data centre that receive load reports.
    pub(super) fn local_neighbours(&self) -> Vec<HostId> {
        self.neighbours().0
    }

    /// Wakes the thread that releases held packets; a wake-up that is already pending covers this
    /// one.
    pub(super) fn wake_releaser(&self) {
        let _ = self.releaser.try_send(());
    }

    /// Makes the host not ready, so that the fabric stops sending packets to it, and has the packets
    /// that wait for room decided on now.
    pub(super) fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
        self.router().set_stopping();
        self.wake_releaser();
    }

    /// Applies a catalog if it is newer than the active one; returns whether it was applied.
    ///
    /// A host that has just started applies its first catalog only from a control host in contact
    /// with a quorum, or once `STARTUP_GRACE` has passed. Otherwise it might start with an older
    /// version than was active before.
    pub(super) fn set_catalog(&self, feed: usize, catalog: &Catalog) -> bool {
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
    pub(super) fn set_evacuated(&self, feed: usize, evacuated: &EvacuatedCentres) {
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
    pub(super) fn set_targets(&self, feed: usize, targets: Vec<(Entry, bool)>) {
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
    pub(super) fn set_status(
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
    pub(super) fn set_connected(&self, feed: usize, connected: bool) {
        let now = self.clock.now();
        let mut cluster = self.cluster();
        self.update_silent(now, &mut cluster, |statuses| statuses.set_connected(feed, connected));
        let confirmed = cluster.feed_statuses.is_current();
        drop(cluster);
        self.router().set_current(self.clock.now(), confirmed);
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render(self).unwrap_or_else(|error| {
            log::error!("failed to render metrics: {error}");
            String::new()
        })
    }

    /// Removes expired state and records response times; `response_times` is a reused buffer.
    pub(super) fn tick(&self, response_times: &mut Vec<Span>) {
        let mut router = self.router();
        router.tick(self.clock.now());
        router.take_response_times(response_times);
        drop(router);
        self.metrics.observe_response_times(response_times);
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

    fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
