//! A path between two ends on which bytes are held while it is cut.

use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Interval at which the path is checked while it is cut.
const POLL: Duration = Duration::from_millis(5);

/// Forwards connections; while the path is cut, it keeps what each end has sent, and delivers it
/// afterwards, as a network does whose ends send again what was lost.
#[derive(Debug, Clone)]
pub struct Path {
    /// Where the near end connects to.
    pub address: SocketAddrV4,
    cut: Arc<AtomicBool>,
}

impl Path {
    /// Creates a path from `address` to `far`.
    pub fn open(address: SocketAddrV4, far: SocketAddrV4) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let cut = Arc::new(AtomicBool::new(false));
        let path = Self { address, cut: Arc::clone(&cut) };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || forward(near, far, &cut));
            }
        });
        Ok(path)
    }

    /// Cuts the path, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Release);
    }
}

fn forward(near: TcpStream, far: SocketAddrV4, cut: &Arc<AtomicBool>) {
    wait(cut);
    let Ok(far) = TcpStream::connect(far) else { return };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
    let back = Arc::clone(cut);
    let answers = thread::spawn(move || copy(far_copy, near_copy, &back));
    copy(near, far, cut);
    let _ = answers.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        wait(cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

fn wait(cut: &AtomicBool) {
    while cut.load(Ordering::Acquire) {
        thread::sleep(POLL);
    }
}
