//! Hosts isolated from a majority of their group keep serving, and rejoin without broken flows.

mod route_net;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::route::{Candidate, CandidateState};
use route_net::{Net, RELIABLE, SERVICE};

const FOUR: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100), (4, 100)];
const MAJORITY: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const MINORITY: [HostId; 2] = [HostId(4), HostId(5)];

/// Isolates two of five hosts, which can reach only targets 3 and 4.
fn isolate_minority(seed: u64) -> Net {
    let mut net = Net::new(seed, 5, 5, RELIABLE);
    net.set_targets(SERVICE, FOUR);
    net.run(4_000);
    for _ in 0..100 {
        net.open(SERVICE);
    }
    net.run(500);
    net.partitions = MAJORITY
        .iter()
        .flat_map(|&majority| MINORITY.map(|minority| (majority, minority)))
        .collect();
    let reachable = [3, 4].map(|target| Candidate {
        target: TargetId(target),
        weight: 100,
        state: CandidateState::New,
    });
    for host in MINORITY {
        let now = net.clock(host);
        net.nodes[&host].router.set_targets(now, SERVICE, &reachable);
    }
    net.run(10_000);
    net
}

/// Opens flows at the isolated hosts, with each flow's SYN and packets sent to both of them.
fn open_isolated(net: &mut Net, count: usize) -> Vec<usize> {
    let mut flows = Vec::new();
    for i in 0..count {
        let flow = net.open_at(SERVICE, MINORITY[i % 2]);
        net.packet_at(flow, Signal::Open, MINORITY[(i + 1) % 2]);
        net.packet_at(flow, Signal::Middle, MINORITY[0]);
        net.packet_at(flow, Signal::Middle, MINORITY[1]);
        flows.push(flow);
    }
    flows
}

#[test]
fn isolated_hosts_serve_the_targets_that_they_reach() {
    let mut net = isolate_minority(1);
    let flows = open_isolated(&mut net, 200);
    for flow in flows {
        let target = net.flows[flow].target;
        assert!(target == Some(TargetId(3)) || target == Some(TargetId(4)), "{target:?}");
    }
    for flow in 0..100 {
        if net.flows[flow].target >= Some(TargetId(3)) {
            net.packet_at(flow, Signal::Middle, MINORITY[0]);
        }
    }
    assert_eq!(net.violations(), Vec::<String>::new());
}

#[test]
fn flows_of_isolated_hosts_keep_their_targets_after_the_return() {
    let mut net = isolate_minority(2);
    let flows = open_isolated(&mut net, 200);
    net.partitions.clear();
    net.set_targets(SERVICE, FOUR);
    for _ in 0..80 {
        net.run(100);
        for &flow in &flows {
            net.packet_at(flow, Signal::Middle, MINORITY[flow % 2]);
        }
    }
    assert_eq!(net.violations(), Vec::<String>::new());
    for host in MAJORITY.into_iter().chain(MINORITY) {
        for &flow in &flows {
            net.packet_at(flow, Signal::Middle, host);
        }
        net.run(100);
    }
    assert_eq!(net.violations(), Vec::<String>::new());
    assert!(flows.iter().all(|&flow| net.flows[flow].delivered >= 4 + 5));
}
