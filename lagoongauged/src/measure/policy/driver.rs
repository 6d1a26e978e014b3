//! Runs one scenario: real cores, each packet sprayed to a random live host.

use rand::Rng;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::route::{Direction, PacketFacts, Verdict};
use lagoongauge::target::State;
use lagoongauge::time::Instant;
use lagoongauge::wire::OVERHEAD_BYTES;

use super::core::{Core, Letter, Setup, Sight};
use super::scenario::{BEGIN, STEADY, Scenario, Size, Step};
use super::tally::{Figures, Tally};
use super::world::{Event, FlowIndex, Packet, Phase, World};

/// Microseconds of a second.
pub const SECOND: u64 = 1_000_000;
/// Microseconds between two ticks of a host.
const TICK: u64 = 100_000;
/// Microseconds between two announcements of a target.
const ANNOUNCE: u64 = 3 * SECOND;
/// Second from which on flows begin.
const FIRST_FLOW: u64 = 18;
/// Seconds over which the feeds open.
const FEED_SPAN: u64 = 25;
/// Mean microseconds between two packets of a feed.
const FEED_GAP: f64 = 20e6;
/// Microseconds before a packet is sent again, doubled each time.
const RETRY: u64 = 300_000;
/// The same for a SYN.
const SYN_RETRY: u64 = SECOND;
/// Microseconds between a host's start and the fabric's first packet to it.
const WARM_UP: u64 = 5 * SECOND;
/// Microseconds between the return of a host and the next restart.
const REST: u64 = 4 * SECOND;
/// How often a packet is sent again.
const MAX_TRIES: u8 = 6;
/// One SYN of this many is sent again although it was answered.
const DUPLICATE_ONE_IN: u32 = 200;
/// Bytes of a packet with its header, and of the header that a relay adds.
const PACKET_BYTES: u64 = 160 + DATAGRAM_BYTES;
/// Bytes of IP and UDP header and of the sealing around each message.
const DATAGRAM_BYTES: u64 = 28 + OVERHEAD_BYTES as u64;

#[derive(Debug)]
struct Host<C> {
    core: Option<C>,
    life: u32,
    centre: u8,
    attached: bool,
}

/// One run of one design.
#[derive(Debug)]
pub struct Driver<'a, C> {
    size: Size,
    scenario: &'a Scenario,
    seed: u64,
    pub(super) world: World,
    hosts: Vec<Host<C>>,
    setup: Setup,
    pub(super) tally: Tally,
    faulty: bool,
    flooding: bool,
    end: u64,
}

impl<'a, C: Core> Driver<'a, C> {
    /// Builds a run.
    pub fn new(size: Size, scenario: &'a Scenario, seed: u64) -> Self {
        let world = World::new(size, seed);
        let (key, settings) = (world.key, size.settings());
        let setup = Setup { own: HostId(0), key, seed, calendar: 1_000_000, settings };
        let host = |id: u32| Host {
            core: None,
            life: 0,
            centre: (id % u32::from(size.centres)) as u8,
            attached: true,
        };
        let hosts = (0..size.hosts).map(host).collect();
        let tally = Tally { sent: vec![0; size.hosts as usize], ..Tally::default() };
        let (faulty, flooding) = (false, false);
        let end = scenario.end * SECOND;
        Self { size, scenario, seed, world, hosts, setup, tally, faulty, flooding, end }
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Figures {
        self.prepare();
        while let Some(event) = self.world.next_event() {
            if self.world.now >= self.end {
                break;
            }
            self.handle(event);
        }
        let names = [self.size.name, self.scenario.name, C::NAME];
        self.tally.figures(names, self.seed, BEGIN, self.end / SECOND - FIRST_FLOW)
    }

    fn prepare(&mut self) {
        for host in 0..self.size.hosts {
            self.start(host);
        }
        for target in 0..self.world.targets.len() as u16 {
            let delay = self.world.rng.random_range(0..ANNOUNCE);
            self.world.after(3 * SECOND + delay, Event::Announce(target));
        }
        for service in 0..3 {
            self.world.after(FIRST_FLOW * SECOND, Event::Arrive(service));
        }
        for feed in 0..self.size.feeds {
            let at = FEED_SPAN * SECOND * u64::from(feed) / u64::from(self.size.feeds);
            let flow = self.world.begin(0, true);
            self.world.after(FIRST_FLOW * SECOND + at, Event::Next(flow));
        }
        for (at, step) in &self.scenario.steps {
            self.world.after(at * SECOND, Event::Do(*step));
        }
        self.world.after(SECOND, Event::Second);
    }

    fn instant(&self) -> Instant {
        Instant(self.world.now / 1000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AtHost(host, packet) => self.at_host(host, packet),
            Event::AtTarget(target, packet) => self.at_target(target, packet),
            Event::AtCaller(packet) => self.at_caller(packet),
            Event::Again(packet) => self.send(packet),
            Event::Next(flow) => self.next(flow),
            Event::Worked(target, flow) => self.worked(target, flow),
            Event::Arrive(service) => self.arrive(service),
            Event::Message(from, to, bytes) => self.message(from, to, &bytes),
            Event::Tick(host, life) => self.tick(host, life),
            Event::Announce(target) => self.announce(target),
            Event::Do(step) => self.step(step),
            Event::Second => self.second(),
        }
    }

    fn start(&mut self, host: u32) {
        let mut setup = self.setup.clone();
        setup.own = HostId(host);
        setup.seed = self.world.rng.random();
        setup.calendar += self.world.now / 1000;
        let now = self.instant();
        let one = &mut self.hosts[host as usize];
        one.life += 1;
        one.core = Some(C::start(now, &setup));
        let life = one.life;
        let delay = self.world.rng.random_range(0..TICK);
        self.world.after(delay, Event::Tick(host, life));
    }

    fn tick(&mut self, host: u32, life: u32) {
        let now = self.instant();
        let one = &mut self.hosts[host as usize];
        if one.life != life {
            return;
        }
        let Some(core) = &mut one.core else { return };
        let letters = core.tick(now);
        self.world.after(TICK, Event::Tick(host, life));
        self.post(host, letters);
    }

    fn message(&mut self, from: u32, to: u32, bytes: &[u8]) {
        let now = self.instant();
        let Some(core) = &mut self.hosts[to as usize].core else { return };
        let letters = core.message(now, HostId(from), bytes);
        self.post(to, letters);
    }

    fn post(&mut self, from: u32, letters: Vec<Letter>) {
        for letter in letters {
            self.tally.sent[from as usize] += letter.bytes.len() as u64 + DATAGRAM_BYTES;
            let (one, two) = (self.centre(from), self.centre(letter.to.0));
            if !self.world.reaches(one, two) || self.world.loses() {
                continue;
            }
            let delay = self.world.delay(one, two);
            self.world.after(delay, Event::Message(from, letter.to.0, letter.bytes));
        }
    }

    fn centre(&self, host: u32) -> u8 {
        self.hosts[host as usize].centre
    }

    /// Picks the host that the fabric hands a packet from a place to.
    fn spray(&mut self, centre: u8) -> Option<u32> {
        let count = self.hosts.len() as u32;
        for _ in 0..8 * count {
            let host = self.world.rng.random_range(0..count);
            let one = &self.hosts[host as usize];
            if one.attached && self.world.reaches(centre, one.centre) {
                return Some(host);
            }
        }
        None
    }

    fn announce(&mut self, target: u16) {
        let one = &mut self.world.targets[usize::from(target)];
        if !one.up {
            return;
        }
        one.from.connections = if one.lies { 0 } else { one.open };
        let liar = if target.is_multiple_of(2) { 1000 } else { 0 };
        one.from.load = if one.lies { liar } else { (one.busy * 400).min(1000) as u16 };
        let (from, centre) = (one.from.clone(), one.centre);
        let token = if one.service == 2 { "token2" } else { "token1" };
        let now = self.instant();
        let host = self.spray(centre);
        if let Some(core) = host.and_then(|host| self.hosts[host as usize].core.as_mut()) {
            core.announce(now, &from, token);
        }
        self.world.after(ANNOUNCE, Event::Announce(target));
    }

    fn arrive(&mut self, service: u8) {
        let flow = self.world.begin(service, false);
        self.next(flow);
        let mut rate = f64::from(self.size.rates[usize::from(service)]);
        if service == 2 && self.flooding {
            rate = 10.0 * f64::from(self.size.rival_rate);
        }
        let gap = self.world.spread(SECOND as f64 / rate);
        self.world.after(gap, Event::Arrive(service));
    }

    /// Lets a caller send its next packet.
    pub(super) fn next(&mut self, index: FlowIndex) {
        let flow = self.world.flows[index as usize];
        let mut packet = Packet {
            flow: index,
            signal: Signal::Middle,
            direction: Direction::Inward,
            source: None,
            tries: 0,
            hops: 0,
        };
        match flow.phase {
            Phase::Opening => {
                self.tally.counts.flows += 1;
                packet.signal = if flow.data { Signal::OpenData } else { Signal::Open };
                if self.world.rng.random_ratio(1, DUPLICATE_ONE_IN) {
                    self.world.after(SYN_RETRY, Event::Again(packet));
                }
            }
            Phase::Open if flow.feed => {
                let gap = self.world.spread(FEED_GAP);
                self.world.after(gap, Event::Next(index));
            }
            Phase::Open if flow.left > 0 => {
                self.world.flows[index as usize].left -= 1;
                let gap = self.world.spread(self.size.life as f64 * 1000.0 / 3.0);
                self.world.after(gap, Event::Next(index));
            }
            Phase::Open => {
                self.world.flows[index as usize].phase = Phase::Closing;
                packet.signal = Signal::Finish;
            }
            Phase::Closing | Phase::Done => return,
        }
        self.send(packet);
    }

    /// Hands a packet to the fabric.
    pub(super) fn send(&mut self, packet: Packet) {
        let flow = self.world.flows[packet.flow as usize];
        if flow.phase == Phase::Done && packet.direction == Direction::Inward {
            return;
        }
        let (centre, delay) = match packet.source {
            Some(target) => {
                let centre = self.world.targets[usize::from(target)].centre;
                (centre, self.world.delay(centre, centre))
            }
            None => (flow.centre, self.world.caller_delay()),
        };
        match self.spray(centre) {
            Some(host) if !self.world.loses() => {
                self.world.after(delay, Event::AtHost(host, packet));
            }
            _ => self.lost(packet),
        }
    }

    /// Sends a lost packet again, or gives up.
    pub(super) fn lost(&mut self, mut packet: Packet) {
        let flow = self.world.flows[packet.flow as usize];
        let opens = matches!(packet.signal, Signal::Open | Signal::OpenData);
        if flow.phase == Phase::Done {
            return;
        }
        packet.hops = 0;
        packet.tries += 1;
        if packet.tries <= MAX_TRIES {
            let base = if opens { SYN_RETRY } else { RETRY };
            self.world.after(base << (packet.tries - 1), Event::Again(packet));
            return;
        }
        match flow.phase {
            Phase::Opening if flow.service < 2 => {
                self.tally.counts.unopened += 1;
                self.world.finish(packet.flow);
            }
            Phase::Opening => self.world.finish(packet.flow),
            Phase::Open | Phase::Closing => self.broke(packet.flow),
            Phase::Done => {}
        }
    }

    pub(super) fn broke(&mut self, index: FlowIndex) {
        let flow = self.world.flows[index as usize];
        if flow.phase == Phase::Done {
            return;
        }
        let target = flow.target.map(|target| &self.world.targets[usize::from(target)]);
        let down = target.is_some_and(|target| !target.up);
        let severed = target.is_some_and(|target| !self.world.reaches(flow.centre, target.centre));
        match (severed, self.faulty) {
            (true, _) => self.tally.counts.severed += 1,
            (_, true) => self.tally.counts.broken_unplanned += 1,
            _ => self.tally.counts.broken_planned += 1,
        }
        if down {
            self.tally.counts.on_lost_target += 1;
        }
        self.world.finish(index);
        if flow.feed {
            let again = self.world.begin(flow.service, true);
            self.world.after(SECOND, Event::Next(again));
        }
    }

    fn at_host(&mut self, host: u32, packet: Packet) {
        let now = self.instant();
        let flow = self.world.flows[packet.flow as usize];
        let Some(core) = &mut self.hosts[host as usize].core else { return self.lost(packet) };
        let mut service = ServiceId(u32::from(flow.service) + 1);
        let mut source = None;
        if let Some(target) = packet.source {
            let address = self.world.targets[usize::from(target)].from.address;
            let Some((found, id)) = core.source(address) else { return self.lost(packet) };
            (service, source) = (found, Some(id));
        }
        if packet.hops == 0 {
            self.tally.packets += 1;
        }
        let Packet { signal, direction, hops, .. } = packet;
        let facts = PacketFacts { service, flow: flow.hash, signal, direction, source, hops };
        let verdict = core.route(now, &facts);
        self.carry_out(host, packet, verdict, &facts);
    }

    fn carry_out(&mut self, host: u32, packet: Packet, verdict: Verdict, facts: &PacketFacts) {
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let Some(core) = &mut self.hosts[host as usize].core else { return };
        match verdict {
            Verdict::Forward(id) => {
                if opens {
                    core.observe(id, Sight::Opened);
                }
                let address = core.address(id);
                let place = address.and_then(|at| self.world.places.get(&at).copied());
                let Some(target) = place else { return self.lost(packet) };
                let centre = self.world.targets[usize::from(target)].centre;
                self.hop(host, centre, packet, Event::AtTarget(target, packet));
            }
            Verdict::ToCaller => {
                if let (true, Some(id)) = (opens, facts.source) {
                    core.observe(id, Sight::Answered);
                }
                let delay = self.world.caller_delay();
                self.world.after(delay, Event::AtCaller(packet));
            }
            Verdict::Relay(to) => {
                self.tally.relays += 1;
                self.tally.relayed_bytes += PACKET_BYTES;
                let relayed = Packet { hops: packet.hops + 1, ..packet };
                let centre = self.centre(to.0);
                self.hop(host, centre, packet, Event::AtHost(to.0, relayed));
            }
            Verdict::Refuse(_) => self.refused(packet),
            Verdict::Drop(_) => {
                self.tally.counts.drops += 1;
                self.lost(packet);
            }
        }
    }

    fn hop(&mut self, host: u32, centre: u8, packet: Packet, event: Event) {
        let from = self.centre(host);
        if !self.world.reaches(from, centre) || self.world.loses() {
            return self.lost(packet);
        }
        let delay = self.world.delay(from, centre);
        self.world.after(delay, event);
    }

    fn refused(&mut self, packet: Packet) {
        let flow = self.world.flows[packet.flow as usize];
        if flow.phase == Phase::Done {
            return;
        }
        if flow.target.is_some() {
            self.tally.counts.false_refused += 1;
        }
        if flow.phase != Phase::Opening {
            return self.broke(packet.flow);
        }
        match flow.service {
            2 => self.tally.counts.rival_refused += 1,
            _ => self.tally.counts.refused += 1,
        }
        self.world.finish(packet.flow);
    }

    fn step(&mut self, step: Step) {
        self.faulty |= step.is_fault() || (self.scenario.fault && matches!(step, Step::Stop(_)));
        let now = self.instant();
        match step {
            Step::Add => {
                let spare = self.size.targets[0];
                self.world.targets[spare].up = true;
                self.world.after(0, Event::Announce(spare as u16));
            }
            Step::Drain(target) => {
                self.world.targets[target].drains = Some(self.world.now);
                self.world.targets[target].from.state = State::Draining;
                self.world.after(0, Event::Announce(target as u16));
            }
            Step::Restart(host) => {
                if let Some(core) = &mut self.hosts[host as usize].core {
                    core.leave(now);
                }
                self.world.after(SECOND, Event::Do(Step::Retire(host)));
            }
            Step::Retire(host) => self.retire(host),
            Step::Detach(host) => self.hosts[host as usize].attached = false,
            Step::Stop(host) => self.hosts[host as usize].core = None,
            Step::Start(host) => self.start(host),
            Step::Attach(host) => {
                self.hosts[host as usize].attached = true;
                self.tally.counts.restarts += 1;
                match host + 1 < self.size.hosts {
                    true => self.world.after(REST, Event::Do(Step::Restart(host + 1))),
                    false => self.end = self.end.min(self.world.now + 20 * SECOND),
                }
            }
            Step::Kill(target) => self.world.targets[target].up = false,
            Step::Lie(target) => self.world.targets[target].lies = true,
            Step::Cut(centre) => self.world.cut = Some(centre),
            Step::Heal => self.world.cut = None,
            Step::Flood => self.flooding = true,
        }
    }

    /// Takes a host out once it has left, and starts it anew.
    fn retire(&mut self, host: u32) {
        let left = self.hosts[host as usize].core.as_ref().is_some_and(Core::has_left);
        if !left {
            self.world.after(SECOND, Event::Do(Step::Retire(host)));
            return;
        }
        self.hosts[host as usize].attached = false;
        self.world.after(SECOND, Event::Do(Step::Stop(host)));
        self.world.after(2 * SECOND, Event::Do(Step::Start(host)));
        self.world.after(2 * SECOND + WARM_UP, Event::Do(Step::Attach(host)));
    }

    fn second(&mut self) {
        let second = self.world.now / SECOND;
        let counts = second > STEADY;
        if second == STEADY {
            self.tally.over_slots = 0.0;
        }
        self.tally.close_second(counts);
        if second == BEGIN {
            self.tally.counts.open =
                self.world.targets.iter().map(|target| u64::from(target.open)).sum();
        }
        if counts {
            self.tally.imbalance.push((second, self.world.imbalance(0)));
            let ready = self.world.targets.iter().filter(|target| target.service == 0 && target.up);
            self.tally.target_seconds += ready.count() as u64;
        }
        self.world.after(SECOND, Event::Second);
    }
}
