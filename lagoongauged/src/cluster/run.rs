//! Startup and main loop of a control host.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{sleep, spawn_local};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::{Identity, Limits, Setup as ReplicaSetup, Store, Timing};
use lagoongauge::time::{Instant, Span};

use super::change_log::ChangeLog;
use super::feed::{self, Subscriber};
use super::host::{Host, Setup, SharedHost, gossip};
use super::invitation::invite;
use super::link;
use super::message::{Greeting, Hello, host_address};
use super::metrics::Metrics;
use super::roster_file::{RosterFile, persist_changes};
use crate::daemon::{Clock, Stop, isolate_task, spawn_task};
use crate::engine::Engine;
use crate::frame;

/// Interval between two ticks of the host, and delay after a failed accept.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time from a stop request to the end, in which new requests are refused.
const STOP_DELAY: Span = Span::millis(200);

/// Timeout for the hello message on an accepted connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Silence after which a learner is removed from the consensus group; for voters see
/// `Bounds::gone_after`.
const RETIRE_AFTER: Span = Span::seconds(9);

/// Timeouts of the replicated log, under which a failed leader is replaced well within 1.5 s.
pub(super) const TIMING: Timing = Timing {
    heartbeat: Span::millis(200),
    append_interval: Span::millis(30),
    election_min: Span::millis(700),
    election_max: Span::millis(1200),
    clock_drift: 10,
};

/// Limits of the replicated log; each command holds a whole catalog.
const LIMITS: Limits = Limits {
    command_bytes: 700 << 10,
    message_bytes: 64 << 10,
    inflight_entries: 64,
    chunk_bytes: 128 << 10,
    snapshot_bytes: 4 << 20,
    snapshot_interval: 64,
    kept_entries: 8,
};

/// Runs a control host until `stop` is raised; `serve` receives it after the setup and starts the
/// external endpoints.
///
/// Fails with `Usage` if the address can't be bound, and with the errors of the store.
pub async fn run<S, F>(
    setup: Setup,
    identity: Identity,
    store: S,
    roster_file: RosterFile,
    stop: &Stop,
    serve: F,
) -> Result<()>
where
    S: Store + 'static,
    F: AsyncFnOnce(SharedHost<S>) -> Result<()>,
{
    let clock = Clock::start();
    let mut replica = ReplicaSetup::new(identity, rand::random());
    replica.timing = TIMING;
    replica.gone_after = setup.bounds.gone_after();
    for exceeded in setup.bounds.exceeded() {
        log::warn!("{exceeded}");
    }
    replica.limits = LIMITS;
    replica.disk_losses = setup.disk_losses;
    replica.retire_after = Some(RETIRE_AFTER);
    replica.lease_reads = false;
    let engine = Engine::new(replica, store, Vec::new(), clock.now())?;
    let address = host_address(setup.host, setup.listen_port);
    let listener = TcpListener::bind(address).await.map_err(|error| {
        Error::new(Kind::Usage, format!("failed to listen on {address}: {error}"))
    })?;
    let metrics = Metrics::new().map_err(|error| {
        Error::new(Kind::Internal, format!("failed to register metrics: {error}"))
    })?;
    let host = Rc::new(Host::new(setup, clock, engine, metrics));
    host.add_controls(&host.setup.seeds.clone());
    // The members of the group as stored, of which the settings need not name any.
    host.add_controls(&host.controls());
    serve(Rc::clone(&host)).await?;
    spawn_task("listener", accept_connections(Rc::clone(&host), listener));
    host.restore_targets(roster_file.read());
    let writer = roster_file.start_writer().map_err(|error| {
        Error::new(Kind::Internal, format!("failed to start the roster writer: {error}"))
    })?;
    spawn_task("roster", persist_changes(Rc::clone(&host), writer));
    spawn_task("gossip", gossip(Rc::clone(&host)));
    spawn_task("invitations", invite(Rc::clone(&host)));
    let mut change_log = ChangeLog::default();
    let mut stopped_at = None;
    while !may_end(&host, &mut stopped_at, stop) {
        host.tick();
        link::start_links(&host);
        if let Some(error) = host.engine.borrow().failure() {
            return Err(error.clone());
        }
        change_log.update(&host.engine.borrow());
        sleep(TICK_INTERVAL).await;
    }
    let has_left = host.engine.borrow().has_left();
    log::info!(belief = "departure", has_left = has_left; "control host ends after a stop request");
    Ok(())
}

/// Returns whether the host may end: it was asked to, its vote is not needed any more, and the requests
/// that it had accepted before have been answered, or either has taken too long.
///
/// New ones are refused for [`STOP_DELAY`] at least, so that callers whose connection was accepted
/// learn that nothing ran.
fn may_end<S: Store + 'static>(
    host: &Host<S>,
    stopped_at: &mut Option<Instant>,
    stop: &Stop,
) -> bool {
    if !stop.is_raised() {
        return false;
    }
    host.open_requests.close();
    let now = host.clock.now();
    let waited = now.since(*stopped_at.get_or_insert(now));
    host.leave();
    let is_done = host.open_requests.is_empty() && host.engine.borrow().has_left();
    waited >= host.setup.linger || (waited >= STOP_DELAY && is_done)
}

async fn accept_connections<S: Store + 'static>(host: SharedHost<S>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let task = handle_connection(Rc::clone(&host), peer, stream);
                spawn_local(isolate_task("connection from another host", task));
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                sleep(TICK_INTERVAL).await;
            }
        }
    }
}

async fn handle_connection<S: Store + 'static>(
    host: SharedHost<S>,
    peer: SocketAddr,
    stream: TcpStream,
) {
    let result = serve_connection(host, stream).await;
    if let Err(error) = result {
        log::debug!("connection from {peer} ended: {error}");
    }
}

async fn serve_connection<S: Store + 'static>(
    host: SharedHost<S>,
    stream: TcpStream,
) -> io::Result<()> {
    frame::configure(&stream)?;
    let mut reader = stream.clone();
    let bytes = frame::read_bytes(&mut reader, HELLO_TIMEOUT).await?;
    let Greeting { hello, versions } = Greeting::from_bytes(&bytes)?;
    match hello {
        Hello::Control { host: peer } => link::receive(host, peer, versions, stream).await,
        Hello::Entry { host: entry, centre, version, secondary } => {
            log::info!("entry host {entry} in {centre} subscribed with version {version}");
            let subscriber = Subscriber { entry, centre, version, secondary, versions };
            let result = feed::serve(Rc::clone(&host), subscriber, stream).await;
            host.versions.borrow_mut().remove(entry);
            log::info!("feed of entry host {entry} ended");
            result
        }
    }
}
