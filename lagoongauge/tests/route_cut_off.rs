//! Hosts that are cut off from a majority of their group go on, and come back.

mod route_net;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::route::{Candidate, CandidateState};
use route_net::{CALM, Net, SERVICE};

const FOUR: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100), (4, 100)];
const FAR: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const CUT: [HostId; 2] = [HostId(4), HostId(5)];

/// Cuts two of five hosts off, with targets 3 and 4 in their reach.
fn cut_off(seed: u64) -> Net {
    let mut net = Net::new(seed, 5, 5, CALM);
    net.targets(SERVICE, FOUR);
    net.run(4_000);
    for _ in 0..100 {
        net.open(SERVICE);
    }
    net.run(500);
    net.cut = FAR.iter().flat_map(|&far| CUT.map(|near| (far, near))).collect();
    let reached = [3, 4].map(|target| Candidate {
        target: TargetId(target),
        weight: 100,
        state: CandidateState::New,
    });
    for host in CUT {
        let now = net.clock(host);
        net.nodes[&host].router.set_targets(now, SERVICE, &reached);
    }
    net.run(10_000);
    net
}

/// Opens flows at the cut-off hosts, each SYN and packet at both.
fn open_alone(net: &mut Net, count: usize) -> Vec<usize> {
    let mut flows = Vec::new();
    for i in 0..count {
        let flow = net.open_at(SERVICE, CUT[i % 2]);
        net.packet_at(flow, Signal::Open, CUT[(i + 1) % 2]);
        net.packet_at(flow, Signal::Middle, CUT[0]);
        net.packet_at(flow, Signal::Middle, CUT[1]);
        flows.push(flow);
    }
    flows
}

#[test]
fn a_cut_off_part_serves_the_targets_that_it_reaches() {
    let mut net = cut_off(1);
    let flows = open_alone(&mut net, 200);
    for flow in flows {
        let target = net.flows[flow].target;
        assert!(target == Some(TargetId(3)) || target == Some(TargetId(4)), "{target:?}");
    }
    for flow in 0..100 {
        if net.flows[flow].target >= Some(TargetId(3)) {
            net.packet_at(flow, Signal::Middle, CUT[0]);
        }
    }
    assert_eq!(net.faults(), Vec::<String>::new());
}

#[test]
fn flows_of_a_cut_off_part_stay_after_its_return() {
    let mut net = cut_off(2);
    let flows = open_alone(&mut net, 200);
    net.cut.clear();
    net.targets(SERVICE, FOUR);
    for _ in 0..80 {
        net.run(100);
        for &flow in &flows {
            net.packet_at(flow, Signal::Middle, CUT[flow % 2]);
        }
    }
    assert_eq!(net.faults(), Vec::<String>::new());
    for host in FAR.into_iter().chain(CUT) {
        for &flow in &flows {
            net.packet_at(flow, Signal::Middle, host);
        }
        net.run(100);
    }
    assert_eq!(net.faults(), Vec::<String>::new());
    assert!(flows.iter().all(|&flow| net.flows[flow].arrived >= 4 + 5));
}
