//! State of a control host, shared by its tasks.

mod announcements;
mod documents;
mod entries;
mod evacuation;
mod gossip;
mod referrals;
mod services;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::sleep;
use futures::channel::mpsc;
use indexmap::IndexMap;
use lagoongauge::catalog::{CatalogStore, Document, EvacuatedCentres, RecentReturns};
use lagoongauge::error::Result;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::replica::{Message, Store, VoterHealth};
use lagoongauge::roster::{Heartbeat, Phase, Roster, StoredRoster};
use lagoongauge::time::{Instant, Span};

use super::bounds::Bounds;
use super::compressed::CompressedDocument;
use super::link::Link;
use super::message::PeerMessage;
use super::metrics::Metrics;
use super::stall::StallDetector;
use super::target_batches::{TargetBatch, TargetBatches};
use super::version::PeerVersions;
use crate::daemon::{Clock, OpenRequests};
use crate::engine::Engine;

pub(super) use self::documents::CONFIRM_TIMEOUT;
use self::entries::EntryHost;
pub(super) use self::gossip::gossip;
use self::referrals::Referrals;
use self::services::NamedServices;

/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Time without contact with a quorum after which this host no longer counts as current.
const QUORUM_TIMEOUT: Span = Span::millis(1000);

/// Options of a control host.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Id of this host.
    pub host: HostId,
    /// Port for traffic between hosts, the same on every host.
    pub port: u16,
    /// Port at which this host listens; differs from `port` if that port is forwarded to it.
    pub listen_port: u16,
    /// Control hosts named in the settings.
    pub seeds: Vec<HostId>,
    /// Interval between the announcements of a target.
    pub announce_interval: Span,
    /// Time bounds of the deployment.
    pub bounds: Bounds,
    /// Number of control hosts that may lose their disks at the same time.
    pub disk_losses: usize,
    /// Time for which requests that were accepted before a stop request are still served.
    pub linger: Span,
    /// Lists the services that the content of a catalog document names.
    pub service_names: ServiceNames,
}

/// Lists the services that the content of a catalog document names; fails with the errors of decoding it.
pub type ServiceNames = fn(&[u8]) -> Result<Vec<String>>;

/// A control host.
pub struct Host<S> {
    /// Its options.
    pub setup: Setup,
    /// Its clock.
    pub clock: Clock,
    /// Requests of targets and operators that are being served.
    pub open_requests: OpenRequests,
    pub(super) engine: RefCell<Engine<S, CatalogStore>>,
    pub(super) roster: RefCell<Roster>,
    batches: RefCell<TargetBatches>,
    pub(super) links: RefCell<IndexMap<HostId, Link>>,
    entry_hosts: RefCell<IndexMap<HostId, EntryHost>>,
    /// Entry hosts that were fed before this host started, until they are forgotten.
    former_entries: RefCell<Vec<HostId>>,
    /// Versions that the other hosts speak.
    pub(super) versions: RefCell<PeerVersions>,
    /// Latest heartbeats that have not been sent to the other control hosts.
    heartbeats: RefCell<IndexMap<TargetId, Heartbeat>>,
    /// Senders that wake the feeds.
    feeds: RefCell<Vec<mpsc::Sender<()>>>,
    /// Names of the data centres, as far as the settings tell.
    centres: RefCell<Vec<String>>,
    stall: Cell<StallDetector>,
    /// When the host started, on its clock.
    started_at: Instant,
    /// The evacuated data centres that were logged last.
    logged_evacuated: RefCell<EvacuatedCentres>,
    /// Ends of evacuations that this host saw.
    returns: RefCell<RecentReturns>,
    /// Whether the host was in contact with a quorum at the previous tick.
    was_current: Cell<bool>,
    /// The latest document in the form that is sent to entry hosts.
    compressed: RefCell<Rc<CompressedDocument>>,
    /// Services of the catalog, against which announcements are checked.
    services: RefCell<NamedServices>,
    /// Targets that were sent on to other control hosts.
    referrals: RefCell<Referrals>,
    /// Number of addresses that a target took over from another one.
    takeovers: Cell<u64>,
    metrics: Metrics,
}

/// Handle of a control host, held by its tasks.
pub type SharedHost<S> = Rc<Host<S>>;

impl<S: Store + 'static> Host<S> {
    pub(super) fn new(
        setup: Setup,
        clock: Clock,
        engine: Engine<S, CatalogStore>,
        metrics: Metrics,
    ) -> Self {
        let roster = RefCell::new(Roster::new(setup.announce_interval));
        Self {
            setup,
            clock,
            open_requests: OpenRequests::default(),
            engine: RefCell::new(engine),
            roster,
            batches: RefCell::default(),
            links: RefCell::default(),
            entry_hosts: RefCell::default(),
            former_entries: RefCell::default(),
            versions: RefCell::default(),
            heartbeats: RefCell::default(),
            feeds: RefCell::default(),
            centres: RefCell::default(),
            stall: Cell::new(StallDetector::new(clock.now())),
            started_at: clock.now(),
            logged_evacuated: RefCell::default(),
            returns: RefCell::default(),
            was_current: Cell::new(false),
            compressed: RefCell::default(),
            services: RefCell::default(),
            referrals: RefCell::default(),
            takeovers: Cell::default(),
            metrics,
        }
    }

    /// Restores the targets and the entry hosts known to the previous process.
    pub(super) fn restore_targets(&self, stored: StoredRoster) {
        self.former_entries.borrow_mut().clone_from(&stored.entry_hosts);
        log::info!("restored {} targets from the stored roster", stored.entries.len());
        self.roster.borrow_mut().restore(self.clock.now(), stored);
    }

    /// Returns the leader, if it is known.
    pub fn leader(&self) -> Option<HostId> {
        self.engine.borrow().leader()
    }

    /// Returns the number of voters among the control hosts.
    pub fn voter_count(&self) -> usize {
        self.engine.borrow().voter_count()
    }

    /// Returns the health of the voters, or `None` unless this host is the leader.
    pub(super) fn voter_health(&self) -> Option<VoterHealth> {
        self.engine.borrow().voter_health()
    }

    /// Returns whether this host is in contact with a quorum.
    pub fn is_current(&self) -> bool {
        self.engine.borrow().is_current(self.clock.now(), QUORUM_TIMEOUT)
    }

    /// Returns the latest document known to be accepted.
    pub fn document(&self) -> Arc<Document> {
        self.engine.borrow().state().document()
    }

    /// Returns the latest document in compressed form; each version is compressed once.
    pub(super) fn compressed_document(&self) -> Rc<CompressedDocument> {
        let document = self.document();
        if self.compressed.borrow().version != document.version {
            match CompressedDocument::compress(&document) {
                Ok(compressed) => *self.compressed.borrow_mut() = Rc::new(compressed),
                Err(error) => log::error!("can't compress catalog {}: {error}", document.version),
            }
        }
        Rc::clone(&self.compressed.borrow())
    }

    /// Returns the evacuated data centres known to be accepted.
    pub fn evacuated_centres(&self) -> EvacuatedCentres {
        let evacuated = self.engine.borrow().state().evacuations().evacuated();
        let mut returns = self.returns.borrow_mut();
        returns.update(self.clock.now(), &evacuated.centres);
        EvacuatedCentres { returned: returns.centres(), ..evacuated }
    }

    /// Returns the version of the document and the revision of the evacuations.
    fn state_versions(&self) -> (u64, u64) {
        let engine = self.engine.borrow();
        let state = engine.state();
        (state.document().version, state.evacuations().revision())
    }

    /// Returns all known control hosts, including this one.
    pub fn controls(&self) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = vec![self.setup.host];
        let engine = self.engine.borrow();
        let replicas = engine.replicas().into_iter().map(|replica| replica.host);
        for host in replicas.chain(self.links.borrow().keys().copied()) {
            if !hosts.contains(&host) {
                hosts.push(host);
            }
        }
        hosts
    }

    /// Returns the encoded changes of targets after a revision, or `None` if there are none; fails
    /// with `InvalidData` if they can't be encoded.
    pub(super) fn target_batch(&self, since: u64) -> std::io::Result<Option<TargetBatch>> {
        self.batches.borrow_mut().batch_since(&self.roster.borrow(), since)
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render(self).unwrap_or_else(|error| {
            log::error!("failed to render metrics: {error}");
            String::new()
        })
    }

    /// Counts the targets that are serving, silent, draining and gone, in this order.
    pub(super) fn count_targets(&self) -> [i64; 4] {
        let mut counts = [0; 4];
        for record in self.roster.borrow().iter() {
            let state = match (record.entry.phase, record.silent) {
                (Phase::Gone, _) => 3,
                (_, true) => 1,
                (Phase::Draining, false) => 2,
                (Phase::Serving, false) => 0,
            };
            counts[state] += 1;
        }
        counts
    }

    /// Handles a message from another control host.
    pub(super) fn handle_message(&self, from: HostId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hosts { controls, entry_hosts } => {
                self.add_controls(&controls);
                for (host, centre) in entry_hosts {
                    self.record_entry_host(host, centre);
                }
            }
            PeerMessage::Log(bytes) => match Message::from_bytes(&bytes) {
                Ok(message) => {
                    let versions = self.state_versions();
                    self.engine.borrow_mut().handle_message(now, message);
                    self.flush();
                    if self.check_quorum() || self.state_versions() != versions {
                        self.wake_feeds();
                    }
                }
                Err(error) => log::warn!("message of control host {from} dropped: {error}"),
            },
            PeerMessage::Targets(entries) => self.update_roster(|roster| {
                for entry in entries {
                    roster.merge(now, entry);
                }
            }),
            PeerMessage::TargetLeft(target) => self.update_roster(|roster| {
                // It may have waited, too, and the target may have started again since.
                if !self.stall.get().is_recent(now) {
                    roster.leave(now, target);
                }
            }),
            PeerMessage::Heartbeats(heartbeats) => self.update_roster(|roster| {
                for heartbeat in heartbeats {
                    roster.handle_heartbeat(now, heartbeat);
                }
            }),
        }
    }

    /// Updates the roster, and wakes the feeds if it changed.
    fn update_roster(&self, update: impl FnOnce(&mut Roster)) {
        let mut roster = self.roster.borrow_mut();
        let revision = roster.revision();
        update(&mut roster);
        let changed = roster.revision() != revision;
        drop(roster);
        if changed {
            self.wake_feeds();
        }
    }

    /// Creates links to control hosts that were not known before.
    pub fn add_controls(&self, hosts: &[HostId]) {
        let mut links = self.links.borrow_mut();
        for host in hosts.iter().filter(|host| **host != self.setup.host) {
            links.entry(*host).or_default();
        }
        let known: Vec<HostId> = links.keys().copied().collect();
        drop(links);
        self.engine.borrow_mut().set_seeds(known);
    }

    /// Queues the replica's outgoing messages on the links.
    pub(super) fn flush(&self) {
        let messages = self.engine.borrow_mut().take_messages();
        let mut links = self.links.borrow_mut();
        for message in messages {
            let link = links.entry(message.to.host).or_default();
            link.push(PeerMessage::Log(message.to_bytes()));
        }
    }

    /// Has the replica give its vote back, as the process is about to end.
    pub(super) fn leave(&self) {
        self.engine.borrow_mut().leave(self.clock.now());
        self.flush();
    }

    /// Advances the replica and the roster to the current time, and wakes the feeds if something
    /// changed.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        self.record_tick();
        let versions = self.state_versions();
        self.engine.borrow_mut().tick(now);
        self.flush();
        let newly_silent = self.roster.borrow_mut().tick(now);
        for target in &newly_silent {
            log::warn!("target {target} is silent: several announcements missed");
        }
        let changed = self.state_versions() != versions;
        if self.check_quorum() || !newly_silent.is_empty() || changed {
            self.wake_feeds();
        }
        self.log_evacuated();
    }

    /// Returns whether contact with a quorum was gained or lost since the last call.
    fn check_quorum(&self) -> bool {
        let current = self.is_current();
        let changed = self.was_current.replace(current) != current;
        if changed {
            self.reset_referrals();
            log::warn!("contact with a quorum of control hosts: {current}");
        }
        changed
    }

    /// Sends a message to all other control hosts; returns its number on each link, by which its
    /// acknowledgement can be checked.
    pub(super) fn broadcast(&self, message: &PeerMessage) -> Vec<(HostId, u64)> {
        let mut links = self.links.borrow_mut();
        links.iter_mut().map(|(host, link)| (*host, link.push(message.clone()))).collect()
    }

    /// Registers a feed; the receiver wakes it when there may be something to send.
    pub(super) fn add_feed(&self) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(1);
        self.feeds.borrow_mut().push(sender);
        receiver
    }

    pub(super) fn wake_feeds(&self) {
        self.feeds.borrow_mut().retain_mut(|feed| {
            let full = feed.try_send(()).err().is_some_and(|error| error.is_full());
            full || !feed.is_closed()
        });
    }
}

/// Polls until there is a result; fails with the last error after the time limit.
async fn wait_until<T>(limit: Duration, mut poll: impl FnMut() -> Result<T>) -> Result<T> {
    let deadline = std::time::Instant::now() + limit;
    loop {
        let result = poll();
        if result.is_ok() || std::time::Instant::now() >= deadline {
            return result;
        }
        sleep(POLL_INTERVAL).await;
    }
}
