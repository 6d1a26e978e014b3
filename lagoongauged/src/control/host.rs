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
use super::fault::{Fault, broken};
use super::notify::Notify;
use super::run::HostConfig;
use super::traffic::Traffic;
use super::view::EntryView;
use crate::daemon::Clock;
use crate::engine::Engine;

/// Entry hosts that a control host remembers.
const HEARD: usize = 4096;

/// Messages of the log that wait for a link.
pub const QUEUE: usize = 256;

/// Time in which another control host has to answer.
pub const ANSWER: Duration = Duration::from_secs(2);

/// Shortest time between two published versions, so that a burst of changes goes out as one.
const PUBLISH_GAP: u64 = 500;

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
    pub at: Instant,
}

/// The way to another control host.
#[derive(Default)]
pub struct Link {
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
    pub place: ControlEndpoint,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Its clock.
    pub clock: Clock,
    /// Its replica.
    pub engine: RefCell<Engine<S>>,
    /// What it hands to entry hosts.
    pub source: RefCell<Source>,
    /// Entry hosts that asked it.
    pub heard: RefCell<IndexMap<HostId, EntryReport>>,
    /// What the other control hosts last told of the entry hosts.
    pub views: RefCell<IndexMap<HostId, (Instant, Vec<EntryView>)>>,
    /// The control hosts named by its flags.
    pub first: AddressBook,
    /// Where this host reaches the others, if that differs from where they listen for all.
    pub reach: AddressBook,
    /// Ways to the other control hosts.
    pub links: RefCell<IndexMap<HostId, Link>>,
    /// Woken by each accepted version.
    pub accepted: Notify,
    /// Woken by each published version.
    pub published: Notify,
    /// Bytes of its connections.
    pub traffic: Traffic,
    /// When the leader was last asked, and the version that it confirmed.
    pub confirmed: Cell<Option<(Instant, u64)>>,
    seen: Cell<u64>,
    last_publish: Cell<Instant>,
}

impl<S: Store + 'static> Host<S> {
    /// Builds the shared state of a control host.
    pub fn new(site: HostConfig, place: ControlEndpoint, clock: Clock, engine: Engine<S>) -> Self {
        Self {
            own: site.identity.host,
            place,
            key: site.key,
            clock,
            engine: RefCell::new(engine),
            source: RefCell::default(),
            heard: RefCell::default(),
            views: RefCell::default(),
            first: site.controls,
            reach: site.reach,
            links: RefCell::default(),
            accepted: Notify::default(),
            published: Notify::default(),
            traffic: site.traffic,
            confirmed: Cell::new(None),
            seen: Cell::new(0),
            last_publish: Cell::new(Instant(0)),
        }
    }

    /// Returns the known control hosts: those of the flags, and those of the settings.
    pub fn book(&self) -> AddressBook {
        let mut book = self.first.clone();
        for (host, centre, address) in self.engine.borrow().state().control_hosts() {
            book.insert(host, ControlEndpoint { centre, address });
        }
        book.insert(self.own, self.place);
        book
    }

    /// Returns the address of the host that leads, or an empty text.
    pub fn leader_hint(&self) -> String {
        let leader = self.engine.borrow().leader();
        let place = leader.and_then(|leader| self.book().get(leader));
        place.map_or_else(String::new, |place| place.address.to_string())
    }

    /// Returns the latest accepted version that a quorum confirms after this call began.
    ///
    /// Returns `NotCurrent` where no leader with a lease can be reached.
    pub async fn confirm(&self) -> Result<u64> {
        let asked = self.clock.now();
        if self.engine.borrow().is_leader() {
            return self.confirm_own();
        }
        let version = self.ask_leader().await?;
        self.confirmed.set(Some((asked, version)));
        Ok(version)
    }

    /// Returns the latest accepted version, as the leader knows it.
    pub fn confirm_own(&self) -> Result<u64> {
        let now = self.clock.now();
        let version = self.engine.borrow().read(now).map(|state| state.version())?;
        self.confirmed.set(Some((now, version)));
        Ok(version)
    }

    /// Waits until this host's settings have got to a version, or a second has passed.
    pub async fn reach(&self, version: u64) -> bool {
        let reached = || self.engine.borrow().state().version() >= version;
        let wait = async {
            while !reached() {
                let _ = self.accepted.wait().await;
            }
        };
        reached() || timeout(Duration::from_secs(1), wait).await.is_ok()
    }

    /// Notes what an entry host said; hosts beyond the bound are passed over.
    pub fn record_report(&self, host: HostId, heard: EntryReport) {
        let mut known = self.heard.borrow_mut();
        if known.len() < HEARD || known.contains_key(&host) {
            known.insert(host, heard);
        }
    }

    /// Does what follows from the replica's last step: sends, wakes and publishes.
    pub fn settle(&self) {
        let messages = self.engine.borrow_mut().take_messages();
        messages.iter().for_each(|message| self.send(message));
        self.tell();
    }

    /// Does the same, but returns the messages to a peer that waits for them.
    pub fn settle_for(&self, peer: HostId) -> Vec<Vec<u8>> {
        let messages = self.engine.borrow_mut().take_messages();
        let (back, on): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.to.host == peer);
        on.iter().for_each(|message| self.send(message));
        self.tell();
        back.iter().map(Message::to_bytes).collect()
    }

    /// Takes messages of a peer into the replica; malformed ones are passed over.
    pub fn take<'a>(&self, peer: HostId, messages: impl Iterator<Item = &'a [u8]>) {
        let now = self.clock.now();
        for bytes in messages {
            match Message::from_bytes(bytes) {
                Ok(message) if message.from.host == peer => {
                    self.engine.borrow_mut().handle_message(now, message);
                }
                _ => log::warn!("A message of {peer} was not understood."),
            }
        }
        self.settle();
    }

    fn tell(&self) {
        let version = self.engine.borrow().state().version();
        if version > self.seen.get() {
            self.seen.set(version);
            self.accepted.wake();
        }
        self.publish();
    }

    fn publish(&self) {
        let now = self.clock.now();
        let late = now.since(self.last_publish.get()).0 >= PUBLISH_GAP;
        if !late || self.seen.get() <= self.source.borrow().version() {
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

    async fn ask_leader(&self) -> Result<u64> {
        let lost = || Error::new(Kind::NotCurrent, "no leader can be reached");
        let leader = self.engine.borrow().leader().ok_or_else(lost)?;
        let client = self.client(leader).ok_or_else(lost)?;
        let call = client.confirm_request().send().promise;
        let response = timeout(ANSWER, call).await.map_err(|_| lost())?;
        let response = response.map_err(|error| broken(&error))?;
        let reader = response.get().map_err(|error| broken(&error))?;
        if reader.has_fault() {
            let fault = reader.get_fault().and_then(Fault::read).map_err(|error| broken(&error))?;
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
