//! Baseline designs: each host selects targets on its own from those it knows.

use std::marker::PhantomData;
use std::net::SocketAddr;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

use lagoongauge::error::Kind;
use lagoongauge::flow::{FlowHash, Signal};
use lagoongauge::id::{HostId, ServiceId, TargetId};
use lagoongauge::route::{Direction, PacketFacts, Verdict};
use lagoongauge::target::{Announcement, Endpoint, ForwardedAnnouncement, Gossip, State};
use lagoongauge::time::{Instant, Span};
use lagoongauge_schema::target_capnp;

use super::host_core::{CoreSetup, HandshakeEvent, HostCore, OutgoingMessage};

/// Number of entries of a Maglev lookup table; must be prime.
const MAGLEV_TABLE_LEN: usize = 65_537;
/// Time without a packet after which a tracked connection expires.
const TRACKING_TIMEOUT: Span = Span::seconds(3600);
/// Interval at which expired connections are removed.
const SWEEP_INTERVAL: Span = Span::seconds(30);

/// Target selection of a design, optionally with connection tracking.
pub trait TargetSelector: Default {
    /// Name of the design in the output.
    const NAME: &'static str;

    /// Sets the ready targets, sorted by id.
    fn set_targets(&mut self, ready: &[TargetId]);

    /// Selects a target for a flow.
    fn select(&self, flow: FlowHash) -> Option<TargetId>;

    /// Returns the tracked target of a flow.
    fn tracked_target(&mut self, _now: Instant, _flow: FlowHash) -> Option<TargetId> {
        None
    }

    /// Updates the tracked connection after a packet.
    fn update_tracking(
        &mut self,
        _now: Instant,
        _flow: FlowHash,
        _target: TargetId,
        _signal: Signal,
    ) {
    }

    /// Removes connections without a packet for [`TRACKING_TIMEOUT`].
    fn expire_flows(&mut self, _now: Instant) {}
}

/// Selects by the flow hash modulo the number of targets.
#[derive(Debug, Default)]
pub struct Modulo(Vec<TargetId>);

impl TargetSelector for Modulo {
    const NAME: &'static str = "modulo";

    fn set_targets(&mut self, ready: &[TargetId]) {
        self.0 = ready.to_vec();
    }

    fn select(&self, flow: FlowHash) -> Option<TargetId> {
        let count = self.0.len().max(1) as u64;
        self.0.get((flow.0 % count) as usize).copied()
    }
}

/// Selects by rendezvous hashing of flow and target.
#[derive(Debug, Default)]
pub struct Rendezvous(Vec<TargetId>);

impl TargetSelector for Rendezvous {
    const NAME: &'static str = "rendezvous";

    fn set_targets(&mut self, ready: &[TargetId]) {
        self.0 = ready.to_vec();
    }

    fn select(&self, flow: FlowHash) -> Option<TargetId> {
        self.0.iter().copied().max_by_key(|target| hash(target.0, flow.0))
    }
}

/// Selects by a Maglev lookup table, with connection tracking per host.
#[derive(Debug, Default)]
pub struct Maglev {
    table: Vec<TargetId>,
    tracked: IndexMap<FlowHash, (TargetId, Instant)>,
}

impl TargetSelector for Maglev {
    const NAME: &'static str = "maglev";

    fn set_targets(&mut self, ready: &[TargetId]) {
        self.table = maglev_table(ready);
    }

    fn select(&self, flow: FlowHash) -> Option<TargetId> {
        if self.table.is_empty() {
            return None;
        }
        Some(self.table[(flow.0 % MAGLEV_TABLE_LEN as u64) as usize])
    }

    fn tracked_target(&mut self, now: Instant, flow: FlowHash) -> Option<TargetId> {
        let (target, last_packet) = self.tracked.get_mut(&flow)?;
        *last_packet = now;
        Some(*target)
    }

    fn update_tracking(&mut self, now: Instant, flow: FlowHash, target: TargetId, signal: Signal) {
        match signal {
            Signal::Finish | Signal::Reset => {
                self.tracked.swap_remove(&flow);
            }
            _ => {
                self.tracked.insert(flow, (target, now));
            }
        }
    }

    fn expire_flows(&mut self, now: Instant) {
        self.tracked.retain(|_, (_, last_packet)| now < *last_packet + TRACKING_TIMEOUT);
    }
}

fn maglev_table(ready: &[TargetId]) -> Vec<TargetId> {
    if ready.is_empty() {
        return Vec::new();
    }
    let length = MAGLEV_TABLE_LEN as u64;
    let mut positions = ready
        .iter()
        .map(|target| (hash(target.0, 1) % length, hash(target.0, 2) % (length - 1) + 1))
        .collect::<Vec<_>>();
    let mut table = vec![None; MAGLEV_TABLE_LEN];
    let mut filled = 0;
    while filled < MAGLEV_TABLE_LEN {
        for (target, (position, skip)) in ready.iter().zip(&mut positions) {
            while table[*position as usize].is_some() {
                *position = (*position + *skip) % length;
            }
            table[*position as usize] = Some(*target);
            filled += 1;
            if filled == MAGLEV_TABLE_LEN {
                break;
            }
        }
    }
    table.into_iter().flatten().collect()
}

fn hash(first: u64, second: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(first);
    hasher.write_u64(second);
    hasher.finish()
}

#[derive(Debug)]
struct KnownTarget {
    announcement: Announcement,
    last_heard: Instant,
    target: TargetId,
}

/// An entry host of a baseline design, which forwards announcements to all other hosts.
#[derive(Debug)]
pub struct Baseline<C> {
    setup: CoreSetup,
    targets: IndexMap<SocketAddr, KnownTarget>,
    addresses: IndexMap<TargetId, SocketAddr>,
    selectors: IndexMap<ServiceId, C>,
    outbox: Vec<OutgoingMessage>,
    last_sweep: Instant,
    kind: PhantomData<C>,
}

impl<C: TargetSelector> Baseline<C> {
    fn record_announcement(&mut self, now: Instant, announcement: &Announcement) {
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        let target =
            endpoint.target_id(&self.setup.key, announcement.service, announcement.generation);
        let previous = self.targets.insert(
            announcement.address,
            KnownTarget { announcement: announcement.clone(), last_heard: now, target },
        );
        self.addresses.insert(target, announcement.address);
        if previous.is_none_or(|previous| {
            (previous.target, previous.announcement.state) != (target, announcement.state)
        }) {
            self.rebuild_selector(announcement.service);
        }
    }

    fn rebuild_selector(&mut self, service: ServiceId) {
        let ready = self.targets.values();
        let ready = ready.filter(|known| {
            (known.announcement.service, known.announcement.state) == (service, State::Ready)
        });
        let mut ready = ready.map(|known| known.target).collect::<Vec<_>>();
        ready.sort_unstable();
        self.selectors.entry(service).or_default().set_targets(&ready);
    }

    fn is_known(&self, target: TargetId) -> bool {
        self.addresses.get(&target).is_some_and(|address| self.targets.contains_key(address))
    }
}

impl<C: TargetSelector> HostCore for Baseline<C> {
    const NAME: &'static str = C::NAME;

    fn start(now: Instant, setup: &CoreSetup) -> Self {
        Self {
            setup: setup.clone(),
            targets: IndexMap::new(),
            addresses: IndexMap::new(),
            selectors: IndexMap::new(),
            outbox: Vec::new(),
            last_sweep: now,
            kind: PhantomData,
        }
    }

    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict {
        if facts.direction == Direction::Outward {
            return Verdict::ToCaller;
        }
        let Some(selector) = self.selectors.get_mut(&facts.service) else {
            return Verdict::Drop(Kind::NoTarget);
        };
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let tracked = selector.tracked_target(now, facts.flow);
        let selected = selector.select(facts.flow);
        let still_known = tracked.filter(|target| self.is_known(*target));
        let Some(target) = still_known.or(selected) else {
            return if opens {
                Verdict::Refuse(Kind::NoTarget)
            } else {
                Verdict::Drop(Kind::NoTarget)
            };
        };
        self.selectors[&facts.service].update_tracking(now, facts.flow, target, facts.signal);
        Verdict::Forward(target)
    }

    fn target_address(&self, target: TargetId) -> Option<SocketAddr> {
        self.addresses.get(&target).copied()
    }

    fn target_at(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)> {
        self.targets.get(&address).map(|known| (known.announcement.service, known.target))
    }

    fn observe(&mut self, _target: TargetId, _event: HandshakeEvent) {}

    fn handle_announcement(&mut self, now: Instant, announcement: &Announcement, _token: &str) {
        self.record_announcement(now, announcement);
        let centre = self.setup.settings.hosts[&self.setup.own].centre;
        let forward = ForwardedAnnouncement { announcement: announcement.clone(), centre };
        let bytes = encode(&Gossip::Forward(forward));
        let peers = self.setup.settings.hosts.keys().filter(|host| **host != self.setup.own);
        self.outbox.extend(peers.map(|to| OutgoingMessage { to: *to, bytes: bytes.clone() }));
    }

    fn handle_message(
        &mut self,
        now: Instant,
        _from: HostId,
        bytes: &[u8],
    ) -> Vec<OutgoingMessage> {
        if let Some(Gossip::Forward(forward)) = decode(bytes) {
            self.record_announcement(now, &forward.announcement);
        }
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<OutgoingMessage> {
        let expired = self
            .targets
            .iter()
            .filter(|(_, known)| now > known.last_heard + known.announcement.lease);
        let expired = expired
            .map(|(address, known)| (*address, known.announcement.service))
            .collect::<Vec<_>>();
        for (address, service) in expired {
            self.targets.swap_remove(&address);
            self.rebuild_selector(service);
        }
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.selectors.values_mut().for_each(|selector| selector.expire_flows(now));
        }
        std::mem::take(&mut self.outbox)
    }

    fn begin_leave(&mut self, _now: Instant) {}

    fn has_left(&self) -> bool {
        true
    }
}

fn encode(gossip: &Gossip) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    gossip.write(message.init_root::<target_capnp::gossip::Builder<'_>>());
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, &message)
        .expect("writing to a vector cannot fail");
    bytes
}

fn decode(bytes: &[u8]) -> Option<Gossip> {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize_packed::read_message(bytes, options).ok()?;
    Gossip::read(message.get_root().ok()?).ok()
}
