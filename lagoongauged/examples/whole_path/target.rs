//! Targets: smoltcp servers that answer each request with their own id and announce themselves.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use smoltcp::socket::tcp;

use crate::caller::{REQUEST_BYTES, Request};
use crate::fabric::Fabric;
use crate::stack::{Stack, new_socket};

/// Number of sockets kept in the listening state.
const LISTENING_SOCKETS: usize = 192;

/// State of a running target that the scenario reads and changes.
pub struct Target {
    pub service: u32,
    pub token: String,
    pub state: Mutex<&'static str>,
    pub open: AtomicUsize,
    pub accepted: AtomicUsize,
    pub announce_status: AtomicU16,
}

impl Target {
    /// Starts a target that announces itself to each of the entry hosts in turn.
    pub fn start(
        address: SocketAddr,
        (service, id): (u32, u32),
        token: &str,
        fabric: &Arc<Fabric>,
        hosts: &[SocketAddr],
    ) -> Arc<Self> {
        let target = Arc::new(Self {
            service,
            token: token.to_owned(),
            state: Mutex::new("ready"),
            open: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            announce_status: AtomicU16::new(0),
        });
        let stack = Stack::new(address.ip(), u64::from(id), fabric);
        let (server, hosts) = (Arc::clone(&target), hosts.to_vec());
        thread::spawn(move || server.serve(stack, address.port(), id));
        let announcer = Arc::clone(&target);
        thread::spawn(move || {
            for host in hosts.iter().cycle() {
                let status = announcer.announce(*host, address).unwrap_or(0);
                announcer.announce_status.store(status, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(300));
            }
        });
        target
    }

    /// Announces the target over HTTP and returns the status of the response.
    fn announce(&self, host: SocketAddr, address: SocketAddr) -> Option<u16> {
        let (service, state) = (self.service, *self.state.lock().unwrap());
        let body = format!(
            "service={service}&protocol=tcp&address={address}&state={state}&generation=1&slots=2"
        );
        let head = format!(
            "POST /announce HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\
             Authorization: Bearer {}\r\nContent-Length: {}\r\n\
             Content-Type: application/x-www-form-urlencoded\r\n\r\n",
            self.token,
            body.len()
        );
        let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
        let mut status = [0; 12];
        stream.read_exact(&mut status).ok()?;
        str::from_utf8(&status[9..]).ok()?.parse().ok()
    }

    fn serve(&self, mut stack: Stack, port: u16, id: u32) {
        // Listening sockets come after all connected ones, so that a retransmitted SYN is matched
        // by the socket that accepted the first one.
        let mut handles = Vec::new();
        let mut accepted = 0;
        loop {
            while handles.len() < accepted + LISTENING_SOCKETS {
                let mut socket = new_socket();
                socket.listen(port).expect("the port is not zero");
                handles.push(stack.sockets.add(socket));
            }
            stack.poll();
            let sockets = handles.iter().map(|handle| {
                let socket = stack.sockets.get_mut::<tcp::Socket>(*handle);
                answer_requests(socket, [self.service, id]);
                (!socket.is_listening(), socket.may_send() && socket.may_recv())
            });
            let (connected, open): (Vec<_>, Vec<_>) = sockets.unzip();
            accepted = connected.into_iter().filter(|connected| *connected).count();
            self.accepted.store(accepted, Ordering::Relaxed);
            self.open.store(open.into_iter().filter(|open| *open).count(), Ordering::Relaxed);
        }
    }
}

fn answer_requests(socket: &mut tcp::Socket<'_>, [service, target]: [u32; 2]) {
    if socket.state() == tcp::State::CloseWait && socket.recv_queue() == 0 {
        socket.close();
    }
    while socket.recv_queue() >= REQUEST_BYTES {
        let mut bytes = [0; REQUEST_BYTES];
        let _ = socket.recv_slice(&mut bytes);
        let response = Request { service, target, ..Request::from_bytes(bytes) };
        let _ = socket.send_slice(&response.to_bytes());
    }
}
