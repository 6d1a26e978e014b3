//! Connections from a control host to the others.

use std::collections::VecDeque;
use std::io::Result;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::{sleep, spawn_local};
use futures::channel::mpsc;
use futures::{AsyncReadExt, FutureExt, StreamExt, pin_mut, select};
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;

use super::host::SharedHost;
use super::message::{Hello, PeerMessage, host_address};
use crate::daemon::Backoff;
use crate::frame;

/// Time in which a control host has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time in which a message has to be counted by its receiver.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after which a quiet connection counts as lost; lists of hosts are sent more often.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Messages that wait for a connection; the oldest are dropped, as the log repeats itself.
const MAX_QUEUED: usize = 512;

/// Messages to one control host.
#[derive(Debug, Default)]
pub(super) struct Link {
    queue: VecDeque<PeerMessage>,
    waker: Option<mpsc::Sender<()>>,
    /// Messages that were pushed since the link was made.
    pushed_count: u64,
    /// Messages up to this one have been taken by the other host.
    acked_count: u64,
    running: bool,
}

impl Link {
    /// Adds a message; returns its number.
    pub(super) fn push(&mut self, message: PeerMessage) -> u64 {
        if self.queue.len() == MAX_QUEUED {
            self.queue.pop_front();
        }
        self.queue.push_back(message);
        self.pushed_count += 1;
        if let Some(waker) = &mut self.waker {
            let _ = waker.try_send(());
        }
        self.pushed_count
    }

    /// Tells whether the other host has taken a message.
    pub(super) fn is_acknowledged(&self, number: u64) -> bool {
        self.acked_count >= number
    }
}

/// Starts the tasks of links that have none.
pub(super) fn start_links<S: Store + 'static>(host: &SharedHost<S>) {
    let mut links = host.links.borrow_mut();
    for (peer, link) in links.iter_mut().filter(|(_, link)| !link.running) {
        link.running = true;
        spawn_local(keep_connected(SharedHost::clone(host), *peer));
    }
}

async fn keep_connected<S: Store + 'static>(host: SharedHost<S>, peer: HostId) {
    let address = host_address(peer, host.setup.port);
    let mut failing = false;
    let mut backoff = Backoff::default();
    loop {
        match frame::dial(address, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                log::info!("control host {peer} at {address} is connected");
                let result = run_connection(&host, peer, stream).await;
                log::warn!("control host {peer} at {address} is lost: {}", close_reason(&result));
                failing = false;
                backoff.reset();
            }
            Err(error) if !failing => {
                log::warn!("control host {peer} at {address} can't be reached: {error}");
                failing = true;
            }
            Err(_) => {}
        }
        if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
            link.waker = None;
            link.queue.retain(|message| !message.is_transient());
        }
        sleep(backoff.next_delay()).await;
    }
}

fn close_reason(result: &Result<()>) -> String {
    result.as_ref().err().map_or_else(|| "it closed the connection".into(), ToString::to_string)
}

/// Sends all that is queued and counts what arrives, until the connection is lost.
async fn run_connection<S: Store + 'static>(
    host: &SharedHost<S>,
    peer: HostId,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    let hello = Hello::Control { host: host.setup.host };
    frame::write(&mut writer, &hello, ACK_TIMEOUT).await?;
    let (sender, mut wakeups) = mpsc::channel(1);
    let base_count = queue_state(host, peer, sender);
    let sender_task = async {
        loop {
            while let Some(message) = pop_message(host, peer) {
                frame::write(&mut writer, &message, ACK_TIMEOUT).await?;
            }
            let _ = wakeups.next().await;
        }
    }
    .fuse();
    let receiver_task = async {
        loop {
            let unacked = host
                .links
                .borrow()
                .get(&peer)
                .is_some_and(|link| link.acked_count < link.pushed_count);
            let limit = if unacked { ACK_TIMEOUT } else { IDLE_TIMEOUT };
            let count: u64 = frame::read(&mut reader, limit).await?;
            if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
                link.acked_count = link.acked_count.max(base_count + count);
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

/// Puts all that this host knows at the head of the queue; returns the number before the first
/// queued message, from which the receiver counts.
fn queue_state<S: Store + 'static>(
    host: &SharedHost<S>,
    peer: HostId,
    waker: mpsc::Sender<()>,
) -> u64 {
    let entries = host.roster.borrow().entries();
    let hosts = PeerMessage::Hosts { controls: host.controls(), entry_hosts: host.entry_hosts() };
    let mut links = host.links.borrow_mut();
    let Some(link) = links.get_mut(&peer) else { return 0 };
    link.waker = Some(waker);
    link.push(hosts);
    link.push(PeerMessage::Targets(entries));
    link.pushed_count - link.queue.len() as u64
}

fn pop_message<S>(host: &SharedHost<S>, peer: HostId) -> Option<PeerMessage> {
    host.links.borrow_mut().get_mut(&peer)?.queue.pop_front()
}

/// Takes what another control host sends, and counts it.
pub(super) async fn receive<S: Store + 'static>(
    host: SharedHost<S>,
    peer: HostId,
    stream: TcpStream,
) -> Result<()> {
    let (mut reader, mut writer) = stream.split();
    host.add_controls(&[peer]);
    let mut count = 0u64;
    loop {
        let message: PeerMessage = frame::read(&mut reader, IDLE_TIMEOUT).await?;
        host.handle_message(peer, message);
        count += 1;
        frame::write(&mut writer, &count, ACK_TIMEOUT).await?;
    }
}
