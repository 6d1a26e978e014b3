//! Proxies the traffic between hosts and injects link faults.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream, UdpSocket};
use async_std::task::{sleep, spawn_local};
use futures::future::{Either, select};
use futures::{AsyncReadExt, AsyncWriteExt, pin_mut};
use indexmap::IndexMap;
use lagoongauge::id::HostId;
use lagoongauged::cluster::message::Hello;
use rand::Rng;

use crate::judge::Millis;
use crate::net::{LISTEN_PORT, PROXY_PORT};

/// Interval at which the state of a path is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of bytes forwarded at once, and maximum length of a datagram.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Share of datagrams dropped while a datagram fault is active.
const LOST_DATAGRAM_SHARE: f64 = 0.4;

/// The faults on a path, which is one direction of the link between two hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathState {
    /// Number of active faults that block all data.
    pub cuts: u32,
    /// Delay added to all data.
    pub delay: Millis,
    /// Connections with a number below this one are reset.
    pub reset_before: u64,
    /// Connections with a number below this one are blocked permanently.
    pub silent_before: u64,
}

/// The state of all paths, by source and destination.
#[derive(Debug, Default)]
pub struct PathTable {
    states: RefCell<IndexMap<(Ipv4Addr, Ipv4Addr), PathState>>,
    /// Number of the next connection.
    next_number: Cell<u64>,
    /// Number of active faults that drop datagrams.
    pub loss_faults: Cell<u32>,
}

impl PathTable {
    /// Returns the state of the path from one host to another.
    pub fn get(&self, from: Ipv4Addr, to: Ipv4Addr) -> PathState {
        self.states.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns the number of the next connection.
    pub fn next_number(&self) -> u64 {
        self.next_number.get()
    }

    /// Changes the state of the path from one host to another.
    pub fn update(&self, from: Ipv4Addr, to: Ipv4Addr, change: impl FnOnce(&mut PathState)) {
        change(self.states.borrow_mut().entry((from, to)).or_default());
    }

    fn assign_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}

/// Starts a proxy in front of a host; it runs until the test exits.
pub async fn start_proxy(paths: Rc<PathTable>, host: Ipv4Addr) -> Result<()> {
    let address = SocketAddrV4::new(host, PROXY_PORT);
    let (listener, socket) = (TcpListener::bind(address).await?, UdpSocket::bind(address).await?);
    spawn_local(forward_datagrams(Rc::clone(&paths), host, socket));
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(handle_connection(Rc::clone(&paths), host, stream));
                }
                Err(error) => {
                    log::warn!("failed to accept a connection to host {host}: {error}");
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    });
    Ok(())
}

async fn handle_connection(paths: Rc<PathTable>, host: Ipv4Addr, stream: TcpStream) {
    let number = paths.assign_number();
    if let Err(error) = proxy_connection(&paths, host, &stream, number).await {
        log::debug!("connection {number} to host {host} closed: {error}");
    }
    if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
        log::debug!("connection {number} to host {host} was already closed: {error}");
    }
}

async fn proxy_connection(
    paths: &PathTable,
    host: Ipv4Addr,
    client: &TcpStream,
    number: u64,
) -> Result<()> {
    let (from, hello) = read_hello(&mut &*client).await?;
    wait_until_open(paths, (from, host), number).await?;
    let server = TcpStream::connect(SocketAddrV4::new(host, LISTEN_PORT)).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    (&server).write_all(&hello).await?;
    let to_server = copy_bytes(paths, (from, host), number, client, &server);
    let to_client = copy_bytes(paths, (host, from), number, &server, client);
    pin_mut!(to_server, to_client);
    let result = match select(to_server, to_client).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    };
    server.shutdown(std::net::Shutdown::Both)?;
    result
}

/// Reads the hello message, which names the host that opened the connection.
async fn read_hello(client: &mut &TcpStream) -> Result<(Ipv4Addr, Vec<u8>)> {
    let mut bytes = vec![0; 4];
    client.read_exact(&mut bytes).await?;
    let length = u32::from_be_bytes(bytes[..4].try_into().expect("4 bytes")) as usize;
    if length > MAX_CHUNK_BYTES {
        return Err(Error::new(
            ErrorKind::InvalidData,
            format!("hello message has {length} bytes, limit {MAX_CHUNK_BYTES}"),
        ));
    }
    bytes.resize(4 + length, 0);
    client.read_exact(&mut bytes[4..]).await?;
    let hello = postcard::from_bytes(&bytes[4..]).map_err(|error| {
        Error::new(ErrorKind::InvalidData, format!("invalid hello message: {error}"))
    })?;
    let (Hello::Control { host: HostId(host) } | Hello::Entry { host: HostId(host), .. }) = hello;
    Ok((Ipv4Addr::from(host), bytes))
}

async fn copy_bytes(
    paths: &PathTable,
    (from, to): (Ipv4Addr, Ipv4Addr),
    number: u64,
    mut source: &TcpStream,
    mut destination: &TcpStream,
) -> Result<()> {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read = source.read(&mut bytes);
        let reset = wait_for_reset(paths, (from, to), number);
        pin_mut!(read, reset);
        let length = match select(read, reset).await {
            Either::Left((length, _)) => length?,
            Either::Right((result, _)) => return result,
        };
        if length == 0 {
            return Ok(());
        }
        wait_until_open(paths, (from, to), number).await?;
        destination.write_all(&bytes[..length]).await?;
    }
}

/// Waits for the path's delay, and until the path is not blocked; fails if the connection is reset.
async fn wait_until_open(
    paths: &PathTable,
    (from, to): (Ipv4Addr, Ipv4Addr),
    number: u64,
) -> Result<()> {
    let delay = paths.get(from, to).delay;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    loop {
        let path = paths.get(from, to);
        if number < path.reset_before {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if path.cuts == 0 && number >= path.silent_before {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_reset(
    paths: &PathTable,
    (from, to): (Ipv4Addr, Ipv4Addr),
    number: u64,
) -> Result<()> {
    loop {
        if number < paths.get(from, to).reset_before {
            return Err(ErrorKind::ConnectionReset.into());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Forwards datagrams to a host, with the IP address of the sending host as their source.
async fn forward_datagrams(paths: Rc<PathTable>, host: Ipv4Addr, socket: UdpSocket) {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    let mut senders: IndexMap<Ipv4Addr, UdpSocket> = IndexMap::new();
    let to = SocketAddrV4::new(host, LISTEN_PORT);
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let from = *from.ip();
        let lost = paths.loss_faults.get() > 0 && rand::rng().random_bool(LOST_DATAGRAM_SHARE);
        if lost || paths.get(from, host).cuts > 0 {
            continue;
        }
        if !senders.contains_key(&from) {
            match UdpSocket::bind((from, 0)).await {
                Ok(sender) => drop(senders.insert(from, sender)),
                Err(error) => log::warn!("failed to bind a socket at {from}: {error}"),
            }
        }
        let Some(sender) = senders.get(&from) else { continue };
        if let Err(error) = sender.send_to(&bytes[..length], to).await {
            log::debug!("failed to send a datagram to host {host}: {error}");
        }
    }
}
