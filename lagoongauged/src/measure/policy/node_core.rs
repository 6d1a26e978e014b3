//! The design of lagoongauge: the node that the daemon runs.

use std::net::SocketAddr;

use lagoongauge::flow::Protocol;
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::node::{Action, Message, Node, NodeSetup, Observation};
use lagoongauge::route::{PacketFacts, Route, Verdict};
use lagoongauge::target::Announcement;
use lagoongauge::time::Instant;

use super::host_core::{CoreSetup, HandshakeEvent, HostCore, OutgoingMessage};

/// A node and the messages queued until the next tick.
#[derive(Debug)]
pub struct NodeCore {
    node: Node,
    now: Instant,
    queued: Vec<OutgoingMessage>,
}

impl HostCore for NodeCore {
    const NAME: &'static str = "lagoongauge";

    fn start(now: Instant, setup: &CoreSetup) -> Self {
        let CoreSetup { own, key, seed, start_time, .. } = *setup;
        let node = Node::new(now, NodeSetup { own, key, seed, start_time });
        node.apply(now, &setup.settings);
        Self { node, now, queued: Vec::new() }
    }

    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict {
        self.node.route(now, facts)
    }

    fn target_address(&self, target: TargetId) -> Option<SocketAddr> {
        self.node.target_address(target)
    }

    fn target_at(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)> {
        self.node.target_at(address, Protocol::Tcp)
    }

    fn observe(&mut self, target: TargetId, event: HandshakeEvent) {
        let observation = match event {
            HandshakeEvent::Opened => Observation::Opened,
            HandshakeEvent::Answered => Observation::Answered,
        };
        self.node.observe(target, observation);
    }

    fn handle_announcement(&mut self, now: Instant, announcement: &Announcement, token: &str) {
        self.node.announce(now, announcement, token);
    }

    fn handle_message(&mut self, now: Instant, from: HostId, bytes: &[u8]) -> Vec<OutgoingMessage> {
        let Ok(message) = Message::from_bytes(bytes) else { return Vec::new() };
        outgoing_messages(self.node.handle_message(now, from, message))
    }

    fn tick(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        self.now = now;
        let mut messages = outgoing_messages(self.node.tick(now));
        messages.append(&mut self.queued);
        messages
    }

    fn begin_leave(&mut self, now: Instant) {
        self.queued.extend(outgoing_messages(self.node.leave(now)));
    }

    fn has_left(&self) -> bool {
        self.node.status(self.now).left
    }
}

fn outgoing_messages(actions: Vec<Action>) -> Vec<OutgoingMessage> {
    let send = |action| match action {
        Action::Send(to, message) => Some(OutgoingMessage { to, bytes: message.to_bytes() }),
        Action::Event(_) => None,
    };
    actions.into_iter().filter_map(send).collect()
}
