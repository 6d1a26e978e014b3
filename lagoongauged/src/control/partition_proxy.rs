//! TCP connections that can be cut silently, as a network partition does; for tests and
//! measurements.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Pause between two looks at the flags.
const POLL: Duration = Duration::from_millis(5);

/// Forwards connections to an address; while cut, everything stalls and nothing is closed.
#[derive(Debug)]
pub struct PartitionProxy {
    address: SocketAddr,
    flags: Flags,
}

#[derive(Debug, Clone, Default)]
struct Flags {
    cut: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
}

impl Flags {
    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed) && !self.is_gone()
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }
}

impl PartitionProxy {
    /// Lays a cable from a free loopback address to `target`.
    pub fn new(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let flags = Flags::default();
        let seen = flags.clone();
        thread::spawn(move || {
            while !seen.is_gone() {
                match listener.accept() {
                    Ok((near, _)) => drop(join(near, target, &seen)),
                    Err(_) => thread::sleep(POLL),
                }
            }
        });
        Ok(Self { address, flags })
    }

    /// Returns the near end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the cable or joins it again.
    pub fn set_cut(&self, cut: bool) {
        self.flags.cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for PartitionProxy {
    fn drop(&mut self) {
        self.flags.gone.store(true, Ordering::Relaxed);
    }
}

fn join(near: TcpStream, target: SocketAddr, flags: &Flags) -> Result<()> {
    let far = TcpStream::connect(target)?;
    for stream in [&near, &far] {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(POLL))?;
        stream.set_nodelay(true)?;
    }
    let back = (far.try_clone()?, near.try_clone()?);
    let (one, other) = (flags.clone(), flags.clone());
    thread::spawn(move || copy(near, far, &one));
    thread::spawn(move || copy(back.0, back.1, &other));
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, flags: &Flags) {
    let mut buffer = [0; 16_384];
    while !flags.is_gone() {
        wait_joined(flags);
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                wait_joined(flags);
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

fn wait_joined(flags: &Flags) {
    while flags.is_cut() {
        thread::sleep(POLL);
    }
}
