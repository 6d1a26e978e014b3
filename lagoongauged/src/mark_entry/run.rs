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
use super::feed::{self, ActiveControls, EntryInfo};
use super::metrics::Metrics;
use super::state::{Decode, FEED_COUNT, State};
use super::{data_plane, load_reports};
use crate::cluster::message::address_of;
use crate::daemon::{Clock, Stop, spawn};

/// Pause between two looks at what has to be forgotten.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Most flows that are remembered; at 100 bytes each they stay within a host's memory.
const MAX_FLOWS: usize = 200_000;

/// Key by which flows are shared out over weighted services; callers gain nothing from it.
const HASH_KEY: HashKey = HashKey(*b"lagoongauge mark");

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
    let config = RouterConfig { centre: centre.clone(), hash_key: HASH_KEY, max_flows: MAX_FLOWS };
    // Packets that waited while the machine was suspended are old when it wakes.
    let clock = Clock::start_counting_sleep();
    let decisions = DecisionLog::start(clock.now()).map_err(|error| start_error(&error))?;
    let metrics = Metrics::new()
        .map_err(|error| Error::new(Kind::Internal, format!("metrics can't be made: {error}")))?;
    let router = Router::new(config);
    let state = Arc::new(State::new(clock, router, decisions, metrics, announce_interval, seeds));
    let socket =
        UdpSocket::bind(packet_address).map_err(|error| bind_error(packet_address, &error))?;
    let shared = Arc::clone(&state);
    let forward_packets =
        move || data_plane::forward_packets(&shared, &codec, &socket, packet_address.port());
    spawn("packets", forward_packets).map_err(|error| start_error(&error))?;
    let listen_address = address_of(host, listen);
    let report_socket =
        UdpSocket::bind(listen_address).map_err(|error| bind_error(listen_address, &error))?;
    let receiver = report_socket.try_clone().map_err(|error| start_error(&error))?;
    let shared = Arc::clone(&state);
    spawn("load", move || load_reports::receive_reports(&shared, &receiver))
        .map_err(|error| start_error(&error))?;
    spawn_local(load_reports::send_reports(Arc::clone(&state), report_socket, port));
    serve(Arc::clone(&state)).await?;
    let (decoder, active) = (Rc::new(decoder), ActiveControls::default());
    for feed in 0..FEED_COUNT {
        let entry = EntryInfo { host, centre: centre.clone(), port };
        let decoder = Rc::clone(&decoder);
        spawn_local(feed::keep_connected(
            feed,
            entry,
            Arc::clone(&state),
            decoder,
            Rc::clone(&active),
        ));
    }
    let mut response_times = Vec::new();
    while !stop.is_raised() {
        state.tick(&mut response_times);
        sleep(TICK_INTERVAL).await;
    }
    state.stop();
    log::info!("the entry host ends in {} ms, as it was asked to", linger.0);
    sleep(Duration::from_millis(linger.0)).await;
    Ok(())
}

fn bind_error(address: SocketAddrV4, error: &std::io::Error) -> Error {
    Error::new(Kind::Usage, format!("address {address} can't be listened on: {error}"))
}

fn start_error(error: &std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("a thread could not be started: {error}"))
}
