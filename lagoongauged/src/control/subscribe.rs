//! An entry host's subscription to the settings.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::executor::LocalPool;
use futures::future::{Either, select};

use lagoongauge::distribute::{Offer, Outcome, Receiver, Update, rank_control_hosts};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::settings::Resolved;
use lagoongauge::time::{Instant, Span};
use lagoongauge::wire::ClusterKey;
use lagoongauge_schema::control_capnp::control;

use super::address_book::AddressBook;
use super::connection;
use super::fault::{Fault, broken};
use super::server::host_options;
use super::traffic::Traffic;
use crate::daemon::{Clock, Stop};

/// Time beyond the announced wait after which a control host counts as lost.
const LATE: Duration = Duration::from_millis(1500);

/// Time in which the first answer has to come.
const FIRST_WAIT: u32 = 2000;

/// Pause before the next control host is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// Time without a confirmation after which another control host is tried.
const UNCONFIRMED: Span = Span::seconds(6);

/// Time after which the nearest control host is tried again.
const REORDER: Span = Span::seconds(60);

/// Pause between two checks whether the subscription has to end.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// How an entry host subscribes.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// The entry host.
    pub host_id: HostId,
    /// Its data centre.
    pub centre: CentreId,
    /// Control hosts to begin with; their answers tell of all.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Counts the bytes of the subscription.
    pub traffic: Traffic,
    /// Shows how far the subscription has got.
    pub progress: Progress,
}

/// How far a subscription has got, for the threads of the entry host.
#[derive(Debug, Clone)]
pub struct Progress(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    version: AtomicU64,
    confirmed: AtomicU64,
}

impl Default for Progress {
    fn default() -> Self {
        let clock = Clock::start();
        let confirmed = AtomicU64::new(clock.now().0);
        Self(Arc::new(Shared { clock, version: AtomicU64::new(0), confirmed }))
    }
}

impl Progress {
    /// Returns the version in force; zero before there is one.
    pub fn version(&self) -> u64 {
        self.0.version.load(Ordering::Relaxed)
    }

    /// Returns how long that version has not been confirmed as current.
    pub fn unconfirmed(&self) -> Span {
        self.0.clock.now().since(Instant(self.0.confirmed.load(Ordering::Relaxed)))
    }

    fn note(&self, receiver: &Receiver) {
        let now = self.0.clock.now();
        let status = receiver.status(now);
        self.0.version.store(status.version, Ordering::Relaxed);
        self.0.confirmed.store((now - status.unconfirmed).0, Ordering::Relaxed);
    }
}

/// Subscribes until `stop` is raised; blocks the calling thread.
///
/// `deliver` puts settings in force; they are acknowledged once it returns. `report` gives the
/// host's status as a JSON object, whose `members` are shown each to its own operators; it has at
/// most 4,096 bytes.
pub fn subscribe<D, R>(subscriber: Subscriber, stop: &Stop, deliver: D, report: R)
where
    D: FnMut(Resolved),
    R: Fn() -> String,
{
    let clock = subscriber.progress.0.clock;
    let receiver = Receiver::new(clock.now());
    let book = AddressBook::default();
    let mut session = Session { subscriber, clock, receiver, book, deliver, report };
    let stopped = async {
        while !stop.is_raised() {
            sleep(STOP_CHECK).await;
        }
    };
    LocalPool::new().run_until(async {
        let _ = select(pin!(stopped), pin!(session.run())).await;
    });
}

struct Session<D, R> {
    subscriber: Subscriber,
    clock: Clock,
    receiver: Receiver,
    book: AddressBook,
    deliver: D,
    report: R,
}

impl<D: FnMut(Resolved), R: Fn() -> String> Session<D, R> {
    async fn run(&mut self) {
        loop {
            let round = self.clock.now();
            for address in self.addresses() {
                let asked = self.ask(address, round).await;
                self.settle(Outcome::Unchanged);
                match asked {
                    Ok(()) => break,
                    Err(error) => log::warn!("The settings are asked for elsewhere: {error}."),
                }
                sleep(PAUSE).await;
            }
        }
    }

    /// Polls one control host; ends well where the nearest one is to be tried instead.
    async fn ask(&mut self, address: SocketAddr, round: Instant) -> Result<()> {
        let seed = self.book.is_empty();
        let place = address;
        let address = address.to_string();
        let Subscriber { host_id, key, traffic, .. } = &self.subscriber;
        let (reader, writer) = connection::dial(&address, *host_id, key, traffic).await?;
        let side = rpc_twoparty_capnp::Side::Client;
        let network = twoparty::VatNetwork::new(reader, writer, side, host_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: control::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let polling = self.poll_all(client, place, if seed { None } else { Some(round) });
        match select(system, pin!(polling)).await {
            Either::Left((ended, _)) => ended.map_err(|error| broken(&error)),
            Either::Right((polled, _)) => polled,
        }
    }

    /// Polls until the control host is lost or stays unconfirmed, or a nearer one is due; that is
    /// at once if there is no round, as the first host was only one of those given at the start.
    async fn poll_all(
        &mut self,
        client: control::Client,
        address: SocketAddr,
        round: Option<Instant>,
    ) -> Result<()> {
        let mut wait = FIRST_WAIT;
        let began = self.clock.now();
        loop {
            let asked = self.clock.now();
            let late = Duration::from_millis(u64::from(wait)) + LATE;
            let answer = timeout(late, self.poll(&client)).await.map_err(|_| {
                Error::new(Kind::Unreachable, "the control host did not answer in time")
            })?;
            let (offer, next) = answer?;
            wait = next;
            let outcome = self.receiver.handle_offer(asked, self.clock.now(), &offer);
            self.settle(outcome);
            let now = self.clock.now();
            let unconfirmed = self.receiver.status(now).unconfirmed;
            if unconfirmed >= UNCONFIRMED && now.since(began) >= UNCONFIRMED {
                return Err(Error::new(Kind::NotCurrent, "the control host knows of no quorum"));
            }
            let due = round.is_none_or(|round| now.since(round) >= REORDER);
            if due
                && self.receiver.table_version().is_some()
                && self.addresses().first() != Some(&address)
            {
                return Ok(());
            }
            if offer.update.is_none() && self.receiver.table_version().is_none() {
                sleep(PAUSE).await;
            }
        }
    }

    async fn poll(&mut self, client: &control::Client) -> Result<(Offer, u32)> {
        let mut request = client.poll_request();
        self.fill(request.get());
        let response = request.send().promise.await.map_err(|error| broken(&error))?;
        let reader = response.get().map_err(|error| broken(&error))?;
        if reader.has_fault() {
            let fault = reader.get_fault().and_then(Fault::read).map_err(|error| broken(&error))?;
            return Err(fault.error);
        }
        let controls = reader.get_controls().map_err(|error| broken(&error))?;
        if !controls.is_empty() {
            self.book = AddressBook::default();
            self.book.read(controls).map_err(|error| broken(&error))?;
        }
        let update = reader.get_update().map_err(|error| broken(&error))?;
        let update = if update.is_empty() { None } else { Some(Update::decode(update)?) };
        let (version, current) = (reader.get_version(), reader.get_current());
        Ok((Offer { version, current, update }, reader.get_wait()))
    }

    fn fill(&self, mut request: control::poll_params::Builder<'_>) {
        let status = self.receiver.status(self.clock.now());
        request.set_host(self.subscriber.host_id.0);
        request.set_centre(self.subscriber.centre.0);
        request.set_version(status.version);
        request.set_unconfirmed(status.unconfirmed.0);
        request.set_report((self.report)());
        request.set_book(self.book.digest());
        if let Some(have) = self.receiver.table_version() {
            request.set_digest(&have.digest.0.to_le_bytes());
        }
    }

    /// Puts an adopted version in force, also one that was held until the patience ended.
    fn settle(&mut self, outcome: Outcome) {
        let held = self.receiver.tick(self.clock.now());
        if outcome == Outcome::Applied || held == Outcome::Applied {
            match self.receiver.resolved() {
                Ok(Some(resolved)) => (self.deliver)(resolved),
                Ok(None) => {}
                Err(error) => log::error!("The settings can't be put in force: {error}."),
            }
        }
        self.subscriber.progress.note(&self.receiver);
    }

    /// Returns where to ask, the nearest first; those given at the start count where the control
    /// hosts named no others yet.
    fn addresses(&self) -> Vec<SocketAddr> {
        let (own, centre) = (self.subscriber.host_id, self.subscriber.centre);
        let ordered = rank_control_hosts(own, centre, &self.book.centres());
        let known = ordered.into_iter().filter_map(|control| self.book.get(control));
        let mut addresses: Vec<SocketAddr> = known.map(|place| place.address).collect();
        addresses.extend(&self.subscriber.seeds);
        let mut seen = HashSet::new();
        addresses.retain(|address| seen.insert(*address));
        addresses
    }
}
