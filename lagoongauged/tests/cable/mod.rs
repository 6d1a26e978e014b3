//! TCP connections that a test can cut silently, as a network partition does.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);

/// Forwards connections to an address; while cut, everything stalls and nothing is closed.
pub struct Cable {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
}

impl Cable {
    pub fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let (cut, gone) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let flags = (Arc::clone(&cut), Arc::clone(&gone));
        thread::spawn(move || {
            while !flags.1.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((near, _)) => join(near, target, &flags),
                    Err(_) => thread::sleep(POLL),
                }
            }
        });
        Self { address, cut, gone }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for Cable {
    fn drop(&mut self) {
        self.gone.store(true, Ordering::Relaxed);
    }
}

type Flags = (Arc<AtomicBool>, Arc<AtomicBool>);

fn join(near: TcpStream, target: SocketAddr, flags: &Flags) {
    let Ok(far) = TcpStream::connect(target) else { return };
    for stream in [&near, &far] {
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(POLL)).unwrap();
        stream.set_nodelay(true).unwrap();
    }
    let ends = (near.try_clone().unwrap(), far.try_clone().unwrap());
    let (one, other) = (flags.clone(), flags.clone());
    thread::spawn(move || copy(near, far, &one));
    thread::spawn(move || copy(ends.1, ends.0, &other));
}

fn copy(mut from: TcpStream, mut to: TcpStream, (cut, gone): &Flags) {
    let mut buffer = [0; 4096];
    while !gone.load(Ordering::Relaxed) {
        if cut.load(Ordering::Relaxed) {
            thread::sleep(POLL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                while cut.load(Ordering::Relaxed) && !gone.load(Ordering::Relaxed) {
                    thread::sleep(POLL);
                }
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
