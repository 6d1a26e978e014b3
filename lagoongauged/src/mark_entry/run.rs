//! Runs an entry host until it is asked to end.

use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_std::task::{sleep, spawn_local};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::flow::HashKey;
use lagoongauge::id::HostId;
use lagoongauge::mark::{Codec, Router, RouterConfig};
use lagoongauge::time::Span;

use super::decision_log::DecisionLog;
use super::feed::{self, Own, Used};
use super::metrics::Metrics;
use super::state::{Decode, FEEDS, State};
use super::{data_plane, load_reports};
use crate::cluster::message::address_of;
use crate::daemon::{Clock, Stop, spawn};

/// Pause between two looks at what has to be forgotten.
const TICK: Duration = Duration::from_millis(200);

/// Most flows that are remembered; at 100 bytes each they stay within a host's memory.
const MAX_FLOWS: usize = 200_000;

/// Key by which flows are shared out over weighted services; callers gain nothing from it.
const SHARE_KEY: HashKey = HashKey(*b"lagoongauge mark");

/// What an entry host is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who it is.
    pub host: HostId,
    /// Name of its data centre.
    pub centre: String,
    /// Port between hosts, the same everywhere.
    pub port: u16,
    /// Port at which this host listens; another one where something forwards the common port.
    pub listen: u16,
    /// Control hosts that it knows from its settings.
    pub seeds: Vec<HostId>,
    /// Interval at which targets announce themselves.
    pub announce_interval: Span,
    /// Where the fabric hands in packets; callers take packets at its port.
    pub packet_address: SocketAddrV4,
    /// Time from the request to end in which packets are still carried.
    pub linger: Span,
}

/// Runs an entry host; `serve` gets its state once it is set up, to answer calls from outside.
///
/// Fails with `Usage` where an address can't be listened on.
pub async fn run<C, D, F>(
    options: Options,
    codec: C,
    decoder: D,
    stop: &Stop,
    serve: F,
) -> Result<()>
where
    C: Codec + Send + 'static,
    D: Decode,
    F: AsyncFnOnce(Arc<State>) -> Result<()>,
{
    let Options { host, centre, port, listen, seeds, announce_interval, packet_address, linger } =
        options;
    let setup = RouterConfig { centre: centre.clone(), hash_key: SHARE_KEY, max_flows: MAX_FLOWS };
    // Packets that waited while the machine was suspended are old when it wakes.
    let clock = Clock::start_counting_sleep();
    let decisions = DecisionLog::start(clock.now()).map_err(|error| failed(&error))?;
    let metrics = Metrics::new()
        .map_err(|error| Error::new(Kind::Internal, format!("metrics can't be made: {error}")))?;
    let router = Router::new(setup);
    let state = Arc::new(State::new(clock, router, decisions, metrics, announce_interval, seeds));
    let socket =
        UdpSocket::bind(packet_address).map_err(|error| unbound(packet_address, &error))?;
    let shared = Arc::clone(&state);
    let carry = move || data_plane::carry(&shared, &codec, &socket, packet_address.port());
    spawn("packets", carry).map_err(|error| failed(&error))?;
    let own = address_of(host, listen);
    let reports = UdpSocket::bind(own).map_err(|error| unbound(own, &error))?;
    let taken = reports.try_clone().map_err(|error| failed(&error))?;
    let shared = Arc::clone(&state);
    spawn("load", move || load_reports::receive(&shared, &taken))
        .map_err(|error| failed(&error))?;
    spawn_local(load_reports::send(Arc::clone(&state), reports, port));
    serve(Arc::clone(&state)).await?;
    let (decoder, used) = (Rc::new(decoder), Used::default());
    for place in 0..FEEDS {
        let own = Own { host, centre: centre.clone(), port };
        let decoder = Rc::clone(&decoder);
        spawn_local(feed::run(place, own, Arc::clone(&state), decoder, Rc::clone(&used)));
    }
    let mut waits = Vec::new();
    while !stop.is_raised() {
        state.tick(&mut waits);
        sleep(TICK).await;
    }
    state.stop();
    log::info!("the entry host ends in {} ms, as it was asked to", linger.0);
    sleep(Duration::from_millis(linger.0)).await;
    Ok(())
}

fn unbound(address: SocketAddrV4, error: &std::io::Error) -> Error {
    Error::new(Kind::Usage, format!("address {address} can't be listened on: {error}"))
}

fn failed(error: &std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("a thread could not be started: {error}"))
}
