//! Invitations: datagrams by which a control host that has just started tells entry hosts its address.
//!
//! Load pattern: after a loss of power all hosts start within some hundred milliseconds, in any order. An
//! entry host has no disk and knows only the few control hosts of its settings, which may be the last to
//! start. A control host knows from its disk which entry hosts there were, and invites them until one of
//! the control hosts feeds them.

use std::net::{Ipv4Addr, UdpSocket};
use std::time::Duration;

use async_std::task::sleep;
use indexmap::IndexSet;
use lagoongauge::id::HostId;
use lagoongauge::replica::Store;
use lagoongauge::time::Span;

use super::host::SharedHost;
use super::message::host_address;

/// Content of an invitation. As a load report it announces a target whose mark is no valid number, so that
/// hosts of the first version drop it.
pub const INVITATION: [u8; 8] = [2, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1];

/// Interval at which a control host invites; all of those that run do so, each at another time.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time after the start of a control host in which it invites; entry hosts that come later find it by
/// themselves.
const PERIOD: Span = Span::seconds(5);

/// Returns whether a datagram is an invitation; a later version may say more after it.
pub fn is_invitation(bytes: &[u8]) -> bool {
    bytes.starts_with(&INVITATION)
}

/// Invites the entry hosts that were known before the start and that no control host feeds yet.
pub(super) async fn invite<S: Store + 'static>(host: SharedHost<S>) {
    let (own, started_at) = (Ipv4Addr::from(host.setup.host.0), host.clock.now());
    let socket = match UdpSocket::bind((own, 0)) {
        Ok(socket) => socket,
        Err(error) => {
            log::warn!("entry hosts can't be invited: {error}");
            return;
        }
    };
    while host.clock.now().since(started_at) < PERIOD {
        for entry in uninvited(&host) {
            if let Err(error) = socket.send_to(&INVITATION, host_address(entry, host.setup.port)) {
                log::debug!("failed to invite entry host {entry}: {error}");
            }
        }
        sleep(INTERVAL).await;
    }
    host.forget_former_entries();
}

/// Returns the entry hosts that were known before the start and that no control host feeds yet.
fn uninvited<S: Store + 'static>(host: &SharedHost<S>) -> Vec<HostId> {
    let fed: IndexSet<HostId> = host.entry_hosts().into_iter().map(|(entry, _)| entry).collect();
    host.former_entries().into_iter().filter(|entry| !fed.contains(entry)).collect()
}
