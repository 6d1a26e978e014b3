//! This project's design: the node that the daemon runs.

use std::net::SocketAddr;

use lagoongauge::flow::Protocol;
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::node::{Action, Message, Node, NodeSetup, Observation};
use lagoongauge::route::{PacketFacts, Route, Verdict};
use lagoongauge::target::Announcement;
use lagoongauge::time::Instant;

use super::core::{Core, Letter, Setup, Sight};

/// A node with the messages that wait for the next tick.
#[derive(Debug)]
pub struct Own {
    node: Node,
    now: Instant,
    waiting: Vec<Letter>,
}

impl Core for Own {
    const NAME: &'static str = "lagoongauge";

    fn start(now: Instant, setup: &Setup) -> Self {
        let Setup { own, key, seed, calendar, .. } = *setup;
        let node = Node::new(now, NodeSetup { own, key, seed, start_time: calendar });
        node.apply(now, &setup.settings);
        Self { node, now, waiting: Vec::new() }
    }

    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict {
        self.node.route(now, facts)
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        self.node.target_address(target)
    }

    fn source(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)> {
        self.node.target_at(address, Protocol::Tcp)
    }

    fn observe(&mut self, target: TargetId, sight: Sight) {
        let observation = match sight {
            Sight::Opened => Observation::Opened,
            Sight::Answered => Observation::Answered,
        };
        self.node.observe(target, observation);
    }

    fn announce(&mut self, now: Instant, from: &Announcement, token: &str) {
        self.node.announce(now, from, token);
    }

    fn message(&mut self, now: Instant, from: HostId, bytes: &[u8]) -> Vec<Letter> {
        let Ok(message) = Message::from_bytes(bytes) else { return Vec::new() };
        letters(self.node.handle_message(now, from, message))
    }

    fn tick(&mut self, now: Instant) -> Vec<Letter> {
        self.now = now;
        let mut letters = letters(self.node.tick(now));
        letters.append(&mut self.waiting);
        letters
    }

    fn leave(&mut self, now: Instant) {
        self.waiting.extend(letters(self.node.leave(now)));
    }

    fn has_left(&self) -> bool {
        self.node.status(self.now).left
    }
}

fn letters(actions: Vec<Action>) -> Vec<Letter> {
    let send = |action| match action {
        Action::Send(to, message) => Some(Letter { to, bytes: message.to_bytes() }),
        Action::Event(_) => None,
    };
    actions.into_iter().filter_map(send).collect()
}
