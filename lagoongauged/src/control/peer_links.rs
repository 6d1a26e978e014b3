//! Connections from a control host to the others, which carry the log's messages.

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
use super::fault::broken;
use super::host::{ANSWER, Host, Link, QUEUE, SharedHost};
use super::server::host_options;

/// Pause before a lost connection is opened anew.
const PAUSE: Duration = Duration::from_millis(300);

/// Opens a link to each known control host that has none yet.
pub fn open_links<S: Store + 'static>(host: &SharedHost<S>, spawner: &LocalSpawner) {
    let book = host.book();
    for (peer, _) in book.iter().filter(|(peer, _)| *peer != host.own) {
        if host.links.borrow().contains_key(&peer) {
            continue;
        }
        let (sender, receiver) = mpsc::channel(QUEUE);
        let link = Link { queue: Some(sender), client: None };
        host.links.borrow_mut().insert(peer, link);
        let task = run(Rc::clone(host), peer, receiver);
        let _ = spawner.spawn_local(task);
    }
}

async fn run<S: Store + 'static>(
    host: SharedHost<S>,
    peer: HostId,
    mut queue: mpsc::Receiver<Vec<u8>>,
) {
    loop {
        if let Err(error) = carry(&host, peer, &mut queue).await {
            log::debug!("The link to {peer} ended: {error}.");
        }
        set_client(&host, peer, None);
        sleep(PAUSE).await;
    }
}

async fn carry<S: Store + 'static>(
    host: &Host<S>,
    peer: HostId,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> Result<()> {
    let place = host.reach.get(peer).or_else(|| host.book().get(peer));
    let Some(place) = place else { return Ok(()) };
    let address = place.address.to_string();
    let (reader, writer) = connection::dial(&address, host.own, &host.key, &host.traffic).await?;
    let side = rpc_twoparty_capnp::Side::Client;
    let network = twoparty::VatNetwork::new(reader, writer, side, host_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: control::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    set_client(host, peer, Some(client.clone()));
    let sending = send_all(host, peer, client, queue);
    match select(system, pin!(sending)).await {
        Either::Left((ended, _)) | Either::Right((ended, _)) => {
            ended.map_err(|error| broken(&error))
        }
    }
}

async fn send_all<S: Store + 'static>(
    host: &Host<S>,
    peer: HostId,
    client: control::Client,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) -> std::result::Result<(), capnp::Error> {
    while let Some(message) = queue.next().await {
        let mut request = client.step_request();
        request.get().set_message(&message);
        let call = timeout(ANSWER, request.send().promise).await;
        let slow = |_| capnp::Error::disconnected("the other host did not answer in time".into());
        let response = call.map_err(slow)??;
        let answers = response.get()?.get_messages()?;
        let answers: std::result::Result<Vec<&[u8]>, capnp::Error> = answers.iter().collect();
        host.take(peer, answers?.into_iter());
    }
    Ok(())
}

fn set_client<S>(host: &Host<S>, peer: HostId, client: Option<control::Client>) {
    if let Some(link) = host.links.borrow_mut().get_mut(&peer) {
        link.client = client;
    }
}
