//! Routing by marks at the same flows, beside the routing by homes.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::mark::{FlowKey, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::{Instant, Span};

use super::flows::{Flows, KEY, TARGETS, service, target, target_id};

/// Name of the only service.
const NAME: &str = "service";

/// Name of the only data centre.
const CENTRE: &str = "centre";

/// Bytes of data in each packet.
const DATA: u16 = 64;

/// Sequence number of a caller's first data.
const FIRST: u32 = 1001;

/// A router by marks with the flows' ends and marks.
#[derive(Debug)]
pub struct Marked {
    router: Router,
    flows: Vec<(FlowKey, Mark)>,
    now: Instant,
}

impl Marked {
    /// Builds a router that has seen each flow begin, and remembers it if it `remembers` flows.
    pub fn new(flows: &Flows, remembers: bool) -> Self {
        let now = Instant(Span::seconds(3600).0);
        let most = if remembers { flows.len() } else { 0 };
        let mut router =
            Router::new(RouterConfig { centre: CENTRE.into(), hash_key: KEY, max_flows: most });
        router.set_catalog(&catalog());
        router.set_current(now, true);
        for index in 0..TARGETS {
            router.set_target(now, &entry(index), false);
        }
        let mut marked = Self { router, flows: Vec::with_capacity(flows.len()), now };
        for caller in flows.callers() {
            marked.open(FlowKey { caller, frontend: front() });
        }
        marked
    }

    /// Decides on another packet of a flow; each round brings new data.
    pub fn decide(&mut self, index: usize, round: u32) {
        let (ends, mark) = self.flows[index];
        let verdict = self.send(ends, Some(mark), SegmentKind::Data, round);
        assert!(matches!(verdict, Verdict::Forward { .. }), "a flow was not sent on: {verdict:?}");
    }

    fn open(&mut self, ends: FlowKey) {
        let verdict = self.send(ends, None, SegmentKind::Syn, 0);
        let Verdict::Forward { mark, .. } = verdict else {
            panic!("a flow was not opened: {verdict:?}");
        };
        self.send(ends, Some(mark), SegmentKind::Data, 0);
        self.flows.push((ends, mark));
    }

    fn send(
        &mut self,
        ends: FlowKey,
        mark: Option<Mark>,
        signal: SegmentKind,
        round: u32,
    ) -> Verdict {
        let opens = signal == SegmentKind::Syn;
        let sent = round.wrapping_mul(u32::from(DATA));
        let segment = Segment {
            flow_key: ends,
            kind: signal,
            mark,
            sequence: if opens { FIRST - 1 } else { FIRST.wrapping_add(sent) },
            acknowledged: sent,
            length: if opens { 0 } else { DATA },
        };
        self.router.decide(self.now, &segment)
    }
}

fn front() -> SocketAddrV4 {
    v4(service())
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, address.port()),
    }
}

fn catalog() -> Catalog {
    let route = RawRoute {
        name: NAME.into(),
        address: front(),
        services: vec![RawWeightedService { service: NAME.into(), weight: 1 }],
        idempotency: Idempotency::Idempotent,
        timeout: Span::seconds(3),
        objective: Span::millis(150),
        priority: 0,
    };
    let (version, idle) = (1, Span::seconds(15));
    let raw = RawCatalog {
        version,
        services: vec![NAME.into()],
        routes: vec![route],
        idle_timeout: idle,
    };
    Catalog::try_from(raw).expect("one service and its route are valid")
}

fn entry(index: u8) -> Entry {
    Entry {
        target: target_id(index),
        incarnation: 1,
        sequence: 1,
        phase: Phase::Serving,
        service: NAME.into(),
        address: v4(target(index)),
        centre: CENTRE.into(),
        slots: u16::MAX,
        warmup: Span(0),
    }
}
