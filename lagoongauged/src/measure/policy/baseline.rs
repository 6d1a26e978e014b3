//! Designs that this one is compared with: each host chooses by itself from the targets it knows.

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

use super::core::{Core, Letter, Setup, Sight};

/// Entries of a Maglev table; a prime.
const MAGLEV_LEN: usize = 65_537;
/// How long a tracked connection stays without a packet.
const TRACK_LIMIT: Span = Span::seconds(3600);
/// Time between two sweeps over tracked connections.
const SWEEP: Span = Span::seconds(30);

/// A way to choose a target, with what it remembers of flows.
pub trait Choice: Default {
    /// Name of the design in the figures.
    const NAME: &'static str;

    /// Takes the ready targets, in a fixed order.
    fn targets(&mut self, ready: &[TargetId]);

    /// Chooses a flow's target.
    fn choose(&self, flow: FlowHash) -> Option<TargetId>;

    /// Returns the tracked target of a flow.
    fn tracked(&mut self, _now: Instant, _flow: FlowHash) -> Option<TargetId> {
        None
    }

    /// Tracks or forgets a flow after a packet.
    fn track(&mut self, _now: Instant, _flow: FlowHash, _target: TargetId, _signal: Signal) {}

    /// Forgets flows that were silent for long.
    fn sweep(&mut self, _now: Instant) {}
}

/// The flow's hash modulo the number of targets.
#[derive(Debug, Default)]
pub struct Modulo(Vec<TargetId>);

impl Choice for Modulo {
    const NAME: &'static str = "modulo";

    fn targets(&mut self, ready: &[TargetId]) {
        self.0 = ready.to_vec();
    }

    fn choose(&self, flow: FlowHash) -> Option<TargetId> {
        let count = self.0.len().max(1) as u64;
        self.0.get((flow.0 % count) as usize).copied()
    }
}

/// Rendezvous hashing of flow and target.
#[derive(Debug, Default)]
pub struct Rendezvous(Vec<TargetId>);

impl Choice for Rendezvous {
    const NAME: &'static str = "rendezvous";

    fn targets(&mut self, ready: &[TargetId]) {
        self.0 = ready.to_vec();
    }

    fn choose(&self, flow: FlowHash) -> Option<TargetId> {
        self.0.iter().copied().max_by_key(|target| hash(target.0, flow.0))
    }
}

/// A Maglev table with the connections that each host has seen.
#[derive(Debug, Default)]
pub struct Maglev {
    table: Vec<TargetId>,
    tracked: IndexMap<FlowHash, (TargetId, Instant)>,
}

impl Choice for Maglev {
    const NAME: &'static str = "maglev";

    fn targets(&mut self, ready: &[TargetId]) {
        self.table = maglev_table(ready);
    }

    fn choose(&self, flow: FlowHash) -> Option<TargetId> {
        if self.table.is_empty() {
            return None;
        }
        Some(self.table[(flow.0 % MAGLEV_LEN as u64) as usize])
    }

    fn tracked(&mut self, now: Instant, flow: FlowHash) -> Option<TargetId> {
        let (target, seen) = self.tracked.get_mut(&flow)?;
        *seen = now;
        Some(*target)
    }

    fn track(&mut self, now: Instant, flow: FlowHash, target: TargetId, signal: Signal) {
        match signal {
            Signal::Finish | Signal::Reset => {
                self.tracked.swap_remove(&flow);
            }
            _ => {
                self.tracked.insert(flow, (target, now));
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.tracked.retain(|_, (_, seen)| now < *seen + TRACK_LIMIT);
    }
}

fn maglev_table(ready: &[TargetId]) -> Vec<TargetId> {
    if ready.is_empty() {
        return Vec::new();
    }
    let length = MAGLEV_LEN as u64;
    let mut places = ready
        .iter()
        .map(|target| (hash(target.0, 1) % length, hash(target.0, 2) % (length - 1) + 1))
        .collect::<Vec<_>>();
    let mut table = vec![None; MAGLEV_LEN];
    let mut filled = 0;
    while filled < MAGLEV_LEN {
        for (target, (place, step)) in ready.iter().zip(&mut places) {
            while table[*place as usize].is_some() {
                *place = (*place + *step) % length;
            }
            table[*place as usize] = Some(*target);
            filled += 1;
            if filled == MAGLEV_LEN {
                break;
            }
        }
    }
    table.into_iter().flatten().collect()
}

fn hash(one: u64, two: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(one);
    hasher.write_u64(two);
    hasher.finish()
}

#[derive(Debug)]
struct Known {
    from: Announcement,
    heard: Instant,
    target: TargetId,
}

/// An entry host that keeps a list of targets and passes announcements on to all others.
#[derive(Debug)]
pub struct Baseline<C> {
    setup: Setup,
    known: IndexMap<SocketAddr, Known>,
    ids: IndexMap<TargetId, SocketAddr>,
    choices: IndexMap<ServiceId, C>,
    outbox: Vec<Letter>,
    swept: Instant,
    kind: PhantomData<C>,
}

impl<C: Choice> Baseline<C> {
    fn take(&mut self, now: Instant, from: &Announcement) {
        let endpoint = Endpoint { address: from.address, protocol: from.protocol };
        let target = endpoint.target_id(&self.setup.key, from.service, from.generation);
        let old = self.known.insert(from.address, Known { from: from.clone(), heard: now, target });
        self.ids.insert(target, from.address);
        if old.is_none_or(|old| (old.target, old.from.state) != (target, from.state)) {
            self.rebuild(from.service);
        }
    }

    fn rebuild(&mut self, service: ServiceId) {
        let ready = self.known.values();
        let ready =
            ready.filter(|one| (one.from.service, one.from.state) == (service, State::Ready));
        let mut ready = ready.map(|one| one.target).collect::<Vec<_>>();
        ready.sort_unstable();
        self.choices.entry(service).or_default().targets(&ready);
    }

    fn is_known(&self, target: TargetId) -> bool {
        self.ids.get(&target).is_some_and(|address| self.known.contains_key(address))
    }
}

impl<C: Choice> Core for Baseline<C> {
    const NAME: &'static str = C::NAME;

    fn start(now: Instant, setup: &Setup) -> Self {
        Self {
            setup: setup.clone(),
            known: IndexMap::new(),
            ids: IndexMap::new(),
            choices: IndexMap::new(),
            outbox: Vec::new(),
            swept: now,
            kind: PhantomData,
        }
    }

    fn route(&mut self, now: Instant, facts: &PacketFacts) -> Verdict {
        if facts.direction == Direction::Outward {
            return Verdict::ToCaller;
        }
        let Some(choice) = self.choices.get_mut(&facts.service) else {
            return Verdict::Drop(Kind::NoTarget);
        };
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let tracked = choice.tracked(now, facts.flow);
        let chosen = choice.choose(facts.flow);
        let known = tracked.filter(|target| self.is_known(*target));
        let Some(target) = known.or(chosen) else {
            return if opens {
                Verdict::Refuse(Kind::NoTarget)
            } else {
                Verdict::Drop(Kind::NoTarget)
            };
        };
        self.choices[&facts.service].track(now, facts.flow, target, facts.signal);
        Verdict::Forward(target)
    }

    fn address(&self, target: TargetId) -> Option<SocketAddr> {
        self.ids.get(&target).copied()
    }

    fn source(&self, address: SocketAddr) -> Option<(ServiceId, TargetId)> {
        self.known.get(&address).map(|one| (one.from.service, one.target))
    }

    fn observe(&mut self, _target: TargetId, _sight: Sight) {}

    fn announce(&mut self, now: Instant, from: &Announcement, _token: &str) {
        self.take(now, from);
        let centre = self.setup.settings.hosts[&self.setup.own].centre;
        let forward = ForwardedAnnouncement { announcement: from.clone(), centre };
        let bytes = encode(&Gossip::Forward(forward));
        let peers = self.setup.settings.hosts.keys().filter(|host| **host != self.setup.own);
        self.outbox.extend(peers.map(|to| Letter { to: *to, bytes: bytes.clone() }));
    }

    fn message(&mut self, now: Instant, _from: HostId, bytes: &[u8]) -> Vec<Letter> {
        if let Some(Gossip::Forward(forward)) = decode(bytes) {
            self.take(now, &forward.announcement);
        }
        Vec::new()
    }

    fn tick(&mut self, now: Instant) -> Vec<Letter> {
        let ended = self.known.iter().filter(|(_, one)| now > one.heard + one.from.lease);
        let ended = ended.map(|(at, one)| (*at, one.from.service)).collect::<Vec<_>>();
        for (address, service) in ended {
            self.known.swap_remove(&address);
            self.rebuild(service);
        }
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.choices.values_mut().for_each(|choice| choice.sweep(now));
        }
        std::mem::take(&mut self.outbox)
    }

    fn leave(&mut self, _now: Instant) {}

    fn has_left(&self) -> bool {
        true
    }
}

fn encode(gossip: &Gossip) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    gossip.write(message.init_root::<target_capnp::gossip::Builder<'_>>());
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, &message).expect("a vector takes all bytes");
    bytes
}

fn decode(bytes: &[u8]) -> Option<Gossip> {
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize_packed::read_message(bytes, options).ok()?;
    Gossip::read(message.get_root().ok()?).ok()
}
