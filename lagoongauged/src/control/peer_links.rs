//! Connections from a control host to the others, which carry the replication messages.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use async_std::task::sleep;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use futures::StreamExt;
use futures::channel::mpsc;
use futures::executor::LocalSpawner;
use futures::future::{Either, select};
use futures::task::LocalSpawnExt;

use lagoongauge::error::Result;
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;
use lagoongauge_schema::control_capnp::control;

use super::connection;
use super::fault::call_error;
use super::host::{Host, LINK_QUEUE_MESSAGES, PEER_CALL_TIMEOUT, PeerLink, SharedHost};
use super::server::host_reader_options;

/// Delay before a lost connection is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Starts a link to each known control host that has none yet.
pub fn open_links<S: Store + 'static>(host: &SharedHost<S>, spawner: &LocalSpawner) {
    let address_book = host.address_book();
    for (peer, _) in address_book.iter().filter(|(peer, _)| *peer != host.own) {
        if host.links.borrow().contains_key(&peer) {
            continue;
        }
        let (sender, receiver) = mpsc::channel(LINK_QUEUE_MESSAGES);
        let link = PeerLink { queue: Some(sender), client: None };
        host.links.borrow_mut().insert(peer, link);
        let task = run_link(Rc::clone(host), peer, receiver);
        let _ = spawner.spawn_local(task);
    }
}

async fn run_link<S: Store + 'static>(
    host: SharedHost<S>,
    peer: HostId,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        if let Err(error) = run_connection(&host, peer, &mut queue).await {
            log::debug!("link to control host {peer} closed: {error}");
        }
        set_client(&host, peer, None);
        sleep(RECONNECT_DELAY).await;
    }
}

async fn run_connection<S: Store + 'static>(
    host: &Host<S>,
    peer: HostId,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<()> {
    let endpoint = host.dial_addresses.get(peer).or_else(|| host.address_book().get(peer));
    let Some(endpoint) = endpoint else { return Ok(()) };
    let address = endpoint.address.to_string();
    let (reader, writer) = connection::dial(&address, host.own, &host.key, &host.traffic).await?;
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, host_reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: control::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    set_client(host, peer, Some(client.clone()));
    let sending = send_messages(host, peer, client, queue);
    match select(system, pin!(sending)).await {
        Either::Left((result, _)) | Either::Right((result, _)) => {
            result.map_err(|error| call_error(&error))
        }
    }
}

async fn send_messages<S: Store + 'static>(
    host: &Host<S>,
    peer: HostId,
    client: control::Client,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> std::result::Result<(), capnp::Error> {
    while let Some(message) = queue.next().await {
        let mut request = client.step_request();
        request.get().set_message(&message);
        let call = timeout(PEER_CALL_TIMEOUT, request.send().promise).await;
        let timed_out = |_| capnp::Error::disconnected("the peer did not answer in time".into());
        let response = call.map_err(timed_out)??;
        let replies = response.get()?.get_messages()?;
        let replies: std::result::Result<Vec<&[u8]>, capnp::Error> = replies.iter().collect();
        host.handle_messages(peer, replies?.into_iter());
    }
    Ok(())
}

fn set_client<S>(host: &Host<S>, peer: HostId, client: Option<control::Client>) {
    if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
        link.client = client;
    }
}
