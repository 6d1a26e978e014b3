//! State shared by the threads of an entry host, and the main loop of each thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use lagoongauge::error::Error;
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::node::{Action, Message, Node};
use lagoongauge::settings::Resolved;
use lagoongauge::target::{Announcement, Outcome};
use serde_json::{Value, json};

use super::events::log_event;
use super::http::Api;
use super::link::{MAX_DATAGRAM_BYTES, Received};
use super::metrics::{GaugeValues, Metrics};
use super::{DataPlane, Snapshot, View, Worker};
use crate::control::{Subscriber, Traffic, subscribe};
use crate::daemon::{LogSetup, Stop};

/// Interval between two ticks of the node's state machine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ticks between two refreshes of the address directory.
const DIRECTORY_TICKS: u64 = 2;

/// Ticks between two hello messages to a peer without a session for this process.
const HELLO_TICKS: u64 = 10;

/// State shared by the threads of an entry host.
#[derive(Debug)]
pub(super) struct Core {
    pub own: HostId,
    pub plane: Arc<DataPlane<Node>>,
    pub metrics: Metrics,
    pub traffic: Traffic,
    pub version: AtomicU64,
    pub services: Snapshot<Vec<(String, ServiceId)>>,
    pub leaving: AtomicBool,
    pub stop: Stop,
    pub log: LogSetup,
}

impl Core {
    pub fn receive_from_peers(&self) {
        let mut worker = Worker::new(&self.plane);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut packet = Vec::new();
        while !self.stop.is_raised() {
            let Ok((len, _)) = self.plane.sockets.link.socket().recv_from(&mut buffer) else {
                continue;
            };
            match self.plane.sockets.link.open(&buffer[..len]) {
                Some(Received::Message(from, payload)) => self.handle_message(from, payload),
                Some(Received::Packet(hops, payload)) => {
                    packet.clear();
                    packet.extend_from_slice(payload);
                    worker.process_packet(&mut packet, hops);
                }
                Some(Received::NeedsHello(host)) => self.send_hello(host),
                None => {}
            }
        }
    }

    pub fn run_ticks(&self) {
        let mut ticks = 0;
        while !self.stop.is_raised() {
            thread::sleep(TICK_INTERVAL);
            ticks += 1;
            let now = self.plane.clock.now();
            let actions = self.plane.route.tick(now);
            self.perform(actions);
            if ticks % DIRECTORY_TICKS == 0 {
                self.refresh_directory();
            }
            if ticks % HELLO_TICKS == 0 {
                self.send_missing_hellos();
            }
        }
    }

    pub fn watch_settings(&self, subscriber: Subscriber) {
        let deliver = |resolved: Resolved| self.apply(&resolved);
        subscribe(subscriber, &self.stop, deliver, || self.status_report().to_string());
    }

    fn apply(&self, resolved: &Resolved) {
        self.plane.route.apply(self.plane.clock.now(), resolved);
        let current = self.plane.view.load();
        let others = resolved.hosts.iter().filter(|(host, _)| **host != self.own);
        let peers = others.map(|(host, entry)| (*host, entry.peer)).collect();
        self.plane.view.store(View { directory: current.directory.clone(), peers });
        self.refresh_directory();
        self.services.store(service_paths(resolved));
        self.version.store(resolved.version, Ordering::Release);
        log::info!("settings version {} applied", resolved.version);
    }

    fn refresh_directory(&self) {
        let directory = self.plane.route.directory(self.plane.clock.now());
        self.plane.view.update(|view| View { directory, peers: view.peers.clone() });
    }

    fn handle_message(&self, from: HostId, payload: &[u8]) {
        match Message::from_bytes(payload) {
            Ok(message) => {
                let now = self.plane.clock.now();
                self.perform(self.plane.route.handle_message(now, from, message));
            }
            Err(error) => log::warn!("invalid message from entry host {from}: {error}"),
        }
    }

    pub fn perform(&self, actions: Vec<Action>) {
        let view = self.plane.view.load();
        for action in actions {
            match action {
                Action::Send(host, message) => {
                    let Some(peer) = view.peers.get(&host) else { continue };
                    let link = &self.plane.sockets.link;
                    link.send_message((host, *peer), &message.to_bytes(), &self.plane.counters);
                }
                Action::Event(event) => log_event(&event, &self.services.load()),
            }
        }
    }

    fn send_hello(&self, host: HostId) {
        if let Some(peer) = self.plane.view.load().peers.get(&host) {
            self.plane.sockets.link.send_hello((host, *peer), &self.plane.counters);
        }
    }

    fn send_missing_hellos(&self) {
        let view = self.plane.view.load();
        for (host, peer) in &view.peers {
            if !self.plane.sockets.link.has_session(*host) {
                self.plane.sockets.link.send_hello((*host, *peer), &self.plane.counters);
            }
        }
    }

    fn status_report(&self) -> Value {
        let now = self.plane.clock.now();
        let status = self.plane.route.status(now);
        let hosts: Vec<u32> = status.route.hosts.iter().map(|host| host.0).collect();
        json!({
            "host": self.own.0,
            "ready": self.is_ready(),
            "version": self.version.load(Ordering::Relaxed),
            "leased": status.route.leased,
            "planning": status.route.planning,
            "hosts": hosts,
            "targets": status.targets,
            "records": status.route.records,
            "record_bytes": status.route.record_bytes,
            "held_buckets": status.route.held,
            "pending_buckets": status.route.pending,
            "left": status.left,
        })
    }
}

impl Api for Core {
    fn announce(&self, announcement: &Announcement, token: &str) -> Result<Value, Error> {
        let outcome = self.plane.route.announce(self.plane.clock.now(), announcement, token);
        match outcome {
            Outcome::Accepted(target) => {
                Ok(json!({ "outcome": "accepted", "target": target.to_string() }))
            }
            Outcome::Forwarded(home) => Ok(json!({ "outcome": "forwarded", "to": home.0 })),
            Outcome::Refused(error) => Err(error),
        }
    }

    fn is_ready(&self) -> bool {
        let status = self.plane.route.status(self.plane.clock.now());
        status.route.leased && !self.leaving.load(Ordering::Acquire)
    }

    fn metrics(&self) -> String {
        let status = self.plane.route.status(self.plane.clock.now());
        let gauges = GaugeValues {
            version: self.version.load(Ordering::Relaxed),
            records: status.route.records as u64,
            targets: status.targets as u64,
            leased: status.route.leased,
        };
        self.metrics.render(&self.plane.counters, gauges).unwrap_or_else(|error| {
            log::error!("failed to render metrics: {error}");
            String::new()
        })
    }

    fn status(&self) -> Value {
        let mut status = self.status_report();
        let services = self.services.load();
        let fields = services.iter().map(|(path, id)| json!({ "path": path, "service": id.0 }));
        status["services"] = fields.collect();
        status
    }
}

/// Returns the path in the settings tree and the id of each service.
fn service_paths(resolved: &Resolved) -> Vec<(String, ServiceId)> {
    let services = resolved.services.iter().filter_map(|(id, service)| {
        let member = resolved.members.get(&service.member)?;
        Some((format!("/{}/{}", member.name, service.name), *id))
    });
    services.collect()
}
