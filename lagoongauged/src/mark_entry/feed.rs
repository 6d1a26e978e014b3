//! Feeds of an entry host: its subscriptions to control hosts.

use std::cell::RefCell;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::sleep;
use futures::channel::oneshot;
use futures::future::pending;
use futures::{AsyncReadExt, AsyncWrite, FutureExt, StreamExt, pin_mut, select};
use indexmap::IndexMap;
use lagoongauge::catalog::{Catalog, Document, EvacuatedCentres};
use lagoongauge::id::HostId;

use super::state::{Decode, FEED_COUNT, PRIMARY_FEED, SharedState};
use crate::cluster::FEED_TIMEOUT;
use crate::cluster::INCOMPATIBLE_PAUSE;
use crate::cluster::message::{FeedAck, FeedMessage, Greeting, Hello, host_address, host_id};
use crate::cluster::version::{Incoming, VersionRange};
use crate::daemon::{Backoff, isolate_task};
use crate::frame;

/// Time limit for connecting to a control host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without contact with a quorum after which a control host's feed is given up.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Longest time for which the secondary feed waits at the start for the primary one to connect, so that
/// the first control host that answers serves that.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Interval at which a starting host compares its feeds.
const BEHIND_INTERVAL: Duration = Duration::from_millis(30);

/// Number of consecutive checks after which the primary feed counts as behind.
const BEHIND_CHECKS: u32 = 2;

/// Identity of this entry host, and the port at which control hosts listen.
#[derive(Debug, Clone)]
pub(super) struct EntryInfo {
    pub(super) host: HostId,
    pub(super) centre: String,
    pub(super) port: u16,
}

/// Control host that each feed uses; no two feeds use the same one.
pub(super) type ActiveControls = Rc<RefCell<[Option<HostId>; FEED_COUNT]>>;

/// Order in which the feeds of a starting host connect.
#[derive(Debug)]
pub(super) enum StartOrder {
    /// The primary feed, which tells the other one when it is connected.
    First(oneshot::Sender<()>),
    /// The secondary feed.
    Second(oneshot::Receiver<()>),
}

/// Keeps one feed connected to any control host, with back-off between attempts.
pub(super) async fn keep_connected<D: Decode>(
    feed: usize,
    entry: EntryInfo,
    state: SharedState,
    decoder: Rc<D>,
    active: ActiveControls,
    order: StartOrder,
) {
    let mut connected = None;
    match order {
        StartOrder::First(sender) => connected = Some(sender),
        // The primary feed may fail to connect for long, and then this one tries as well.
        StartOrder::Second(primary) => drop(timeout(PRIMARY_TIMEOUT, primary).await),
    }
    let mut next_index = feed;
    let mut invitations = state.watch_invitations();
    let mut backoff = Backoff::default();
    // Control hosts that speak no version of this host, with the time until which they are left out.
    let mut avoided: IndexMap<HostId, Instant> = IndexMap::new();
    loop {
        avoided.retain(|_, until| Instant::now() < *until);
        let mut controls = order_controls(&entry, &state, next_index);
        controls.retain(|control| {
            !avoided.contains_key(control) && !active.borrow().contains(&Some(*control))
        });
        let addresses: Vec<_> =
            controls.iter().map(|control| host_address(*control, entry.port)).collect();
        let mut invited =
            (&mut invitations).map(|control| host_address(control, entry.port)).fuse();
        let dialed = frame::dial_any(&addresses, &mut invited, CONNECT_TIMEOUT).await;
        match dialed.map(|(address, stream)| (host_id(*address.ip()), stream)) {
            Ok((control, stream)) if !active.borrow().contains(&Some(control)) => {
                active.borrow_mut()[feed] = Some(control);
                if let Some(sender) = connected.take() {
                    // The secondary feed may have given up waiting.
                    sender.send(()).unwrap_or_default();
                }
                let result = subscribe(feed, &entry, &state, &*decoder, (control, stream)).await;
                active.borrow_mut()[feed] = None;
                next_index += 1;
                if result.is_err_and(|error| error.kind() == ErrorKind::Unsupported) {
                    avoided.insert(control, Instant::now() + INCOMPATIBLE_PAUSE);
                } else {
                    backoff.reset();
                }
            }
            // The other feed took the same control host first.
            Ok(_) => {}
            Err(error) => log::debug!("failed to connect to any control host: {error}"),
        }
        // An invitation ends the pause.
        let _ = timeout(backoff.next_delay(), invitations.next()).await;
    }
}

/// Returns the control hosts in the order of [`rank_control`], which begins with the given index.
fn order_controls(entry: &EntryInfo, state: &SharedState, first_index: usize) -> Vec<HostId> {
    let mut controls = state.controls();
    controls.sort_by_key(|control| rank_control(entry.host, *control));
    let count = controls.len().max(1);
    controls.rotate_left(first_index % count);
    controls
}

/// Returns the sort key of a control host; it differs between entry hosts, which spreads their
/// feeds over the control hosts.
fn rank_control(entry: HostId, control: HostId) -> u32 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&entry.0.to_be_bytes());
    bytes[4..].copy_from_slice(&control.0.to_be_bytes());
    crc32fast::hash(&bytes)
}

/// Subscribes to one control host until the feed is lost, and returns why it was.
async fn subscribe<D: Decode>(
    feed: usize,
    entry: &EntryInfo,
    state: &SharedState,
    decoder: &D,
    (control, stream): (HostId, TcpStream),
) -> Result<()> {
    log::info!("subscribed to control host {control}");
    state.set_connected(feed, true);
    let result = {
        let receiver_task = receive_feed(feed, entry, state, decoder, (control, stream));
        let receiver_task = isolate_task("feed", receiver_task).fuse();
        let watcher_task = wait_until_behind(feed, state).fuse();
        pin_mut!(receiver_task, watcher_task);
        select! {
            result = receiver_task => result.unwrap_or_else(|| Err(panicked())),
            () = watcher_task => Err(not_current()),
        }
    };
    state.set_connected(feed, false);
    state.versions().remove(control);
    log::warn!("subscription to control host {control} lost: {result:?}");
    result
}

async fn receive_feed<D: Decode>(
    feed: usize,
    entry: &EntryInfo,
    state: &SharedState,
    decoder: &D,
    (control, stream): (HostId, TcpStream),
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let version = state.version();
    let secondary = feed != PRIMARY_FEED;
    let hello = Hello::Entry { host: entry.host, centre: entry.centre.clone(), version, secondary };
    frame::write(&mut writer, &Greeting::new(hello), FEED_TIMEOUT).await?;
    let mut first = true;
    let mut last_current = Instant::now();
    let mut pending_catalog = None;
    let mut pending_evacuated: Option<EvacuatedCentres> = None;
    loop {
        let bytes = frame::read_bytes(&mut reader, FEED_TIMEOUT).await?;
        let message = match Incoming::from_bytes(&bytes)? {
            Incoming::Known(message) => message,
            Incoming::Unknown(variant) => {
                state.versions().count_unknown(control, variant);
                continue;
            }
        };
        if std::mem::take(&mut first) {
            state.versions().record(control, said_versions(&message))?;
        }
        match message {
            FeedMessage::Versions(_) => {}
            FeedMessage::Catalog(data) => pending_catalog = decode(decoder, &data.decompress()?),
            FeedMessage::Targets(targets) => state.set_targets(feed, targets),
            FeedMessage::CompressedTargets(targets) => {
                state.set_targets(feed, targets.decompress()?);
            }
            FeedMessage::Evacuated(evacuated) => pending_evacuated = Some(evacuated),
            FeedMessage::Status { current, controls, neighbours } => {
                state.set_status(feed, current, controls, neighbours);
                if current {
                    last_current = Instant::now();
                }
                send_ack(&mut writer, state.version()).await?;
            }
        }
        // Evacuated data centres come before the catalog, without which no packet is forwarded.
        if let Some(evacuated) = &pending_evacuated {
            state.set_evacuated(feed, evacuated);
            if evacuated.revision <= state.evacuated_revision() {
                pending_evacuated = None;
            }
        }
        // The first catalog may be rejected until the control host is known to be in contact with a
        // quorum, see `State::set_catalog`; it is offered again after each message.
        if let Some(catalog) = &pending_catalog {
            if state.set_catalog(feed, catalog) {
                log::info!("catalog version {} applied", catalog.version());
            }
            if catalog.version() <= state.version() {
                pending_catalog = None;
            }
        }
        if last_current.elapsed() > QUORUM_TIMEOUT {
            return Err(not_current());
        }
    }
}

/// Waits until this host, which has no catalog yet, should use another control host for its primary
/// feed: the secondary feed's control host is in contact with a quorum, and this one is not.
///
/// The secondary feed delivers nothing for some time, in which the host would not be ready.
async fn wait_until_behind(feed: usize, state: &SharedState) {
    let mut seen = 0;
    while feed == PRIMARY_FEED && state.version() == 0 {
        sleep(BEHIND_INTERVAL).await;
        seen = if state.is_primary_behind() { seen + 1 } else { 0 };
        if seen == BEHIND_CHECKS {
            return;
        }
    }
    pending::<()>().await;
}

/// Returns the versions of a control host by the first message on its feed; one of the first version
/// does not say them.
fn said_versions(message: &FeedMessage) -> VersionRange {
    match message {
        FeedMessage::Versions(versions) => *versions,
        _ => VersionRange::UNSAID,
    }
}

fn panicked() -> Error {
    Error::new(ErrorKind::InvalidData, "a message of the control host led to a panic")
}

fn not_current() -> Error {
    Error::new(ErrorKind::NotConnected, "control host is not in contact with a quorum")
}

/// Decodes a document; an invalid one is logged and skipped, as no other feed has a better copy.
fn decode<D: Decode>(decoder: &D, document: &Document) -> Option<Catalog> {
    let decoded = decoder.decode(document);
    decoded
        .inspect_err(|error| log::error!("invalid catalog version {}: {error}", document.version))
        .ok()
}

async fn send_ack<W: AsyncWrite + Unpin>(writer: &mut W, version: u64) -> Result<()> {
    frame::write(writer, &FeedAck { version }, FEED_TIMEOUT).await
}
