//! Routing by marks on the same flows, for comparison with routing by homes.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use lagoongauge::catalog::{Catalog, Idempotency, RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::mark::{
    Features, FlowKey, Mark, Router, RouterConfig, Segment, SegmentKind, Verdict,
};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::{Instant, Span};

use super::flows::{Flows, HASH_KEY, TARGETS, service_address, target_address, target_id};

/// Name of the only service.
const SERVICE_NAME: &str = "service";

/// Name of the only data centre.
const CENTRE_NAME: &str = "centre";

/// Payload size of each packet.
const DATA_BYTES: u16 = 64;

/// Sequence number of the first byte that a caller sends.
const FIRST_SEQUENCE: u32 = 1001;

/// Router by marks, with the keys and marks of all flows.
#[derive(Debug)]
pub struct MarkRouter {
    router: Router,
    flows: Vec<(FlowKey, Mark)>,
    now: Instant,
}

impl MarkRouter {
    /// Creates a router that has handled the start of each flow, and keeps records of them if
    /// `keep_records` is set.
    pub fn new(flows: &Flows, keep_records: bool) -> Self {
        let now = Instant(Span::seconds(3600).0);
        let max_flows = if keep_records { flows.len() } else { 0 };
        let mut router = Router::new(RouterConfig {
            centre: CENTRE_NAME.into(),
            hash_key: HASH_KEY,
            max_flows,
            features: Features::default(),
        });
        router.set_catalog(&catalog());
        router.set_current(now, true);
        for index in 0..TARGETS {
            router.set_target(now, &entry(index), false);
        }
        let mut mark_router = Self { router, flows: Vec::with_capacity(flows.len()), now };
        for caller in flows.callers() {
            mark_router.open_flow(FlowKey { caller, frontend: frontend() });
        }
        mark_router
    }

    /// Routes a packet of a flow, which carries new data in each round.
    pub fn decide(&mut self, index: usize, round: u32) {
        let (flow_key, mark) = self.flows[index];
        let verdict = self.route_segment(flow_key, Some(mark), SegmentKind::Data, round);
        assert!(
            matches!(verdict, Verdict::Forward { .. }),
            "segment was not forwarded: {verdict:?}"
        );
    }

    fn open_flow(&mut self, flow_key: FlowKey) {
        let verdict = self.route_segment(flow_key, None, SegmentKind::Syn, 0);
        let Verdict::Forward { mark, .. } = verdict else {
            panic!("SYN was not forwarded: {verdict:?}");
        };
        self.route_segment(flow_key, Some(mark), SegmentKind::Data, 0);
        self.flows.push((flow_key, mark));
    }

    fn route_segment(
        &mut self,
        flow_key: FlowKey,
        mark: Option<Mark>,
        kind: SegmentKind,
        round: u32,
    ) -> Verdict {
        let is_syn = kind == SegmentKind::Syn;
        let sent = round.wrapping_mul(u32::from(DATA_BYTES));
        let segment = Segment {
            flow_key,
            kind,
            mark,
            sequence: if is_syn { FIRST_SEQUENCE - 1 } else { FIRST_SEQUENCE.wrapping_add(sent) },
            acknowledged: sent,
            length: if is_syn { 0 } else { DATA_BYTES },
        };
        self.router.decide(self.now, &segment)
    }
}

fn frontend() -> SocketAddrV4 {
    to_ipv4(service_address())
}

fn to_ipv4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, address.port()),
    }
}

fn catalog() -> Catalog {
    let route = RawRoute {
        name: SERVICE_NAME.into(),
        address: frontend(),
        services: vec![RawWeightedService { service: SERVICE_NAME.into(), weight: 1 }],
        idempotency: Idempotency::Idempotent,
        timeout: Span::seconds(3),
        objective: Span::millis(150),
        priority: 0,
        bulk: false,
    };
    let (version, idle_timeout) = (1, Span::seconds(15));
    let raw = RawCatalog {
        version,
        services: vec![SERVICE_NAME.into()],
        routes: vec![route],
        idle_timeout,
    };
    Catalog::try_from(raw).expect("one service and its route are valid")
}

fn entry(index: u8) -> Entry {
    Entry {
        target: target_id(index),
        incarnation: 1,
        sequence: 1,
        phase: Phase::Serving,
        service: SERVICE_NAME.into(),
        address: to_ipv4(target_address(index)),
        centre: CENTRE_NAME.into(),
        slots: u16::MAX,
        warmup: Span(0),
    }
}
