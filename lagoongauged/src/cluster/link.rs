//! Connections between control hosts.

use std::io::{ErrorKind, Result};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::channel::mpsc;
use futures::{AsyncReadExt, FutureExt, StreamExt, pin_mut, select};
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;

use super::host::SharedHost;
use super::message::{Greeting, Hello, PeerMessage, host_address};
use super::outgoing::Outgoing;
use super::version::{Incoming, VersionRange};
use crate::daemon::{Backoff, spawn_task};
use crate::frame;

/// Timeout for connecting to a control host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for the receiver's acknowledgement of a message.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time without a message after which a connection counts as lost; host lists are sent more often.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Time before a host is connected again that speaks no version of this one; it does so only after an
/// upgrade.
pub(crate) const INCOMPATIBLE_PAUSE: Duration = Duration::from_secs(30);

/// Outgoing messages to one control host.
#[derive(Debug, Default)]
pub(super) struct Link {
    outgoing: Outgoing,
    waker: Option<mpsc::Sender<()>>,
    /// Starts the next connection attempt before it is due.
    redial: Option<mpsc::Sender<()>>,
    /// Whether the link's task has been started.
    running: bool,
}

impl Link {
    /// Queues a message and returns its number.
    pub(super) fn push(&mut self, message: PeerMessage) -> u64 {
        let number = self.outgoing.push(message);
        if let Some(waker) = &mut self.waker {
            let _ = waker.try_send(());
        }
        number
    }

    /// Has the next connection attempt made at once, as the other host was seen running.
    fn dial_now(&mut self) {
        if self.waker.is_none()
            && let Some(redial) = &mut self.redial
        {
            // If the channel is full, the next attempt is about to be made anyway.
            let _ = redial.try_send(());
        }
    }

    /// Returns whether the other host has acknowledged a message.
    pub(super) fn is_acknowledged(&self, number: u64) -> bool {
        self.outgoing.is_acknowledged(number)
    }
}

/// Starts a task for each link that has none.
pub(super) fn start_links<S: Store + 'static>(host: &SharedHost<S>) {
    let mut links = host.links.borrow_mut();
    for (peer, link) in links.iter_mut().filter(|(_, link)| !link.running) {
        link.running = true;
        spawn_task("link", keep_connected(SharedHost::clone(host), *peer));
    }
}

async fn keep_connected<S: Store + 'static>(host: SharedHost<S>, peer: HostId) {
    let address = host_address(peer, host.setup.port);
    let mut failing = false;
    let mut incompatible = false;
    let mut backoff = Backoff::default();
    let (sender, mut redial) = mpsc::channel(1);
    if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
        link.redial = Some(sender);
    }
    loop {
        match frame::dial_with_signs(address, &mut redial, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                log::info!("connected to control host {peer} at {address}");
                let result = run_connection(&host, peer, stream).await;
                log::warn!(
                    "control host {peer} at {address} disconnected: {}",
                    close_reason(&result)
                );
                failing = false;
                backoff.reset();
                incompatible = is_incompatible(&result);
            }
            Err(error) if !failing => {
                log::warn!("failed to connect to control host {peer} at {address}: {error}");
                failing = true;
            }
            Err(_) => {}
        }
        host.versions.borrow_mut().remove(peer);
        if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
            link.waker = None;
            link.outgoing.end_connection();
        }
        let pause = if incompatible { INCOMPATIBLE_PAUSE } else { backoff.next_delay() };
        // The next attempt follows whether the pause is over or the other host was seen.
        let _ = timeout(pause, redial.next()).await;
    }
}

fn is_incompatible(result: &Result<()>) -> bool {
    result.as_ref().is_err_and(|error| error.kind() == ErrorKind::Unsupported)
}

fn close_reason(result: &Result<()>) -> String {
    result.as_ref().err().map_or_else(|| "connection closed by peer".into(), ToString::to_string)
}

/// Sends queued messages and reads acknowledgements until the connection is lost.
async fn run_connection<S: Store + 'static>(
    host: &SharedHost<S>,
    peer: HostId,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let greeting = Greeting::new(Hello::Control { host: host.setup.host });
    frame::write(&mut writer, &greeting, ACK_TIMEOUT).await?;
    let (sender, mut wakeups) = mpsc::channel(1);
    queue_state(host, peer, sender);
    let sender_task = async {
        loop {
            while let Some(message) = pop_message(host, peer) {
                frame::write(&mut writer, &message, ACK_TIMEOUT).await?;
            }
            let _ = wakeups.next().await;
        }
    }
    .fuse();
    let mut versions_known = false;
    let receiver_task = async {
        loop {
            let has_unacked = |link: &Link| link.outgoing.has_unacknowledged();
            let unacked = host.links.borrow().get(&peer).is_some_and(has_unacked);
            let limit = if unacked { ACK_TIMEOUT } else { IDLE_TIMEOUT };
            let bytes = frame::read_bytes(&mut reader, limit).await?;
            let (count, trailer) = frame::decode_prefix(&bytes)?;
            // Only the first acknowledgement of a connection tells the versions.
            if !versions_known {
                host.versions.borrow_mut().record(peer, VersionRange::from_trailer(trailer)?)?;
                versions_known = true;
            }
            if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
                link.outgoing.handle_ack(count);
            }
        }
    }
    .fuse();
    pin_mut!(sender_task, receiver_task);
    select! {
        result = sender_task => result,
        result = receiver_task => result,
    }
}

/// Queues this host's full state for a new connection.
fn queue_state<S: Store + 'static>(host: &SharedHost<S>, peer: HostId, waker: mpsc::Sender<()>) {
    let entries = host.roster.borrow().entries();
    let hosts = PeerMessage::Hosts { controls: host.controls(), entry_hosts: host.entry_hosts() };
    if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
        link.waker = Some(waker);
        link.outgoing.begin_connection([hosts, PeerMessage::Targets(entries)]);
    }
}

fn pop_message<S>(host: &SharedHost<S>, peer: HostId) -> Option<PeerMessage> {
    host.links.borrow_mut().get_mut(&peer)?.outgoing.pop()
}

/// Receives messages from another control host and acknowledges each with their count.
///
/// Fails with `Unsupported` if the hosts have no version in common; the other one learns it first.
pub(super) async fn receive<S: Store + 'static>(
    host: SharedHost<S>,
    peer: HostId,
    versions: VersionRange,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let agreed = host.versions.borrow_mut().record(peer, versions);
    if let Err(incompatible) = agreed {
        frame::write(&mut writer, &(0u64, VersionRange::OWN), ACK_TIMEOUT).await?;
        return Err(incompatible.into());
    }
    host.add_controls(&[peer]);
    if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
        link.dial_now();
    }
    let mut count = 0u64;
    loop {
        let bytes = frame::read_bytes(&mut reader, IDLE_TIMEOUT).await?;
        match Incoming::from_bytes(&bytes)? {
            Incoming::Known(message) => host.handle_message(peer, message),
            Incoming::Unknown(variant) => {
                host.versions.borrow_mut().count_unknown(peer, variant);
            }
        }
        count += 1;
        if count == 1 && versions != VersionRange::UNSAID {
            frame::write(&mut writer, &(count, VersionRange::OWN), ACK_TIMEOUT).await?;
        } else {
            frame::write(&mut writer, &count, ACK_TIMEOUT).await?;
        }
    }
}
