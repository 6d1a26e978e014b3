//! Simulates one scenario with the cores of one design; the fabric sends each packet to a random
//! attached host.

mod steps;

use rand::Rng;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::route::{Direction, PacketFacts, Verdict};
use lagoongauge::time::Instant;
use lagoongauge::wire::OVERHEAD_BYTES;

use super::environment::{Environment, Event, FlowIndex, Packet, Phase};
use super::host_core::{CoreSetup, HandshakeEvent, HostCore, OutgoingMessage};
use super::scenario::{CHANGE_START_S, STEADY_START_S, Scenario, Size};
use super::stats::{Figures, RunStats};

/// One second in microseconds.
pub const SECOND_US: u64 = 1_000_000;
/// Interval between the ticks of a host.
const TICK_INTERVAL_US: u64 = 100_000;
/// Interval between the announcements of a target.
const ANNOUNCE_INTERVAL_US: u64 = 3 * SECOND_US;
/// Second at which the first flows begin.
const FLOW_START_S: u64 = 18;
/// Time over which the feeds are opened.
const FEED_RAMP_S: u64 = 25;
/// Mean time between two packets of a feed.
const MEAN_FEED_GAP_US: f64 = 20e6;
/// Delay before a lost packet is resent, doubled with each retry.
const RETRY_DELAY_US: u64 = 300_000;
/// Delay before a lost SYN is resent, doubled with each retry.
const SYN_RETRY_DELAY_US: u64 = SECOND_US;
/// Number of times a packet is resent.
const MAX_RETRIES: u8 = 6;
/// One SYN in this many is sent twice, whether it was answered or not.
const DUPLICATE_SYN_ONE_IN: u32 = 200;
/// Bytes of a relayed packet, with its own headers and those that a relay adds.
const PACKET_BYTES: u64 = 160 + DATAGRAM_OVERHEAD_BYTES;
/// Bytes that the IP and UDP headers and sealing add to each message.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28 + OVERHEAD_BYTES as u64;

#[derive(Debug)]
struct Host<C> {
    core: Option<C>,
    incarnation: u32,
    centre: u8,
    attached: bool,
}

/// A run of one scenario with one design.
#[derive(Debug)]
pub struct Simulation<'a, C> {
    size: Size,
    scenario: &'a Scenario,
    seed: u64,
    pub(super) env: Environment,
    hosts: Vec<Host<C>>,
    setup: CoreSetup,
    pub(super) stats: RunStats,
    fault_occurred: bool,
    flooding: bool,
    end_us: u64,
}

impl<'a, C: HostCore> Simulation<'a, C> {
    /// Creates a run.
    pub fn new(size: Size, scenario: &'a Scenario, seed: u64) -> Self {
        let env = Environment::new(size, seed);
        let (key, settings) = (env.key, size.settings());
        let setup = CoreSetup { own: HostId(0), key, seed, start_time: 1_000_000, settings };
        let host = |id: u32| Host {
            core: None,
            incarnation: 0,
            centre: (id % u32::from(size.centres)) as u8,
            attached: true,
        };
        let hosts = (0..size.hosts).map(host).collect();
        let stats = RunStats { sent_bytes: vec![0; size.hosts as usize], ..RunStats::default() };
        let (fault_occurred, flooding) = (false, false);
        let end_us = scenario.end * SECOND_US;
        Self { size, scenario, seed, env, hosts, setup, stats, fault_occurred, flooding, end_us }
    }

    /// Runs the scenario to its end.
    pub fn run(mut self) -> Figures {
        self.schedule_start();
        while let Some(event) = self.env.next_event() {
            if self.env.now >= self.end_us {
                break;
            }
            self.handle(event);
        }
        let names = [self.size.name, self.scenario.name, C::NAME];
        self.stats.figures(names, self.seed, CHANGE_START_S, self.end_us / SECOND_US - FLOW_START_S)
    }

    fn schedule_start(&mut self) {
        for host in 0..self.size.hosts {
            self.start_host(host);
        }
        for target in 0..self.env.targets.len() as u16 {
            let delay = self.env.rng.random_range(0..ANNOUNCE_INTERVAL_US);
            self.env.schedule(3 * SECOND_US + delay, Event::Announce(target));
        }
        for service in 0..3 {
            self.env.schedule(FLOW_START_S * SECOND_US, Event::FlowArrival(service));
        }
        for feed in 0..self.size.feeds {
            let at = FEED_RAMP_S * SECOND_US * u64::from(feed) / u64::from(self.size.feeds);
            let flow = self.env.add_flow(0, true);
            self.env.schedule(FLOW_START_S * SECOND_US + at, Event::SendNext(flow));
        }
        for (at, step) in &self.scenario.steps {
            self.env.schedule(at * SECOND_US, Event::ApplyStep(*step));
        }
        self.env.schedule(SECOND_US, Event::SecondEnd);
    }

    fn instant(&self) -> Instant {
        Instant(self.env.now / 1000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::DeliverToHost(host, packet) => self.deliver_to_host(host, packet),
            Event::DeliverToTarget(target, packet) => self.deliver_to_target(target, packet),
            Event::DeliverToCaller(packet) => self.deliver_to_caller(packet),
            Event::Resend(packet) => self.send(packet),
            Event::SendNext(flow) => self.send_next(flow),
            Event::RequestDone(target, flow) => self.finish_request(target, flow),
            Event::FlowArrival(service) => self.open_next_flow(service),
            Event::Message(from, to, bytes) => self.deliver_message(from, to, &bytes),
            Event::Tick(host, incarnation) => self.tick_host(host, incarnation),
            Event::Announce(target) => self.announce_target(target),
            Event::ApplyStep(step) => self.apply_step(step),
            Event::SecondEnd => self.end_second(),
        }
    }

    fn start_host(&mut self, host: u32) {
        let mut setup = self.setup.clone();
        setup.own = HostId(host);
        setup.seed = self.env.rng.random();
        setup.start_time += self.env.now / 1000;
        let now = self.instant();
        let state = &mut self.hosts[host as usize];
        state.incarnation += 1;
        state.core = Some(C::start(now, &setup));
        let incarnation = state.incarnation;
        let delay = self.env.rng.random_range(0..TICK_INTERVAL_US);
        self.env.schedule(delay, Event::Tick(host, incarnation));
    }

    fn tick_host(&mut self, host: u32, incarnation: u32) {
        let now = self.instant();
        let state = &mut self.hosts[host as usize];
        if state.incarnation != incarnation {
            return;
        }
        let Some(core) = &mut state.core else { return };
        let messages = core.tick(now);
        self.env.schedule(TICK_INTERVAL_US, Event::Tick(host, incarnation));
        self.send_messages(host, messages);
    }

    fn deliver_message(&mut self, from: u32, to: u32, bytes: &[u8]) {
        let now = self.instant();
        let Some(core) = &mut self.hosts[to as usize].core else { return };
        let messages = core.handle_message(now, HostId(from), bytes);
        self.send_messages(to, messages);
    }

    fn send_messages(&mut self, from: u32, messages: Vec<OutgoingMessage>) {
        for message in messages {
            self.stats.sent_bytes[from as usize] +=
                message.bytes.len() as u64 + DATAGRAM_OVERHEAD_BYTES;
            let (sender, receiver) = (self.centre(from), self.centre(message.to.0));
            if !self.env.is_connected(sender, receiver) || self.env.draw_loss() {
                continue;
            }
            let delay = self.env.draw_delay(sender, receiver);
            self.env.schedule(delay, Event::Message(from, message.to.0, message.bytes));
        }
    }

    fn centre(&self, host: u32) -> u8 {
        self.hosts[host as usize].centre
    }

    /// Picks the host to which the fabric sends a packet from a data centre.
    fn pick_host(&mut self, centre: u8) -> Option<u32> {
        let count = self.hosts.len() as u32;
        for _ in 0..8 * count {
            let host = self.env.rng.random_range(0..count);
            let state = &self.hosts[host as usize];
            if state.attached && self.env.is_connected(centre, state.centre) {
                return Some(host);
            }
        }
        None
    }

    fn announce_target(&mut self, target: u16) {
        let state = &mut self.env.targets[usize::from(target)];
        if !state.up {
            return;
        }
        state.announcement.connections = if state.falsifies { 0 } else { state.open_flows };
        let false_load = if target.is_multiple_of(2) { 1000 } else { 0 };
        state.announcement.load = if state.falsifies {
            false_load
        } else {
            (state.active_requests * 400).min(1000) as u16
        };
        let (announcement, centre) = (state.announcement.clone(), state.centre);
        let token = if state.service == 2 { "token2" } else { "token1" };
        let now = self.instant();
        let host = self.pick_host(centre);
        if let Some(core) = host.and_then(|host| self.hosts[host as usize].core.as_mut()) {
            core.handle_announcement(now, &announcement, token);
        }
        self.env.schedule(ANNOUNCE_INTERVAL_US, Event::Announce(target));
    }

    fn open_next_flow(&mut self, service: u8) {
        let flow = self.env.add_flow(service, false);
        self.send_next(flow);
        let mut rate = f64::from(self.size.rates[usize::from(service)]);
        if service == 2 && self.flooding {
            rate = 10.0 * f64::from(self.size.rival_rate);
        }
        let gap = self.env.draw_exponential(SECOND_US as f64 / rate);
        self.env.schedule(gap, Event::FlowArrival(service));
    }

    /// Sends the next packet of a flow's caller.
    pub(super) fn send_next(&mut self, index: FlowIndex) {
        let flow = self.env.flows[index as usize];
        let mut packet = Packet {
            flow: index,
            signal: Signal::Middle,
            direction: Direction::Inward,
            source: None,
            retries: 0,
            hops: 0,
        };
        match flow.phase {
            Phase::Opening => {
                self.stats.counts.flows += 1;
                packet.signal = if flow.syn_data { Signal::OpenData } else { Signal::Open };
                if self.env.rng.random_ratio(1, DUPLICATE_SYN_ONE_IN) {
                    self.env.schedule(SYN_RETRY_DELAY_US, Event::Resend(packet));
                }
            }
            Phase::Open if flow.is_feed => {
                let gap = self.env.draw_exponential(MEAN_FEED_GAP_US);
                self.env.schedule(gap, Event::SendNext(index));
            }
            Phase::Open if flow.packets_left > 0 => {
                self.env.flows[index as usize].packets_left -= 1;
                let gap = self.env.draw_exponential(self.size.flow_lifetime as f64 * 1000.0 / 3.0);
                self.env.schedule(gap, Event::SendNext(index));
            }
            Phase::Open => {
                self.env.flows[index as usize].phase = Phase::Closing;
                packet.signal = Signal::Finish;
            }
            Phase::Closing | Phase::Done => return,
        }
        self.send(packet);
    }

    /// Sends a packet from its caller or target through the fabric to a host.
    pub(super) fn send(&mut self, packet: Packet) {
        let flow = self.env.flows[packet.flow as usize];
        if flow.phase == Phase::Done && packet.direction == Direction::Inward {
            return;
        }
        let (centre, delay) = match packet.source {
            Some(target) => {
                let centre = self.env.targets[usize::from(target)].centre;
                (centre, self.env.draw_delay(centre, centre))
            }
            None => (flow.centre, self.env.draw_caller_delay()),
        };
        match self.pick_host(centre) {
            Some(host) if !self.env.draw_loss() => {
                self.env.schedule(delay, Event::DeliverToHost(host, packet));
            }
            _ => self.handle_loss(packet),
        }
    }

    /// Schedules a lost packet to be resent, or ends its flow after [`MAX_RETRIES`].
    pub(super) fn handle_loss(&mut self, mut packet: Packet) {
        let flow = self.env.flows[packet.flow as usize];
        let opens = matches!(packet.signal, Signal::Open | Signal::OpenData);
        if flow.phase == Phase::Done {
            return;
        }
        packet.hops = 0;
        packet.retries += 1;
        if packet.retries <= MAX_RETRIES {
            let base = if opens { SYN_RETRY_DELAY_US } else { RETRY_DELAY_US };
            self.env.schedule(base << (packet.retries - 1), Event::Resend(packet));
            return;
        }
        match flow.phase {
            Phase::Opening if flow.service < 2 => {
                self.stats.counts.unopened += 1;
                self.env.close_flow(packet.flow);
            }
            Phase::Opening => self.env.close_flow(packet.flow),
            Phase::Open | Phase::Closing => self.break_flow(packet.flow),
            Phase::Done => {}
        }
    }

    pub(super) fn break_flow(&mut self, index: FlowIndex) {
        let flow = self.env.flows[index as usize];
        if flow.phase == Phase::Done {
            return;
        }
        let target = flow.target.map(|target| &self.env.targets[usize::from(target)]);
        let down = target.is_some_and(|target| !target.up);
        let severed =
            target.is_some_and(|target| !self.env.is_connected(flow.centre, target.centre));
        match (severed, self.fault_occurred) {
            (true, _) => self.stats.counts.severed += 1,
            (_, true) => self.stats.counts.broken_unplanned += 1,
            _ => self.stats.counts.broken_planned += 1,
        }
        if down {
            self.stats.counts.on_lost_target += 1;
        }
        self.env.close_flow(index);
        if flow.is_feed {
            let replacement = self.env.add_flow(flow.service, true);
            self.env.schedule(SECOND_US, Event::SendNext(replacement));
        }
    }

    fn deliver_to_host(&mut self, host: u32, packet: Packet) {
        let now = self.instant();
        let flow = self.env.flows[packet.flow as usize];
        let Some(core) = &mut self.hosts[host as usize].core else {
            return self.handle_loss(packet);
        };
        let mut service = ServiceId(u32::from(flow.service) + 1);
        let mut source = None;
        if let Some(target) = packet.source {
            let address = self.env.targets[usize::from(target)].announcement.address;
            let Some((found, id)) = core.target_at(address) else {
                return self.handle_loss(packet);
            };
            (service, source) = (found, Some(id));
        }
        if packet.hops == 0 {
            self.stats.packets += 1;
        }
        let Packet { signal, direction, hops, .. } = packet;
        let facts = PacketFacts { service, flow: flow.hash, signal, direction, source, hops };
        let verdict = core.route(now, &facts);
        self.apply_verdict(host, packet, verdict, &facts);
    }

    fn apply_verdict(&mut self, host: u32, packet: Packet, verdict: Verdict, facts: &PacketFacts) {
        let opens = matches!(facts.signal, Signal::Open | Signal::OpenData);
        let Some(core) = &mut self.hosts[host as usize].core else { return };
        match verdict {
            Verdict::Forward(id) => {
                if opens {
                    core.observe(id, HandshakeEvent::Opened);
                }
                let address = core.target_address(id);
                let index = address.and_then(|at| self.env.target_indices.get(&at).copied());
                let Some(target) = index else { return self.handle_loss(packet) };
                let centre = self.env.targets[usize::from(target)].centre;
                self.send_over_link(host, centre, packet, Event::DeliverToTarget(target, packet));
            }
            Verdict::ToCaller => {
                if let (true, Some(id)) = (opens, facts.source) {
                    core.observe(id, HandshakeEvent::Answered);
                }
                let delay = self.env.draw_caller_delay();
                self.env.schedule(delay, Event::DeliverToCaller(packet));
            }
            Verdict::Relay(to) => {
                self.stats.relays += 1;
                self.stats.relayed_bytes += PACKET_BYTES;
                let relayed = Packet { hops: packet.hops + 1, ..packet };
                let centre = self.centre(to.0);
                self.send_over_link(host, centre, packet, Event::DeliverToHost(to.0, relayed));
            }
            Verdict::Refuse(_) => self.handle_refusal(packet),
            Verdict::Drop(_) => {
                self.stats.counts.drops += 1;
                self.handle_loss(packet);
            }
        }
    }

    fn send_over_link(&mut self, host: u32, centre: u8, packet: Packet, event: Event) {
        let from = self.centre(host);
        if !self.env.is_connected(from, centre) || self.env.draw_loss() {
            return self.handle_loss(packet);
        }
        let delay = self.env.draw_delay(from, centre);
        self.env.schedule(delay, event);
    }

    fn handle_refusal(&mut self, packet: Packet) {
        let flow = self.env.flows[packet.flow as usize];
        if flow.phase == Phase::Done {
            return;
        }
        if flow.target.is_some() {
            self.stats.counts.false_refused += 1;
        }
        if flow.phase != Phase::Opening {
            return self.break_flow(packet.flow);
        }
        match flow.service {
            2 => self.stats.counts.rival_refused += 1,
            _ => self.stats.counts.refused += 1,
        }
        self.env.close_flow(packet.flow);
    }

    fn end_second(&mut self) {
        let second = self.env.now / SECOND_US;
        let record = second > STEADY_START_S;
        if second == STEADY_START_S {
            self.stats.overload_seconds = 0.0;
        }
        self.stats.close_second(record);
        if second == CHANGE_START_S {
            self.stats.counts.open_flows =
                self.env.targets.iter().map(|target| u64::from(target.open_flows)).sum();
        }
        if record {
            self.stats.imbalance.push((second, self.env.imbalance(0)));
            let ready = self.env.targets.iter().filter(|target| target.service == 0 && target.up);
            self.stats.target_seconds += ready.count() as u64;
        }
        self.env.schedule(SECOND_US, Event::SecondEnd);
    }
}
