//! Subscriptions of an entry host to control hosts.

use std::cell::RefCell;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task::sleep;
use futures::{AsyncReadExt, AsyncWrite};
use lagoongauge::catalog::{Catalog, Document};
use lagoongauge::id::HostId;

use super::state::{Decode, FEED_COUNT, SharedState};
use crate::cluster::QUIET;
use crate::cluster::message::{Answer, Feed, Hello, address_of};
use crate::daemon::Backoff;
use crate::frame;

/// Time in which a control host has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a control host that is cut off from its quorum is borne with.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Who this entry host is, and where control hosts listen.
#[derive(Debug, Clone)]
pub(super) struct EntryInfo {
    pub(super) host: HostId,
    pub(super) centre: String,
    pub(super) port: u16,
}

/// Which control host each feed uses, so that no two use the same one.
pub(super) type ActiveControls = Rc<RefCell<[Option<HostId>; FEED_COUNT]>>;

/// Keeps one feed connected to some control host.
pub(super) async fn keep_connected<D: Decode>(
    feed: usize,
    entry: EntryInfo,
    state: SharedState,
    decoder: Rc<D>,
    active: ActiveControls,
) {
    let mut next_index = feed;
    let mut backoff = Backoff::default();
    loop {
        let Some(control) = choose_control(&entry, &state, &active, feed, &mut next_index) else {
            sleep(backoff.pause()).await;
            continue;
        };
        active.borrow_mut()[feed] = Some(control);
        let ended = subscribe(feed, &entry, &state, &*decoder, control).await;
        active.borrow_mut()[feed] = None;
        match ended {
            Ok(()) => backoff.reset(),
            Err(error) => log::debug!("control host {control} can't be reached: {error}"),
        }
        sleep(backoff.pause()).await;
    }
}

/// Returns the next control host that no other feed uses; the order differs between entry hosts.
fn choose_control(
    entry: &EntryInfo,
    state: &SharedState,
    active: &ActiveControls,
    feed: usize,
    next_index: &mut usize,
) -> Option<HostId> {
    let mut controls = state.controls();
    controls.sort_by_key(|control| rank_control(entry.host, *control));
    let active = *active.borrow();
    let others = active.iter().enumerate().filter(|(other, _)| *other != feed);
    let taken: Vec<HostId> = others.filter_map(|(_, active)| *active).collect();
    let count = controls.len();
    let order = (0..count).map(|step| (*next_index + step) % count);
    let index = order.into_iter().find(|index| !taken.contains(&controls[*index]))?;
    *next_index = index + 1;
    Some(controls[index])
}

/// Spreads entry hosts over control hosts: each has an order of its own.
fn rank_control(entry: HostId, control: HostId) -> u32 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&entry.0.to_be_bytes());
    bytes[4..].copy_from_slice(&control.0.to_be_bytes());
    crc32fast::hash(&bytes)
}

/// Follows one control host until its feed is lost; fails if it can't be reached.
async fn subscribe<D: Decode>(
    feed: usize,
    entry: &EntryInfo,
    state: &SharedState,
    decoder: &D,
    control: HostId,
) -> Result<()> {
    let stream = frame::dial(address_of(control, entry.port), CONNECT_TIMEOUT).await?;
    log::info!("control host {control} feeds this host");
    state.set_connected(feed, true);
    let ended = receive_feed(feed, entry, state, decoder, stream).await;
    state.set_connected(feed, false);
    log::warn!("control host {control} feeds this host no longer: {ended:?}");
    Ok(())
}

async fn receive_feed<D: Decode>(
    feed: usize,
    entry: &EntryInfo,
    state: &SharedState,
    decoder: &D,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let version = state.version();
    let second = feed > 0;
    let hello = Hello::Entry { host: entry.host, centre: entry.centre.clone(), version, second };
    frame::write(&mut writer, &hello, QUIET).await?;
    let mut last_current = Instant::now();
    let mut pending_catalog = None;
    loop {
        match frame::read(&mut reader, QUIET).await? {
            Feed::Catalog(packed) => pending_catalog = decode(decoder, &packed.unpack()?),
            Feed::Targets(targets) => state.set_targets(feed, targets),
            Feed::Status { current, controls, entries } => {
                state.set_status(feed, current, controls, entries);
                if current {
                    last_current = Instant::now();
                }
                send_answer(&mut writer, state.version()).await?;
            }
        }
        // A catalog is held until the control host is known to be in touch with a quorum.
        if let Some(catalog) = &pending_catalog {
            if state.set_catalog(feed, catalog) {
                log::info!("version {} of the catalog is in force", catalog.version());
            }
            if catalog.version() <= state.version() {
                pending_catalog = None;
            }
        }
        if last_current.elapsed() > QUORUM_TIMEOUT {
            return Err(Error::new(ErrorKind::NotConnected, "it is cut off from its quorum"));
        }
    }
}

/// Reads a document; one that can't be read is left out, as no other feed has a better copy.
fn decode<D: Decode>(decoder: &D, document: &Document) -> Option<Catalog> {
    let read = decoder.decode(document);
    read.inspect_err(|error| log::error!("version {} can't be read: {error}", document.version))
        .ok()
}

async fn send_answer<W: AsyncWrite + Unpin>(writer: &mut W, version: u64) -> Result<()> {
    frame::write(writer, &Answer { version }, QUIET).await
}
