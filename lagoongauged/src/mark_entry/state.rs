//! State shared by the threads of an entry host.

mod feeds;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::mpsc;
use indexmap::IndexMap;
use lagoongauge::catalog::{Catalog, Document, EvacuatedCentres};
use lagoongauge::error::Result;
use lagoongauge::id::HostId;
use lagoongauge::mark::admission::contention::AdmissionCounts;
use lagoongauge::mark::flow::held::HeldPackets;
use lagoongauge::mark::{EvidenceCounts, LinkUse, Router};
use lagoongauge::roster::{FeedStatuses, Roster};
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

/// Maximum number of known control hosts up to which invitations are accepted.
const MAX_INVITED_CONTROLS: usize = 32;

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

    fn cluster(&self) -> MutexGuard<'_, ClusterState> {
        self.cluster.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
