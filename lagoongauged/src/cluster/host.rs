//! What the tasks of a control host share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::sleep;
use futures::channel::mpsc;
use indexmap::IndexMap;
use lagoongauge::catalog::{CatalogStore, Document};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::replica::{Message, Store};
use lagoongauge::roster::{Entry, Heartbeat, MergeOutcome, Phase, Roster};
use lagoongauge::time::{Instant, Span};

use super::bounds::Bounds;
use super::compressed::CompressedDocument;
use super::link::Link;
use super::message::PeerMessage;
use super::metrics::Metrics;
use crate::daemon::Clock;
use crate::engine::Engine;

/// Time in which a change of the roster has to reach most control hosts before it is promised.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Time in which a read has to be confirmed by a quorum.
pub(super) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// Time without word from a quorum after which this host does not count as current.
const QUORUM_TIMEOUT: Span = Span::millis(1000);

/// Time for which an entry host that no control host feeds is still named to others.
const ENTRY_HOST_TTL: Span = Span::seconds(4);

/// Beats that are collected before they go to the other control hosts.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);

/// What a control host is started with.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Who it is.
    pub host: HostId,
    /// Port between hosts, the same everywhere.
    pub port: u16,
    /// Port at which this host listens; another one where something forwards the common port.
    pub listen_port: u16,
    /// Control hosts that it knows from its settings.
    pub seeds: Vec<HostId>,
    /// Interval at which targets announce themselves.
    pub announce_interval: Span,
    /// How long things may take.
    pub bounds: Bounds,
}

/// An entry host that some control host feeds.
#[derive(Debug, Clone)]
struct EntryHost {
    centre: String,
    last_heard: Instant,
}

/// A control host.
pub struct Host<S> {
    /// What it was started with.
    pub setup: Setup,
    /// Its clock.
    pub clock: Clock,
    pub(super) engine: RefCell<Engine<S, CatalogStore>>,
    pub(super) roster: RefCell<Roster>,
    pub(super) links: RefCell<IndexMap<HostId, Link>>,
    entry_hosts: RefCell<IndexMap<HostId, EntryHost>>,
    heartbeats: RefCell<IndexMap<TargetId, Heartbeat>>,
    feeds: RefCell<Vec<mpsc::Sender<()>>>,
    /// Whether the host was in touch with a quorum when it last looked.
    was_current: Cell<bool>,
    /// The newest document as entry hosts get it.
    compressed: RefCell<Rc<CompressedDocument>>,
    metrics: Metrics,
}

/// A control host as its tasks hold it.
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
            engine: RefCell::new(engine),
            roster,
            links: RefCell::default(),
            entry_hosts: RefCell::default(),
            heartbeats: RefCell::default(),
            feeds: RefCell::default(),
            was_current: Cell::new(false),
            compressed: RefCell::default(),
            metrics,
        }
    }

    /// Takes over what a former process knew of targets.
    pub(super) fn restore_targets(&self, entries: Vec<Entry>) {
        log::info!("{} targets are known from before", entries.len());
        self.roster.borrow_mut().restore(self.clock.now(), entries);
    }

    /// Returns the host that leads, where it is known.
    pub fn leader(&self) -> Option<HostId> {
        self.engine.borrow().leader()
    }

    /// Returns how many control hosts vote.
    pub fn voter_count(&self) -> usize {
        self.engine.borrow().voter_count()
    }

    /// Tells whether this host is in touch with a quorum.
    pub fn is_current(&self) -> bool {
        self.engine.borrow().is_current(self.clock.now(), QUORUM_TIMEOUT)
    }

    /// Returns the newest document that is known to be accepted.
    pub fn document(&self) -> Arc<Document> {
        self.engine.borrow().state().document()
    }

    /// Returns the newest document as entry hosts get it; it is compressed once.
    pub(super) fn compressed_document(&self) -> Rc<CompressedDocument> {
        let document = self.document();
        if self.compressed.borrow().version != document.version {
            match CompressedDocument::compress(&document) {
                Ok(compressed) => *self.compressed.borrow_mut() = Rc::new(compressed),
                Err(error) => log::error!("version {} can't be packed: {error}", document.version),
            }
        }
        Rc::clone(&self.compressed.borrow())
    }

    /// Returns all control hosts that this one knows, itself among them.
    pub fn controls(&self) -> Vec<HostId> {
        let mut hosts: Vec<HostId> = vec![self.setup.host];
        let engine = self.engine.borrow();
        let members = engine.members().into_iter().map(|member| member.host);
        for host in members.chain(self.links.borrow().keys().copied()) {
            if !hosts.contains(&host) {
                hosts.push(host);
            }
        }
        hosts
    }

    /// Returns the entry hosts that are fed by any control host, with their data centres.
    pub fn entry_hosts(&self) -> Vec<(HostId, String)> {
        let now = self.clock.now();
        let mut entry_hosts = self.entry_hosts.borrow_mut();
        entry_hosts.retain(|_, entry| now.since(entry.last_heard) < ENTRY_HOST_TTL);
        entry_hosts.iter().map(|(host, entry)| (*host, entry.centre.clone())).collect()
    }

    /// Accepts a document, or finds that its version or a later one is held.
    ///
    /// Fails with `NotLeader` or `NoQuorum` if it never runs, with `Unknown` if it may.
    pub async fn propose_document(&self, document: &Document) -> Result<()> {
        self.check_bootstrapped()?;
        let now = self.clock.now();
        let pending = self.engine.borrow_mut().submit(now, document.to_bytes());
        self.flush();
        let result = pending?.await;
        let aborted = |_| Error::new(Kind::UnknownOutcome, "the replica was started anew");
        result.map_err(aborted)??;
        self.metrics.observe_change(self.clock.now().since(now).0 as f64 / 1000.0);
        Ok(())
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render(self).unwrap_or_else(|error| {
            log::error!("the metrics can't be rendered: {error}");
            String::new()
        })
    }

    /// Counts targets that serve, are silent, drain and have gone.
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

    /// Returns the newest document, confirmed by a quorum after this call.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` where no quorum answers in time.
    pub async fn read_document(&self) -> Result<Arc<Document>> {
        let arrived = self.clock.now();
        sleep(Duration::from_millis(1)).await;
        self.engine.borrow_mut().confirm_leadership(self.clock.now());
        self.flush();
        wait_until(CONFIRM_TIMEOUT, || {
            match self.engine.borrow().read_after(arrived).map(CatalogStore::document) {
                Err(error) if error.kind == Kind::NotCurrent => Err(error),
                result => Ok(result),
            }
        })
        .await?
    }

    /// Takes a target's announcement and returns what it changed.
    ///
    /// That a target drains or has gone is promised only once most control hosts know it, as this
    /// one may be lost right after; otherwise fails with `NoQuorum`.
    pub async fn handle_announcement(&self, entry: Entry) -> Result<MergeOutcome> {
        let now = self.clock.now();
        let heartbeat = Heartbeat {
            target: entry.target,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        };
        let (target, announced_phase) = (entry.target, entry.phase);
        let merged = self.roster.borrow_mut().merge(now, entry);
        let entry = self.roster.borrow().get(target).map(|record| record.entry.clone());
        let Some(entry) = entry else { return Ok(merged) };
        // A repeated end was perhaps promised to nobody when it first came.
        let leaving = match merged {
            MergeOutcome::Stale => announced_phase != Phase::Serving,
            MergeOutcome::Refreshed | MergeOutcome::Changed => entry.phase != Phase::Serving,
        };
        match merged {
            MergeOutcome::Changed => log::info!(
                "target {target} of service {} at {} is {:?}, incarnation {}, announcement {}",
                entry.service,
                entry.address,
                entry.phase,
                entry.incarnation,
                entry.sequence
            ),
            MergeOutcome::Refreshed => {
                self.heartbeats.borrow_mut().insert(target, heartbeat);
            }
            MergeOutcome::Stale => {}
        }
        if leaving {
            return self
                .replicate(target, &PeerMessage::Targets(vec![entry]))
                .await
                .map(|()| merged);
        }
        if merged == MergeOutcome::Changed {
            self.broadcast(&PeerMessage::Targets(vec![entry]));
            self.wake_feeds();
        }
        Ok(merged)
    }

    /// Notes that a target has ended; fails with `NoQuorum` like [`Self::handle_announcement`].
    ///
    /// A host that does not know the target, as it started after its last announcement, tells the
    /// others, which may.
    pub async fn handle_leave(&self, target: TargetId) -> Result<()> {
        let left = self.roster.borrow_mut().leave(self.clock.now(), target);
        if let Some(Entry { service, address, .. }) = left {
            log::info!("target {target} of service {service} at {address} has ended");
        }
        let known = self.roster.borrow().get(target).map(|record| record.entry.clone());
        let message = known
            .map_or(PeerMessage::TargetLeft(target), |entry| PeerMessage::Targets(vec![entry]));
        self.replicate(target, &message).await
    }

    /// Makes sure that most control hosts know what is told of a target.
    async fn replicate(&self, target: TargetId, message: &PeerMessage) -> Result<()> {
        let receipts = self.broadcast(message);
        self.wake_feeds();
        let voters = self.engine.borrow().voter_count();
        wait_until(REPLICATION_TIMEOUT, || {
            let count = 1 + self.count_acknowledged(&receipts);
            if count > voters / 2 {
                return Ok(());
            }
            let detail = format!("only {count} control hosts know the state of {target}");
            Err(Error::new(Kind::NoQuorum, detail))
        })
        .await
    }

    fn count_acknowledged(&self, receipts: &[(HostId, u64)]) -> usize {
        let links = self.links.borrow();
        let acknowledged = |(host, number): &&(HostId, u64)| {
            links.get(host).is_some_and(|link| link.is_acknowledged(*number))
        };
        receipts.iter().filter(acknowledged).count()
    }

    /// Takes a message of another control host.
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
                    let version = self.document().version;
                    self.engine.borrow_mut().handle_message(now, message);
                    self.flush();
                    if self.document().version != version {
                        self.wake_feeds();
                    }
                }
                Err(error) => log::warn!("a message of control host {from} is dropped: {error}"),
            },
            PeerMessage::Targets(entries) => self.update_roster(|roster| {
                for entry in entries {
                    roster.merge(now, entry);
                }
            }),
            PeerMessage::TargetLeft(target) => self.update_roster(|roster| {
                roster.leave(now, target);
            }),
            PeerMessage::Heartbeats(heartbeats) => self.update_roster(|roster| {
                for heartbeat in heartbeats {
                    roster.handle_heartbeat(now, heartbeat);
                }
            }),
        }
    }

    /// Lets the roster take something in, and wakes the feeds if that changed it.
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

    /// Notes that an entry host is fed.
    pub(super) fn record_entry_host(&self, host: HostId, centre: String) {
        let last_heard = self.clock.now();
        self.entry_hosts.borrow_mut().insert(host, EntryHost { centre, last_heard });
    }

    /// Makes links to control hosts that were not known before.
    pub fn add_controls(&self, hosts: &[HostId]) {
        let mut links = self.links.borrow_mut();
        for host in hosts.iter().filter(|host| **host != self.setup.host) {
            links.entry(*host).or_default();
        }
        let known: Vec<HostId> = links.keys().copied().collect();
        drop(links);
        self.engine.borrow_mut().set_seeds(known);
    }

    /// Sends what the replica wants to be sent, and tells the feeds of a later catalog.
    pub(super) fn flush(&self) {
        let messages = self.engine.borrow_mut().take_messages();
        let mut links = self.links.borrow_mut();
        for message in messages {
            let link = links.entry(message.to.host).or_default();
            link.push(PeerMessage::Log(message.to_bytes()));
        }
    }

    /// Lets time pass.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let version = self.document().version;
        self.engine.borrow_mut().tick(now);
        self.flush();
        let newly_silent = self.roster.borrow_mut().tick(now);
        for target in &newly_silent {
            log::warn!("target {target} has missed several announcements and counts as silent");
        }
        let current = self.is_current();
        let quorum_changed = self.was_current.replace(current) != current;
        if quorum_changed {
            log::warn!("touch with a quorum of control hosts is now {current}");
        }
        if quorum_changed || !newly_silent.is_empty() || self.document().version != version {
            self.wake_feeds();
        }
    }

    /// Sends to all control hosts; returns what tells for each whether it has taken the message.
    pub(super) fn broadcast(&self, message: &PeerMessage) -> Vec<(HostId, u64)> {
        let mut links = self.links.borrow_mut();
        links.iter_mut().map(|(host, link)| (*host, link.push(message.clone()))).collect()
    }

    /// Adds a feed, which is woken when there may be something to send.
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

    fn check_bootstrapped(&self) -> Result<()> {
        let (voters, seeds) = (self.engine.borrow().voter_count(), self.setup.seeds.len());
        let bootstrapped = self.document().version > 0 || voters >= seeds;
        let is_leader = self.engine.borrow().is_leader();
        if bootstrapped || !is_leader {
            return Ok(());
        }
        let detail = format!("{voters} of the {seeds} first control hosts vote so far");
        Err(Error::new(Kind::NoQuorum, detail))
    }
}

/// Looks again and again until there is a result; fails with the last error once time is over.
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

/// Sends collected beats to the other control hosts now and then, and the lists of hosts.
pub(super) async fn gossip<S: Store + 'static>(host: SharedHost<S>) {
    let mut round = 0u64;
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let heartbeats: Vec<Heartbeat> = host.heartbeats.take().into_values().collect();
        if !heartbeats.is_empty() {
            host.broadcast(&PeerMessage::Heartbeats(heartbeats));
        }
        if round.is_multiple_of(3) {
            let (controls, entry_hosts) = (host.controls(), host.entry_hosts());
            host.broadcast(&PeerMessage::Hosts { controls, entry_hosts });
        }
        round += 1;
    }
}
