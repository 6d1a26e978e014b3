//! Accepts connections of operators and hosts.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task::sleep;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp, twoparty};
use futures::executor::LocalSpawner;
use futures::task::LocalSpawnExt;
use futures::{AsyncRead, AsyncWrite};

use lagoongauge::replica::Store;
use lagoongauge_schema::control_capnp::{control, operator};

use super::connection::{self, Incoming};
use super::host::SharedHost;
use super::host_service::HostService;
use super::operator_service::OperatorService;

/// Delay after `accept` fails.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 2048;

/// Maximum size of a message from an operator, in words of 8 bytes.
const MAX_OPERATOR_WORDS: usize = 1 << 16;

/// Maximum size of a message from a host, in words of 8 bytes.
const MAX_HOST_WORDS: usize = 1 << 20;

/// Returns the size limits of messages from hosts.
pub fn host_reader_options() -> ReaderOptions {
    reader_options(MAX_HOST_WORDS)
}

/// Returns the size limits of messages from operators.
pub fn operator_reader_options() -> ReaderOptions {
    reader_options(MAX_OPERATOR_WORDS)
}

/// Accepts connections forever; a failed `accept` is retried.
pub async fn serve<S: Store + 'static>(
    host: SharedHost<S>,
    listener: TcpListener,
    spawner: LocalSpawner,
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(slot) = ConnectionSlot::acquire(&open) else {
            log::warn!("closed a new connection: {MAX_CONNECTIONS} connections are open");
            continue;
        };
        let host = Rc::clone(&host);
        let task = async move {
            let _slot = slot;
            handle_connection(host, stream).await;
        };
        let _ = spawner.spawn_local(task);
    }
}

/// Slot of an open connection; released on drop.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn acquire(open: &Rc<Cell<usize>>) -> Option<Self> {
        if open.get() >= MAX_CONNECTIONS {
            return None;
        }
        open.set(open.get() + 1);
        Some(Self(Rc::clone(open)))
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn handle_connection<S: Store + 'static>(host: SharedHost<S>, stream: TcpStream) {
    let traffic = host.traffic.clone();
    // Keeps a refused connection open until its refusal is counted and logged.
    let _keep_open = stream.clone();
    match connection::accept(stream, &host.key, &traffic).await {
        Ok(Incoming::Operator(reader, writer)) => {
            let client: operator::Client = new_client(OperatorService::new(host));
            run_rpc(reader, writer, operator_reader_options(), client.client).await;
        }
        Ok(Incoming::Host(peer, reader, writer)) => {
            let client: control::Client = new_client(HostService::new(host, peer));
            run_rpc(*reader, *writer, host_reader_options(), client.client).await;
        }
        Err(error) => log::warn!("refused a connection: {error}"),
    }
}

async fn run_rpc<R, W>(
    reader: R,
    writer: W,
    options: ReaderOptions,
    client: capnp::capability::Client,
) where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let side = rpc_twoparty_capnp::Side::Server;
    let network = twoparty::VatNetwork::new(reader, writer, side, options);
    if let Err(error) = RpcSystem::new(Box::new(network), Some(client)).await {
        log::debug!("connection closed: {error}");
    }
}

fn reader_options(words: usize) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options
}
