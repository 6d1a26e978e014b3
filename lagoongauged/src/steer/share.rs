//! Load counts that entry hosts send each other.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::mark::Report;

use super::state::Shared;
use crate::cluster::message::{address_of, host_at};

/// Interval between two reports.
const REPORT: Duration = Duration::from_millis(100);

/// Interval between two reports while nothing is open.
const IDLE_ROUNDS: u32 = 5;

/// Longest report in bytes.
const MAX_REPORT: usize = 16 << 10;

/// Sends this host's counts to the others now and then.
pub(super) async fn send(state: Shared, socket: UdpSocket, port: u16) {
    let mut idle = 0;
    loop {
        sleep(REPORT).await;
        let report = state.router().report();
        idle = if report.counts.is_empty() { idle + 1 } else { 0 };
        if idle > 0 && idle % IDLE_ROUNDS != 1 {
            continue;
        }
        let Ok(bytes) = postcard::to_stdvec(&report) else { continue };
        for entry in state.entries() {
            if let Err(error) = socket.send_to(&bytes, address_of(entry, port)) {
                log::debug!("entry host {entry} was sent no load counts: {error}");
            }
        }
    }
}

/// Takes the counts of other hosts in, on a thread of its own.
pub(super) fn receive(state: &Shared, socket: &UdpSocket) {
    let mut bytes = vec![0; MAX_REPORT];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes) {
            Ok(received) => received,
            Err(error) => {
                log::debug!("no load counts can be received: {error}");
                std::thread::sleep(REPORT);
                continue;
            }
        };
        let SocketAddr::V4(from) = from else { continue };
        match postcard::from_bytes::<Report>(&bytes[..length]) {
            Ok(report) => {
                let now = state.clock.now();
                state.router().set_report(now, host_at(*from.ip()), report);
            }
            Err(error) => log::debug!("load counts of {from} can't be read: {error}"),
        }
    }
}

/// Binds the socket for load counts.
pub(super) fn bind(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(address)
}
