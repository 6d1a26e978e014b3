//! Heartbeats of targets and lists of hosts, sent to the other control hosts at intervals.

use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::replica::Store;
use lagoongauge::roster::Heartbeat;

use super::SharedHost;
use crate::cluster::message::PeerMessage;

/// Interval at which collected heartbeats are sent to the other control hosts; the host lists are
/// sent at every third interval.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(300);

/// Sends collected heartbeats and the host lists to the other control hosts at intervals.
pub(in crate::cluster) async fn gossip<S: Store + 'static>(host: SharedHost<S>) {
    let mut round = 0u64;
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let heartbeats: Vec<Heartbeat> = host.heartbeats.take().into_values().collect();
        if !heartbeats.is_empty() {
            host.broadcast(&PeerMessage::Heartbeats(heartbeats));
        }
        if round.is_multiple_of(3) {
            let (controls, entry_hosts) = (host.controls(), host.entry_hosts());
            host.broadcast(&PeerMessage::Hosts { controls, entry_hosts });
        }
        round += 1;
    }
}
