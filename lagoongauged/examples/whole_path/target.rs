//! Targets: smoltcp servers that answer each request with their own name.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;

use smoltcp::socket::tcp;

use crate::caller::{REQUEST, Request};
use crate::fabric::Fabric;
use crate::stack::{Stack, socket};

/// Sockets that wait for a SYN.
const LISTENERS: usize = 192;

/// A running target.
pub struct Target {
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
    accepted: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Target {
    /// Starts a target of a service; `name` goes into each answer.
    pub fn start(address: SocketAddr, service: u16, name: u16, fabric: &Arc<Fabric>) -> Self {
        let open = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let stack = Stack::new(address.ip(), u64::from(name), fabric);
        let (counts, stop) = ((Arc::clone(&open), Arc::clone(&accepted)), Arc::clone(&stopped));
        let thread = std::thread::spawn(move || {
            serve(stack, address.port(), [service, name], &counts, &stop);
        });
        Self { address, open, accepted, stopped, thread }
    }

    /// Returns the connections that are open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the connections that were ever accepted.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Ends the target.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Release);
        let _ = self.thread.join();
    }
}

fn serve(
    mut stack: Stack,
    port: u16,
    name: [u16; 2],
    (open, accepted): &(Arc<AtomicUsize>, Arc<AtomicUsize>),
    stopped: &AtomicBool,
) {
    // A socket that waits for a SYN stands behind all others, so that a repeated SYN meets its own.
    let mut handles = Vec::new();
    let mut began = 0;
    while !stopped.load(Ordering::Acquire) {
        while handles.len() < began + LISTENERS {
            handles.push(stack.sockets.add(socket()));
            let _ = stack.sockets.get_mut::<tcp::Socket>(handles[handles.len() - 1]).listen(port);
        }
        stack.poll();
        began = 0;
        let mut count = 0;
        for &handle in &handles {
            let socket = stack.sockets.get_mut::<tcp::Socket>(handle);
            answer(socket, name);
            began += usize::from(!socket.is_listening());
            count += usize::from(socket.may_send() && socket.may_recv());
        }
        accepted.store(began, Ordering::Relaxed);
        open.store(count, Ordering::Relaxed);
    }
}

fn answer(socket: &mut tcp::Socket<'_>, name: [u16; 2]) {
    if socket.state() == tcp::State::CloseWait && socket.recv_queue() == 0 {
        socket.close();
    }
    while socket.recv_queue() >= REQUEST && socket.send_capacity() - socket.send_queue() >= REQUEST
    {
        let mut bytes = [0; REQUEST];
        let _ = socket.recv_slice(&mut bytes);
        let answer = Request { service: name[0], target: name[1], ..Request::read(&bytes) };
        let _ = socket.send_slice(&answer.write());
    }
}
