//! Datagrams between hosts: load reports of entry hosts, what they say of failing targets, and
//! invitations of control hosts.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::mark::LoadReport;
use lagoongauge::mark::evidence::statement::is_evidence;
use lagoongauge::mark::load::reporting::ReportScheduler;

use super::evidence::{self, EvidenceSender};
use super::state::SharedState;
use crate::cluster::invitation::is_invitation;
use crate::cluster::message::{host_address, host_id};
use crate::daemon::isolate;

/// Interval at which the load counts are checked for changes, and delay after a failed receive.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Number of intervals after which a report is sent even without a change.
const KEEPALIVE_ROUNDS: u32 = 8;

/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// Sends this host's load counts to other entry hosts as often as the byte budget permits.
pub(super) async fn send_reports(state: SharedState, socket: UdpSocket, port: u16) {
    let mut scheduler = ReportScheduler::new(state.clock.now());
    let mut receivers = Vec::new();
    let mut evidence = EvidenceSender::default();
    let mut sent = LoadReport::default();
    for round in 0u32.. {
        sleep(POLL_INTERVAL).await;
        scheduler.charge(evidence.tick(&state, &socket, port));
        let report = state.router().report();
        if report == sent && !round.is_multiple_of(KEEPALIVE_ROUNDS) {
            continue;
        }
        let bytes = match report.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("failed to encode load report: {error}");
                continue;
            }
        };
        let (local, remote) = state.neighbours();
        receivers.clear();
        scheduler.take_receivers(state.clock.now(), bytes.len(), (&local, &remote), &mut receivers);
        for entry in &receivers {
            if let Err(error) = socket.send_to(&bytes, host_address(*entry, port)) {
                log::debug!("failed to send load report to entry host {entry}: {error}");
            }
        }
        sent = report;
    }
}

/// Receives load reports and evidence of other entry hosts, and invitations of control hosts; runs on its own thread.
pub(super) fn receive_reports(state: &SharedState, socket: &UdpSocket) {
    let mut bytes = vec![0; MAX_REPORT_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut bytes) {
            Ok(received) => received,
            Err(error) => {
                log::debug!("failed to receive load report: {error}");
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
        };
        let SocketAddr::V4(from) = from else { continue };
        if !isolate("report of an entry host", || receive(state, from, &bytes[..length])) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn receive(state: &SharedState, from: SocketAddrV4, bytes: &[u8]) {
    if is_evidence(bytes) {
        evidence::receive(state, from, bytes);
    } else if is_invitation(bytes) {
        state.handle_invitation(host_id(*from.ip()));
    } else {
        store_report(state, from, bytes);
    }
}

fn store_report(state: &SharedState, from: SocketAddrV4, bytes: &[u8]) {
    match LoadReport::from_bytes(bytes) {
        Ok(report) => {
            let now = state.clock.now();
            state.router().set_report(now, host_id(*from.ip()), report);
        }
        Err(error) => log::debug!("invalid load report from {from}: {error}"),
    }
}
