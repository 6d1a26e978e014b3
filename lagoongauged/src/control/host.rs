//! What the tasks of one control host share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use futures::channel::mpsc;
use indexmap::IndexMap;

use lagoongauge::distribute::Source;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::{Message, Store};
use lagoongauge::time::Instant;
use lagoongauge::wire::ClusterKey;
use lagoongauge_schema::control_capnp::control;

use super::address_book::{AddressBook, ControlEndpoint};
use super::fault::{Fault, call_error};
use super::notify::Notify;
use super::run::HostConfig;
use super::traffic::Traffic;
use super::view::EntryView;
use crate::daemon::Clock;
use crate::engine::Engine;

/// Entry hosts that a control host remembers.
const MAX_ENTRY_HOSTS: usize = 4096;

/// Messages of the log that wait for a link.
pub const LINK_QUEUE_MESSAGES: usize = 256;

/// Time in which another control host has to answer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time between two published versions, so that a burst of changes goes out as one.
const MIN_PUBLISH_INTERVAL_MS: u64 = 500;

/// An entry host as it was last heard.
#[derive(Debug, Clone)]
pub struct EntryReport {
    /// Its data centre.
    pub centre: CentreId,
    /// Version in force there.
    pub version: u64,
    /// Milliseconds for which that version has not been confirmed.
    pub unconfirmed: u64,
    /// What it reports, as JSON.
    pub report: String,
    /// When it was heard.
    pub received_at: Instant,
}

/// The way to another control host.
#[derive(Default)]
pub struct PeerLink {
    /// Messages to be sent; nothing once the link's task has ended.
    pub queue: Option<mpsc::Sender<Vec<u8>>>,
    /// What the other host offers, while connected.
    pub client: Option<control::Client>,
}

/// State of one control host, shared by the tasks of its thread.
pub struct Host<S> {
    /// Its key.
    pub own: HostId,
    /// Where it listens.
    pub endpoint: ControlEndpoint,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Its clock.
    pub clock: Clock,
    /// Its replica.
    pub engine: RefCell<Engine<S>>,
    /// What it hands to entry hosts.
    pub source: RefCell<Source>,
    /// Entry hosts that asked it.
    pub entry_reports: RefCell<IndexMap<HostId, EntryReport>>,
    /// What the other control hosts last told of the entry hosts.
    pub peer_views: RefCell<IndexMap<HostId, (Instant, Vec<EntryView>)>>,
    /// The control hosts named by its flags.
    pub seeds: AddressBook,
    /// Where this host reaches the others, if that differs from where they listen for all.
    pub dial_addresses: AddressBook,
    /// Ways to the other control hosts.
    pub links: RefCell<IndexMap<HostId, PeerLink>>,
    /// Woken by each accepted version.
    pub accepted: Notify,
    /// Woken by each published version.
    pub published: Notify,
    /// Bytes of its connections.
    pub traffic: Traffic,
    /// When the leader was last asked, and the version that it confirmed.
    pub confirmed: Cell<Option<(Instant, u64)>>,
    accepted_version: Cell<u64>,
    last_publish: Cell<Instant>,
}

impl<S: Store + 'static> Host<S> {
    /// Builds the shared state of a control host.
    pub fn new(
        config: HostConfig,
        endpoint: ControlEndpoint,
        clock: Clock,
        engine: Engine<S>,
    ) -> Self {
        Self {
            own: config.identity.host,
            endpoint,
            key: config.key,
            clock,
            engine: RefCell::new(engine),
            source: RefCell::default(),
            entry_reports: RefCell::default(),
            peer_views: RefCell::default(),
            seeds: config.control_hosts,
            dial_addresses: config.dial_addresses,
            links: RefCell::default(),
            accepted: Notify::default(),
            published: Notify::default(),
            traffic: config.traffic,
            confirmed: Cell::new(None),
            accepted_version: Cell::new(0),
            last_publish: Cell::new(Instant(0)),
        }
    }

    /// Returns the known control hosts: those of the flags, and those of the settings.
    pub fn address_book(&self) -> AddressBook {
        let mut book = self.seeds.clone();
        for (host, centre, address) in self.engine.borrow().state().control_hosts() {
            book.insert(host, ControlEndpoint { centre, address });
        }
        book.insert(self.own, self.endpoint);
        book
    }

    /// Returns the address of the host that leads, or an empty text.
    pub fn leader_hint(&self) -> String {
        let leader = self.engine.borrow().leader();
        let endpoint = leader.and_then(|leader| self.address_book().get(leader));
        endpoint.map_or_else(String::new, |endpoint| endpoint.address.to_string())
    }

    /// Returns the latest accepted version that a quorum confirms after this call began.
    ///
    /// Returns `NotCurrent` where no leader with a lease can be reached.
    pub async fn confirm(&self) -> Result<u64> {
        let requested_at = self.clock.now();
        if self.engine.borrow().is_leader() {
            return self.confirm_as_leader();
        }
        let version = self.confirm_with_leader().await?;
        self.confirmed.set(Some((requested_at, version)));
        Ok(version)
    }

    /// Returns the latest accepted version, as the leader knows it.
    pub fn confirm_as_leader(&self) -> Result<u64> {
        let now = self.clock.now();
        let version = self.engine.borrow().read(now).map(|state| state.version())?;
        self.confirmed.set(Some((now, version)));
        Ok(version)
    }

    /// Waits until this host's settings have got to a version, or a second has passed.
    pub async fn wait_applied(&self, version: u64) -> bool {
        let is_applied = || self.engine.borrow().state().version() >= version;
        let wait = async {
            while !is_applied() {
                let _ = self.accepted.wait().await;
            }
        };
        is_applied() || timeout(Duration::from_secs(1), wait).await.is_ok()
    }

    /// Notes what an entry host said; hosts beyond the bound are passed over.
    pub fn record_report(&self, host: HostId, report: EntryReport) {
        let mut reports = self.entry_reports.borrow_mut();
        if reports.len() < MAX_ENTRY_HOSTS || reports.contains_key(&host) {
            reports.insert(host, report);
        }
    }

    /// Does what follows from the replica's last step: sends, wakes and publishes.
    pub fn process_effects(&self) {
        let messages = self.engine.borrow_mut().take_messages();
        messages.iter().for_each(|message| self.send(message));
        self.notify_accepted();
    }

    /// Does the same, but returns the messages to a peer that waits for them.
    pub fn process_effects_for(&self, peer: HostId) -> Vec<Vec<u8>> {
        let messages = self.engine.borrow_mut().take_messages();
        let (replies, others): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.to.host == peer);
        others.iter().for_each(|message| self.send(message));
        self.notify_accepted();
        replies.iter().map(Message::to_bytes).collect()
    }

    /// Takes messages of a peer into the replica; malformed ones are passed over.
    pub fn handle_messages<'a>(&self, peer: HostId, messages: impl Iterator<Item = &'a [u8]>) {
        let now = self.clock.now();
        for bytes in messages {
            match Message::from_bytes(bytes) {
                Ok(message) if message.from.host == peer => {
                    self.engine.borrow_mut().handle_message(now, message);
                }
                _ => log::warn!("A message of {peer} was not understood."),
            }
        }
        self.process_effects();
    }

    fn notify_accepted(&self) {
        let version = self.engine.borrow().state().version();
        if version > self.accepted_version.get() {
            self.accepted_version.set(version);
            self.accepted.wake();
        }
        self.publish();
    }

    fn publish(&self) {
        let now = self.clock.now();
        let is_due = now.since(self.last_publish.get()).0 >= MIN_PUBLISH_INTERVAL_MS;
        if !is_due || self.accepted_version.get() <= self.source.borrow().version() {
            return;
        }
        self.last_publish.set(now);
        let resolved = self.engine.borrow().state().resolve();
        self.source.borrow_mut().publish(&resolved);
        self.published.wake();
    }

    fn send(&self, message: &Message) {
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(&message.to.host).and_then(|link| link.queue.as_mut());
        if let Some(queue) = link {
            // A full queue loses the message, which the replica sends again.
            let _ = queue.try_send(message.to_bytes());
        }
    }

    async fn confirm_with_leader(&self) -> Result<u64> {
        let no_leader = || Error::new(Kind::NotCurrent, "no leader can be reached");
        let leader = self.engine.borrow().leader().ok_or_else(no_leader)?;
        let client = self.client(leader).ok_or_else(no_leader)?;
        let call = client.confirm_request().send().promise;
        let response = timeout(PEER_CALL_TIMEOUT, call).await.map_err(|_| no_leader())?;
        let response = response.map_err(|error| call_error(&error))?;
        let reader = response.get().map_err(|error| call_error(&error))?;
        if reader.has_fault() {
            let fault =
                reader.get_fault().and_then(Fault::read).map_err(|error| call_error(&error))?;
            return Err(fault.error);
        }
        Ok(reader.get_version())
    }

    /// Returns what another control host offers, while connected to it.
    pub fn client(&self, host: HostId) -> Option<control::Client> {
        self.links.borrow().get(&host).and_then(|link| link.client.clone())
    }
}

/// A host's state that its tasks share.
pub type SharedHost<S> = Rc<Host<S>>;
