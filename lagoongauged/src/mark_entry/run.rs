//! Startup and shutdown of an entry host.

use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use async_std::task::sleep;
use futures::channel::oneshot;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::flow::HashKey;
use lagoongauge::id::HostId;
use lagoongauge::mark::{Codec, Features, Router, RouterConfig};
use lagoongauge::time::Span;

use super::data_plane::DataPlane;
use super::decision_log::DecisionLog;
use super::feed::{self, ActiveControls, EntryInfo, StartOrder};
use super::load_reports;
use super::loss_log::LossLog;
use super::metrics::Metrics;
use super::state::{Decode, State};
use crate::cluster::message::host_address;
use crate::daemon::{Clock, Stop, spawn, spawn_task};

/// Interval at which the router removes expired state and the stop flag is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of tracked flows; at 100 bytes each they fit into a host's memory.
const MAX_FLOWS: usize = 200_000;

/// Hash key for distributing flows over weighted services. It needs no secrecy: callers gain
/// nothing from knowing it.
const HASH_KEY: HashKey = HashKey(*b"lagoongauge mark");

/// Options of an entry host.
#[derive(Debug, Clone)]
pub struct Options {
    /// Id of this host.
    pub host: HostId,
    /// Name of the data centre.
    pub centre: String,
    /// Port for traffic between hosts, the same on every host.
    pub port: u16,
    /// Port at which this host listens; differs from `port` if that port is forwarded to it.
    pub listen_port: u16,
    /// Control hosts named in the settings.
    pub seeds: Vec<HostId>,
    /// Interval between the announcements of a target.
    pub announce_interval: Span,
    /// Address that receives packets from the fabric; callers receive packets at the same port.
    pub packet_address: SocketAddrV4,
    /// Time for which packets are still forwarded after a stop request.
    pub linger: Span,
    /// Optional parts of routing.
    pub features: Features,
}

/// Runs an entry host until `stop` is raised; `serve` receives its state after the setup and starts
/// the external endpoints.
///
/// Fails with `Usage` if an address can't be bound.
pub async fn run<C, D, F>(
    options: Options,
    codec: C,
    decoder: D,
    stop: &Stop,
    serve: F,
) -> Result<()>
where
    C: Codec + Send + Sync + 'static,
    D: Decode,
    F: AsyncFnOnce(Arc<State>) -> Result<()>,
{
    let Options {
        host,
        centre,
        port,
        listen_port,
        seeds,
        announce_interval,
        packet_address,
        linger,
        features,
    } = options;
    let config =
        RouterConfig { centre: centre.clone(), hash_key: HASH_KEY, max_flows: MAX_FLOWS, features };
    let clock = Clock::start();
    let decisions = DecisionLog::start(clock.now()).map_err(|error| start_error(&error))?;
    let metrics = Metrics::new().map_err(|error| {
        Error::new(Kind::Internal, format!("failed to register metrics: {error}"))
    })?;
    let router = Router::new(config);
    let (state, wakeups) =
        State::new(host, clock, router, decisions, metrics, announce_interval, seeds);
    let state = Arc::new(state);
    let socket =
        UdpSocket::bind(packet_address).map_err(|error| bind_error(packet_address, &error))?;
    let plane = DataPlane::new(Arc::clone(&state), codec, socket, packet_address.port());
    start_data_plane(plane, wakeups).map_err(|error| start_error(&error))?;
    let listen_address = host_address(host, listen_port);
    let report_socket =
        UdpSocket::bind(listen_address).map_err(|error| bind_error(listen_address, &error))?;
    let receiver = report_socket.try_clone().map_err(|error| start_error(&error))?;
    let shared = Arc::clone(&state);
    spawn("load", move || load_reports::receive_reports(&shared, &receiver))
        .map_err(|error| start_error(&error))?;
    spawn_task("load reports", load_reports::send_reports(Arc::clone(&state), report_socket, port));
    serve(Arc::clone(&state)).await?;
    let (decoder, active) = (Rc::new(decoder), ActiveControls::default());
    let (connected, primary) = oneshot::channel();
    let orders = [StartOrder::First(connected), StartOrder::Second(primary)];
    for (feed, order) in orders.into_iter().enumerate() {
        let entry = EntryInfo { host, centre: centre.clone(), port };
        let decoder = Rc::clone(&decoder);
        let (state, active) = (Arc::clone(&state), Rc::clone(&active));
        spawn_task("feed", feed::keep_connected(feed, entry, state, decoder, active, order));
    }
    let mut response_times = Vec::new();
    let mut loss_log = LossLog::new();
    while !stop.is_raised() {
        state.tick(&mut response_times);
        loss_log.tick(&state);
        sleep(TICK_INTERVAL).await;
    }
    state.set_stopping();
    log::info!("entry host ends in {} ms due to a stop request", linger.0);
    sleep(Duration::from_millis(linger.0)).await;
    loss_log.flush(&state);
    Ok(())
}

/// Starts the threads of the data path: one for packets as they arrive, and one for those that are
/// held after the start.
fn start_data_plane<C>(plane: DataPlane<C>, wakeups: Receiver<()>) -> std::io::Result<()>
where
    C: Codec + Send + Sync + 'static,
{
    let plane = Arc::new(plane);
    let held = Arc::clone(&plane);
    spawn("held packets", move || held.release_packets(&wakeups))?;
    spawn("packets", move || plane.run())
}

fn bind_error(address: SocketAddrV4, error: &std::io::Error) -> Error {
    Error::new(Kind::Usage, format!("failed to bind {address}: {error}"))
}

fn start_error(error: &std::io::Error) -> Error {
    Error::new(Kind::Internal, format!("failed to set up a thread or socket: {error}"))
}
