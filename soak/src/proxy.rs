//! Forwards what hosts send each other, with faults.

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
use crate::net::{COMMON, LISTEN};

/// Pause between two looks at a link's state.
const LOOK: Duration = Duration::from_millis(10);

/// Longest piece that is passed on at once, and longest datagram.
const PIECE: usize = 16 << 10;

/// Share of datagrams that are lost while they are.
const LOST: f64 = 0.4;

/// What happens to bytes from one host to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Path {
    /// Faults that hold everything up.
    pub cuts: u32,
    /// How much longer everything takes.
    pub delay: Millis,
    /// Connections that were opened before this count are reset.
    pub resets: u64,
    /// Connections that were opened before this count are silent for good.
    pub silences: u64,
}

/// The state of all paths, by both ends.
#[derive(Debug, Default)]
pub struct Paths {
    paths: RefCell<IndexMap<(Ipv4Addr, Ipv4Addr), Path>>,
    opened: Cell<u64>,
    /// Whether datagrams are lost.
    pub lossy: Cell<u32>,
}

impl Paths {
    /// Returns what happens from one host to another.
    pub fn get(&self, from: Ipv4Addr, to: Ipv4Addr) -> Path {
        self.paths.borrow().get(&(from, to)).copied().unwrap_or_default()
    }

    /// Returns the number that the next connection gets.
    pub fn next(&self) -> u64 {
        self.opened.get()
    }

    /// Changes what happens from one host to another.
    pub fn change(&self, from: Ipv4Addr, to: Ipv4Addr, change: impl FnOnce(&mut Path)) {
        change(self.paths.borrow_mut().entry((from, to)).or_default());
    }

    fn open(&self) -> u64 {
        self.opened.replace(self.opened.get() + 1)
    }
}

/// Forwards to one host for as long as the soak runs.
pub async fn forward(paths: Rc<Paths>, host: Ipv4Addr) -> Result<()> {
    let common = SocketAddrV4::new(host, COMMON);
    let (listener, socket) = (TcpListener::bind(common).await?, UdpSocket::bind(common).await?);
    spawn_local(datagrams(Rc::clone(&paths), host, socket));
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(carry(Rc::clone(&paths), host, stream));
                }
                Err(error) => {
                    log::warn!("no connection to {host} can be taken: {error}");
                    sleep(LOOK).await;
                }
            }
        }
    });
    Ok(())
}

async fn carry(paths: Rc<Paths>, host: Ipv4Addr, stream: TcpStream) {
    let number = paths.open();
    if let Err(error) = connect(&paths, host, &stream, number).await {
        log::debug!("connection {number} to {host} ended: {error}");
    }
    if let Err(error) = stream.shutdown(std::net::Shutdown::Both) {
        log::debug!("connection {number} to {host} was closed already: {error}");
    }
}

async fn connect(paths: &Paths, host: Ipv4Addr, near: &TcpStream, number: u64) -> Result<()> {
    let (from, first) = greeting(&mut &*near).await?;
    wait_open(paths, (from, host), number).await?;
    let far = TcpStream::connect(SocketAddrV4::new(host, LISTEN)).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    (&far).write_all(&first).await?;
    let there = pump(paths, (from, host), number, near, &far);
    let back = pump(paths, (host, from), number, &far, near);
    pin_mut!(there, back);
    let ended = match select(there, back).await {
        Either::Left((ended, _)) | Either::Right((ended, _)) => ended,
    };
    far.shutdown(std::net::Shutdown::Both)?;
    ended
}

/// Reads the first message, which tells who opened the connection.
async fn greeting(near: &mut &TcpStream) -> Result<(Ipv4Addr, Vec<u8>)> {
    let mut bytes = vec![0; 4];
    near.read_exact(&mut bytes).await?;
    let length = u32::from_be_bytes(bytes[..4].try_into().expect("4 bytes")) as usize;
    if length > PIECE {
        return Err(Error::new(ErrorKind::InvalidData, "the first message is too long"));
    }
    bytes.resize(4 + length, 0);
    near.read_exact(&mut bytes[4..]).await?;
    let hello = postcard::from_bytes(&bytes[4..])
        .map_err(|error| Error::new(ErrorKind::InvalidData, error.to_string()))?;
    let (Hello::Control { host: HostId(host) } | Hello::Entry { host: HostId(host), .. }) = hello;
    Ok((Ipv4Addr::from(host), bytes))
}

async fn pump(
    paths: &Paths,
    (from, to): (Ipv4Addr, Ipv4Addr),
    number: u64,
    mut near: &TcpStream,
    mut far: &TcpStream,
) -> Result<()> {
    let mut bytes = vec![0; PIECE];
    loop {
        let read = near.read(&mut bytes);
        let reset = wait_reset(paths, (from, to), number);
        pin_mut!(read, reset);
        let length = match select(read, reset).await {
            Either::Left((length, _)) => length?,
            Either::Right((ended, _)) => return ended,
        };
        if length == 0 {
            return Ok(());
        }
        wait_open(paths, (from, to), number).await?;
        far.write_all(&bytes[..length]).await?;
    }
}

/// Waits until the path lets bytes through; fails if the connection is reset before.
async fn wait_open(paths: &Paths, (from, to): (Ipv4Addr, Ipv4Addr), number: u64) -> Result<()> {
    let delay = paths.get(from, to).delay;
    if delay > 0 {
        sleep(Duration::from_millis(delay)).await;
    }
    loop {
        let path = paths.get(from, to);
        if number < path.resets {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if path.cuts == 0 && number >= path.silences {
            return Ok(());
        }
        sleep(LOOK).await;
    }
}

async fn wait_reset(paths: &Paths, (from, to): (Ipv4Addr, Ipv4Addr), number: u64) -> Result<()> {
    loop {
        if number < paths.get(from, to).resets {
            return Err(ErrorKind::ConnectionReset.into());
        }
        sleep(LOOK).await;
    }
}

/// Forwards datagrams, each from an address of the host that sent it.
async fn datagrams(paths: Rc<Paths>, host: Ipv4Addr, socket: UdpSocket) {
    let mut bytes = vec![0; PIECE];
    let mut senders: IndexMap<Ipv4Addr, UdpSocket> = IndexMap::new();
    let to = SocketAddrV4::new(host, LISTEN);
    loop {
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut bytes).await else {
            sleep(LOOK).await;
            continue;
        };
        let from = *from.ip();
        let lost = paths.lossy.get() > 0 && rand::rng().random_bool(LOST);
        if lost || paths.get(from, host).cuts > 0 {
            continue;
        }
        if !senders.contains_key(&from) {
            match UdpSocket::bind((from, 0)).await {
                Ok(sender) => drop(senders.insert(from, sender)),
                Err(error) => log::warn!("nothing can be sent as {from}: {error}"),
            }
        }
        let Some(sender) = senders.get(&from) else { continue };
        if let Err(error) = sender.send_to(&bytes[..length], to).await {
            log::debug!("host {host} takes no datagrams: {error}");
        }
    }
}
