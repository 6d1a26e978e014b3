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
use super::fault::{Fault, call_error};
use super::server::host_reader_options;
use super::traffic::Traffic;
use crate::daemon::{Clock, Stop};

/// Time beyond the announced poll wait after which a control host counts as unreachable.
const POLL_GRACE: Duration = Duration::from_millis(1500);

/// Assumed poll wait before a control host has announced one.
const FIRST_POLL_WAIT_MS: u32 = 2000;

/// Delay before the next control host is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without confirmation after which another control host is tried.
const UNCONFIRMED_LIMIT: Span = Span::seconds(6);

/// Time after which the subscription returns to the nearest control host.
const REORDER_INTERVAL: Span = Span::seconds(60);

/// Interval between checks for a stop request.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Parameters of an entry host's subscription.
#[derive(Debug, Clone)]
pub struct Subscriber {
    /// The entry host.
    pub host_id: HostId,
    /// Its data centre.
    pub centre: CentreId,
    /// Control hosts to start with; their replies list all others.
    pub seeds: Vec<SocketAddr>,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Traffic counters of the subscription.
    pub traffic: Traffic,
    /// Progress of the subscription.
    pub progress: Progress,
}

/// Progress of a subscription, shared with the threads of the entry host.
#[derive(Debug, Clone)]
pub struct Progress(Arc<SharedProgress>);

#[derive(Debug)]
struct SharedProgress {
    clock: Clock,
    version: AtomicU64,
    confirmed_at: AtomicU64,
}

impl Default for Progress {
    fn default() -> Self {
        let clock = Clock::start();
        let confirmed_at = AtomicU64::new(clock.now().0);
        Self(Arc::new(SharedProgress { clock, version: AtomicU64::new(0), confirmed_at }))
    }
}

impl Progress {
    /// Returns the applied version; zero before there is one.
    pub fn version(&self) -> u64 {
        self.0.version.load(Ordering::Relaxed)
    }

    /// Returns the time since that version was last confirmed as current.
    pub fn unconfirmed(&self) -> Span {
        self.0.clock.now().since(Instant(self.0.confirmed_at.load(Ordering::Relaxed)))
    }

    fn record(&self, receiver: &Receiver) {
        let now = self.0.clock.now();
        let status = receiver.status(now);
        self.0.version.store(status.version, Ordering::Relaxed);
        self.0.confirmed_at.store((now - status.unconfirmed).0, Ordering::Relaxed);
    }
}

/// Subscribes until `stop` is raised; blocks the calling thread.
///
/// `deliver` applies settings; they are acknowledged once it returns. `report` returns the host's
/// status as a JSON object of at most 4,096 bytes; each entry of its `members` is visible to that
/// member's operators.
pub fn subscribe<D, R>(subscriber: Subscriber, stop: &Stop, deliver: D, report: R)
where
    D: FnMut(Resolved),
    R: Fn() -> String,
{
    let clock = subscriber.progress.0.clock;
    let receiver = Receiver::new(clock.now());
    let control_hosts = AddressBook::default();
    let mut session = Session { subscriber, clock, receiver, control_hosts, deliver, report };
    let stopped = async {
        while !stop.is_raised() {
            sleep(STOP_CHECK_INTERVAL).await;
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
    control_hosts: AddressBook,
    deliver: D,
    report: R,
}

impl<D: FnMut(Resolved), R: Fn() -> String> Session<D, R> {
    async fn run(&mut self) {
        loop {
            let round_start = self.clock.now();
            for address in self.candidates() {
                let result = self.poll_host(address, round_start).await;
                // A held version is applied after the confirmation wait even if no host answers.
                self.apply_outcome(Outcome::Unchanged);
                match result {
                    Ok(()) => break,
                    Err(error) => log::warn!("stopped polling control host {address}: {error}"),
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Polls one control host until it fails; `Ok` if a nearer one should be tried instead.
    async fn poll_host(&mut self, address: SocketAddr, round_start: Instant) -> Result<()> {
        let is_seed = self.control_hosts.is_empty();
        let socket_address = address;
        let address = address.to_string();
        let Subscriber { host_id, key, traffic, .. } = &self.subscriber;
        let (reader, writer) = connection::dial(&address, *host_id, key, traffic).await?;
        let side = rpc_twoparty_capnp::Side::Client;
        let network = twoparty::VatNetwork::new(reader, writer, side, host_reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: control::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let polling =
            self.poll_loop(client, socket_address, if is_seed { None } else { Some(round_start) });
        match select(system, pin!(polling)).await {
            Either::Left((result, _)) => result.map_err(|error| call_error(&error)),
            Either::Right((result, _)) => result,
        }
    }

    /// Polls until the control host fails or stays unconfirmed, or a nearer one should be tried.
    /// Without `round_start`, a nearer one is tried as soon as there is a table, because this
    /// control host is a seed, chosen before the others were known.
    async fn poll_loop(
        &mut self,
        client: control::Client,
        address: SocketAddr,
        round_start: Option<Instant>,
    ) -> Result<()> {
        let mut wait_ms = FIRST_POLL_WAIT_MS;
        let start = self.clock.now();
        loop {
            let requested_at = self.clock.now();
            let limit = Duration::from_millis(u64::from(wait_ms)) + POLL_GRACE;
            let answer = timeout(limit, self.poll(&client)).await.map_err(|_| {
                Error::new(Kind::Unreachable, "the control host did not answer in time")
            })?;
            let (offer, next_wait_ms) = answer?;
            wait_ms = next_wait_ms;
            let outcome = self.receiver.handle_offer(requested_at, self.clock.now(), &offer);
            self.apply_outcome(outcome);
            let now = self.clock.now();
            let unconfirmed = self.receiver.status(now).unconfirmed;
            if unconfirmed >= UNCONFIRMED_LIMIT && now.since(start) >= UNCONFIRMED_LIMIT {
                return Err(Error::new(
                    Kind::NotCurrent,
                    "the control host has no contact with a quorum",
                ));
            }
            let is_due =
                round_start.is_none_or(|round_start| now.since(round_start) >= REORDER_INTERVAL);
            if is_due
                && self.receiver.table_version().is_some()
                && self.candidates().first() != Some(&address)
            {
                return Ok(());
            }
            if offer.update.is_none() && self.receiver.table_version().is_none() {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn poll(&mut self, client: &control::Client) -> Result<(Offer, u32)> {
        let mut request = client.poll_request();
        self.fill_request(request.get());
        let response = request.send().promise.await.map_err(|error| call_error(&error))?;
        let reader = response.get().map_err(|error| call_error(&error))?;
        if reader.has_fault() {
            let fault =
                reader.get_fault().and_then(Fault::read).map_err(|error| call_error(&error))?;
            return Err(fault.error);
        }
        let controls = reader.get_controls().map_err(|error| call_error(&error))?;
        if !controls.is_empty() {
            self.control_hosts = AddressBook::default();
            self.control_hosts.read(controls).map_err(|error| call_error(&error))?;
        }
        let update = reader.get_update().map_err(|error| call_error(&error))?;
        let update = if update.is_empty() { None } else { Some(Update::decode(update)?) };
        let (version, current) = (reader.get_version(), reader.get_current());
        Ok((Offer { version, current, update }, reader.get_wait()))
    }

    fn fill_request(&self, mut request: control::poll_params::Builder<'_>) {
        let status = self.receiver.status(self.clock.now());
        request.set_host(self.subscriber.host_id.0);
        request.set_centre(self.subscriber.centre.0);
        request.set_version(status.version);
        request.set_unconfirmed(status.unconfirmed.0);
        request.set_report((self.report)());
        request.set_book(self.control_hosts.digest());
        if let Some(table_version) = self.receiver.table_version() {
            request.set_digest(&table_version.digest.0.to_le_bytes());
        }
    }

    /// Applies a new version, also one that was held back until the confirmation wait ended.
    fn apply_outcome(&mut self, outcome: Outcome) {
        let held_outcome = self.receiver.tick(self.clock.now());
        if outcome == Outcome::Applied || held_outcome == Outcome::Applied {
            match self.receiver.resolved() {
                Ok(Some(resolved)) => (self.deliver)(resolved),
                Ok(None) => {}
                Err(error) => log::error!("failed to apply the settings: {error}"),
            }
        }
        self.subscriber.progress.record(&self.receiver);
    }

    /// Returns the addresses to poll: known control hosts, nearest first, then the seeds.
    fn candidates(&self) -> Vec<SocketAddr> {
        let (host_id, centre) = (self.subscriber.host_id, self.subscriber.centre);
        let ordered = rank_control_hosts(host_id, centre, &self.control_hosts.centres());
        let known = ordered.into_iter().filter_map(|control| self.control_hosts.get(control));
        let mut addresses: Vec<SocketAddr> = known.map(|endpoint| endpoint.address).collect();
        addresses.extend(&self.subscriber.seeds);
        let mut seen = HashSet::new();
        addresses.retain(|address| seen.insert(*address));
        addresses
    }
}
