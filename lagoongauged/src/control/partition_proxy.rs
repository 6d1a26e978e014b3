//! TCP proxy that simulates network partitions, for tests and measurements.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval between checks of the flags.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Forwards TCP connections to an address; while cut, data stalls but no connection is closed.
#[derive(Debug)]
pub struct PartitionProxy {
    address: SocketAddr,
    flags: Flags,
}

#[derive(Debug, Clone, Default)]
struct Flags {
    cut: Arc<AtomicBool>,
    closed: Arc<AtomicBool>,
}

impl Flags {
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed) && !self.is_closed()
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

impl PartitionProxy {
    /// Starts forwarding from a free loopback address to `target`.
    pub fn new(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let flags = Flags::default();
        let accept_flags = flags.clone();
        thread::spawn(move || {
            while !accept_flags.is_closed() {
                match listener.accept() {
                    Ok((client, _)) => drop(forward(client, target, &accept_flags)),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
        });
        Ok(Self { address, flags })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or ends the simulated partition.
    pub fn set_cut(&self, cut: bool) {
        self.flags.cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for PartitionProxy {
    fn drop(&mut self) {
        self.flags.closed.store(true, Ordering::Relaxed);
    }
}

fn forward(client: TcpStream, target: SocketAddr, flags: &Flags) -> Result<()> {
    let server = TcpStream::connect(target)?;
    for stream in [&client, &server] {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        stream.set_nodelay(true)?;
    }
    let reverse = (server.try_clone()?, client.try_clone()?);
    let (client_flags, server_flags) = (flags.clone(), flags.clone());
    thread::spawn(move || copy(client, server, &client_flags));
    thread::spawn(move || copy(reverse.0, reverse.1, &server_flags));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, flags: &Flags) {
    let mut buffer = [0; 16_384];
    while !flags.is_closed() {
        wait_while_cut(flags);
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                wait_while_cut(flags);
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn wait_while_cut(flags: &Flags) {
    while flags.is_cut() {
        thread::sleep(POLL_INTERVAL);
    }
}
