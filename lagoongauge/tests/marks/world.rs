//! Test fixture: an entry host's router with targets and callers.

use std::net::{Ipv4Addr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::flow::HashKey;
use lagoongauge::id::TargetId;
use lagoongauge::mark::{
    Features, FlowKey, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict,
};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::{Instant, Span};

/// Frontend address of the service "desk".
pub const FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Another frontend address.
pub const OTHER_FRONTEND: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Time after which a start no longer affects decisions.
const UPTIME: Span = Span::seconds(10);

pub struct Fixture {
    pub router: Router,
    /// Mark of the callers' next packets.
    pub mark: Option<Mark>,
    pub now: Instant,
}

/// What a fixture starts with.
pub struct FixtureOptions<'a> {
    /// Targets of the service "desk".
    pub targets: &'a [u64],
    /// Optional parts that are switched on.
    pub features: Features,
}

impl Fixture {
    /// Creates a host that has been running for some time, with targets of the service "desk".
    pub fn new(targets: &[u64]) -> Self {
        let mut fixture = Self::just_started(targets);
        fixture.now = fixture.now + UPTIME;
        fixture.confirm();
        fixture
    }

    /// Creates a host whose first catalog has just become active.
    pub fn just_started(targets: &[u64]) -> Self {
        let mut fixture = Self::without_catalog(targets);
        fixture.set_routes(1, &[(FRONTEND, "desk")]);
        // The catalog counts as active from the first packet on.
        fixture.send(1, SegmentKind::Rst, 0, 0, 0);
        fixture
    }

    /// Creates a host that has been running for some time, where callers compete for room.
    pub fn contended(targets: &[u64]) -> Self {
        Self::with_features(targets, Features { contended: true, ..Features::default() })
    }

    /// Creates a host that has just started and knows its targets, but no routes.
    pub fn without_catalog(targets: &[u64]) -> Self {
        Self::with_options(FixtureOptions { targets, features: Features::default() })
    }

    /// Creates a host that has been running for some time, with optional parts of routing.
    pub fn with_features(targets: &[u64], features: Features) -> Self {
        let mut fixture = Self::with_options(FixtureOptions { targets, features });
        fixture.set_routes(1, &[(FRONTEND, "desk")]);
        fixture.send(1, SegmentKind::Rst, 0, 0, 0);
        fixture.now = fixture.now + UPTIME;
        fixture.router.set_current(fixture.now, true);
        fixture
    }

    /// Creates a host with optional parts that has just started and knows no routes.
    pub fn with_options(options: FixtureOptions<'_>) -> Self {
        let FixtureOptions { targets, features } = options;
        let config = RouterConfig {
            centre: "a".into(),
            hash_key: HashKey([1; 16]),
            max_flows: 10_000,
            features,
        };
        let mut fixture = Self { router: Router::new(config), mark: None, now: Instant(100_000) };
        fixture.router.set_current(fixture.now, true);
        for target in targets {
            fixture.add_target(*target, "desk");
        }
        fixture
    }

    pub fn set_routes(&mut self, version: u64, routes: &[(SocketAddrV4, &str)]) {
        self.router.set_catalog(&catalog(version, routes, Idempotency::Idempotent));
    }

    /// Creates a host whose requests must be executed at most once.
    pub fn with_at_most_once(targets: &[u64]) -> Self {
        let mut fixture = Self::new(targets);
        fixture.router.set_catalog(&catalog(2, &[(FRONTEND, "desk")], Idempotency::AtMostOnce));
        fixture
    }

    pub fn set_remote(&mut self, target: TargetId) {
        let entry = Entry { centre: "b".into(), ..entry(target.0, "desk") };
        self.router.set_target(self.now, &entry, false);
    }

    /// Moves targets to another data centre; this host's own is "a".
    pub fn set_centre(&mut self, targets: &[u64], centre: &str) {
        for target in targets {
            let entry = Entry { centre: centre.into(), ..entry(*target, "desk") };
            self.router.set_target(self.now, &entry, false);
        }
    }

    /// Has a quorum of control hosts confirm the host's state.
    pub fn confirm(&mut self) {
        self.router.set_current(self.now, true);
    }

    /// Ends the contact with a quorum of control hosts.
    pub fn lose_quorum(&mut self) {
        self.router.set_current(self.now, false);
    }

    /// Sends a request to the target and retransmits it without an answer for more than a second; returns
    /// the verdict on the last packet.
    pub fn retransmit_unanswered(&mut self, caller: u16, target: TargetId) -> Verdict {
        self.mark = Some(Mark::of(target));
        let mut verdict = self.send_data(caller, 1, 0);
        for _ in 0..4 {
            self.advance(300);
            verdict = self.send_data(caller, 1, 0);
        }
        verdict
    }

    pub fn add_target(&mut self, target: u64, service: &str) {
        self.router.set_target(self.now, &entry(target, service), false);
    }

    pub fn set_entry(&mut self, entry: &Entry) {
        self.router.set_target(self.now, entry, false);
    }

    pub fn set_phase(&mut self, target: TargetId, phase: Phase) {
        let entry = Entry { phase, ..entry(target.0, "desk") };
        self.router.set_target(self.now, &entry, false);
    }

    pub fn set_silent(&mut self, target: TargetId, silent: bool) {
        self.router.set_target(self.now, &entry(target.0, "desk"), silent);
    }

    /// Advances time while the host ticks every 200 ms.
    pub fn advance(&mut self, millis: u64) {
        let until = self.now + Span(millis);
        while self.now < until {
            self.now = (self.now + Span(200)).min(until);
            self.tick();
        }
    }

    /// Advances time while the host does not run.
    pub fn stall(&mut self, millis: u64) {
        self.now = self.now + Span(millis);
    }

    pub fn tick(&mut self) {
        self.router.tick(self.now);
    }

    pub fn open(&mut self, caller: u16) -> Verdict {
        self.open_to(caller, FRONTEND)
    }

    pub fn open_to(&mut self, caller: u16, frontend: SocketAddrV4) -> Verdict {
        self.send_syn(caller, frontend, 0)
    }

    /// Opens a flow with a SYN that the caller sent `copies` times before.
    pub fn open_copy(&mut self, caller: u16, copies: u32) -> Verdict {
        self.send_syn(caller, FRONTEND, copies)
    }

    /// Opens a flow with a SYN that arrived `millis` ago.
    pub fn open_after(&mut self, caller: u16, millis: u64) -> Verdict {
        let syn = segment(caller, SegmentKind::Syn, 0, 0);
        self.router.decide_held(self.now, self.now - Span(millis), &syn)
    }

    /// Sends data of a flow that was open before this host started, and that arrived before the
    /// first catalog.
    pub fn send_held_data(&mut self, caller: u16) -> Verdict {
        let data = Segment { mark: self.mark, ..segment(caller, SegmentKind::Data, 0, 10) };
        self.router.decide_held(self.now, self.now - Span(50), &data)
    }

    fn send_syn(&mut self, caller: u16, frontend: SocketAddrV4, copies: u32) -> Verdict {
        let segment = Segment {
            flow_key: FlowKey { caller: caller_of(caller), frontend },
            kind: SegmentKind::Syn,
            mark: None,
            sequence: 1000,
            acknowledged: copies,
            length: 0,
        };
        self.router.decide(self.now, &segment)
    }

    /// Sends ten bytes of data that start at offset `from`.
    pub fn send_data(&mut self, caller: u16, acknowledged: u32, from: u32) -> Verdict {
        self.send(caller, SegmentKind::Data, from, acknowledged, 10)
    }

    pub fn send(
        &mut self,
        caller: u16,
        kind: SegmentKind,
        from: u32,
        acknowledged: u32,
        length: u16,
    ) -> Verdict {
        let acknowledged = 5000 + acknowledged;
        let segment =
            Segment { mark: self.mark, acknowledged, ..segment(caller, kind, from, length) };
        self.router.decide(self.now, &segment)
    }

    /// Acknowledges an answer of the target on another flow, which shows that the target is alive. The flow
    /// was seen before: a first packet may repeat an acknowledgement of long ago.
    pub fn acknowledge_answer(&mut self, target: TargetId) {
        let mark = self.mark.replace(Mark::of(target));
        let caller = 60_000 + target.0 as u16;
        // Advances with time, so that each call acknowledges more than the previous one.
        let latest = self.now.0 as u32;
        for acknowledged in [latest - 1, latest] {
            let verdict = self.send(caller, SegmentKind::Data, 0, acknowledged, 0);
            assert_eq!(target_of(verdict), target);
        }
        self.mark = mark;
    }
}

/// Returns a packet of `length` bytes from offset `from` on, which acknowledges nothing.
pub fn segment(caller: u16, kind: SegmentKind, from: u32, length: u16) -> Segment {
    Segment {
        flow_key: FlowKey { caller: caller_of(caller), frontend: FRONTEND },
        kind,
        mark: None,
        sequence: 1001 + from,
        acknowledged: 0,
        length,
    }
}

pub fn target_of(verdict: Verdict) -> TargetId {
    match verdict {
        Verdict::Forward { target, .. } => target,
        other => panic!("expected a forwarded packet, got {other:?}"),
    }
}

pub fn entry(target: u64, service: &str) -> Entry {
    Entry {
        target: TargetId(target),
        incarnation: target,
        sequence: 1,
        phase: Phase::Serving,
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + target as u32), 80),
        centre: "a".into(),
        slots: 2,
        warmup: Span(0),
    }
}

pub fn catalog(version: u64, routes: &[(SocketAddrV4, &str)], idempotency: Idempotency) -> Catalog {
    raw_catalog_of(version, routes, idempotency).try_into().unwrap()
}

/// Returns a catalog with one route to the service "desk".
pub fn raw_catalog(version: u64) -> RawCatalog {
    raw_catalog_of(version, &[(FRONTEND, "desk")], Idempotency::Idempotent)
}

fn raw_catalog_of(
    version: u64,
    routes: &[(SocketAddrV4, &str)],
    idempotency: Idempotency,
) -> RawCatalog {
    let route = |(address, service): &(SocketAddrV4, &str)| RawRoute {
        name: address.to_string(),
        address: *address,
        services: vec![RawWeightedService { service: (*service).into(), weight: 1 }],
        idempotency,
        timeout: Span(1500),
        objective: Span(150),
        priority: 1,
        bulk: false,
    };
    let routes = routes.iter().map(route).collect();
    let services = vec!["desk".into(), "rival".into()];
    RawCatalog { version, services, routes, idle_timeout: Span(15_000) }
}

/// Returns a catalog with a usual route, and a bulk one at the other frontend address.
pub fn bulk_catalog(version: u64) -> Catalog {
    let route = |address: SocketAddrV4, bulk: bool| RawRoute {
        name: address.to_string(),
        address,
        services: vec![RawWeightedService { service: "desk".into(), weight: 1 }],
        idempotency: Idempotency::AtMostOnce,
        timeout: Span(6000),
        objective: Span(1200),
        priority: 1,
        bulk,
    };
    let routes = vec![route(FRONTEND, false), route(OTHER_FRONTEND, true)];
    let services = vec!["desk".into()];
    Catalog::try_from(RawCatalog { version, services, routes, idle_timeout: Span(15_000) }).unwrap()
}

/// Finds two targets with the same mark.
pub fn targets_with_same_mark() -> (u64, u64) {
    let mut seen = std::collections::HashMap::new();
    for number in 0u64.. {
        let target = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
        if let Some(other) = seen.insert(Mark::of(TargetId(target)), target)
            && other != target
        {
            return (other, target);
        }
    }
    unreachable!("marks have 32 bits")
}

fn caller_of(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1024 + number % 60_000)
}
