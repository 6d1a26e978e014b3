//! Moves of buckets over a reliable network: an established flow never changes its target.

mod route_net;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, TargetId};
use route_net::{Conditions, Net, OTHER_SERVICE, RELIABLE, SERVICE};

const THREE: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100)];

fn start_net(seed: u64, hosts: u32, conditions: Conditions) -> Net {
    let mut net = Net::new(seed, hosts, hosts, conditions);
    net.set_targets(SERVICE, THREE);
    net.set_targets(OTHER_SERVICE, &[(1001, 100), (1002, 100)]);
    net.run(4_000);
    net
}

fn open_flows(net: &mut Net, count: usize) {
    for i in 0..count {
        net.open(if i % 4 == 0 { OTHER_SERVICE } else { SERVICE });
    }
    net.run(500);
    net.send_traffic();
    net.run(500);
}

#[test]
fn flows_keep_their_targets_while_one_is_added_and_another_drained() {
    let mut net = start_net(1, 4, RELIABLE);
    open_flows(&mut net, 400);
    assert_eq!(net.established().len(), 400, "{:?}", net.router(1).status(net.clock(HostId(1))));
    net.set_targets(SERVICE, &[(1, 100), (2, 100), (3, 100), (4, 100)]);
    for _ in 0..10 {
        open_flows(&mut net, 20);
    }
    net.set_targets(SERVICE, &[(1, 0), (2, 100), (3, 100), (4, 100)]);
    net.run(3_000);
    let before = net.flows.len();
    for _ in 0..10 {
        open_flows(&mut net, 20);
    }
    assert_eq!(net.violations(), Vec::<String>::new());
    let new = &net.flows[before..];
    assert!(new.iter().all(|flow| flow.target.is_some_and(|target| target != TargetId(1))));
    assert!(new.iter().any(|flow| flow.target == Some(TargetId(4))));
}

#[test]
fn a_repeated_syn_reaches_one_target_wherever_it_lands() {
    let mut net = start_net(2, 5, RELIABLE);
    for _ in 0..200 {
        net.open(SERVICE);
    }
    net.set_targets(SERVICE, &[(2, 100), (3, 50), (4, 100)]);
    for _ in 0..20 {
        for flow in 0..net.flows.len() {
            net.packet(flow, Signal::OpenData);
        }
        net.run(100);
    }
    assert_eq!(net.violations(), Vec::<String>::new());
}

#[test]
fn a_host_leaves_and_another_joins_without_a_broken_flow() {
    let mut net = Net::new(3, 5, 4, RELIABLE);
    net.set_targets(SERVICE, THREE);
    net.run(4_000);
    open_flows(&mut net, 300);
    net.set_targets(SERVICE, &[(1, 100), (2, 100), (4, 100), (3, 0)]);
    net.run(200);
    net.start(HostId(5));
    for _ in 0..10 {
        open_flows(&mut net, 10);
    }
    net.leave(HostId(2));
    let mut left = 0;
    while !net.router(2).has_left() && left < 60 {
        open_flows(&mut net, 10);
        left += 1;
    }
    assert!(net.router(2).has_left(), "{:?}", net.router(2).status(net.clock(HostId(2))));
    net.crash(HostId(2));
    for _ in 0..10 {
        open_flows(&mut net, 10);
    }
    assert_eq!(net.violations(), Vec::<String>::new());
    for flow in &mut net.flows {
        flow.delivered = 0;
    }
    net.send_traffic();
    net.run(200);
    let unserved = net.established().into_iter().filter(|&f| net.flows[f].delivered == 0).count();
    assert_eq!(unserved, 0, "flows whose packets no longer reach a target");
}
