//! Runs a control host until it is asked to end.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{sleep, spawn_local};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::{Identity, Limits, Setup as ReplicaSetup, Store, Timing};
use lagoongauge::time::Span;

use super::host::{Host, Setup, SharedHost, gossip};
use super::message::{Hello, host_address};
use super::metrics::Metrics;
use super::roster_file::{RosterFile, keep};
use super::{feed, link};
use crate::daemon::{Clock, Stop};
use crate::engine::Engine;
use crate::frame;

/// Pause between two looks at the clock.
const TICK: Duration = Duration::from_millis(50);

/// Time in which whoever opens a connection has to say who it is.
const HELLO: Duration = Duration::from_secs(2);

/// Silence after which a control host is taken out of the agreement.
const RETIRE: Span = Span::seconds(9);

/// Timeouts of the agreement: a leader is replaced well within a second and a half.
pub(super) const TIMING: Timing = Timing {
    heartbeat: Span::millis(200),
    append_interval: Span::millis(30),
    election_min: Span::millis(700),
    election_max: Span::millis(1200),
    clock_drift: 10,
};

/// Bounds of the agreement: a document is a whole catalog.
const LIMITS: Limits = Limits {
    command_bytes: 700 << 10,
    message_bytes: 64 << 10,
    inflight_entries: 64,
    chunk_bytes: 128 << 10,
    snapshot_bytes: 4 << 20,
    snapshot_interval: 64,
    kept_entries: 8,
};

/// Runs a control host; `serve` gets it once it is set up, to take calls from outside.
///
/// Fails with `Usage` where the address can't be listened on, and with what the store fails with.
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
    replica.retire_after = Some(RETIRE);
    replica.lease_reads = false;
    let engine = Engine::new(replica, store, Vec::new(), clock.now())?;
    let address = host_address(setup.host, setup.listen_port);
    let listener = TcpListener::bind(address).await.map_err(|error| {
        Error::new(Kind::Usage, format!("address {address} can't be listened on: {error}"))
    })?;
    let metrics = Metrics::new()
        .map_err(|error| Error::new(Kind::Internal, format!("metrics can't be made: {error}")))?;
    let host = Rc::new(Host::new(setup, clock, engine, metrics));
    host.add_controls(&host.setup.seeds.clone());
    serve(Rc::clone(&host)).await?;
    spawn_local(accept(Rc::clone(&host), listener));
    host.resume(roster_file.read());
    let writer = roster_file.start().map_err(|error| {
        Error::new(Kind::Internal, format!("the roster can't be kept: {error}"))
    })?;
    spawn_local(keep(Rc::clone(&host), writer));
    spawn_local(gossip(Rc::clone(&host)));
    let mut led = None;
    let mut members = (Vec::new(), Vec::new());
    while !stop.is_raised() {
        host.tick();
        link::open(&host);
        if let Some(error) = host.engine.borrow().failure() {
            return Err(error.clone());
        }
        let leader = host.leader();
        if leader != led {
            log::info!("the leader is {leader:?}, it was {led:?}; {} vote", host.voter_count());
            led = leader;
        }
        let now = host.engine.borrow().membership();
        if now != members {
            let (voters, learners) = (shown(&now.0), shown(&now.1));
            log::info!(
                belief = "members", voters = voters.as_str(), learners = learners.as_str();
                "the members of the agreement are others than before"
            );
            members = now;
        }
        sleep(TICK).await;
    }
    log::info!("the control host ends, as it was asked to");
    Ok(())
}

fn shown(members: &[Identity]) -> String {
    let names: Vec<String> = members.iter().map(ToString::to_string).collect();
    names.join(" ")
}

async fn accept<S: Store + 'static>(host: SharedHost<S>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(attend(Rc::clone(&host), stream));
            }
            Err(error) => {
                log::warn!("no connection can be accepted: {error}");
                sleep(TICK).await;
            }
        }
    }
}

async fn attend<S: Store + 'static>(host: SharedHost<S>, stream: TcpStream) {
    let ended = greet(host, stream).await;
    if let Err(error) = ended {
        log::debug!("a connection between hosts ended: {error}");
    }
}

async fn greet<S: Store + 'static>(host: SharedHost<S>, stream: TcpStream) -> io::Result<()> {
    frame::configure(&stream)?;
    let mut reader = stream.clone();
    match frame::read(&mut reader, HELLO).await? {
        Hello::Control { host: peer } => link::serve(host, peer, stream).await,
        Hello::Entry { host: entry, centre, version, secondary } => {
            log::info!("entry host {entry} of {centre} is fed, it has version {version}");
            let ended = feed::serve(host, entry, centre, (version, secondary), stream).await;
            log::info!("entry host {entry} is fed no longer");
            ended
        }
    }
}
