//! State shared by the tasks of one control host.

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

/// Maximum number of entry hosts whose reports are kept.
const MAX_ENTRY_HOSTS: usize = 4096;

/// Capacity of a link's queue of replication messages.
pub const LINK_QUEUE_MESSAGES: usize = 256;

/// Time limit for calls to other control hosts.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between published versions, so that a burst of changes is published as one.
const MIN_PUBLISH_INTERVAL_MS: u64 = 500;

/// The last report of an entry host.
#[derive(Debug, Clone)]
pub struct EntryReport {
    /// Its data centre.
    pub centre: CentreId,
    /// Version applied there.
    pub version: u64,
    /// Milliseconds since that version was last confirmed, as of the report.
    pub unconfirmed: u64,
    /// Its status report, as JSON.
    pub report: String,
    /// When the report arrived.
    pub received_at: Instant,
}

/// Connection to another control host.
#[derive(Default)]
pub struct PeerLink {
    /// Messages to be sent; `None` without a task that sends them.
    pub queue: Option<mpsc::Sender<Vec<u8>>>,
    /// RPC client of the other host, while connected.
    pub client: Option<control::Client>,
}

/// State of one control host, shared by the tasks of its thread.
pub struct Host<S> {
    /// Its id.
    pub own: HostId,
    /// Its listen address and data centre.
    pub endpoint: ControlEndpoint,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Its clock.
    pub clock: Clock,
    /// Its replica.
    pub engine: RefCell<Engine<S>>,
    /// Resolved settings published to entry hosts.
    pub source: RefCell<Source>,
    /// Last reports of the entry hosts that poll it.
    pub entry_reports: RefCell<IndexMap<HostId, EntryReport>>,
    /// Last known views of the entry hosts from the other control hosts.
    pub peer_views: RefCell<IndexMap<HostId, (Instant, Vec<EntryView>)>>,
    /// The control hosts given by its flags.
    pub seeds: AddressBook,
    /// Addresses at which this host connects to the others, where they differ from the listen
    /// addresses.
    pub dial_addresses: AddressBook,
    /// Links to the other control hosts.
    pub links: RefCell<IndexMap<HostId, PeerLink>>,
    /// Notified of each accepted version.
    pub accepted: Notify,
    /// Notified of each published version.
    pub published: Notify,
    /// Traffic counters of its connections.
    pub traffic: Traffic,
    /// Time of the last confirmation request to the leader, and the confirmed version.
    pub confirmed: Cell<Option<(Instant, u64)>>,
    accepted_version: Cell<u64>,
    last_publish: Cell<Instant>,
}

impl<S: Store + 'static> Host<S> {
    /// Creates the shared state of a control host.
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

    /// Returns the known control hosts, from the flags and the settings.
    pub fn address_book(&self) -> AddressBook {
        let mut book = self.seeds.clone();
        for (host, centre, address) in self.engine.borrow().state().control_hosts() {
            book.insert(host, ControlEndpoint { centre, address });
        }
        book.insert(self.own, self.endpoint);
        book
    }

    /// Returns the address of the leader, or an empty string.
    pub fn leader_hint(&self) -> String {
        let leader = self.engine.borrow().leader();
        let endpoint = leader.and_then(|leader| self.address_book().get(leader));
        endpoint.map_or_else(String::new, |endpoint| endpoint.address.to_string())
    }

    /// Returns the latest accepted version, confirmed by a quorum after the start of this call.
    ///
    /// Returns `NotCurrent` if no leader with a lease can be reached, and `Unreachable` if the call
    /// to the leader fails.
    pub async fn confirm(&self) -> Result<u64> {
        let requested_at = self.clock.now();
        if self.engine.borrow().is_leader() {
            return self.confirm_as_leader();
        }
        let version = self.confirm_with_leader().await?;
        self.confirmed.set(Some((requested_at, version)));
        Ok(version)
    }

    /// Returns the latest accepted version; fails unless this host leads with a lease.
    pub fn confirm_as_leader(&self) -> Result<u64> {
        let now = self.clock.now();
        let version = self.engine.borrow().read(now).map(|state| state.version())?;
        self.confirmed.set(Some((now, version)));
        Ok(version)
    }

    /// Waits up to one second until this host has applied a version; returns whether it has.
    pub async fn wait_applied(&self, version: u64) -> bool {
        let is_applied = || self.engine.borrow().state().version() >= version;
        let wait = async {
            while !is_applied() {
                let _ = self.accepted.wait().await;
            }
        };
        is_applied() || timeout(Duration::from_secs(1), wait).await.is_ok()
    }

    /// Records an entry host's report; ignores new hosts beyond the limit.
    pub fn record_report(&self, host: HostId, report: EntryReport) {
        let mut reports = self.entry_reports.borrow_mut();
        if reports.len() < MAX_ENTRY_HOSTS || reports.contains_key(&host) {
            reports.insert(host, report);
        }
    }

    /// Processes the effects of the replica's last step: sends messages, notifies and publishes.
    pub fn process_effects(&self) {
        let messages = self.engine.borrow_mut().take_messages();
        messages.iter().for_each(|message| self.send(message));
        self.notify_and_publish();
    }

    /// Like [`Host::process_effects`], but returns the messages to `peer`, which awaits a reply.
    pub fn process_effects_for(&self, peer: HostId) -> Vec<Vec<u8>> {
        let messages = self.engine.borrow_mut().take_messages();
        let (replies, others): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.to.host == peer);
        others.iter().for_each(|message| self.send(message));
        self.notify_and_publish();
        replies.iter().map(Message::to_bytes).collect()
    }

    /// Passes a peer's messages to the replica; ignores those that are malformed or name another
    /// sender.
    pub fn handle_messages<'a>(&self, peer: HostId, messages: impl Iterator<Item = &'a [u8]>) {
        let now = self.clock.now();
        for bytes in messages {
            match Message::from_bytes(bytes) {
                Ok(message) if message.from.host == peer => {
                    self.engine.borrow_mut().handle_message(now, message);
                }
                _ => log::warn!("ignored a message from {peer}: malformed or from another sender"),
            }
        }
        self.process_effects();
    }

    fn notify_and_publish(&self) {
        let version = self.engine.borrow().state().version();
        if version > self.accepted_version.get() {
            self.accepted_version.set(version);
            self.accepted.wake();
        }
        self.publish();
    }

    /// Publishes the accepted version; a later tick does so if the last publication is too recent.
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
            // The message is dropped if the queue is full; the replica resends it.
            let _ = queue.try_send(message.to_bytes());
        }
    }

    async fn confirm_with_leader(&self) -> Result<u64> {
        let no_leader = || Error::new(Kind::NotCurrent, "no leader is reachable");
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

    /// Returns the RPC client of another control host, while connected to it.
    pub fn client(&self, host: HostId) -> Option<control::Client> {
        self.links.borrow().get(&host).and_then(|link| link.client.clone())
    }
}

/// Shared handle to a control host's state.
pub type SharedHost<S> = Rc<Host<S>>;
