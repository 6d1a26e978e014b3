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

use super::state::{Decode, FEEDS, Shared};
use crate::cluster::QUIET;
use crate::cluster::message::{Answer, Feed, Hello, address_of};
use crate::daemon::Backoff;
use crate::frame;

/// Time in which a control host has to accept a connection.
const DIAL: Duration = Duration::from_millis(500);

/// Time for which a control host that is cut off from its quorum is borne with.
const ASTRAY: Duration = Duration::from_millis(2500);

/// Who this entry host is, and where control hosts listen.
#[derive(Debug, Clone)]
pub(super) struct Own {
    pub(super) host: HostId,
    pub(super) centre: String,
    pub(super) port: u16,
}

/// Which control host each feed uses, so that no two use the same one.
pub(super) type Used = Rc<RefCell<[Option<HostId>; FEEDS]>>;

/// Keeps one feed connected to some control host.
pub(super) async fn run<D: Decode>(
    place: usize,
    own: Own,
    state: Shared,
    decoder: Rc<D>,
    used: Used,
) {
    let mut turn = place;
    let mut backoff = Backoff::default();
    loop {
        let Some(control) = choose(&own, &state, &used, place, &mut turn) else {
            sleep(backoff.pause()).await;
            continue;
        };
        used.borrow_mut()[place] = Some(control);
        let ended = subscribe(place, &own, &state, &*decoder, control).await;
        used.borrow_mut()[place] = None;
        match ended {
            Ok(()) => backoff.reset(),
            Err(error) => log::debug!("control host {control} can't be reached: {error}"),
        }
        sleep(backoff.pause()).await;
    }
}

/// Returns the next control host that no other feed uses; the order differs between entry hosts.
fn choose(
    own: &Own,
    state: &Shared,
    used: &Used,
    place: usize,
    turn: &mut usize,
) -> Option<HostId> {
    let mut controls = state.controls();
    controls.sort_by_key(|control| rank(own.host, *control));
    let used = *used.borrow();
    let others = used.iter().enumerate().filter(|(other, _)| *other != place);
    let taken: Vec<HostId> = others.filter_map(|(_, used)| *used).collect();
    let count = controls.len();
    let order = (0..count).map(|step| (*turn + step) % count);
    let found = order.into_iter().find(|at| !taken.contains(&controls[*at]))?;
    *turn = found + 1;
    Some(controls[found])
}

/// Spreads entry hosts over control hosts: each has an order of its own.
fn rank(own: HostId, control: HostId) -> u32 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&own.0.to_be_bytes());
    bytes[4..].copy_from_slice(&control.0.to_be_bytes());
    crc32fast::hash(&bytes)
}

/// Follows one control host until its feed is lost; fails if it can't be reached.
async fn subscribe<D: Decode>(
    place: usize,
    own: &Own,
    state: &Shared,
    decoder: &D,
    control: HostId,
) -> Result<()> {
    let stream = frame::dial(address_of(control, own.port), DIAL).await?;
    log::info!("control host {control} feeds this host");
    state.set_connected(place, true);
    let ended = follow(place, own, state, decoder, stream).await;
    state.set_connected(place, false);
    log::warn!("control host {control} feeds this host no longer: {ended:?}");
    Ok(())
}

async fn follow<D: Decode>(
    place: usize,
    own: &Own,
    state: &Shared,
    decoder: &D,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let version = state.version();
    let second = place > 0;
    let hello = Hello::Entry { host: own.host, centre: own.centre.clone(), version, second };
    frame::write(&mut writer, &hello, QUIET).await?;
    let mut confirmed = Instant::now();
    let mut held = None;
    loop {
        match frame::read(&mut reader, QUIET).await? {
            Feed::Catalog(packed) => held = decode(decoder, &packed.unpack()?),
            Feed::Targets(targets) => state.set_targets(place, targets),
            Feed::Status { current, controls, entries } => {
                state.set_status(place, current, controls, entries);
                if current {
                    confirmed = Instant::now();
                }
                answer(&mut writer, state.version()).await?;
            }
        }
        // A catalog is held until the control host is known to be in touch with a quorum.
        if let Some(catalog) = &held {
            if state.set_catalog(place, catalog) {
                log::info!("version {} of the catalog is in force", catalog.version());
            }
            if catalog.version() <= state.version() {
                held = None;
            }
        }
        if confirmed.elapsed() > ASTRAY {
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

async fn answer<W: AsyncWrite + Unpin>(writer: &mut W, version: u64) -> Result<()> {
    frame::write(writer, &Answer { version }, QUIET).await
}
