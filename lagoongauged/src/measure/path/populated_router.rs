//! The real router of one host with many known flows.

use indexmap::IndexMap;
use lagoongauge::flow::Protocol;
use lagoongauge::id::{CentreId, HostId, MemberId};
use lagoongauge::route::{
    Candidate, CandidateState, Election, PacketFacts, Route, Router, Verdict,
};
use lagoongauge::settings::{Host, Resolved, Service};
use lagoongauge::time::{Instant, Span};

use super::flows::{Flows, HASH_KEY, SERVICE, TARGETS, service_address, target_id};

/// Id of the only host in the group.
const HOST: HostId = HostId(1);

/// Base-2 logarithm of the number of buckets.
const BUCKET_BITS: u8 = 14;

/// Interval between ticks.
const TICK_INTERVAL: Span = Span::millis(50);

/// Maximum number of ticks until the router serves.
const MAX_WARM_UP_TICKS: usize = 10_000;

/// Router of the home of all buckets, with a record of each flow.
#[derive(Debug)]
pub struct PopulatedRouter {
    /// The router.
    pub router: Router,
    now: Instant,
}

impl PopulatedRouter {
    /// Starts a router and opens all flows.
    pub fn new(flows: &Flows) -> Self {
        let now = Instant(Span::seconds(3600).0);
        let router = Router::new(HOST, HASH_KEY, 1, now);
        router.apply(now, &settings());
        let candidates: Vec<Candidate> = (0..TARGETS)
            .map(|index| Candidate {
                target: target_id(index),
                weight: 100,
                state: CandidateState::New,
            })
            .collect();
        router.set_targets(now, SERVICE, &candidates);
        let mut populated = Self { router, now };
        populated.warm_up(flows);
        for facts in flows.syn_facts() {
            let verdict = populated.router.route(populated.now, &facts);
            assert!(matches!(verdict, Verdict::Forward(_)), "SYN was not forwarded: {verdict:?}");
        }
        populated
    }

    /// Returns the time after all flows were opened.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Returns the size of the flow records in bytes.
    pub fn record_bytes(&self) -> usize {
        self.router.status(self.now).record_bytes
    }

    /// Advances time until the router opens flows.
    fn warm_up(&mut self, flows: &Flows) {
        let probe = flows.syn_facts().next().expect("there is a flow");
        for _ in 0..MAX_WARM_UP_TICKS {
            self.now = self.now + TICK_INTERVAL;
            let until = self.now + Span::seconds(3600);
            self.router.set_election(self.now, Election { holder: Some((HOST, 1)), until });
            self.router.tick(self.now);
            if self.is_forwarded(&probe) {
                return;
            }
        }
        panic!("the router did not forward a SYN within {MAX_WARM_UP_TICKS} ticks");
    }

    fn is_forwarded(&self, facts: &PacketFacts) -> bool {
        matches!(self.router.route(self.now, facts), Verdict::Forward(_))
    }
}

/// Returns settings with a single service and host.
fn settings() -> Resolved {
    let address = service_address();
    let peer = address;
    let service = Service {
        member: MemberId(1),
        name: "booking".to_owned(),
        protocol: Protocol::Tcp,
        address,
        bucket_bits: BUCKET_BITS,
        max_flows: u32::MAX,
        max_rate: u32::MAX,
        idle_limit: Span::seconds(7200),
        drain_limit: Span::seconds(7200),
        slow_start: Span::seconds(30),
        established_goal: 999_000,
        unbroken_goal: 999_900,
        answer_goal: Span::seconds(1),
        imbalance_goal: 1_200,
    };
    Resolved {
        version: 1,
        services: IndexMap::from([(SERVICE, service)]),
        groups: IndexMap::from([(SERVICE, 1)]),
        hosts: IndexMap::from([(HOST, Host { centre: CentreId(1), group: 1, peer })]),
        ..Resolved::default()
    }
}
